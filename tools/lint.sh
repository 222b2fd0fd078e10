#!/usr/bin/env bash
# Checks the format of all C files and runs clang-tidy over them. Needs a
# build in build/ for the compile commands.
set -eu
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.c' '*.h')
clang-format --dry-run -Werror "${files[@]}"
git ls-files --cached --others --exclude-standard '*.c' |
    grep -v '\.gen\.c$' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option
