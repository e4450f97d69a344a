#!/bin/sh
# Builds the stand-ins of the scripts. Uses the JSON library that the deploy file lists, and no other.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
c++ -std=c++17 -O1 -g -Wall -Wextra -pthread -c standin/trial.cpp -o bin/trial.o
for trial in many-ends turns lost-room same-id; do
  c++ -std=c++17 -O1 -g -Wall -Wextra -pthread "standin/$trial.cpp" bin/trial.o -o "bin/$trial"
done
