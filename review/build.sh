#!/usr/bin/env bash
# Builds the stand-ins and clients of all scripts into build-review/. Needs what
# the build of deploy/system.toml needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -o "build-review/$number" "$source" \
    -pthread
done
