#!/usr/bin/env bash
# Clients that do not behave (tests/crowd.py) against each HTTP port of one
# program. No process may end, outgrow its memory or use up its descriptors, and
# an ordinary request is answered while the crowd holds its connections.
# Usage: crowd_test.sh BUILD PROGRAM_CROWD [MEMORY_MB]
# PROGRAM is gate, control or entry; CROWD one of tests/crowd.py, or calm.
# MEMORY_MB bounds the peak memory of every process; 0 does not check it.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "$1")
program=${2%%_*}
crowd=${2#*_}
memory_mb=${3:-64}
dir=$(mktemp -d)
# shellcheck source=scripts/local-set.sh
source scripts/local-set.sh

ANSWER_MAX_S=30 # an ordinary caller tries that long
HELD_MAX_S=20   # until the crowd has sent what it sends
n_failed=0

# Limit of open descriptors of each process under test: below the number of
# clients in "connections", and above it in all other crowds.
descriptors=8192
[ "$crowd" = connections ] && descriptors=256

fail() {
    echo "FAIL: $*" >&2
    tail -n 4 "$dir"/*.log >&2
    exit 1
}

note() { # a broken promise; the other ports are still tried
    echo "FAIL: $*" >&2
    n_failed=$((n_failed + 1))
}

limited() { # COMMAND...: runs it in place of this subshell
    ulimit -n "$descriptors"
    exec "$@"
}

request() { # METHOD ADDRESS PATH [BODY]: prints the status
    curl -s --noproxy '*' -m 4 -o "$dir/body" -w '%{http_code}' -X "$1" \
        -H 'Host: h.example' ${4+--data-binary "$4"} "http://$2$3"
}

is_answered() { # REQUEST...: succeeds if the status is 200
    [ "$(request "$@")" = 200 ]
}

# Three control processes with jobs and one gate.

job='{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":1}]}'
n_jobs=0

submit_job() { # as an ordinary caller, under an id of its own
    n_jobs=$((n_jobs + 1))
    is_answered POST "127.0.0.21:$gate_port" \
        "/q/$(printf '%016x' "$n_jobs")" "$job"
}

config() { # VERSION
    cat <<JSON
{"version":$1,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/",
"kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":0,
"service":"s","max_attempts":4,"stretch":1.5}],
"services":[{"name":"s","admission_check":false}]}
JSON
}

job_settings() { # IP
    cat > "$dir/control-$1.yaml" <<YAML
name: "$1:$bus"
zone: z
bus: "$1:$bus"
http: "$1:$control_port"
metrics: "$1:$metrics_port"
data: "$dir/data-$1"
jobs: true
first_start: true
tolerate: 1
lease_ms: 3000
election_ms: 500
seeds: [$seeds]
YAML
}

start_jobs() {
    local ip
    read -r bus control_port gate_port ready_port metrics_port \
        <<< "$(free_ports 5)"
    seeds="127.0.0.11:$control_port, 127.0.0.12:$control_port"
    seeds+=", 127.0.0.13:$control_port"
    for ip in 127.0.0.11 127.0.0.12 127.0.0.13; do
        job_settings "$ip"
        start "control-$ip" limited "$bin/jayrelay-control" --settings \
            "$dir/control-$ip.yaml"
    done
    cat > "$dir/gate.yaml" <<YAML
name: gate
zone: z
bus: "127.0.0.21:$bus"
http: "127.0.0.21:$gate_port"
ready: "127.0.0.21:$ready_port"
metrics: "127.0.0.21:$metrics_port"
drain_ms: 300
seeds: [$seeds]
YAML
    start gate limited "$bin/jayrelay-gate" --settings "$dir/gate.yaml"
    wait_until 20 is_answered POST "127.0.0.11:$control_port" \
        /Config.Replace "$(config 3)" ||
        fail "configuration version 3 was not accepted within 20 s"
    wait_until 20 submit_job || fail "no job was accepted within 20 s"
}

# Three control processes of the other kind and one entry process.

start_calls() {
    local zone
    write_settings
    cp examples/demo.rules "$dir/rules"
    for zone in $zones; do
        "$bin/jayrelay-control" --settings "$dir/control-$zone.yaml" --init \
            >> "$dir/control-$zone.log" 2>&1
        start "control-$zone" limited "$bin/jayrelay-control" --settings \
            "$dir/control-$zone.yaml"
    done
    start entry limited "$bin/jayrelay-entry" --settings \
        "$dir/entry-a.yaml"
    # shellcheck disable=SC2154 # set by write_settings
    wait_until 20 is_answered GET "$http_a" /readyz ||
        fail "the entry process was not ready within 20 s"
}

# Checks

peak_mb() { # PID: prints the peak of its resident memory
    awk '$1 == "VmHWM:" { print int($2 / 1024) }' "/proc/$1/status"
}

check_processes() { # WHERE: all are the ones that were started
    local name pid peak open
    for name in "${!pids[@]}"; do
        [ "$name" = crowd ] && continue
        pid=${pids[$name]}
        kill -0 "$pid" 2> /dev/null || {
            note "$1: $name has ended"
            continue
        }
        peak=$(peak_mb "$pid")
        open=$(find "/proc/$pid/fd" -mindepth 1 | wc -l)
        echo "$1: $name: peak $peak MB, $open descriptors"
        [ "$memory_mb" -eq 0 ] || [ "$peak" -lt "$memory_mb" ] ||
            note "$1: $name took $peak MB of $memory_mb MB"
        [ "$open" -lt "$descriptors" ] ||
            note "$1: $name has $open of $descriptors descriptors open"
    done
}

end_crowd() {
    exec {crowd_input}>&-
    wait_until 10 has_exited "${pids[crowd]}" || fail "the crowd did not end"
    unset "pids[crowd]"
}

has_exited() { # PID
    ! kill -0 "$1"
}

start_crowd() { # ADDRESS PATH
    rm -f "$dir/crowd.log" "$dir/input"
    mkfifo "$dir/input"
    start crowd join_input python3 tests/crowd.py "$crowd" "$1" "$2"
    exec {crowd_input}> "$dir/input"
    wait_until "$HELD_MAX_S" grep -q '^held' "$dir/crowd.log" ||
        fail "the crowd has not sent all within $HELD_MAX_S s"
}

join_input() { # COMMAND...: with the named pipe as its input
    exec "$@" < "$dir/input"
}

# The crowd calls PATH. While it holds its connections, the main port of the
# program and the one the crowd is at answer an ordinary caller.
face_crowd() { # PORT_NAME ADDRESS PATH
    local where="$crowd at $program $1"
    start_crowd "$2" "$3"
    echo "$where: $(cat "$dir/crowd.log")"
    check_processes "$where, before an answer"
    wait_until "$ANSWER_MAX_S" call_main_port ||
        note "$where: no ordinary request got 200 within $ANSWER_MAX_S s"
    [ "$1" = http ] ||
        wait_until "$ANSWER_MAX_S" is_answered GET "$2" "$3" ||
        note "$where: no GET of $3 got 200 within $ANSWER_MAX_S s"
    check_processes "$where, after it"
    end_crowd
}

call_main_port() {
    case $program in
    gate) submit_job ;;
    control) is_answered GET "127.0.0.11:$control_port" /Config.Get ;;
    entry) is_answered GET "$http_a" /readyz ;;
    esac
}

crowds_at_gate() {
    start_jobs
    face_crowd http "127.0.0.21:$gate_port" /q/00000000000000ff
    face_crowd ready "127.0.0.21:$ready_port" /ready
    face_crowd metrics "127.0.0.21:$metrics_port" /metrics
}

crowds_at_control() {
    start_jobs
    face_crowd http "127.0.0.11:$control_port" /Config.Replace
    face_crowd metrics "127.0.0.11:$metrics_port" /metrics
}

crowds_at_entry() {
    start_calls
    face_crowd http "$http_a" /v1/tasks
}

# One body of just under 1 MB alone is read to its end and judged by what it
# says, as the bounds on what crowds may hold must not refuse it.
calm() { # ADDRESS PATH BODY EXPECTED
    local status
    status=$(python3 tests/crowd.py calm "$1" "$2" <<< "$3")
    echo "calm at $program $2: $status"
    [ "$status" = "$4" ] || note "calm at $program $2: $status, expected $4"
    check_processes "calm at $program"
}

calm_at_gate() {
    start_jobs
    calm "127.0.0.21:$gate_port" /q/0000000000000fff "$job" 200
}

calm_at_control() {
    start_jobs
    calm "127.0.0.11:$control_port" /Config.Replace "$(config 4)" 200
}

calm_at_entry() {
    start_calls
    calm "$http_a" /v1/tasks '{"key":"x"}' 400
}

case $crowd in
calm) "calm_at_$program" ;;
*) "crowds_at_$program" ;;
esac
[ "$n_failed" -eq 0 ] || fail "$n_failed promises were broken, see above"
stop_all
echo "ok: $2"
rm -rf "$dir"
