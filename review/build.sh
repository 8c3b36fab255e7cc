#!/usr/bin/env bash
# Builds the program that plays the scripts of the review, with its stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/review-case review/standin/*.cpp
