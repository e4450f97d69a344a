#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Before: the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/shallotdrift ] && [ -x review/bin/lost-room ] || exit 2
timeout -k 2 116 review/bin/lost-room review/4/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
