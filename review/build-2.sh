#!/bin/bash
# Builds the stand-ins of the second review's cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in stage-2/*.cpp; do
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
        -o "bin/$(basename "$source" .cpp)"
done
