#!/usr/bin/env bash
# Builds the project and runs every test with fixed seeds. Further words go to
# ctest.
set -euo pipefail
cd "$(dirname "$0")"
./build.sh build
ctest --test-dir build --output-on-failure -j "$(nproc)" "$@"
