#!/bin/bash
# Workers that don't guard their capacity. One of two is cut off with its work items; these are started again on the
# other; the cut ends, the first runs are reported as done, the second ones are being stopped; in this moment the owner
# is stopped as planned. TROUBLE=0: no cut and no stop of the owner.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. Writes record.txt beside this script.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand-in-3/fleet.sh"

start_platform build-review-3/review-stand-in-3 --unguarded "$port" a a
start_entries 1 2 3
settle
control() { curl -s -m 1 -o "${2:-/dev/null}" "http://127.0.0.1:$port/control/$1"; }
hand_in() {
  answer=$(call POST 1 "$1" "$2")
  say "client: POST $1, $3 -> $answer"
  case "$answer" in *200) ;; *) finish 2 "the job was not accepted" ;; esac
}
owner=$(for n in 1 2 3; do grep -h 'event=active' "$directory/entry$n.log" | sed "s/^/$n /"; done |
  sed 's/^\([0-9]\) .*token=\([0-9]*\).*/\2 \1/' | sort -n | tail -1 | cut -d' ' -f2)
[ -n "$owner" ] || finish 2 "the owner was not found"
say "owner of the service: entry $owner"
sleep 9 # until the leases that a former owner may have given are over
hand_in 00000000000000b1 '{"Spec":"work=3500","Steps":[{"Count":8,"Cpu":1000,"MemMb":10,"EstimatedMs":3500}]}' \
  "8 work items of 3.5 s and 1 core"
sleep 0.5
control log "$directory/log"
cut=$(grep 'start 00000000000000b1' "$directory/log" | tail -1 | sed 's/.*worker-\([01]\).*/\1/')
other=$((1 - cut))
if [ "$trouble" = 1 ]; then control "cut/$cut"; say "worker-$cut is cut off and runs on"; fi
sleep 5.2
hand_in 00000000000000b2 '{"Spec":"work=6000","Steps":[{"Count":16,"Cpu":1000,"MemMb":10,"EstimatedMs":6000}]}' \
  "16 work items of 6 s and 1 core"
if [ "$trouble" = 1 ]; then
  sleep 0.3
  control "heal/$cut"
  say "the cut ends"
  for try in $(seq 100); do # until the second runs are being stopped
    grep -q "event=stop " "$directory/entry$owner.log" && break
    sleep 0.02
  done
  eval "kill -TERM \$entry$owner"
  say "entry $owner gets SIGTERM"
fi
sleep 9
say "GET b1 -> $(call GET $((owner % 3 + 1)) 00000000000000b1), b2 -> $(call GET $((owner % 3 + 1)) 00000000000000b2)"
control log "$directory/log"
echo "the workers (8 cores each):" >>"$record"
sed 's/^/        /' "$directory/log" >>"$record"
over=$(grep -c "over its capacity" "$directory/log")
if [ "$over" -gt 0 ]; then
  finish 1 "LIMIT: $over starts brought a worker over its capacity"
fi
finish 0 "the rule held"
