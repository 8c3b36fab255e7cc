#!/usr/bin/env bash
# Plays this case once and writes record.txt. Needs the build of the deploy file and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 target/review-3/standin register target/Source/Daemon/trefoilwing "$folder" review/11/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
