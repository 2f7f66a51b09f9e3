#!/usr/bin/env bash
# Demo: three zones serve calls and run tasks under examples/demo.rules. The
# leader of the rules group and one entry process are killed under load. Fails
# if a call or task is lost, run twice or answered with the wrong content.
# Usage: demo.sh [BUILD]
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${1:-build}
dir=$(mktemp -d)
# shellcheck source=scripts/local-set.sh
source scripts/local-set.sh

fail() {
    echo "demo: $*" >&2
    tail -n 5 "$dir"/*.log >&2
    exit 1
}

leader_of() { # GROUP [EXCEPT]: prints the leader, unless it is EXCEPT
    "$bin/jayrelay" --entry "$entry_list" --json status |
        python3 -c '
import json, sys
group, excluded = int(sys.argv[1]), sys.argv[2]
names = {g["leader"] for c in json.load(sys.stdin)["controls"]
         if c["name"] != excluded for g in c["groups"] if g["group"] == group}
names -= {"", excluded}
print(names.pop()) if len(names) == 1 else sys.exit(1)' "$1" "${2:-}"
}

write_settings
cp examples/demo.rules "$dir/rules"
start_set
wait_until 10 ready || fail "the processes were not ready within 10 s"
wait_until 5 leader_of 0 || fail "the rules group had no leader within 5 s"
echo "three zones are up; sending 10 s of calls and 45 tasks"
"$bin/demo-load" --entries "$entry_list" --logs "$dir" --rate 200 \
    --seconds 10 --jobs 45 --limit 28 > "$dir/load.txt" &
load=$!

sleep 3
leader=$(leader_of 0) || fail "the rules group has no leader"
killed_ns=$(date +%s%N)
kill -KILL "${pids[$leader]}"
wait_until 10 leader_of 0 "$leader" ||
    fail "the rules group had no new leader within 10 s of the kill"
leader_ms=$((($(date +%s%N) - killed_ns) / 1000000))
sed -e 's/^version 1 /version 2 /' examples/demo.rules > "$dir/rules.2"
"$bin/jayrelay" --entry "$entry_list" rules apply "$dir/rules.2" ||
    fail "rules version 2 were not accepted after the kill of $leader"
sleep 2
kill -KILL "${pids[entry-c]}"
sleep 1
start_entry c
start_control "${leader#control-}"
wait "$load"
result=$?

echo
echo "  $leader and entry-c were killed and restarted"
printf '  %-38s %8d\n' "time to a new leader, ms" "$leader_ms"
for zone in $zones; do
    h="http_$zone"
    printf '  %-38s %8s\n' "rules version in zone $zone" \
        "$("$bin/jayrelay" --entry "${!h}" --json rules show |
            python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')"
done
cat "$dir/load.txt"
stop_all
[ "$result" -eq 0 ] ||
    fail "calls or tasks were lost, run twice or answered wrong, logs: $dir"
rm -rf "$dir"
echo "demo: no call or task was lost, run twice or answered wrong"
