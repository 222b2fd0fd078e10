#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/6 and later start.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p out
${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra ./*.c -o out/sim -lxxhash
