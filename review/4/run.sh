#!/usr/bin/env bash
# Runs the case; review/build.sh builds what it starts. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run.
set -u
cd "$(dirname "$0")/../.."
program=target/platform/buckthorngated-platform
stand_ins=review/out/case-4
[ -x "$program" ] && [ -x "$stand_ins" ] || exit 2
"$stand_ins" "$program" review/4/record.txt
