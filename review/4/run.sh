#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 target/review/case-4 review/4/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
