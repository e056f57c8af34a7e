#!/usr/bin/env bash
# Runs clang-tidy on all sources of the build in the given folder.
set -eu
cd "$(dirname "$0")/.."
BUILD=${1:-build}
git ls-files -co --exclude-standard '*.cc' | grep -v '^src/rpc/generated/' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet 2>/dev/null
