# Common parts of the second review's scripts: a small fleet on loopback, with stand-ins of minions and clients.
# A script sets `here` (its folder) and sources this. Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.

top=$(cd "$here/../.." && pwd)
cd "$top" || exit 2
daemon=target/Source/Daemon/trefoilwing
standin=target/review-2/standin
[ -x $daemon ] && [ -x $standin ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }

trouble=${TROUBLE:-1}
record=$here/record.txt
: > "$record"
folder=$(mktemp -d)
# A loopback network of its own, so that scripts can run side by side.
network=127.$((20 + $$ % 200)).$((1 + $$ / 200 % 200))
control=8166 callers=8161 peers=7720 minion_port=8080
seeds="\"$network.1:$control\", \"$network.2:$control\", \"$network.3:$control\""
keepers="$network.1:$control $network.2:$control $network.3:$control"
declare -A pids

now() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }
note() { echo "$(now) script $*" >> "$record"; }

finish() {
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$folder"
}
trap finish EXIT

# kill_process NAME
kill_process() {
    kill -KILL "${pids[$1]}" && wait "${pids[$1]}" 2> /dev/null
    unset "pids[$1]"
    note "killed $1"
}

# start_daemon NAME HOST ZONE keeper|entry FOUNDING: the settings of deploy/settings.yaml, filled in for a small deployment.
start_daemon() {
    local address=$network.$2 file=$folder/$1.yaml
    cat > "$file" << EOF
node: "$1"
address: "$address"
data_centre: "$3"
peer_port: $peers
seeds: [$seeds]
cores: 0.5
memory_mb: ${memory_mb:-256}
max_descriptors: 1000
founding: $5
catch_up_s: 4
resubmit_ms: 1300
lost_disks: 1
EOF
    if [ "$4" = keeper ]; then
        mkdir -p "$folder/$1"
        echo "control: \"$address:$control\"" >> "$file"
        echo "data_folder: \"$folder/$1\"" >> "$file"
    else
        echo "callers: \"$address:$callers\"" >> "$file"
        echo "readiness: \"$address:8167\"" >> "$file"
    fi
    $daemon --fleet "$file" >> "$folder/$1.log" 2>&1 &
    pids[$1]=$!
}

# start_minion NAME HOST ZONE SLOWNESS
start_minion() {
    $standin minion "$1" "$network.$2" $minion_port "$3" "$4" "$record" $keepers >> "$folder/$1.log" 2>&1 &
    pids[$1]=$!
}

# call HOST PORT METHOD PATH BODY DEADLINE_MS: prints the status and the body.
call() { $standin call "$network.$1" "$2" "$3" "$4" "$5" "${6:-0}"; }

publish() {
    local body='{"version":1,"routes":[{"name":"r1","host":"jobs.example","path_prefix":"/work/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"work","max_attempts":4,"stretch":1.6}],"services":[{"name":"work","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,"admission_check":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
    for try in $(seq 50); do
        for host in 1 2 3; do
            [[ $(call $host $control PUT /config "$body") == 200* ]] && return 0
        done
        sleep 0.2
    done
    return 1
}

# submit ID HOST TASKS MILLICORES MILLISECONDS DEADLINE_MS: prints the answer, which comes when the job has ended.
submit() {
    note "job $1 sent: $3 tasks of $5 ms"
    local body="{\"spec\":\"$4 $5\",\"best_effort\":true,\"steps\":[{\"count\":$3,\"cpu\":$4,\"mem_mb\":64,\"estimated_ms\":$5}]}"
    local answer
    answer=$(call "$2" $callers POST "/work/$1" "$body" "$6")
    note "job $1 answered: $answer"
    echo "$answer"
}

# await_service HOST: until a job has been served.
await_service() {
    for try in $(seq 100); do
        [[ $(submit "$(printf '%016x' $((0xabc00000 + try)))" "$1" 1 1000 20 1500) == 200* ]] && return 0
        sleep 0.2
    done
    return 1
}
