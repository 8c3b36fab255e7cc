#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. The packages of deploy/system.toml suffice.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/standin review/standin-2/StandIn.cpp
