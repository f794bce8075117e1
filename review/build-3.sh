#!/usr/bin/env bash
# Builds the stand-ins and clients of review/11 to review/15 into target/review-3. Run it after the build of the deploy
# file, from anywhere. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -Wno-array-bounds -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
