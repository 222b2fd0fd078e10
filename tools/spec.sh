#!/usr/bin/env bash
# Model checking: tools/spec.sh NAME runs one check, tools/spec.sh --list lists
# all of them. A check NAME-without-X disables mechanism X and passes only if
# the checker then finds an error.
set -eu
cd "$(dirname "$0")/.."

declare -A models=(
    [records]="spec/records.pml"
    [records-loss]="spec/records.pml -DLEAVES=0 -DLOSSES=1"
    [records-join]="spec/records.pml -DLEAVES=0"
    [records-join-without-lookup]="spec/records.pml -DLEAVES=0 -DNO_LOOKUP"
    [records-join-without-check]="spec/records.pml -DLEAVES=0 -DNO_JOIN_CHECK"
    [config]="spec/config.pml"
    [config-without-swap]="spec/config.pml -DNO_SWAP"
    [config-without-guard]="spec/config.pml -DNO_GUARD"
    [config-without-find]="spec/config.pml -DNO_FIND"
    [view]="spec/view.pml"
    [view-without-forgotten]="spec/view.pml -DNO_FORGOTTEN"
    [view-without-base]="spec/view.pml -DNO_BASE"
    [view-without-newer]="spec/view.pml -DNO_NEWER"
    [view-without-fallback]="spec/view.pml -DNO_FALLBACK"
)

if [ "${1-}" = --list ]; then
    printf '%s\n' "${!models[@]}" | sort
    exit 0
fi
name=$1
read -r -a spec <<<"${models[$name]}"
file=$PWD/${spec[0]}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
spin -a "${spec[@]:1}" "$file" >/dev/null
gcc -w -O0 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -o pan pan.c
timeout 120 ./pan -m100000 -n | tee pan.log | grep -E 'errors:|violated|invalid|stored'
grep -q 'errors: 0' pan.log && found=0 || found=1
case $name in
*-without-*) [ "$found" -eq 1 ] ;;
*) [ "$found" -eq 0 ] && ! grep -q 'Search not completed' pan.log ;;
esac
