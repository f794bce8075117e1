#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. They need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
for program in standins/*.cpp; do g++ $flags -o "$out/$(basename "$program" .cpp)" "$program"; done
for program in [1-5]/*.cpp; do
    [ -e "$program" ] || continue
    g++ $flags -o "$out/$(basename "$program" .cpp)-$(dirname "$program")" "$program"
done
