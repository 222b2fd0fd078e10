#!/usr/bin/env bash
# Installs packages, builds, lints and tests. The last line gives the number of
# checks that passed and failed; a failure that KNOWN-RED.txt lists is printed
# as known and not counted.
#
# Checks run in three lanes at the same time: those with sockets, one after the
# other, since the stand-ins use fixed loopback addresses; the models, one after
# the other, since each may use gigabytes; all others, several at a time.
set -u
cd "$(dirname "$0")/.."

jobs=$(($(nproc) / 2))
[ "$jobs" -ge 1 ] || jobs=1

is_known() {
    [ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

# Runs one check and notes its result: check NAME COMMAND...
check() {
    local name=$1
    local start=$SECONDS
    local result=passed
    shift
    if ! "$@" >"$log/$name.log" 2>&1; then
        result=failed
        ! is_known "$name" || result=known
    fi
    echo "$result" >"$log/$name.result"
    case $result in
    passed) echo "passed  $name ($((SECONDS - start)) s)" ;;
    known) echo "KNOWN   $name (KNOWN-RED.txt)" ;;
    failed) printf 'FAILED  %s\n%s\n' "$name" \
        "$(tail -n 60 "$log/$name.log")" ;;
    esac
}

count() {
    cat "$log"/*.result | grep -c "^$1\$"
}

# Lanes of the checks: each element is a line for `eval`.
socket_lane=()
model_lane=()
other_lane=()

# Adds a check to a lane: add LANE NAME COMMAND...
add() {
    local -n lane=$1
    shift
    lane+=("check $(printf '%q ' "$@")")
}

run_in_turn() {
    local line
    for line in "$@"; do
        eval "$line"
    done
}

run_at_once() {
    local line
    for line in "$@"; do
        while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do
            wait -n
        done
        eval "$line" &
    done
    wait
}

# Cases that run by themselves, since KNOWN-RED.txt lists them, in one form at
# least, and not the others of their program: program, case, name of the check.
single_cases="
test_fleet /fleet/two-at-once fleet-two-at-once
test_locality /locality/moving-demand/300 locality-moving-demand-300
test_locality /locality/all-busy/300 locality-all-busy-300
"
# Programs that open sockets.
socket_programs=" test_fleet test_eras test_packet_socket test_http_client
test_store_client "
# Programs that take minutes; they begin first.
long_programs="test_fleet_outliers test_admission test_kept_flows
test_cold_start test_locality test_peers test_home_choice"

lane_of() {
    case $socket_programs in
    *[[:space:]]"$1"[[:space:]]*) echo socket_lane ;;
    *) echo other_lane ;;
    esac
}

# Adds a program without its single cases: add_program DIR NAME SUFFIX.
add_program() {
    local single
    local path
    local skip=()
    while read -r single path _; do
        [ "$single" != "$2" ] || skip+=(-s "$path")
    done <<<"$single_cases"
    add "$(lane_of "$2")" "$2$3" env RG_BIN_DIR="$PWD/$1" timeout 900 \
        "$1/$2" "${skip[@]}"
}

# Names of the programs in a directory, the long ones first.
list_programs() {
    local name
    local path
    for name in $long_programs; do
        [ ! -x "$1/$name" ] || echo "$name"
    done
    for path in "$1"/test_*; do
        name=$(basename "$path")
        case " $(echo $long_programs) " in
        *" $name "*) continue ;;
        esac
        [ ! -x "$path" ] || echo "$name"
    done
}

add_programs() {
    local single
    local path
    local name
    while read -r name; do
        add_program "$1" "$name" "$2"
    done < <(list_programs "$1")
    while read -r single path name; do
        [ -z "$single" ] || add "$(lane_of "$single")" "$name$2" \
            env RG_BIN_DIR="$PWD/$1" timeout 900 "$1/$single" -p "$path"
    done <<<"$single_cases"
}

log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT

tools/packages.sh || exit 1
check build tools/build.sh build
check build-sanitized tools/build.sh build-san -DRG_SANITIZE=ON \
    -DCMAKE_BUILD_TYPE=Debug
add_programs build-san "-sanitized"
add_programs build ""
add other_lane lint tools/lint.sh
add other_lane generated python3 tools/generate.py --check
add socket_lane soak env RG_BIN_DIR=build tools/soak.sh 1 4
add socket_lane soak-sanitized env RG_BIN_DIR=build-san tools/soak.sh 5 8
while read -r model; do
    add model_lane "spec-$model" tools/spec.sh "$model"
done < <(tools/spec.sh --list)

run_in_turn "${socket_lane[@]}" &
run_in_turn "${model_lane[@]}" &
run_at_once "${other_lane[@]}" &
wait

planned=$((2 + ${#socket_lane[@]} + ${#model_lane[@]} + ${#other_lane[@]}))
passed=$(count passed)
known=$(count known)
# A check without a result has not run to its end.
failed=$((planned - passed - known))
[ "$known" -eq 0 ] || echo "known failures: $known"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
