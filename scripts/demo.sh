#!/usr/bin/env bash
# Three zones, a rules file, calls and tasks; the leader of the rules group
# and one entry process are killed in the middle. Fails when anything is
# lost, doubled or mixed up.
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

leader_of() { # GROUP, not NAME
    "$bin/jayrelay" --entry "$entry_list" --json status |
        python3 -c '
import json, sys
group, gone = int(sys.argv[1]), sys.argv[2]
names = {g["leader"] for c in json.load(sys.stdin)["controls"]
         if c["name"] != gone for g in c["groups"] if g["group"] == group}
names -= {"", gone}
print(names.pop()) if len(names) == 1 else sys.exit(1)' "$1" "${2:-}"
}

write_settings
cp examples/demo.rules "$dir/rules"
start_set
wait_until 10 ready || fail "the set did not come up"
wait_until 5 leader_of 0 || fail "no leader"
echo "three zones are up; sending 10 s of calls and 45 tasks"
"$bin/demo-load" --entries "$entry_list" --logs "$dir" --rate 200 \
    --seconds 10 --jobs 45 --limit 28 > "$dir/load.txt" &
load=$!

sleep 3
leader=$(leader_of 0) || fail "no leader"
killed_at=$(date +%s%N)
kill -KILL "${pids[$leader]}"
wait_until 10 leader_of 0 "$leader" || fail "no new leader"
leader_ms=$((($(date +%s%N) - killed_at) / 1000000))
sed -e 's/^version 1 /version 2 /' examples/demo.rules > "$dir/rules.2"
"$bin/jayrelay" --entry "$entry_list" rules apply "$dir/rules.2" ||
    fail "rules were not accepted after the kill"
sleep 2
kill -KILL "${pids[entry-c]}"
sleep 1
start_entry c
start_control "${leader#control-}"
wait "$load"
result=$?

echo
echo "  $leader and entry-c were killed and started again"
printf '  %-38s %8d\n' "time to a new leader, ms" "$leader_ms"
for zone in $zones; do
    h="http_$zone"
    printf '  %-38s %8s\n' "rules version in zone $zone" \
        "$("$bin/jayrelay" --entry "${!h}" --json rules show |
            python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')"
done
cat "$dir/load.txt"
stop_all
[ "$result" -eq 0 ] || fail "something was lost, doubled or mixed up ($dir)"
rm -rf "$dir"
echo "demo: nothing lost, nothing doubled, nothing mixed up"
