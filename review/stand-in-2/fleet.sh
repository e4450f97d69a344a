# Shell functions for the scripts of the second review; sourced by review/N/run.sh, which sets `case` to its folder and
# `record` to its record.txt.
# It starts entry instances with the command of deploy/system.toml and settings like those that deploy/node.ini gives.
set -u
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
program=target/shallotdrift
stand_in=build/review-2/stand-in
process_ids=""
directory=$(mktemp -d)
: >"$record"

[ -x $program ] && [ -x $stand_in ] || { echo "build the deploy file's line and review/build-2.sh first"; exit 2; }

finish() {
  for process_id in $process_ids; do kill -KILL "$process_id" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$directory"
}
trap finish EXIT
trap 'exit 2' INT TERM

note() { echo "          client: $*" >>"$record"; }
cannot_run() { note "the case could not run: $*"; echo "could not run: $*"; exit 2; }
seconds() { date +%s; }

# A block of 100 ports that nobody listens on, below the range of outgoing connections.
find_ports() {
  tries=0
  while [ $tries -lt 50 ]; do
    port=$((12000 + ($(od -An -N2 -tu2 /dev/urandom) % 180) * 100))
    used=0
    for listening in $(awk 'NR > 1 && $4 == "0A" { print $2 }' /proc/net/tcp | cut -d: -f2); do
      number=$((0x$listening))
      [ $number -ge $port ] && [ $number -lt $((port + 100)) ] && used=1
    done
    [ $used = 0 ] && return 0
    tries=$((tries + 1))
  done
  cannot_run "no free ports"
}

# start_platform WORKERS MILLICORES
start_platform() {
  find_ports
  $stand_in $port "$1" "$2" "$record" 2>"$directory/platform.log" &
  process_ids="$process_ids $!"
}

entry_port() { echo $((port + 50 + 10 * $1)); }

# start_entry N
start_entry() {
  first_port=$(entry_port "$1")
  cat >"$directory/entry$1.ini" <<INI
[node]
name = entry-$1
zone = a
ip = 127.0.0.1
caller_address = 127.0.0.1:$first_port
ready_address = 127.0.0.1:$((first_port + 1))
first_internal_port = $((first_port + 2))
[store]
address = 127.0.0.1:$port
partitions = 24
[machine]
cpu_share = 0.25
link_mbps = 1000.0
[instances]
address = 127.0.0.1:$((port + 1))
[bounds]
longest_lease_ms = 10000
status_kept_s = 120
stop_grace_s = 6
maintenance_s = 2
order_pause_ms = 3000
drain_ms = 2000
stop_ms = 900
INI
  $program node --settings="$directory/entry$1.ini" >>"$directory/entry$1.log" 2>&1 &
  process_ids="$process_ids $!"
}

# call METHOD PORT PATH TIMEOUT_MS [BODY]: prints the body and the status of the answer.
call() { $stand_in call "$1" "127.0.0.1:$2" "$3" "$4" ${5:+"$5"}; }

is_ready() { [ "$(call GET $(($(entry_port "$1") + 1)) /shallotdrift/ready 1000)" = " 200" ]; }

# wait_for SECONDS COMMAND ...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
  deadline=$(($(seconds) + $1))
  shift
  until "$@"; do
    [ "$(seconds)" -lt $deadline ] || return 1
    sleep 0.1
  done
}

# start_entries COUNT: starts them and waits until they are ready and the owners have met the workers.
start_entries() {
  for number in $(seq 1 "$1"); do start_entry "$number"; done
  for number in $(seq 1 "$1"); do wait_for 15 is_ready "$number" || cannot_run "entry $number is not ready"; done
  sleep 3
}

# post ENTRY ID BODY: prints the status of the answer.
post() {
  answer=$(call POST "$(entry_port "$1")" "/render/$2" 3000 "$3")
  note "POST $2 at entry $1: $answer; body $3"
  echo "${answer##* }"
}
# get ENTRY ID: prints the body and the status of the answer; the count of waiting jobs for an empty ID.
get() {
  answer=$(call GET "$(entry_port "$1")" "/render/$2" 3000)
  note "GET ${2:-(count)} at entry $1: $answer"
  echo "$answer"
}
state_is() { get "$1" "$2" | grep -q "\"State\":\"$3\""; }
has_ended() { get "$1" "$2" | grep -qE '"State":"(completed|failed|cancelled)"'; }
# control REQUEST: prints the answer of the stand-in.
control() { call GET "$port" "/control/$1" 4000; }
# fact ID NAME: a number among the facts of the job.
fact() { control "facts?job=$1" | grep -o "\"$2\":[0-9]*" | head -1 | cut -d: -f2; }
