#!/usr/bin/env bash
# Runs jobs on real processes: three control processes that find each other
# through their seed lists, two gates and three executors.
# Usage: jobs_test.sh BUILD CASE
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1")
dir=$(mktemp -d)
# shellcheck source=scripts/local-set.sh
source scripts/local-set.sh

read -r bus control_port gate_port ready_port exec_port <<< "$(free_ports 5)"
controls="127.0.0.11 127.0.0.12 127.0.0.13"
seeds="127.0.0.11:$control_port, 127.0.0.12:$control_port"
seeds+=", 127.0.0.13:$control_port"

fail() {
    echo "FAIL: $*" >&2
    tail -n 8 "$dir"/*.log >&2
    exit 1
}

control_settings() { # IP FIRST_START
    cat > "$dir/control-$1.yaml" <<YAML
name: "$1:$bus"
zone: ${control_zone:-z}
bus: "$1:$bus"
http: "$1:$control_port"
data: "$dir/data-$1"
jobs: true
first_start: $2
tolerate: 1
lease_ms: 3000
drift_permille: 20
election_ms: 500
seeds: [$seeds]
${zones_setting:-}
YAML
}

gate_settings() { # IP
    cat > "$dir/gate-$1.yaml" <<YAML
name: "gate-$1"
zone: z
bus: "$1:$bus"
http: "$1:$gate_port"
ready: "$1:$ready_port"
drain_ms: 300
seeds: [$seeds]
YAML
}

start_control() { # IP
    start "control-$1" "$bin/jayrelay-control" --settings \
        "$dir/control-$1.yaml"
}

start_gate() { # IP
    start "gate-$1" "$bin/jayrelay-gate" --settings "$dir/gate-$1.yaml"
}

request() { # METHOD ADDRESS PATH [BODY]: prints the status and the body
    curl -s --noproxy '*' -m 4 -o "$dir/body" -w '%{http_code} ' -X "$1" \
        -H 'Host: h.example' ${4+--data-binary "$4"} "http://$2$3"
    cat "$dir/body" 2> /dev/null
}

config() { # VERSION
    cat <<JSON
{"version":$1,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/",
"kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":0,
"service":"s","max_attempts":4,"stretch":1.5}],
"services":[{"name":"s","admission_check":true}]}
JSON
}

has_status() { # STATUS REQUEST...
    local expected=$1
    shift
    [[ $(request "$@") == "$expected "* ]]
}

is_state() { # ID STATE: succeeds if a gate reports the job in the state
    local gate
    for gate in 127.0.0.21 127.0.0.22; do
        [[ $(request GET "$gate:$gate_port" "/q/$1") == \
            *"\"state\":\"$2\""* ]] && return 0
    done
    return 1
}

start_cluster() { # TASK_MS
    local ip n=0
    local -a zone_of
    read -ra zone_of <<< "${executor_zones:-z z z}"
    for ip in $controls; do
        control_settings "$ip" true
        start_control "$ip"
    done
    for ip in 127.0.0.21 127.0.0.22; do
        gate_settings "$ip"
        start_gate "$ip"
    done
    wait_until 20 has_status 200 POST "127.0.0.11:$control_port" \
        /Config.Replace "$(config 3)" ||
        fail "configuration version 3 was not accepted within 20 s"
    for ip in 127.0.0.31 127.0.0.32 127.0.0.33; do
        n=$((n + 1))
        start "executor-$n" python3 tests/fake_executor.py "i-$n" \
            "$ip:$exec_port" "${seeds//, /,}" "$1" \
            "${zone_of[n - 1]}"
    done
    wait_until 20 has_status 200 GET "127.0.0.21:$ready_port" /ready ||
        fail "gate 127.0.0.21 is not ready after 20 s"
}

submit() { # ID
    wait_until 10 has_status 200 POST "127.0.0.21:$gate_port" "/q/$1" \
        '{"spec":"x","steps":[{"count":4,"cpu":1000,"mem_mb":1},
          {"count":2,"cpu":1000,"mem_mb":1,"after":[0]}]}' ||
        fail "job $1 was not accepted within 10 s"
}

leader_ip() { # prints the IP of the process that was elected last
    grep -l 'name=leader-elected' "$dir"/control-*.log | while read -r log; do
        grep -c . "$log" > /dev/null
        echo "$(grep 'name=leader-' "$log" | tail -1) $log"
    done | grep leader-elected | sort | tail -1 |
        sed 's/.*control-\(.*\)\.log/\1/'
}

# No task ran to completion more than once on the executors.
check_runs() {
    cat "$dir"/executor-*.log | awk '
        $1 == "end" && $5 == "done" { done[$3]++ }
        END { for (t in done) if (done[t] > 1) { print t; bad = 1 }
              exit bad }' || fail "the tasks printed above completed twice"
}

# A job of two steps completes; invalid requests are refused with the right
# status, and an older configuration does not replace a newer one.
case_path() {
    start_cluster 200
    submit 0000000000000001
    wait_until 10 is_state 0000000000000001 completed ||
        fail "job 1 did not complete within 10 s"
    has_status 410 GET "127.0.0.21:$gate_port" /q/00000000000000ff ||
        fail "GET of a job that was never submitted did not return 410"
    has_status 404 GET "127.0.0.21:$gate_port" /nowhere/1 ||
        fail "GET /nowhere/1, which has no route, did not return 404"
    has_status 400 POST "127.0.0.21:$gate_port" /q/1 '{"spec":' ||
        fail "POST of a truncated body did not return 400"
    has_status 400 POST "127.0.0.21:$gate_port" /q/zz '{"spec":"","steps":[
        {"count":1}]}' ||
        fail "POST to the invalid job id zz did not return 400"
    has_status 400 POST "127.0.0.11:$control_port" /Config.Replace \
        '{"version":9}' ||
        fail "a configuration without routes did not return 400"
    has_status 200 POST "127.0.0.12:$control_port" /Config.Replace \
        "$(config 2)" ||
        fail "configuration version 2, older than 3, did not return 200"
    [[ $(request GET "127.0.0.13:$control_port" /Config.Get) == \
        *'"version":3'* ]] || fail "Config.Get did not return version 3"
    config 4 > "$dir/config-4.json"
    "$bin/jayrelay" config check "$dir/config-4.json" \
        --control "127.0.0.13:$control_port" > "$dir/check" ||
        fail "config check of version 4 against 3 found $(cat "$dir/check")"
    config 3 > "$dir/config-3.json"
    "$bin/jayrelay" config check "$dir/config-3.json" \
        --control "127.0.0.13:$control_port" > "$dir/check" &&
        fail "config check did not find that version 3 is in force"
    grep -qF 'is 3, and 3 is in force' "$dir/check" ||
        fail "config check against version 3 printed $(cat "$dir/check")"
    "$bin/jayrelay" explain 0000000000000001 "$dir"/*.log > "$dir/timeline" ||
        fail "jayrelay explain failed for job 1"
    grep -q 'job-answered' "$dir/timeline" && grep -q 'run-confirmed' \
        "$dir/timeline" && grep -q 'job-ended' "$dir/timeline" ||
        fail "explain lacks job-answered, run-confirmed or job-ended"
    check_runs
}

# The leader is killed and restarted while jobs run. Jobs submitted before
# and during the election must complete.
case_leader_killed() {
    local n leader
    start_cluster 400
    for n in 1 2 3 4 5 6; do
        submit "000000000000000$n"
    done
    leader=$(leader_ip)
    kill -KILL "${pids[control-$leader]}"
    for n in 7 8 9; do
        submit "000000000000000$n"
    done
    start_control "$leader"
    for n in 1 2 3 4 5 6 7 8 9; do
        wait_until 30 is_state "000000000000000$n" completed ||
            fail "job $n did not complete within 30 s"
    done
    check_runs
}

# Two control processes lose their disk, one after the other. Each rejoins as
# a new replica, and no job or configuration is lost.
case_two_lost_disks() {
    local ip
    start_cluster 100
    submit 0000000000000001
    wait_until 10 is_state 0000000000000001 completed ||
        fail "job 1 did not complete within 10 s"
    for ip in 127.0.0.12 127.0.0.13; do
        kill -KILL "${pids[control-$ip]}"
        rm -rf "$dir/data-$ip"
        control_settings "$ip" false
        start_control "$ip"
        wait_until 20 grep -q 'name=joining' "$dir/control-$ip.log" ||
            fail "$ip did not ask to join within 20 s"
        wait_until 30 rejoined "$ip" ||
            fail "$ip did not become a voter within 30 s"
    done
    is_state 0000000000000001 completed ||
        fail "job 1 is not completed after both disk losses"
    [[ $(request GET "127.0.0.12:$control_port" /Config.Get) == \
        *'"version":3'* ]] ||
        fail "Config.Get on 127.0.0.12 did not return version 3"
}

# The leader promotes the new replica to a voter, and the old replica is gone:
# three voters and no learner are left.
rejoined() { # IP
    local id
    id=$(cat "$dir/data-$1/replica")
    cat "$dir"/control-*.log |
        grep -q "change=promoted .* replica=$id .* voters=3 learners=0"
}

# SIGHUP makes a gate and a control process reload their settings. SIGTERM
# stops a gate, and the job submitted through it still completes.
case_signals() {
    start_cluster 200
    kill -HUP "${pids[gate-127.0.0.21]}" "${pids[control-127.0.0.11]}"
    wait_until 5 grep -q 'name=reloaded' "$dir/gate-127.0.0.21.log" ||
        fail "the gate did not reload within 5 s of SIGHUP"
    wait_until 5 grep -q 'name=reloaded' "$dir/control-127.0.0.11.log" ||
        fail "the control process did not reload within 5 s of SIGHUP"
    submit 0000000000000001
    kill -TERM "${pids[gate-127.0.0.21]}"
    wait_until 5 has_exited "${pids[gate-127.0.0.21]}" ||
        fail "gate 127.0.0.21 did not exit within 5 s of SIGTERM"
    wait_until 10 is_state 0000000000000001 completed ||
        fail "job 1 did not complete within 10 s"
}

# With all control processes frozen, a gate answers a waiting request within
# 2.3 s, refuses a submission with 503 and Retry-After, and is not ready.
case_no_leader() {
    local ip start_ns elapsed_ms
    start_cluster 200
    for ip in $controls; do
        kill -STOP "${pids[control-$ip]}"
    done
    start_ns=$(date +%s%N)
    curl -s --noproxy '*' -m 4 -o /dev/null -H 'Host: h.example' \
        "http://127.0.0.21:$gate_port/q/0000000000000001"
    elapsed_ms=$((($(date +%s%N) - start_ns) / 1000000))
    [ "$elapsed_ms" -lt 2300 ] ||
        fail "GET took $elapsed_ms ms without a leader, limit 2300 ms"
    curl -s --noproxy '*' -m 4 -D "$dir/headers" -o /dev/null -X POST \
        -H 'Host: h.example' \
        "http://127.0.0.21:$gate_port/q/0000000000000002" \
        --data-binary '{"spec":"","steps":[{"count":1}]}'
    grep -q ' 503 ' "$dir/headers" ||
        fail "POST without a leader did not return 503"
    grep -qi '^retry-after: ' "$dir/headers" ||
        fail "the 503 answer has no Retry-After header"
    has_status 503 GET "127.0.0.21:$ready_port" /ready ||
        fail "GET /ready did not return 503 without a leader"
    for ip in $controls; do
        kill -CONT "${pids[control-$ip]}"
    done
    submit 0000000000000002
    wait_until 10 is_state 0000000000000002 completed ||
        fail "job 2 did not complete within 10 s"
}

has_exited() { # PID
    ! kill -0 "$1" 2> /dev/null
}

metric() { # IP NAME: prints a counter of a control process
    curl -s --noproxy '*' -m 4 "http://$1:$control_port/metrics" |
        awk -v name="$2" '$1 ~ name "$" { print $2 }'
}

refused_stale() { # IP: succeeds if the process found orders stale
    [ "$(metric "$1" carry_stale_total)" -gt 0 ]
}

has_stopped_for() { # SECONDS SINCE: whole seconds, as $SECONDS counts them
    [ $((SECONDS - $2)) -gt "$1" ]
}

# A process that sends the leader's orders is paused for longer than they may
# wait. It sends none of those that it finds afterwards, and no task runs twice.
case_frozen_carrier() {
    local leader carrier n paused_at
    control_zone=y # the workers are not in the leader's zone
    start_cluster 200
    submit 00000000000000a0
    wait_until 20 is_state 00000000000000a0 completed ||
        fail "the first job did not complete within 20 s"
    leader=$(leader_ip)
    carrier=$(for ip in $controls; do
        echo "$(metric "$ip" orders_carried_total) $ip"
    done | sort -n | tail -1 | cut -d ' ' -f 2)
    [ "$carrier" != "$leader" ] || fail "the leader sent its own orders"
    kill -STOP "${pids[control-$carrier]}"
    paused_at=$SECONDS
    for n in 1 2 3 4; do
        submit "00000000000000a$n"
    done
    for n in 1 2 3 4; do
        wait_until 20 is_state "00000000000000a$n" completed ||
            fail "job $n did not complete within 20 s without $carrier"
    done
    # The time for which orders may wait is 2 s.
    wait_until 10 has_stopped_for 3 "$paused_at"
    kill -CONT "${pids[control-$carrier]}"
    wait_until 10 refused_stale "$carrier" ||
        fail "$carrier refused no stale order"
    check_runs
}

starts_on() { # EXECUTOR: prints how many tasks it has started
    grep -c '^start ' "$dir/executor-$1.log"
}

submit_wide() { # ID: more tasks than two executors run at once
    wait_until 10 has_status 200 POST "127.0.0.21:$gate_port" "/q/$1" \
        '{"spec":"x","steps":[{"count":24,"cpu":1000,"mem_mb":1}]}' ||
        fail "job $1 was not accepted within 10 s"
    wait_until 30 is_state "$1" completed ||
        fail "job $1 did not complete within 30 s"
}

n_wide=0

submit_next() { # submits a job of many tasks, under an id of its own
    n_wide=$((n_wide + 1))
    submit_wide "$(printf '%016x' $((0xa00 + n_wide)))"
}

use_first_executor() { # N WHEN: submits jobs until its starts are above N
    local since=$SECONDS
    submit_next
    until [ "$(starts_on 1)" -gt "$1" ]; do
        has_stopped_for 20 "$since" &&
            fail "nothing started in zone za within 20 s $2"
        submit_next
    done
}

is_zone_drained() { # IP: by the metrics of a control process
    curl -s --noproxy '*' -m 4 "http://$1:$control_port/metrics" |
        grep '^jayrelay_zone_drained_since_seconds{zone="za"} [1-9]' \
            > /dev/null
}

# A drain that was sent through one control process and again through another
# one survives a power loss of all, and nothing starts in the zone until it is
# taken back. Other names are refused.
case_zone_drain() {
    local ip n_before
    zones_setting="zones: [za, zb]"
    executor_zones="za zb zb"
    start_cluster 100
    use_first_executor 0 "at first"
    has_status 404 POST "127.0.0.11:$control_port" /Evacuate.Start/nowhere ||
        fail "a drain of the unknown zone nowhere did not return 404"
    has_status 404 POST "127.0.0.11:$control_port" /Evacuate.Finish/nowhere ||
        fail "taking back the unknown zone nowhere did not return 404"
    has_status 400 POST "127.0.0.11:$control_port" /Evacuate.Start/a%22b ||
        fail "a drain of a zone with a quotation mark did not return 400"
    has_status 400 POST "127.0.0.11:$control_port" /Evacuate.Start/ ||
        fail "a drain without the name of a zone did not return 400"
    has_status 200 POST "127.0.0.11:$control_port" /Evacuate.Start/za ||
        fail "the drain of za through 127.0.0.11 did not return 200"
    has_status 200 POST "127.0.0.12:$control_port" /Evacuate.Start/za ||
        fail "the repeated drain of za through 127.0.0.12 did not return 200"
    n_before=$(starts_on 1)
    submit_next
    for ip in $controls; do
        kill -KILL "${pids[control-$ip]}"
    done
    for ip in $controls; do
        start_control "$ip"
    done
    for ip in $controls; do
        wait_until 20 is_zone_drained "$ip" ||
            fail "$ip does not show za as drained 20 s after the power loss"
    done
    submit_next
    submit_next
    [ "$(starts_on 1)" -eq "$n_before" ] ||
        fail "$(($(starts_on 1) - n_before)) tasks started in the drained za"
    # The process may not have the newest entries yet: 503, and once more.
    wait_until 10 has_status 200 POST "127.0.0.13:$control_port" \
        /Evacuate.Finish/za ||
        fail "taking back za through 127.0.0.13 did not return 200 in 10 s"
    use_first_executor "$n_before" "after it was taken back"
    check_runs
}

# Prints a check-in of a sound shape, with FIELD replaced by VALUE (JSON), and
# further fields that replace others in the same way.
check_in() { # FIELD VALUE...
    python3 - "$@" <<'PY'
import sys
fields = {"service": '"s"', "address": '"127.0.0.41:9"', "zone": '"z"',
          "version": '"v1"', "slots": "8", "state": '"ready"',
          "cold_remaining_ms": "0",
          "capacity": '{"cpu":4000,"mem_mb":1000,"gpus":0}',
          "labels": '["a"]', "clock_ms": "1", "born": "1700000000000",
          "machine": '"m"', "seq": "1"}
fields.update(zip(sys.argv[1::2], sys.argv[2::2]))
print("{%s}" % ",".join('"%s":%s' % field for field in fields.items()))
PY
}

nested() { # DEPTH: prints an array in arrays
    python3 -c 'import sys; n = int(sys.argv[1]); print("[" * n + "]" * n)' "$1"
}

is_answered() { # STATUS ID: to the check-in in $dir/odd, by each process
    local ip
    for ip in $controls; do
        has_status "$1" POST "$ip:$control_port" "/Executors.Heartbeat/$2" \
            "@$dir/odd" || return 1
    done
}

expect_check_in() { # STATUS ID FIELD VALUE...
    local status=$1 id=$2
    shift 2
    check_in "$@" > "$dir/odd"
    # While no leader is known, a process answers 503.
    wait_until 10 is_answered "$status" "$id" ||
        fail "a check-in of $id with $(head -c 100 <<< "$*") got $(request \
            POST "127.0.0.11:$control_port" "/Executors.Heartbeat/$id" \
            "@$dir/odd"), not $status"
}

expect_refused_bodies() {
    local depth text
    text=$(printf 'x%.0s' {1..60000})
    for depth in 10 2000 100000; do
        nested "$depth" > "$dir/nested"
        cp "$dir/nested" "$dir/odd"
        is_answered 400 odd || fail "$depth nested arrays were not refused"
        has_status 400 POST "127.0.0.21:$gate_port" /q/00000000000000b0 \
            "@$dir/nested" || fail "a job of $depth nested arrays: not 400"
        has_status 400 POST "127.0.0.11:$control_port" /Config.Replace \
            "@$dir/nested" || fail "a config of $depth nested arrays: not 400"
        has_status 400 POST "127.0.0.11:$control_port" \
            /Executors.Deregister/odd "@$dir/nested" ||
            fail "a leave request of $depth nested arrays: not 400"
    done
    expect_check_in 400 odd service "$(nested 2000)"
    expect_check_in 400 odd service "\"$text\""
    expect_check_in 400 odd seq 1e400
    expect_check_in 400 odd born 9223372036854775808
    expect_check_in 400 odd capacity '{"cpu":123456789012345678901234567890}'
    expect_check_in 400 odd capacity '{}'
    expect_check_in 400 odd state '"asleep"'
    expect_check_in 400 odd state '"draining"' # without the time that is left
    for text in 127.0.0.41:0 127.0.0.41:65536 127.0.0.41:99999999999 \
        127.0.0.41:-1 localhost:9 worker.example:9 a@127.0.0.41:9 '[::1]:9'; do
        expect_check_in 400 odd address "\"$text\""
    done
    # Under the id of a sound executor, as if it had started again.
    expect_check_in 400 i-1 born 9223372036854775807
    [[ $(request POST "127.0.0.11:$control_port" /Executors.Heartbeat/odd \
        "$(check_in address '"127.0.0.41:0"')") == *"'address'"* ]] ||
        fail "the answer to a check-in with port 0 does not name the field"
}

# Sound by their shape: nothing there is an executor of that id.
plant_useless_workers() {
    local id=0 address
    for address in 127.0.0.41:9 "127.0.0.42:$exec_port" \
        "127.0.0.11:$control_port" "127.0.0.21:$gate_port" \
        "127.0.0.31:$exec_port"; do
        id=$((id + 1))
        expect_check_in 200 "odd-$id" address "\"$address\"" \
            capacity '{"cpu":2147483647,"mem_mb":2147483647,"gpus":2147483647}'
    done
    expect_check_in 200 odd-6 service '"nobody"'
    expect_check_in 200 odd-7 capacity '{"cpu":0,"mem_mb":0,"gpus":0}'
    expect_check_in 200 odd-8 seq 9223372036854775807
    expect_check_in 200 odd-9 cold_remaining_ms 2147483647
}

# Another writer leaves odd check-ins among sound ones, under ids of its own
# and of an executor. No process ends; the sound executors keep their leases
# and get all work.
case_odd_entries() {
    local name n before
    start_cluster 200
    start silent python3 -c 'import socket, sys, time
s = socket.create_server((sys.argv[1], int(sys.argv[2])))
time.sleep(600)' 127.0.0.42 "$exec_port"
    submit 00000000000000a0
    for n in 1 2 3; do
        expect_refused_bodies
        plant_useless_workers
        before="$(starts_on 1) $(starts_on 2) $(starts_on 3)"
        submit_next
        [ "$before" != "$(starts_on 1) $(starts_on 2) $(starts_on 3)" ] ||
            fail "no sound executor was given a task of a job that completed"
    done
    for n in 1 2 3; do
        [ "$(starts_on "$n")" -gt 0 ] || fail "executor $n got no task"
    done
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2> /dev/null || fail "$name has ended"
    done
    grep -q '^end .* lapsed ' "$dir"/executor-*.log &&
        fail "the lease of a sound executor lapsed"
    grep -q 'name=worker-lapsed worker=i-' "$dir"/control-*.log &&
        fail "the leader took the lease of a sound executor for lapsed"
    [ "$(metric 127.0.0.11 refused_worker_total)" -gt 0 ] &&
        grep -q 'name=worker-refused ' "$dir/control-127.0.0.11.log" ||
        fail "refused check-ins were not counted and logged"
    check_runs
}

"case_$2"
echo "ok: $2"
stop_all
rm -rf "$dir"
