#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review, with the packages
# that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
support=(review/support/*.cpp)
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread \
    "$source" "${support[@]}" -o "target/review/case-$number" &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
