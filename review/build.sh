#!/bin/sh
# Builds the stand-ins of all cases into review/bin/. Needs the compiler of the deploy file's build and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/; do
    case=${case%/}
    [ -e "$case/test.cpp" ] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -I standins -o "bin/case$case" "$case/test.cpp"
done
