#!/bin/sh
# Builds the stand-ins that the scripts of REPORT-3.md start, in build-review-3/: the project's own and stand-in-3.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -G Ninja -DCMAKE_PROJECT_shallotdrift_INCLUDE="$PWD/review/stand-in-3/targets.cmake"
ninja -C build-review-3 shallotdrift-standin review-stand-in-3
