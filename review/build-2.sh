#!/bin/bash
# Builds the stand-ins and the programs of the cases of the second review.
# Usage, from anywhere, after the build of the deploy file: review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
shopt -s nullglob
cases=([6-9]/scenario.cpp [1]0/scenario.cpp)
for source in support-2/*.cpp "${cases[@]}"; do
  name=${source%.cpp}
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -c "$source" \
    -o "$out/${name//\//-}.o" &
done
for job in $(jobs -p); do
  wait "$job"
done
for source in "${cases[@]}"; do
  number=${source%/scenario.cpp}
  g++ -o "$out/case-$number" "$out/$number-scenario.o" "$out"/support-2-*.o -pthread
done
