#!/usr/bin/env bash
# Builds the stand-ins of the scripts (6, 7, 9 and 10) into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 9 10; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread \
    -o "target/review-2/case-$number" "review/$number/case.cpp"
done
