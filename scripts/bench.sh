#!/usr/bin/env bash
# Builds, runs every measuring program and ends with all RESULT lines. `--quick`: shorter runs, under a minute in all.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -gt 1 ] || { [ $# -eq 1 ] && [ "$1" != --quick ]; }; then
    echo "usage: scripts/bench.sh [--quick]" >&2
    exit 2
fi
scripts/build.sh

output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=()
for program in build/benchmarks/*; do
    [ -f "$program" ] && [ -x "$program" ] || continue
    echo "== $(basename "$program")"
    "$program" "$@" | tee -a "$output" || failed+=("$(basename "$program")")
    echo
done

echo "== results: name value unit baseline goal met|short"
grep '^RESULT ' "$output" || true
if [ ${#failed[@]} -gt 0 ]; then
    echo "bench: these programs failed: ${failed[*]}" >&2
    exit 1
fi
