#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, to review/out.
set -eu
cd "$(dirname "$0")"
mkdir -p out
CXXFLAGS="-std=c++20 -O1 -Wall -Wextra -pthread"
# shellcheck disable=SC2086
g++ $CXXFLAGS -c harness.cc -o out/harness.o
for source in [1-5]/case.cc; do
  # shellcheck disable=SC2086
  g++ $CXXFLAGS "$source" out/harness.o -o "out/case-$(dirname "$source")"
done
