# Functions that run the stand-in of the users' platform and entry instances on loopback; sourced by scripts/demo and
# test/processes/users. The caller sets `directory` (settings and logs) and `port` (the platform's; entry N has the ports
# from port + 100 + 10 * N).
pids=""

stop_fleet() {
  for pid in $pids; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  pids=""
}

start_platform() {
  build/shallotdrift-standin users --users_port="$port" >"$directory/platform.log" 2>&1 &
  pids="$pids $!"
}

base_of() { echo $((port + 100 + 10 * $1)); }

# start_entry N [LINE ...]: further lines of its settings.
start_entry() {
  base=$(base_of "$1")
  cat >"$directory/entry$1.ini" <<INI
[node]
name = entry-$1
zone = a
ip = 127.0.0.1
caller_address = 127.0.0.1:$base
ready_address = 127.0.0.1:$((base + 1))
first_internal_port = $((base + 2))
[store]
address = 127.0.0.1:$port
[instances]
address = 127.0.0.1:$((port + 1))
INI
  number=$1
  shift
  for line in "$@"; do echo "$line" >>"$directory/entry$number.ini"; done
  build/shallotdrift node --settings="$directory/entry$number.ini" >>"$directory/entry$number.log" 2>&1 &
  eval "entry$number=$!"
  pids="$pids $!"
}

ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($(base_of "$1") + 1))/shallotdrift/ready")" = 200 ]; }

# Repeats a command for up to N seconds until it succeeds.
within() {
  end=$(($(date +%s) + $1))
  shift
  until "$@"; do
    [ "$(date +%s)" -lt $end ] || return 1
    sleep 0.1
  done
}

caller() { echo "http://127.0.0.1:$(base_of "$1")"; }
job_id() { printf '%016x' "$1"; }
# post ENTRY ID: prints the status.
post() {
  curl -s -o /dev/null -m 5 -w '%{http_code}' -X POST "$(caller "$1")/render/$2" -H 'Host: reports.example' -d \
    '{"Spec":"work=150","Steps":[{"Count":3,"Cpu":1000,"MemMb":10,"EstimatedMs":150},{"Count":2,"Cpu":1000,"MemMb":10,"EstimatedMs":150,"After":[0]}]}'
}
is_posted() { [ "$(post "$1" "$2")" = 200 ]; }
# Posts a job at an entry until it is accepted.
accepted() { within 10 is_posted "$1" "$(job_id "$2")"; }
state() { curl -s -m 5 "$(caller "$1")/render/$2" -H 'Host: reports.example'; }
is_state() { [ "$(state "$1" "$2")" = "{\"State\":\"$3\"}" ]; }
all_completed() {
  for number in $(seq 1 "$1"); do is_state 1 "$(job_id "$number")" completed || return 1; done
}

# operate OPERATOR COMMAND ...: runs a command at the entries 2 and 1.
operate() {
  who=$1
  shift
  build/shallotdrift "$@" "--operator_name=$who" \
    "--entries=127.0.0.1:$(($(base_of 2) + 4)),127.0.0.1:$(($(base_of 1) + 4))"
}
