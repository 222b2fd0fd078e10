#!/usr/bin/env bash
# Builds in a directory: tools/build.sh DIR [CMake options].
set -eu
cd "$(dirname "$0")/.."

dir=$1
shift
cmake -G Ninja -S . -B "$dir" "$@" >/dev/null
ninja -C "$dir" --quiet
