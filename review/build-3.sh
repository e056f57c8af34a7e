#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, beside the daemon that
# the build of the deploy file has put into target/.
set -eu
cd "$(dirname "$0")/.."
OUT=build-review-3
mkdir -p "$OUT"
for source in review/1[1-5]/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    "$source" review/lab.cc -o "$OUT/case_$number"
done
