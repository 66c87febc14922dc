#!/bin/bash
# Builds the stand-ins that the cases of the second review start, into review/standins-2/bin/.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
for source in *.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -Werror -pthread "$source" -o "bin/${source%.cpp}"
done
