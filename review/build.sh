#!/bin/bash
# Builds the stand-ins and programs of the review cases into review/bin. Needs only g++ and the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-9]/case.cpp; do
    [ -e "$source" ] || continue
    number=${source%%/*}
    g++ -std=c++17 -O1 -g -Wall -Wextra -pthread -o "bin/case-$number.new" "$source"
    mv "bin/case-$number.new" "bin/case-$number"
done
