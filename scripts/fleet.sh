# Shell functions that run a stand-in for the platform and entry instances on loopback; sourced by scripts/demo and
# test/processes/users. The sourcing script sets `directory` (for settings and logs) and `port` (the first port of
# the platform; the ports of entry N start at port + 100 + 10 * N).
process_ids=""

stop_fleet() {
  for process_id in $process_ids; do kill "$process_id" 2>/dev/null; done
  wait 2>/dev/null
  process_ids=""
}

start_platform() {
  build/shallotdrift-standin users --users_port="$port" >"$directory/platform.log" 2>&1 &
  process_ids="$process_ids $!"
}

entry_port() { echo $((port + 100 + 10 * $1)); }

entry_binary=build/shallotdrift

# start_entry N [LINE ...]: starts entry N with $entry_binary; the lines are appended to its settings. Sets entryN to its
# process id.
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
[instances]
address = 127.0.0.1:$((port + 1))
INI
  number=$1
  shift
  for line in "$@"; do echo "$line" >>"$directory/entry$number.ini"; done
  "$entry_binary" node --settings="$directory/entry$number.ini" >>"$directory/entry$number.log" 2>&1 &
  eval "entry$number=$!"
  process_ids="$process_ids $!"
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($(entry_port "$1") + 1))/shallotdrift/ready")" = 200 ]; }

# retry_for SECONDS COMMAND ...: repeats the command until it succeeds; fails after SECONDS.
retry_for() {
  deadline=$(($(date +%s) + $1))
  shift
  until "$@"; do
    [ "$(date +%s)" -lt $deadline ] || return 1
    sleep 0.1
  done
}

caller_url() { echo "http://127.0.0.1:$(entry_port "$1")"; }
job_id() { printf '%016x' "$1"; }
job_body='{"Spec":"work=150","Steps":[{"Count":3,"Cpu":1000,"MemMb":10,"EstimatedMs":150},{"Count":2,"Cpu":1000,"MemMb":10,"EstimatedMs":150,"After":[0]}]}'
# post_job ENTRY ID: posts $job_body and prints the HTTP status of the response.
post_job() {
  curl -s -o /dev/null -m 5 -w '%{http_code}' -X POST "$(caller_url "$1")/render/$2" -H 'Host: reports.example' -d "$job_body"
}
is_accepted() { [ "$(post_job "$1" "$2")" = 200 ]; }
# post_until_accepted ENTRY NUMBER: posts job NUMBER until it is accepted, for up to 10 s.
post_until_accepted() { retry_for 10 is_accepted "$1" "$(job_id "$2")"; }
job_state() { curl -s -m 5 "$(caller_url "$1")/render/$2" -H 'Host: reports.example'; }
job_state_is() { [ "$(job_state "$1" "$2")" = "{\"State\":\"$3\"}" ]; }
all_jobs_completed() {
  for number in $(seq 1 "$1"); do job_state_is 1 "$(job_id "$number")" completed || return 1; done
}

# run_as_operator NAME COMMAND ...: runs an operator command with entries 2 and 1 as --entries.
run_as_operator() {
  operator_name=$1
  shift
  build/shallotdrift "$@" "--operator_name=$operator_name" \
    "--entries=127.0.0.1:$(($(entry_port 2) + 4)),127.0.0.1:$(($(entry_port 1) + 4))"
}
