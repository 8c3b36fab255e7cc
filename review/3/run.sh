#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
player=target/review/review-case
[ -x "$player" ] && [ -x target/Source/Daemon/trefoilwing ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$player" killed-entry review/3/record.txt "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
