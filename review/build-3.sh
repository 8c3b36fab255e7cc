#!/usr/bin/env bash
# Builds the stand-in of the cases of review/REPORT-3.md into target/review-3/, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -pthread -o target/review-3/standin review/standin-3/*.cpp
