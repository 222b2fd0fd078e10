#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 does the same without the disruption, and passes. What
# was sent, answered and run goes to record.txt in this folder.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
export RECORD="${RECORD:-$PWD/review/1/record.txt}"
exec timeout -k 2 118 python3 review/1/case.py
