#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and up into target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/standin review/standins-2/standin.cpp
