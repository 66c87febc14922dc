#!/bin/bash
# Builds the stand-ins that the cases of the second review start, into review/bin/standins-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin/standins-2
for source in standins-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$source" -o "bin/standins-2/$(basename "$source" .cpp)"
done
