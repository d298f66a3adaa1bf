#!/usr/bin/env bash
# play.sh CASE RECORD: plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
record=$(realpath -m "$2")
cd "$(dirname "$0")/../.."
for program in target/review/"$1" target/magnolia-forward-entry; do
    if [ ! -x "$program" ]; then
        echo "review: $program is missing; run the build of the deploy file and review/build.sh" >&2
        exit 2
    fi
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review/"$1" target/magnolia-forward-entry "$folder" "$record" >"$folder/output" 2>&1
code=$?
if [ "$code" -gt 1 ]; then
    cat "$folder/output" >&2
    exit 2
fi
exit "$code"
