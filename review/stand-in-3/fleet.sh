# Shell functions of the cases of REPORT-3.md; sourced by their run.sh, which sets `here`, its own folder.
# Exit statuses: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$here/../.." || exit 2
trouble=${TROUBLE:-1}
record="$here/record.txt"
directory=$(mktemp -d)
pids=""
began=$(date +%s%3N)
: >"$record"

now_ms() { date +%s%3N; }
say() { printf '%6d ms  %s\n' $(($(now_ms) - began)) "$*" >>"$record"; }

# finish STATUS TEXT: ends all processes that were started, and the script.
finish() {
  for id in $pids; do kill -CONT "$id" 2>/dev/null; kill "$id" 2>/dev/null; done
  sleep 0.3
  for id in $pids; do kill -KILL "$id" 2>/dev/null; done
  wait 2>/dev/null
  [ -n "${KEEP:-}" ] && cp -r "$directory" "$KEEP"; rm -rf "$directory"
  say "$2"
  exit "$1"
}

# Finds 40 consecutive ports that nothing listens on.
find_ports() {
  for try in $(seq 50); do
    port=$((21000 + ((($$ + try * 7) * 40) % 10000)))
    taken=0
    for offset in $(seq 0 39); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$((port + offset))") 2>/dev/null; then taken=1; break; fi
    done
    [ $taken = 0 ] && return 0
  done
  return 1
}

# start_platform PROGRAM ARGUMENT ...
start_platform() {
  "$@" >"$directory/platform.log" 2>&1 &
  pids="$pids $!"
}

first_port() { echo $((port + 10 + 6 * $1)); }

# start_entry N: one entry instance with the settings of deploy/node.ini. Sets entryN to its process id.
start_entry() {
  first=$(first_port "$1")
  cat >"$directory/entry$1.ini" <<INI
[node]
name = entry-$1
zone = a
ip = 127.0.0.1
caller_address = 127.0.0.1:$first
ready_address = 127.0.0.1:$((first + 1))
first_internal_port = $((first + 2))
[store]
address = 127.0.0.1:$port
partitions = 24
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
  target/shallotdrift node --settings="$directory/entry$1.ini" >"$directory/entry$1.log" 2>&1 &
  eval "entry$1=$!"
  pids="$pids $!"
}

is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($(first_port "$1") + 1))/shallotdrift/ready")" = 200 ]; }

start_entries() {
  for n in "$@"; do start_entry "$n"; done
  for n in "$@"; do
    for try in $(seq 100); do is_ready "$n" && break; sleep 0.1; done
    is_ready "$n" || finish 2 "entry $n is not ready"
  done
}

# call METHOD ENTRY ID [BODY]: prints the body and the status of the answer; 000: no answer within 3 s.
call() {
  curl -s -m 3 -w ' %{http_code}' -X "$1" "http://127.0.0.1:$(first_port "$2")/render/$3" \
    -H 'Host: reports.example' -H 'Deadline-Ms: 3000' ${4:+-d "$4"}
}

# Waits until a short job has been completed and the partitions are spread over the entries.
settle() {
  short='{"Spec":"work=100","Steps":[{"Count":1,"Cpu":1000,"MemMb":10,"EstimatedMs":100}]}'
  for try in $(seq 50); do case "$(call POST 1 00000000000000aa "$short")" in *200) break ;; esac; sleep 0.2; done
  sleep 3
  case "$(call GET 1 00000000000000aa)" in *completed*) ;; *) finish 2 "a job before the disruption was not completed" ;; esac
}

sleep_ms() { if [ "$1" -gt 0 ]; then sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; fi; }

[ -x target/shallotdrift ] && [ -x build-review-3/shallotdrift-standin ] && [ -x build-review-3/review-stand-in-3 ] &&
  find_ports || { say "programs or ports are missing"; rm -rf "$directory"; exit 2; }
