#!/usr/bin/env bash
# Case 10; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
DAEMON=target/platform/buckthorngated-platform
CASE=build-review-2/case-10
if [ ! -x "$DAEMON" ] || [ ! -x "$CASE" ]; then
  echo "build the deploy file and run review/build-2.sh first"
  exit 2
fi
rm -f review/10/record.txt
exec timeout 110 "$CASE" "$DAEMON" review/10/record.txt
