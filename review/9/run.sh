#!/usr/bin/env bash
# Another writer sends one heartbeat whose service isn't named in the config. Prints the tasks that ran twice at the same time.
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../standin-2/fleet.sh"

start_daemon keeper-1 1 bole keeper true
start_daemon keeper-2 2 merkato keeper true
start_daemon keeper-3 3 piassa keeper true
start_daemon entry-1 11 bole entry true
for i in 1 2 3 4 5; do start_minion minion-$i 10$i bole 1; done
publish && await_service 11 || exit 2
sleep 3
# At most one task fits on a minion, and one minion is left free.
submit 0123456789abcdef 11 4 9000 2000 8000 > /dev/null &
job=$!
sleep 0.7
if [ "$trouble" != 0 ]; then
    # A copy of the heartbeat of a minion that is at work, under another id and with a service that no config names.
    victim=$(awk '$3 == "start" && $4 == "0123456789abcdef.0.0.0" { print $2 }' "$record")
    [ -n "$victim" ] || exit 2
    note "odd heartbeat sent, with the address of $victim"
    odd="{\"service\":\"billing\",\"address\":\"$network.10${victim#minion-}:$minion_port\",\"zone\":\"bole\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":1,\"sequence\":1,\"born\":$(date +%s%3N)}"
    note "odd heartbeat answered: $(call 1 $control PUT /instances/x-other "$odd")"
fi
wait $job
# Whether the minion is still used: jobs of four tasks that occupy all minions.
for i in 1 2 3; do submit "$(printf '%016x' $((0xddd0 + i)))" 11 4 9000 200 3000 > /dev/null; done
sleep 0.5
[ -n "$KEEP_LOGS" ] && cp -r "$folder" "$KEEP_LOGS"

awk '
    $3 == "start" { for (key in open) { split(key, part, SUBSEP); if (part[2] == $4) { print "TWICE " $4 " on " part[1] " and " $2 " at " $1; broken = 1 } } open[$2, $4] = 1 }
    $3 == "end" { delete open[$2, $4] }
    END { exit broken ? 1 : 0 }
' <(sort -n -s -k1,1 "$record")
