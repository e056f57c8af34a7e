#!/usr/bin/env bash
# Formats all sources, or only checks them with --check.
set -eu
cd "$(dirname "$0")/.."
MODE=-i
[ "${1:-}" = --check ] && MODE="--dry-run -Werror"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '^src/rpc/generated/' |
  xargs clang-format $MODE
