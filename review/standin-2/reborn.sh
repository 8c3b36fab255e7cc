#!/usr/bin/env bash
# A minion restarts under its id while the core is off. Prints the tasks that ran twice at the same time.
here=$(cd "$(dirname "$0")" && pwd)
source "$here/fleet.sh"

start_daemon keeper-1 1 bole keeper true
start_daemon keeper-2 2 merkato keeper true
start_daemon keeper-3 3 piassa keeper true
start_daemon entry-1 11 bole entry true
# One minion is faster than the others, so tasks go there while there is ample room.
start_minion minion-1 101 bole 0.6
for i in 2 3 4 5 6 7; do start_minion minion-$i 10$i bole 1; done
publish && await_service 11 || exit 2
sleep 3
# The owner learns the speeds: jobs that occupy all minions.
for i in 1 2 3 4 5; do submit "$(printf '%016x' $((0xbbb0 + i)))" 11 14 8000 200 3000 > /dev/null; done
for i in 1 2 3; do submit "$(printf '%016x' $((0xccc0 + i)))" 11 1 8000 200 3000 > /dev/null; done
sleep 0.5
if [ "$trouble" != 0 ]; then
    # The core loses power, and a minion crashes and starts again.
    for i in 1 2 3; do kill_process keeper-$i; done
    kill_process minion-1
    start_minion minion-1 101 bole 0.6
fi
sleep 0.5
submit 0123456789abcdef 11 1 8000 3000 8000 > /dev/null
for i in 1 2 3; do [ "$trouble" = 0 ] || start_daemon keeper-$i $i "$(echo bole merkato piassa | cut -d' ' -f$i)" keeper false; done
sleep 0.5
[ -n "$KEEP_LOGS" ] && cp -r "$folder" "$KEEP_LOGS"

# Runs of a minion that was killed have ended.
awk '
    $2 == "script" && $3 == "killed" { for (key in open) if (index(key, $4 SUBSEP) == 1) delete open[key] }
    $3 == "start" { for (key in open) { split(key, part, SUBSEP); if (part[2] == $4) { print "TWICE " $4 " on " part[1] " and " $2 " at " $1; broken = 1 } } open[$2, $4] = 1 }
    $3 == "end" { delete open[$2, $4] }
    END { exit broken ? 1 : 0 }
' <(sort -n -s -k1,1 "$record")
