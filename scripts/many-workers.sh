#!/usr/bin/env bash
# Measures the processor time per heartbeat with many worker processes on a
# local set, for docs/CAPACITY.md.
# Usage: many-workers.sh [BUILD [WORKERS [EVERY_MS]]]
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$(realpath "${1:-build}")
workers=${2:-150}
every_ms=${3:-500}
seconds=15
dir=$(mktemp -d)
# shellcheck source=scripts/local-set.sh
source scripts/local-set.sh

cpu_us() { # PREFIX: prints the processor time of all processes PREFIX-?, us
    local name sum=0
    for name in "${!pids[@]}"; do
        [[ $name == "$1"-? ]] &&
            sum=$((sum + $(awk -v hz="$(getconf CLK_TCK)" \
                '{ printf "%d", ($14 + $15) * 1000000 / hz }' \
                "/proc/${pids[$name]}/stat")))
    done
    echo "$sum"
}

rss_kb() { # PREFIX: prints the largest resident memory of PREFIX-?, KB
    local name
    for name in "${!pids[@]}"; do
        [[ $name == "$1"-? ]] &&
            awk '/VmRSS/ { print $2 }' "/proc/${pids[$name]}/status"
    done | sort -n | tail -1
}

heartbeats() { # prints how many the control processes have counted so far
    local zone ch total=0
    for zone in $zones; do
        ch="chttp_$zone"
        total=$((total + $(curl -s --noproxy '*' "http://${!ch}/metrics" |
            awk '/^jayrelay_heartbeats_total/ { print $2 }')))
    done
    echo "$total"
}

write_settings
cp examples/demo.rules "$dir/rules"
start_set
wait_until 20 ready || {
    echo "the processes were not ready within 20 s" >&2
    exit 1
}
for ((n = 1; n <= workers; n++)); do
    start "extra$n" "$bin/fake-worker" --name "extra-$n" --zone a \
        --entries "$entry_list" --every-ms "$every_ms" --log "$dir/extra.runs"
done
sleep 5
before_entry=$(cpu_us entry)
before_control=$(cpu_us control)
before=$(heartbeats)
sleep "$seconds"
count=$(($(heartbeats) - before))
echo "$workers workers, $((count / seconds)) heartbeats a second; all entry processes $((($(cpu_us entry) - before_entry) / seconds)) us/s, all control processes $((($(cpu_us control) - before_control) / seconds)) us/s"
echo "processor time per heartbeat, us: entry $((($(cpu_us entry) - before_entry) / count)), control $((($(cpu_us control) - before_control) / count)) (idle load of the processes included)"
echo "largest resident memory, KB: entry $(rss_kb entry), control $(rss_kb control)"
