#!/usr/bin/env bash
# Runs all benchmarks: tables go to standard output, JSON files and plots to
# bench-out. Fails if a target is not met.
# Usage: bench.sh [BUILD]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
out=bench-out
mkdir -p "$out"
status=0
echo "== decisions by size (Google Benchmark)"
"$build/decisions" --benchmark_out="$out/decisions.json" \
    --benchmark_out_format=json 2> /dev/null |
    grep -vE '^(Running|Run on|CPU|L1|  L|Load)' || status=1
echo "== decisions about jobs, by workers"
"$build/dispatch" --benchmark_out="$out/dispatch.json" \
    --benchmark_out_format=json 2> /dev/null |
    grep -vE '^(Running|Run on|CPU|L1|  L|Load)' || status=1
echo "== check of a configuration, by routes"
"$build/config_check" --benchmark_out="$out/config-check.json" \
    --benchmark_out_format=json 2> /dev/null |
    grep -vE '^(Running|Run on|CPU|L1|  L|Load)' || status=1
echo "== slopes for docs/CAPACITY.md"
"$build/capacity" "$out/capacity.json" || status=1
echo "== scenarios"
"$build/scenarios" 3 "$out/scenarios.json" || status=1
echo "== placement"
"$build/placement" "$out/placement.json" || status=1
echo "== end to end"
scripts/end-to-end.sh "$build" "$out" || status=1
python3 scripts/plot.py "$out"
echo "output and plots are in $out"
exit $status
