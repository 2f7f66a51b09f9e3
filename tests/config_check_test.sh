#!/usr/bin/env bash
# Exit status and messages of jayrelay config check, on files and with control
# addresses that do not answer.
# Usage: config_check_test.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
bin=$(realpath "$1")
dir=$(mktemp -d)
listener=
trap '[ -n "$listener" ] && kill "$listener"; rm -rf "$dir"' EXIT

fail() {
    echo "FAIL: $*" >&2
    cat "$dir/out" >&2
    exit 1
}

config() { # VERSION [TIMEOUT_MS]
    cat <<JSON
{"version":$1,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/",
"kind":"k","timeout_ms":${2:-3000},"slo_ms":300,"service":"s"}],
"services":[{"name":"s"}]}
JSON
}

expect() { # STATUS TEXT ARGUMENT...
    local expected=$1 text=$2 status
    shift 2
    timeout 10 "$bin/jayrelay" config check "$@" > "$dir/out" 2>&1
    status=$?
    [ "$status" -eq "$expected" ] ||
        fail "config check $*: status $status, expected $expected"
    grep -qF -- "$text" "$dir/out" || fail "config check $*: no '$text'"
}

config 7 > "$dir/good"
config 8 > "$dir/next"
config 8 299 > "$dir/doubtful"
config 8 0 > "$dir/bad"
head -c 60 "$dir/good" > "$dir/cut"
: > "$dir/empty"

expect 0 "version 7, 1 routes, 1 services: errors: 0, warnings: 0" "$dir/good"
expect 0 "[timeout-below-objective]" "$dir/doubtful"
expect 1 "[timeout-below-objective]" "$dir/doubtful" --strict
expect 1 "error: routes[0].timeout_ms: is missing or 0" "$dir/bad"
expect 1 ":1:60: error: not valid JSON" "$dir/cut"
expect 1 ":1:0: error: not valid JSON" "$dir/empty"
expect 0 "errors: 0, warnings: 0, changes: 0" "$dir/next" --against "$dir/good"
expect 1 "[version-not-higher]" "$dir/good" --against "$dir/next"
expect 0 "timeout_ms 3000 -> 299" "$dir/doubtful" --against "$dir/good"

expect 0 '"rule": "timeout-below-objective"' "$dir/doubtful" --format json
python3 -c 'import json, sys; json.load(sys.stdin)' < "$dir/out" ||
    fail "--format json did not print JSON"
expect 1 '"errors": 1' "$dir/cut" --format json

expect 2 "No such file" "$dir/none"
expect 2 "cannot be read" "$dir"
expect 2 "has more than" /dev/zero
expect 2 "column" "$dir/good" --against "$dir/cut"
expect 2 "expected one FILE"
expect 2 "expected one FILE" "$dir/good" "$dir/next"
expect 2 "expected one of --against and --control" "$dir/good" \
    --against "$dir/good" --control 127.0.0.1:1
expect 2 "expected --format" "$dir/good" --format xml
expect 2 "Unknown option" "$dir/good" --nothing
expect 0 "--against" --help
expect 2 "127.0.0.1:1: no complete answer" "$dir/good" --control 127.0.0.1:1

# A control address that takes the connection and says nothing.
python3 -c '
import socket, sys, time
s = socket.socket()
s.bind(("127.0.0.1", 0))
s.listen()
print(s.getsockname()[1], flush=True)
time.sleep(30)' > "$dir/port" &
listener=$!
for _ in $(seq 100); do
    [ -s "$dir/port" ] && break
    sleep 0.1
done
began=$(date +%s%N)
expect 2 "no complete answer within 1500 ms" "$dir/good" \
    --control "127.0.0.1:$(cat "$dir/port")"
took=$((($(date +%s%N) - began) / 1000000))
[ "$took" -lt 4000 ] || fail "a silent control process took $took ms"
