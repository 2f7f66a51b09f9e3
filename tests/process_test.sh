#!/usr/bin/env bash
# Tests with real processes and signals, for failures that the simulations in
# virtual time can't reproduce.
# Usage: process_test.sh BUILD CASE
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1")
dir=$(mktemp -d)
# shellcheck source=scripts/local-set.sh
source scripts/local-set.sh

fail() {
    echo "FAIL: $*" >&2
    tail -n 8 "$dir"/*.log >&2
    exit 1
}

load_failure="demo-load found lost, repeated or wrong calls or tasks"

cli() {
    "$bin/jayrelay" --entry "$entry_list" "$@"
}

field() { # PATH, such as a.0.b: prints that value of the JSON on stdin
    python3 -c '
import json, sys
value = json.load(sys.stdin)
for step in sys.argv[1].split("."):
    value = value[int(step)] if step.isdigit() else value[step]
print(value)' "$1"
}

post() { # ADDRESS PATH BODY [HEADER...]: prints the body, then the status
    local url="http://$1$2" body=$3 header headers=()
    shift 3
    for header in "$@"; do
        headers+=(-H "$header")
    done
    curl -s --noproxy '*' -m 8 -w '\n%{http_code}' -X POST "${headers[@]}" \
        --data-binary "$body" "$url"
}

leader_of() { # GROUP [EXCEPT]: prints the leader, unless it is EXCEPT
    cli --json status | python3 -c '
import json, sys
group, excluded = int(sys.argv[1]), sys.argv[2]
names = {g["leader"] for c in json.load(sys.stdin)["controls"]
         if c["name"] != excluded for g in c["groups"] if g["group"] == group}
names -= {"", excluded}
print(names.pop()) if len(names) == 1 else sys.exit(1)' "$1" "${2:-}"
}

# For each group, from its leader, prints: GROUP VOTERS MEMBERS, the voters that
# hold every committed entry, and the voters whose replica is on a disk of now.
# The replica of a lost disk remains a voter until its successor joins.
voters() {
    cli --json status | python3 -c '
import json, sys
status, on_disk = json.load(sys.stdin), set(sys.argv[1:])
for c in status["controls"]:
    for g in c["groups"]:
        if g["role"] == "leader":
            ids = [m["replica"] for m in g["members"] if m["voter"]]
            print(g["group"], len(ids), len(g["members"]),
                  g["voters_whole"], len(on_disk.intersection(ids)))' \
        $(cat "$dir"/data-*/replica) | sort -u
}

# Succeeds if every group (the rules group 0 and the task groups) has three
# voters, each with the whole log on its disk, and no learner.
all_replicated() {
    [ "$(voters | awk '$2 == 3 && $3 == 3 && $4 == 3 && $5 == 3' | wc -l)" \
        -eq $((groups + 1)) ]
}

version_everywhere() { # VERSION: succeeds if all zones have these rules
    local zone h
    for zone in $zones; do
        h="http_$zone"
        [ "$("$bin/jayrelay" --entry "${!h}" --json rules show |
            field version)" = "$1" ] || return 1
    done
}

rules_text() { # VERSION: prints the demo's rules under this version
    sed "s/^version 1 /version $1 /" examples/demo.rules
}

start_cluster() {
    write_settings
    cp examples/demo.rules "$dir/rules"
    start_set
    wait_until 20 ready || fail "the set was not ready within 20 s"
    wait_until 20 all_replicated ||
        fail "not every group had three voters within 20 s"
    wait_until 20 calls_answered ||
        fail "not every zone answered a call within 20 s"
}

calls_answered() { # succeeds if every zone answers a call
    local zone h
    for zone in $zones; do
        h="http_$zone"
        [ "$(post "${!h}" /v1/call/advice hello | tail -1)" = 200 ] || return 1
    done
}

# Each control and entry process in turn gets SIGTERM under load and is
# restarted. No call may be cut off.
case_rolling_restart() {
    local zone name
    start_cluster
    "$bin/demo-load" --entries "$entry_list" --logs "$dir" --rate 50 \
        --seconds 14 --jobs 10 --limit 50 > "$dir/load.txt" &
    local load=$!
    for zone in $zones; do
        name=control-$zone
        kill -TERM "${pids[$name]}"
        wait_until 10 has_exited "${pids[$name]}" ||
            fail "$name did not exit within 10 s of SIGTERM"
        start_control "$zone"
        wait_until 20 all_replicated ||
            fail "$name was not a voter again within 20 s"
        name=entry-$zone
        kill -TERM "${pids[$name]}"
        wait_until 10 has_exited "${pids[$name]}" ||
            fail "$name did not exit within 10 s of SIGTERM"
        start_entry "$zone"
        wait_until 10 ready ||
            fail "$name was not ready within 10 s of its restart"
    done
    wait "$load" || { cat "$dir/load.txt"; fail "$load_failure"; }
    cat "$dir/load.txt"
    grep -Eq 'calls answered +700$' "$dir/load.txt" ||
        fail "not all 700 calls were answered during planned stops"
}

has_exited() { # PID
    ! kill -0 "$1"
}

# Kills the process NAME and waits until it has exited: a process that is in a
# disk sync keeps its ports until the sync returns.
kill_and_wait() { # NAME
    kill -KILL "${pids[$1]}"
    wait_until 10 has_exited "${pids[$1]}" ||
        fail "$1 did not exit within 10 s of SIGKILL"
}

# A frozen leader resumes after its lease has expired and another leader was
# elected. It must not act as leader of its old term.
case_frozen_leader() {
    local leader
    start_cluster
    leader=$(leader_of 1) || fail "group 1 has no leader"
    "$bin/demo-load" --entries "$entry_list" --logs "$dir" --rate 20 \
        --seconds 6 --jobs 12 --limit 40 > "$dir/load.txt" &
    local load=$!
    wait_until 5 grep -q start "$dir"/worker-*.runs
    kill -STOP "${pids[$leader]}"
    wait_until 20 leader_of 1 "$leader" ||
        fail "group 1 had no new leader within 20 s"
    kill -CONT "${pids[$leader]}"
    wait_until 20 all_replicated ||
        fail "the old leader $leader was not a voter again within 20 s"
    wait "$load" || { cat "$dir/load.txt"; fail "$load_failure"; }
}

# A control process loses its disk and rejoins as a new replica; then a second
# host is lost for good. Tasks and rules accepted before must survive.
case_lost_disk_then_second_host() {
    local id
    start_cluster
    rules_text 2 > "$dir/rules.2"
    cli rules apply "$dir/rules.2" || fail "rules version 2 were not accepted"
    id=$(echo '{"key":"keep","team":"demo","class":"watch","run_ms":100,
        "need":{"cpu_milli":1000,"memory_mb":64}}' |
        cli --json task submit - | field id) ||
        fail "the task was not accepted"
    kill_and_wait control-b
    rm -rf "$dir/data-b"
    start_control b
    wait_until 30 all_replicated ||
        fail "the new replica was not a voter within 30 s"
    [ "$(cat "$dir"/data-b/replica)" != "$(cat "$dir"/data-a/replica)" ]
    kill -KILL "${pids[control-a]}"
    rm -rf "$dir/data-a"
    wait_until 20 leader_of 0 control-a ||
        fail "the two remaining replicas elected no leader within 20 s"
    wait_until 20 task_shown "$id" || fail "task $id was lost"
    rules_text 3 > "$dir/rules.3"
    wait_until 20 cli rules apply "$dir/rules.3" ||
        fail "rules version 3 were not accepted within 20 s"
    wait_until 10 version_everywhere 3 ||
        fail "rules version 3 were not in force in all zones within 10 s"
}

task_shown() { # ID
    grep -q '"key": "keep"' <<< "$(cli --json task show "$1")"
}

# In a zone without a quorum, calls without an idempotency key are answered
# and keyed calls are refused as not run.
case_cut_off_zone() {
    local answer
    start_cluster
    kill -STOP "${pids[control-b]}" "${pids[control-c]}" \
        "${pids[entry-b]}" "${pids[entry-c]}"
    # Once the leader's confirmation has expired, no key can be claimed.
    wait_until 20 keyed_call_refused ||
        fail "a keyed call was not refused within 20 s without a quorum"
    for n in 1 2 3 4 5; do
        answer=$(post "$http_a" /v1/call/advice "plain-$n")
        [ "$(tail -1 <<< "$answer")" = 200 ] ||
            fail "call without a key, expected 200: $answer"
    done
    kill -CONT "${pids[control-b]}" "${pids[control-c]}" \
        "${pids[entry-b]}" "${pids[entry-c]}"
    wait_until 20 all_replicated ||
        fail "the groups did not have three voters within 20 s"
    answer=$(post "$http_a" /v1/call/advice keyed "Idempotency-Key: k1")
    [ "$(tail -1 <<< "$answer")" = 200 ] ||
        fail "keyed call with a quorum, expected 200: $answer"
    [ "$(cat "$dir"/executor-*.runs | grep -c '^run keyed$')" -eq 1 ] ||
        fail "the keyed call did not run exactly once"
}

keyed_call_refused() {
    local answer
    answer=$(post "$http_a" /v1/call/advice keyed "Idempotency-Key: k1" \
        "Jayrelay-Deadline-Ms: 1000")
    grep -q '"outcome":"not-run","reason":"no-quorum"' <<< "$answer" &&
        grep -q retry_after_ms <<< "$answer"
}

# Random bytes on every port and invalid requests: each request is refused with
# an error message, and service continues.
case_bad_input() {
    local address zone var status
    start_cluster
    for zone in $zones; do
        for var in "bus_$zone" "cbus_$zone" "http_$zone" "chttp_$zone"; do
            address=${!var}
            head -c 20000 /dev/urandom |
                timeout 2 bash -c "cat > /dev/tcp/${address/:/\/}" 2> /dev/null
            printf 'GET / HTTP/9.9\r\n\r\n' |
                timeout 2 bash -c "cat > /dev/tcp/${address/:/\/}" 2> /dev/null
        done
    done
    expect_error 400 /v1/tasks '{"key": '
    expect_error 400 /v1/tasks '{"key":"x","team":"t","class":"watch",'\
'"need":{"cpu_milli":-1,"memory_mb":1}}'
    # Its message quotes the class, cut within a character.
    expect_error 400 /v1/tasks '{"key":"x","team":"t","class":"x'\
"$(printf 'ä%.0s' {1..40})"'","need":{"cpu_milli":1,"memory_mb":1}}'
    expect_error 400 /v1/tasks '[]'
    expect_error 400 /v1/upstreams '{"name":"x","slots":-8}'
    expect_error 400 /v1/workers/heartbeat '{"worker":""}'
    expect_error 400 /v1/rules 'version x'
    expect_error 404 /v1/call/unknown hello
    expect_error 404 /nowhere hello
    head -c 2000000 /dev/zero > "$dir/big"
    status=$(curl -s --noproxy '*' -m 8 -o /dev/null -w '%{http_code}' \
        --data-binary @"$dir/big" "http://$http_a/v1/call/advice")
    [ "$status" = 413 ] || fail "a body of 2 MB got status $status, not 413"
    status=$(curl -s --noproxy '*' -m 8 -o /dev/null -w '%{http_code}' \
        -H "X-Long: $(head -c 60000 /dev/zero | tr '\0' a)" \
        "http://$http_a/healthz")
    [ "$status" = 431 ] || fail "a header of 60 KB got status $status, not 431"
    status=$(post "$http_a" /v1/call/advice hi "Jayrelay-Deadline-Ms: -5" |
        tail -1)
    [ "$status" = 400 ] ||
        fail "a deadline of -5 ms got status $status, not 400"
    calls_answered ||
        fail "not every zone answers calls after the malformed input"
    # No pipe here: grep -q closes it at the first match, and curl would fail.
    grep -q '^jayrelay_refused_bad_request_total [1-9]' \
        <<< "$(curl -s --noproxy '*' "http://$http_a/metrics")" ||
        fail "jayrelay_refused_bad_request_total did not count"
}

expect_error() { # STATUS PATH BODY
    local answer
    answer=$(post "$http_a" "$2" "$3")
    [ "$(tail -1 <<< "$answer")" = "$1" ] ||
        fail "POST $2 $3, expected $1: $answer"
    grep -q '"message":"[^"]' <<< "$answer" ||
        fail "POST $2 $3, expected a message: $answer"
}

# Every curl command in docs/API.md works against the demo's rules.
case_api_examples() {
    local commands command answer n=0
    start_cluster
    commands=$(python3 -c '
import re, sys
for block in re.findall(r"(?:^    .*\n)+", open("docs/API.md").read(), re.M):
    text = "".join(line[4:] for line in block.splitlines(True))
    for command in re.split(r"^(?=curl)", text, flags=re.M):
        if command.startswith("curl"):
            print(re.sub(r"\s*\\?\n\s*", " ", command).strip())')
    while read -r command; do
        command=${command//127.0.0.1:8080/$http_a}
        answer=$(bash -c "${command/curl/curl -s --noproxy \'*\'}") ||
            fail "command failed: $command"
        grep -Eq 'bad-request|no such path|no such service' <<< "$answer" &&
            fail "error answer to $command: $answer"
        n=$((n + 1))
    done <<< "$commands"
    [ "$n" -ge 8 ] ||
        fail "found $n curl commands in docs/API.md, expected 8 or more"
}

# Two operators apply different rules under one version; one of them resends;
# the rules file is edited in place; all processes are killed after hundreds of
# changes. No accepted change may be reverted.
case_operators() {
    local zone n answer
    start_cluster
    rules_text 2 > "$dir/one"
    { rules_text 2; echo "weight evictions 7 # asked for by B"; } > "$dir/two"
    cli rules apply "$dir/one" || fail "rules version 2 were not accepted"
    wait_until 5 version_everywhere 2 ||
        fail "rules version 2 were not in force in all zones within 5 s"
    cli rules apply "$dir/two" 2> "$dir/conflict"
    [ $? -eq 5 ] || fail "other rules as version 2: exit status is not 5"
    grep -q '^version 2 ' "$dir/conflict" ||
        fail "the conflict does not show the accepted version 2"
    cli rules apply "$dir/one" || fail "the resend of version 2 was refused"
    echo "nonsense" > "$dir/rules"
    wait_until 10 grep -q 'event=301 name=rules-refused.*rules:1:1' \
        "$dir/control-a.log" ||
        fail "control-a did not report the bad rules file within 10 s"
    version_everywhere 2 || fail "the bad rules file replaced version 2"
    rules_text 3 > "$dir/rules"
    wait_until 10 version_everywhere 3 ||
        fail "the edited file, version 3, was not in force within 10 s"
    # Hundreds of changes, then every process is killed at once.
    for n in $(seq 4 303); do
        answer=$(post "$http_a" /v1/rules "$(rules_text "$n")")
        [ "$(tail -1 <<< "$answer")" = 200 ] ||
            fail "rules version $n, expected 200: $answer"
    done
    for zone in $zones; do
        kill -KILL "${pids[control-$zone]}" "${pids[entry-$zone]}"
    done
    for zone in $zones; do
        wait_until 10 has_exited "${pids[control-$zone]}" ||
            fail "control-$zone did not exit within 10 s of SIGKILL"
        wait_until 10 has_exited "${pids[entry-$zone]}" ||
            fail "entry-$zone did not exit within 10 s of SIGKILL"
    done
    for zone in $zones; do
        start_control "$zone"
        start_entry "$zone"
    done
    wait_until 20 version_everywhere 303 ||
        fail "rules version 303 were not in force within 20 s of the restart"
    cli rules apply "$dir/one" ||
        fail "the resend of version 2 was refused after 301 later versions"
}

# With twice as many control processes as replicas, each process has replicas
# of some groups only. Those without a replica of the rules group must still
# learn the rules.
case_groups_on_some_controls() {
    local name replicas id
    controls_per_zone=2
    start_cluster
    replicas=$(ls -d "$dir"/data-*/group-* | wc -l)
    [ "$replicas" -eq 12 ] || fail "found $replicas replicas, expected 12"
    "$bin/demo-load" --entries "$entry_list" --logs "$dir" --rate 20 \
        --seconds 6 --jobs 30 --limit 40 > "$dir/load.txt" &
    local load=$!
    name=$(leader_of 2) || fail "group 2 has no leader"
    kill -KILL "${pids[$name]}"
    wait_until 20 leader_of 2 "$name" ||
        fail "group 2 had no new leader within 20 s of the kill"
    rm -rf "$dir/data-${name#control-}"
    start_control "${name#control-}"
    wait_until 30 all_replicated ||
        fail "the new replica was not a voter within 30 s"
    rules_text 2 > "$dir/rules.2"
    cli rules apply "$dir/rules.2" || fail "rules version 2 were not accepted"
    wait_until 10 version_everywhere 2 ||
        fail "rules version 2 were not in force in all zones within 10 s"
    for name in $(for zone in $zones; do control_names "$zone"; done); do
        wait_until 10 grep -q 'event=302 name=rules-in-force text="version 2' \
            "$dir/$name.log" ||
            fail "$name did not report rules version 2 within 10 s"
    done
    wait "$load" || { cat "$dir/load.txt"; fail "$load_failure"; }
}

# Processes with the same bus keys work together. A process with other keys
# exchanges no messages with them, and an incomplete key file is refused.
case_bus_keys() {
    key_file=$dir/keys
    "$bin/jayrelay" keys new "$key_file" || fail "keys new failed"
    "$bin/jayrelay" keys new "$key_file" 2> "$dir/again" &&
        fail "keys new overwrote an existing key file"
    [ "$(stat -c %a "$key_file")" = 600 ] ||
        fail "the key file does not have mode 600"
    start_cluster
    "$bin/jayrelay" keys new "$dir/other" ||
        fail "keys new failed for other keys"
    kill_and_wait entry-c
    sed "s#^key_file: .*#key_file: $dir/other#" "$dir/entry-c.yaml" \
        > "$dir/entry-x.yaml"
    start entry-x "$bin/jayrelay-entry" --settings "$dir/entry-x.yaml"
    wait_until 20 curl -sf --noproxy '*' "http://$http_c/healthz" ||
        fail "entry-x, with other keys, did not start within 20 s"
    curl -sf --noproxy '*' "http://$http_c/readyz" &&
        fail "entry-x got the rules with other keys"
    head -1 "$dir/other" > "$dir/half"
    sed "s#^key_file: .*#key_file: $dir/half#" "$dir/entry-c.yaml" \
        > "$dir/entry-y.yaml"
    "$bin/jayrelay-entry" --settings "$dir/entry-y.yaml" > "$dir/y.err" 2>&1
    [ $? -eq 3 ] ||
        fail "a key file without its second line did not exit with 3"
    grep -q 'lines 1 and 2' "$dir/y.err" ||
        fail "the error does not name lines 1 and 2 of the key file"
    kill_and_wait entry-x
    start_entry c
    wait_until 20 ready || fail "entry-c was not ready within 20 s"
}

# A control process whose disk is full exits with an error while the others
# continue, and it rejoins once there is free space. A limit on the file size
# simulates the full disk.
case_full_disk() {
    local pid id n
    start_cluster
    kill -TERM "${pids[control-b]}"
    wait_until 10 has_exited "${pids[control-b]}"
    start control-b bash -c 'ulimit -f 64; exec "$@"' limited \
        "$bin/jayrelay-control" --settings "$dir/control-b.yaml"
    pid=${pids[control-b]}
    wait_until 20 all_replicated ||
        fail "control-b was not a voter again within 20 s"
    for n in 1 2 3 4 5 6 7 8 9 10; do
        "$bin/bare" client "http://$http_a/v1/tasks" 32 1 \
            '{"key":"k","team":"demo","class":"watch","need":{"cpu_milli":1000,"memory_mb":512}}' > /dev/null
        has_exited "$pid" && break
    done
    wait_until 5 has_exited "$pid" ||
        fail "control-b did not exit within 5 s of the full disk"
    grep -q 'event=207 name=disk-failed' "$dir/control-b.log" ||
        fail "control-b did not log disk-failed (207)"
    grep -q 'event=103 name=fatal' "$dir/control-b.log" ||
        fail "control-b did not log fatal (103)"
    id=$(echo '{"key":"after","team":"demo","class":"watch","run_ms":100,
        "need":{"cpu_milli":1000,"memory_mb":64}}' |
        cli --json task submit - | field id) ||
        fail "the other control processes did not accept a task"
    start_control b
    wait_until 20 all_replicated ||
        fail "control-b was not a voter within 20 s of getting free space"
    grep -q '"key": "after"' <<< "$(cli --json task show "$id")" ||
        fail "task $id was lost"
}

# Runs the load, for at most LIMIT seconds, on three workers alone, whose tasks
# use four times the processor time they declare; use is reported 300 ms late.
run_noisy_workers() { # LIMIT
    local name
    start_cluster
    for name in worker-a1 worker-b1 worker-c1; do
        kill -KILL "${pids[$name]}"
        start "$name" "$bin/fake-worker" --name "noisy-${name#worker-}" \
            --zone "${name:7:1}" --entries "$entry_list" --cpu 4000 \
            --use-percent 400 --lag-ms 300 --log "$dir/noisy-$name.runs"
    done
    for name in worker-a2 worker-b2 worker-c2; do
        kill -KILL "${pids[$name]}"
    done
    "$bin/demo-load" --entries "$entry_list" --logs "$dir" --rate 10 \
        --seconds 3 --jobs 12 --limit "$1" > "$dir/load.txt" ||
        { cat "$dir/load.txt"; fail "$load_failure"; }
}

# Tasks on overloaded hosts are evicted and resume until each is done once.
case_noisy_tasks() {
    groups=1
    run_noisy_workers 60
    cat "$dir"/control-*.log | grep -q 'event=503 name=task-evicted' ||
        fail "no task was evicted from the overloaded hosts"
}

# The same load with three groups: the tasks of each group must run although
# there are only three workers.
case_few_workers() {
    run_noisy_workers 30
}

# Each program stops on SIGTERM; entry and control exit with status 0.
case_exit_status() {
    local name status
    start_cluster
    for name in executor-a1 worker-a1 entry-a control-a; do
        kill -TERM "${pids[$name]}"
        wait_until 20 has_exited "${pids[$name]}" ||
            fail "$name did not exit within 20 s of SIGTERM"
    done
    for name in entry control; do
        "$bin/jayrelay-$name" --settings "$dir/$name-a.yaml" \
            >> "$dir/$name-a.log" 2>&1 &
        local pid=$!
        wait_until 20 curl -sf --noproxy '*' -o /dev/null \
            "http://$([ $name = entry ] && echo "$http_a" ||
                echo "$chttp_a")/healthz" ||
            fail "$name did not start within 20 s"
        kill -TERM $pid
        wait $pid
        status=$?
        [ "$status" -eq 0 ] ||
            fail "$name exited with status $status, expected 0"
    done
}

# An upstream that stops sending announcements, and one that is leaving, get no
# new calls from any zone.
case_silent_upstream() {
    local runs n zone h
    start_cluster
    kill -STOP "${pids[executor-a1]}"
    wait_until 20 closed_in_all executor-a1 ||
        fail "frozen executor-a1 is still open in a zone after 20 s"
    kill -TERM "${pids[executor-b1]}"
    wait_until 20 closed_in_all executor-b1 ||
        fail "leaving executor-b1 is still open in a zone after 20 s"
    runs=$(cat "$dir"/executor-a1.runs "$dir"/executor-b1.runs |
        grep -c '^run')
    for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
        for zone in $zones; do
            h="http_$zone"
            [ "$(post "${!h}" /v1/call/advice "after-$n" | tail -1)" = 200 ] ||
                fail "call after-$n in zone $zone was not answered with 200"
        done
    done
    kill -CONT "${pids[executor-a1]}"
    wait_until 20 open_somewhere executor-a1 ||
        fail "resumed executor-a1 was not open in a zone within 20 s"
    [ "$(cat "$dir"/executor-a1.runs "$dir"/executor-b1.runs |
        grep -c '^run')" -eq "$runs" ] ||
        fail "closed upstreams ran calls, expected $runs runs"
}

open_in() { # ENTRY NAME: prints how many upstreams NAME are open in ENTRY
    "$bin/jayrelay" --entry "$1" --json status | python3 -c '
import json, sys
print(sum(u["open"] for u in json.load(sys.stdin)["upstreams"]
          if u["name"] == sys.argv[1]))' "$2"
}

closed_in_all() { # NAME
    local zone h
    for zone in $zones; do
        h="http_$zone"
        [ "$(open_in "${!h}" "$1")" = 0 ] || return 1
    done
}

open_somewhere() { # NAME
    ! closed_in_all "$1"
}

# A torn record at the end of a log is cut off when the process starts. A
# damaged record before the end makes it exit, and the others keep the rules.
case_torn_and_damaged_log() {
    local log zone
    start_cluster
    rules_text 2 > "$dir/rules.2"
    cli rules apply "$dir/rules.2" || fail "rules version 2 were not accepted"
    kill_and_wait control-b
    log=$(ls "$dir"/data-b/group-0/log-*)
    printf '\100\0\0\0half a record' >> "$log"
    start_control b
    wait_until 20 grep -q 'event=205 name=torn-tail' "$dir/control-b.log" ||
        fail "control-b did not report a torn tail within 20 s"
    wait_until 20 all_replicated ||
        fail "control-b was not a voter again within 20 s"
    kill_and_wait control-b
    printf '\377\377' | dd of="$log" bs=1 seek=14 conv=notrunc 2> /dev/null
    start_control b
    wait_until 20 grep -q 'event=206 name=damage' "$dir/control-b.log" ||
        fail "control-b did not report the damaged record within 20 s"
    wait_until 5 has_exited "${pids[control-b]}" ||
        fail "control-b did not exit within 5 s despite the damaged record"
    wait_until 20 version_everywhere 2 ||
        fail "rules version 2 were not in force in all zones within 20 s"
}

"case_$2"
echo "ok: $2"
stop_all
rm -rf "$dir"
