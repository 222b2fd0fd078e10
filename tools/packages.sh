#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the tests need.
set -eu

packages=(
    build-essential clang clang-format clang-tidy cmake ninja-build
    pkg-config python3 spin gnuplot-nox curl ca-certificates
    libuv1-dev libmsgpack-dev libjson-c-dev libglib2.0-dev
    libmicrohttpd-dev libcurl4-openssl-dev libxxhash-dev
    libhttp-parser-dev nettle-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q '^install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
