#!/usr/bin/env bash
# Runs all tests of a build. Failed tests that KNOWN-RED.txt lists are printed
# and tolerated; any other failed test fails the run.
# Usage: run-tests.sh BUILD
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
out=$(mktemp)
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" | tee "$out"
status=${PIPESTATUS[0]}
[ "$status" -eq 0 ] && exit 0
failed=$(sed -n 's/^\t *[0-9]* - \([^ ]*\) .*/\1/p' "$out" | sort -u)
for test in $failed; do
    if grep -q "^$test:" KNOWN-RED.txt 2>/dev/null; then
        echo "KNOWN RED: $(grep "^$test:" KNOWN-RED.txt)"
    else
        echo "FAILED, not listed in KNOWN-RED.txt: $test"
        exit 1
    fi
done
[ -n "$failed" ] || exit "$status"
