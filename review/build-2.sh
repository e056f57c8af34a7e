#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/.
set -eu
cd "$(dirname "$0")/.."
OUT=build-review-2
mkdir -p "$OUT"
for source in review/6/case.cc review/7/case.cc review/8/case.cc \
  review/9/case.cc review/10/case.cc; do
  [ -f "$source" ] || continue
  case=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review \
    -o "$OUT/case-$case" "$source" review/mesh.cc
done
