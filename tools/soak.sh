#!/usr/bin/env bash
# Runs the randomized fault test for a range of seeds:
# tools/soak.sh FIRST [LAST] [OPTIONS OF rattangap-soak]. Four seeds run at a
# time, each on its own loopback addresses. Prints the result of each seed and
# the guarantees it violated, and keeps the files of failed seeds in
# build/soak-failed. Needs a build in build/ (or RG_BIN_DIR).
set -u
cd "$(dirname "$0")/.."

bin=${RG_BIN_DIR:-build}
first=${1:-1}
last=${2:-$first}
shift $(($# < 2 ? $# : 2))
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

run_seed() {
    local seed=$1
    local slot=$2
    shift 2
    "$bin/rattangap-soak" --seed "$seed" --net $((100 + slot)) \
        --binary "$bin/rattangap-edge" --dir "$out/$seed" "$@" \
        >"$out/$seed.txt" 2>&1
    local code=$?
    grep BROKEN "$out/$seed.txt"
    tail -n 1 "$out/$seed.txt"
    if [ "$code" -ne 0 ]; then
        mkdir -p build/soak-failed
        cp -r "$out/$seed" "$out/$seed.txt" build/soak-failed/
        touch "$out/failed"
    fi
}

slots=4
for ((seed = first; seed <= last; seed += slots)); do
    for ((i = 0; i < slots && seed + i <= last; i++)); do
        run_seed $((seed + i)) "$i" "$@" &
    done
    wait
done
[ ! -e "$out/failed" ]
