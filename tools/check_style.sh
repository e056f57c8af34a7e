#!/usr/bin/env bash
# Rules that neither the formatter nor the linter knows.
set -eu
cd "$(dirname "$0")/.."
status=0
report() { echo "$1"; status=1; }
sources=$(git ls-files '*.cc' '*.h' | grep -v '^src/rpc/generated/')

# Each file starts with a head comment.
for file in $sources; do
  head -n 1 "$file" | grep -q '^// ' || report "$file: no head comment"
done

# auto only for iterators, lambdas and structured bindings of loops.
# shellcheck disable=SC2086
grep -nE '\bauto [a-z_]+ = [0-9"]|const auto [a-z_]+ = (std::|base::)[A-Za-z:]+\(' $sources |
  grep -vE 'find|lower_bound|upper_bound|begin|end\(|min_element|max_element|\[' |
  grep -E '^(src|include)/' && report "auto where a type is expected"

# Sizes of files in src and include.
for file in $sources; do
  case "$file" in
    src/* | include/*)
      lines=$(wc -l <"$file")
      [ "$lines" -le 400 ] || report "$file: $lines lines, due for a split"
      ;;
  esac
done
exit $status
