#!/bin/sh
# Builds the stand-in that the scripts review/N/run.sh of the second review start: build/review-2/stand-in.
# It needs the packages of deploy/system.toml only, and no network. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
sources="review/stand-in-2/main.cpp standin/StoreStandIn.cpp platform/src/*.cpp shallotdrift/src/Base/*.cpp
  shallotdrift/src/Http/*.cpp shallotdrift/src/Jobs/*.cpp"
objects=""
process_ids=""
for source in $sources; do
  object=build/review-2/$(echo "$source" | tr '/' '_').o
  objects="$objects $object"
  g++ -std=c++17 -O1 -I. -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DSPDLOG_FMT_EXTERNAL -c -o "$object" "$source" &
  process_ids="$process_ids $!"
done
for process_id in $process_ids; do wait "$process_id"; done
# shellcheck disable=SC2046,SC2086
g++ -o build/review-2/stand-in $objects $(pkg-config --libs spdlog fmt absl_strings) \
  -lxxhash -lhttp_parser -lboost_url -lpthread
echo "built build/review-2/stand-in"
