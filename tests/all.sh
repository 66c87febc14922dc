#!/bin/sh
# All tests: in Release, then under the address and undefined-behaviour sanitizers, warnings as errors in both.
set -eu
jobs=$(nproc)
cd "$(dirname "$0")/.."
run() {
    cmake -S . -B "$1" -DCMAKE_BUILD_TYPE=Release -DFLAXDOOR_TESTS=ON -DFLAXDOOR_WERROR=ON "$2"
    cmake --build "$1" -j"$jobs"
    ctest --test-dir "$1" --output-on-failure -j"$jobs"
}
run build-sanitize -DFLAXDOOR_SANITIZE=ON
run build-tests -DFLAXDOOR_SANITIZE=OFF
