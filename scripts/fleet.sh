# Functions that run a fleet of processes on loopback; sourced by scripts/demo and the process tests.
# The caller sets `directory` (for settings, logs and journals) and may set `base_port`.

program=build/shallotdrift
standin=build/shallotdrift-standin
base_port=${base_port:-17000}
pids=""

port() { echo $((base_port + $1)); }

# Addresses 127.0.0.1:PORT of all entries, separated by commas, for a block of ports.
addresses() {
  list=""
  entry=0
  while [ $entry -lt "${entries:-8}" ]; do
    list="$list,127.0.0.1:$(port $(($1 + entry)))"
    entry=$((entry + 1))
  done
  echo "${list#,}"
}
caller_addresses() { addresses 0; }
operator_addresses() { addresses 40; }

# Starts a process in the background and remembers it as pid_NAME.
start() {
  name=$1
  shift
  "$@" >>"$directory/$name.log" 2>&1 &
  pids="$pids $!"
  eval "pid_$(echo "$name" | tr '-' '_')=$!"
}

pid_of() { eval "echo \$pid_$(echo "$1" | tr '-' '_')"; }

lay_out_fleet() {
  $standin fleet "--fleet_configuration=samples/chamber/fleet.ini" "--fleet_directory=$directory" \
    "--fleet_base_port=$base_port" "$@"
}

start_platform() {
  start platform $standin platform "--platform_listen=127.0.0.1:$(port 80)" "--platform_fleet=$directory/fleet.json" "$@"
}

start_targets() {
  for zone in ba-a ba-b ba-c ba-d; do
    start "targets-$zone" $standin targets "--targets_fleet=$directory/fleet.json" "--targets_zone=$zone" \
      "--targets_journal=$directory/targets-$zone.jsonl"
  done
}

start_entry() { start "entry-$1" $program entry "--settings=$directory/entry-$1.ini"; }

start_entries() {
  for number in $(seq 1 "${entries:-8}"); do start_entry "$number"; done
}

# Waits until a page of the metrics port of an entry answers with success.
wait_ready() {
  tries=0
  until curl -sf -o /dev/null "http://127.0.0.1:$(port $((59 + $1)))/ready"; do
    tries=$((tries + 1))
    [ $tries -lt "${2:-300}" ] || { echo "entry-$1 is not ready"; return 1; }
    sleep 0.1
  done
}

operate() {
  who=$1
  shift
  $program "$@" "--operator_name=$who" "--entries=$(operator_addresses)"
}

propose_configuration() {
  tries=0
  until operate luis config propose --file=samples/chamber/fleet.ini --expected=0 --reviewer=ana \
    --reason="first configuration" --change_id=first-configuration >"$directory/configuration.log" 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 50 ] || { cat "$directory/configuration.log"; return 1; }
    sleep 0.2
  done
}

start_fleet() {
  start_platform
  start_targets
  start_entries
  propose_configuration || return 1
  for number in $(seq 1 "${entries:-8}"); do wait_ready "$number" || return 1; done
}

# Ends every process that was started here, frozen ones too.
stop_fleet() {
  for pid in $pids; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  sleep 0.5
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=""
}
