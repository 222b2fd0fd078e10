#!/usr/bin/env bash
# Demonstrates the load balancer on stand-ins: two services and four daemons
# under load; each daemon is replaced in turn and an upstream is drained by an
# edit. Prints the results in one line; fails if a guarantee was violated.
set -eu
cd "$(dirname "$0")/.."

tools/packages.sh
tools/build.sh build -DCMAKE_BUILD_TYPE=RelWithDebInfo
RG_BIN_DIR="$PWD/build" build/standin-experiment rolling --demo \
    --flows=800 --duration-ms=12000
