#!/usr/bin/env bash
# Installs packages, builds, lints and tests. The last line gives the number of
# checks that passed and failed; a failure that KNOWN-RED.txt lists is printed
# as known and not counted.
set -u
cd "$(dirname "$0")/.."

passed=0
failed=0
known=0

is_known() {
    [ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

# Runs one check: check NAME COMMAND...
check() {
    local name=$1
    shift
    if "$@" >"$log/$name.log" 2>&1; then
        passed=$((passed + 1))
        echo "passed  $name"
    elif is_known "$name"; then
        known=$((known + 1))
        echo "KNOWN   $name (KNOWN-RED.txt)"
    else
        failed=$((failed + 1))
        echo "FAILED  $name"
        tail -n 60 "$log/$name.log"
    fi
}

# Cases that run by themselves, since KNOWN-RED.txt lists them, in one form at
# least, and not the others of their program: program, case, name of the check.
single_cases="
test_fleet /fleet/two-at-once fleet-two-at-once
test_locality /locality/moving-demand/300 locality-moving-demand-300
test_locality /locality/all-busy/300 locality-all-busy-300
"

run_tests() {
    local dir=$1
    local suffix=$2
    local program
    local name
    local path
    local single
    local skip
    for program in "$dir"/test_*; do
        name=$(basename "$program")
        [ -x "$program" ] || continue
        skip=()
        while read -r single path _; do
            [ "$single" != "$name" ] || skip+=(-s "$path")
        done <<<"$single_cases"
        check "$name$suffix" env RG_BIN_DIR="$PWD/$dir" timeout 900 \
            "$program" "${skip[@]}"
    done
    while read -r single path name; do
        [ -n "$single" ] || continue
        check "$name$suffix" env RG_BIN_DIR="$PWD/$dir" timeout 900 \
            "$dir/$single" -p "$path"
    done <<<"$single_cases"
}

log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT

tools/packages.sh || exit 1
check build tools/build.sh build
check build-sanitized tools/build.sh build-san -DRG_SANITIZE=ON \
    -DCMAKE_BUILD_TYPE=Debug
check lint tools/lint.sh
check generated python3 tools/generate.py --check
run_tests build ""
run_tests build-san "-sanitized"
check soak env RG_BIN_DIR=build tools/soak.sh 1 4
check soak-sanitized env RG_BIN_DIR=build-san tools/soak.sh 5 8
if [ -x tools/spec.sh ]; then
    while read -r model; do
        check "spec-$model" tools/spec.sh "$model"
    done < <(tools/spec.sh --list)
fi
[ "$known" -eq 0 ] || echo "known failures: $known"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
