#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: the same without the disruption. What was sent, answered and run
# goes to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
export RECORD="${RECORD:-$PWD/record.txt}"
timeout -k 3 118 python3 case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
