#!/usr/bin/env bash
# Builds into the named folder (default: build). Further words go to CMake.
set -euo pipefail
cd "$(dirname "$0")"
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
