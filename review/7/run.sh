#!/usr/bin/env bash
# Plays case 7. TROUBLE=0 plays it without large submissions. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/medlarwheel ] && [ -x target/review-2/standin2 ] || { echo 'build the program and review/build-2.sh first'; exit 2; }
export TROUBLE="${TROUBLE:-1}"
timeout -k 4 112 target/review-2/standin2 start-burst review/7/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
