#!/usr/bin/env bash
# Runs clang-tidy on all sources of the build in the given folder.
set -eu
cd "$(dirname "$0")/.."
BUILD=${1:-build}
# clang-tidy 14 knows coroutines, but tells neither the library nor Asio so.
COROUTINES="--extra-arg=-D__cpp_impl_coroutine=201902L
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.cc' | grep -v '^src/rpc/generated/' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet $COROUTINES 2>/dev/null
