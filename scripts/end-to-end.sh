#!/usr/bin/env bash
# End-to-end benchmarks on loopback: the cost of a call through an entry
# process relative to a direct call to a minimal server (bench/bare) in the
# same run, memory and processor time per request, time to a new leader, time
# until rules are in force in all zones, and restart time after 10,000 changes.
# Usage: end-to-end.sh [BUILD [OUT]]
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "${1:-build}")
out=${2:-bench-out}
dir=$(mktemp -d)
mkdir -p "$out"
# shellcheck source=scripts/local-set.sh
source scripts/local-set.sh
missed=0

value() { # FILE KEY: prints the value of KEY in the JSON of FILE
    python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))[sys.argv[2]])' "$1" "$2"
}

# Prints one result, appends it to end-to-end.json, counts it if missed.
row() { # WHAT TARGET FIGURE OP
    local result="NOT MET"
    if awk "BEGIN { exit !($3 $4 $2) }"; then
        result=met
    else
        missed=$((missed + 1))
    fi
    printf '  %-52s %12s %12s  %s\n' "$1" "$4 $2" "$3" "$result"
    printf '{"what":"%s","target":%s,"figure":%s,"verdict":"%s"}\n' \
        "$1" "$2" "$3" "$result" >> "$out/end-to-end.json"
}

cpu_us() { # PID: prints the processor time used so far, us
    awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000000 / hz }' \
        "/proc/$1/stat"
}

rss_kb() { # PID: prints the resident memory, KB
    awk '/VmRSS/ { print $2 }' "/proc/$1/status"
}

announce() { # announces the bare server to all zones every 0.5 s
    local n=0
    while :; do
        n=$((n + 1))
        for zone in $zones; do
            local h="http_$zone"
            curl -s --noproxy '*' -m 1 -o /dev/null "http://${!h}/v1/upstreams" \
                -d '{"name":"bare","address":"'"$bare"'","zone":"a","rack":"r",
                "service":"advice","slots":4000,"connections":4000,
                "incarnation":1,"sequence":'"$n"'}'
        done
        sleep 0.5
    done
}

version_everywhere() { # VERSION: succeeds if all zones have these rules
    local zone h
    for zone in $zones; do
        h="http_$zone"
        curl -s --noproxy '*' "http://${!h}/v1/rules" |
            grep -q "\"version\":$1," || return 1
    done
}

has_exited() { # PID
    ! kill -0 "$1" 2> /dev/null
}

has_other_leader() { # GROUP NAME: succeeds if not NAME but another leads
    "$bin/jayrelay" --entry "$entry_list" --json status | python3 -c '
import json, sys
group, excluded = int(sys.argv[1]), sys.argv[2]
sys.exit(not any(g["role"] == "leader" for c in json.load(sys.stdin)["controls"]
    if c["name"] != excluded for g in c["groups"] if g["group"] == group))' "$1" "$2"
}

leader_name() { # prints the leader of the rules group
    "$bin/jayrelay" --entry "$entry_list" --json status | python3 -c '
import json, sys
for c in json.load(sys.stdin)["controls"]:
    for g in c["groups"]:
        if g["group"] == 0 and g["role"] == "leader":
            print(c["name"]); sys.exit()
sys.exit(1)'
}

: > "$out/end-to-end.json"
write_settings
cp examples/demo.rules "$dir/rules"
for zone in $zones; do
    "$bin/jayrelay-control" --settings "$dir/control-$zone.yaml" --init \
        >> "$dir/control-$zone.log" 2>&1
    start_control "$zone"
done
for zone in $zones; do
    start_entry "$zone"
done
bare=127.0.0.1:$(free_ports 1)
start bare "$bin/bare" server "${bare##*:}"
announce &
pids[announce]=$!
disown "${pids[announce]}"
wait_until 20 ready || {
    echo "the processes were not ready within 20 s" >&2
    exit 1
}
# The bare server is the only upstream, and it is in zone a.
wait_until 10 curl -sf --noproxy '*' -d hi "http://$http_a/v1/call/advice" || {
    echo "entry-a answered no call within 10 s" >&2
    exit 1
}
sleep 1

echo "end to end, on loopback"
for n in 1 32; do
    "$bin/bare" client "http://$bare/v1/call/advice" $n 3 > "$dir/bare.$n"
    before=$(cpu_us "${pids[entry-a]}")
    rss=$(rss_kb "${pids[entry-a]}")
    "$bin/bare" client "http://$http_a/v1/call/advice" $n 3 > "$dir/entry.$n"
    after=$(cpu_us "${pids[entry-a]}")
    echo "  $n at a time, bare:  $(cat "$dir/bare.$n")"
    echo "  $n at a time, entry: $(cat "$dir/entry.$n")"
    eval "cpu_$n=$(awk "BEGIN { print ($after - $before) / (3 * $(value "$dir/entry.$n" calls_per_s) + 1) }")"
done
before=$(rss_kb "${pids[entry-a]}")
"$bin/bare" client "http://$http_a/v1/call/advice" 1000 3 > "$dir/entry.1000"
connection_kb=$(awk "BEGIN { print ($(rss_kb "${pids[entry-a]}") - $before) / 2000 }")
# Processor time per call of the HTTP client and server libraries alone: that
# of the bare client plus that of the bare server. The times are added because
# the bare server and client use one core each, while an entry process uses
# both libraries on one core.
server_before=$(cpu_us "${pids[bare]}")
"$bin/bare" client "http://$bare/v1/call/advice" 32 3 > "$dir/bare.cpu"
server_after=$(cpu_us "${pids[bare]}")
calls=$(awk "BEGIN { print 3 * $(value "$dir/bare.cpu" calls_per_s) }")
libraries=$(awk "BEGIN { print ($server_after - $server_before) / $calls + $(value "$dir/bare.cpu" client_cpu_us) }")
echo "  processor time per call: entry $cpu_32 us, its two HTTP libraries alone $libraries us"

# Prints the processor time of entry-a per request of another kind, us.
request_cpu_us() { # PATH BODY
    local before after
    before=$(cpu_us "${pids[entry-a]}")
    "$bin/bare" client "http://$http_a$1" 8 2 "$2" > "$dir/request_cpu"
    after=$(cpu_us "${pids[entry-a]}")
    awk "BEGIN { print ($after - $before) / (2 * $(value "$dir/request_cpu" calls_per_s) + 1) }"
}
heartbeat=$(python3 -c '
import json
print(json.dumps({"worker": "host-1/1a2b", "zone": "a", "rack": "r1",
    "capacity": {"cpu_milli": 64000, "memory_mb": 250000},
    "tasks": [{"id": str((1 << 40) + n), "epoch": 1, "state": "running",
        "checkpoint": "500", "used": {"cpu_milli": 1000, "memory_mb": 512}}
        for n in range(32)]}, separators=(",", ":")))')
heartbeat_us=$(request_cpu_us /v1/workers/heartbeat "$heartbeat")
submit_us=$(request_cpu_us /v1/tasks '{"key":"k","team":"demo","class":"watch","need":{"cpu_milli":1000,"memory_mb":512}}')
announce_us=$(request_cpu_us /v1/upstreams '{"name":"x","address":"127.0.0.1:1","zone":"b","rack":"r","service":"other","slots":8,"connections":64,"incarnation":1,"sequence":1}')

# Time to restart one control process after 10,000 changes. The setting avoids
# a snapshot before, so that the process reads all changes from its log.
for zone in $zones; do
    echo "snapshot_every: 100000" >> "$dir/control-$zone.yaml"
done
log_appends() { # prints the log appends of control-b since its start
    curl -s --noproxy '*' "http://$chttp_b/metrics" |
        awk '/^jayrelay_log_appends_total/ { print $2 }'
}
control_ready() {
    curl -sf --noproxy '*' -o /dev/null "http://$chttp_b/readyz"
}
kill -TERM "${pids[control-b]}"
wait_until 10 has_exited "${pids[control-b]}"
start_control b
wait_until 10 control_ready
while [ "$(log_appends)" -lt 10000 ]; do
    "$bin/bare" client "http://$http_a/v1/tasks" 32 1 '{"key":"k","team":"demo","class":"watch","need":{"cpu_milli":1000,"memory_mb":512}}' > /dev/null
done
kill -KILL "${pids[control-b]}"
wait_until 5 has_exited "${pids[control-b]}"
start_ns=$(date +%s%N)
start_control b
wait_until 10 control_ready
restart_ms=$((($(date +%s%N) - start_ns) / 1000000))

leader=$(leader_name)
killed_ns=$(date +%s%N)
kill -KILL "${pids[$leader]}"
wait_until 10 has_other_leader 0 "$leader"
leader_ms=$((($(date +%s%N) - killed_ns) / 1000000))
start_control "${leader#control-}"
sleep 1.5
slowest=0
for v in 2 3 4; do
    sed "s/^version 1 /version $v /" examples/demo.rules > "$dir/rules.$v"
    "$bin/jayrelay" --entry "$entry_list" rules apply "$dir/rules.$v" \
        > /dev/null
    start_ns=$(date +%s%N)
    wait_until 10 version_everywhere $v
    ms=$((($(date +%s%N) - start_ns) / 1000000))
    [ "$ms" -gt "$slowest" ] && slowest=$ms
done

ratio() { # A B
    awk "BEGIN { printf \"%.3f\", $1 / $2 }"
}
echo
printf '  %-52s %12s %12s\n' "what" "target" "figure"
row "time added at p50, in bare calls" 1.0 \
    "$(ratio "($(value "$dir/entry.1" p50_us) - $(value "$dir/bare.1" p50_us))" "$(value "$dir/bare.1" p50_us)")" "<="
row "time added at p99, in bare calls" 2.0 \
    "$(ratio "($(value "$dir/entry.1" p99_us) - $(value "$dir/bare.1" p99_us))" "$(value "$dir/bare.1" p99_us)")" "<="
row "calls a second on one core, share of its libraries'" 0.6 \
    "$(ratio "$libraries" "$cpu_32")" ">="
row "failed calls" 0 "$(value "$dir/entry.32" failed)" "<="
row "time to a new leader, ms" 1800 "$leader_ms" "<="
row "accepted rules in force everywhere, ms" 5000 "$slowest" "<="
row "restart of a control process after 10,000 changes, ms" 1800 "$restart_ms" "<="
printf '  %-52s %12s %12s\n' "memory for an open call, KB" "" "$connection_kb"
printf '  %-52s %12s %12s\n' "processor time of a call in an entry process, us" "" "$cpu_32"
printf '  %-52s %12s %12s\n' "the same, heartbeat with 32 tasks, us" "" "$heartbeat_us"
printf '  %-52s %12s %12s\n' "the same, bytes of that heartbeat" "" "${#heartbeat}"
printf '  %-52s %12s %12s\n' "the same, submission of a task, us" "" "$submit_us"
printf '  %-52s %12s %12s\n' "the same, announcement of an upstream, us" "" "$announce_us"
printf '{"what":"entry cpu per call us","figure":%s}\n{"what":"KB per open call","figure":%s}\n' \
    "$cpu_32" "$connection_kb" >> "$out/end-to-end.json"
stop_all
rm -rf "$dir"
echo "  $missed targets not met"
[ "$missed" -eq 0 ]
