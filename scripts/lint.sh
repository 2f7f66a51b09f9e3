#!/usr/bin/env bash
# Checks formatting and runs the linter; fails on any difference or warning.
# Usage: lint.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files '*.c' '*.h' '*.cc' '*.cpp' |
    grep -v '^src/gen/')
clang-format --dry-run -Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
printf '%s\n' "${files[@]}" | grep '\.c$' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2> >(
        grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header' >&2)
echo "lint: clean"
