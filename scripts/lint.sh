#!/usr/bin/env bash
# Checks format and lints every source file. `scripts/lint.sh --fix` formats in place.
# `scripts/lint.sh FILE...` lints just these files.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" = --fix ]; then
    git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format -i
    exit 0
fi
if [ $# -gt 0 ]; then
    clang-format --dry-run -Werror "$@"
    printf '%s\n' "$@" | { grep '\.cpp$' || true; } | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet
    exit 0
fi
git ls-files -z '*.h' '*.cpp' | xargs -0 clang-format --dry-run -Werror
echo "lint: format is clean"
git ls-files -z '*.cpp' | xargs -0 -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: clang-tidy is clean"
