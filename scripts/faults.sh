#!/usr/bin/env bash
# Throws two failures at once, drawn by seed, at a running deployment under mixed load, and ends with one line for each
# promise: checked how often, broken how often. The same seed draws the same plan.
# usage: scripts/faults.sh [--seed N] [--seconds S] [--plan]     (--plan: only print what would be thrown)
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = --help ]; then
    sed -n '2,4s/^# //p' "$0"
    exit 0
fi
scripts/build.sh >/dev/null
exec build/tests/path/path_faults --log_level=error -- "$@"
