#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER, where FOLDER/case.cpp was built by review/build-2.sh. TROUBLE=0 leaves the disturbance out.
# Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
ROOT=$(cd "$folder/../.." && pwd)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export ROOT WORK TROUBLE=${TROUBLE:-1}
program=$ROOT/target/review-2/$(basename "$folder")-case
record=$folder/record.txt
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/magnolia-forward-entry" ]; then
    echo "not built: the deploy file's build and review/build-2.sh come first" >"$record"
    exit 2
fi
timeout -k 5 110 "$program" --color_output=no --report_level=no >"$record" 2>&1
code=$?
sed -i "s#$ROOT/##g; s#$WORK#WORK#g" "$record"
# The programs end with 201 if a check failed, and write one line "error: in" for each check of the rule that failed.
if [ $code -eq 0 ]; then
    exit 0
elif [ $code -eq 201 ] && grep -q ': error: in ' "$record" && ! grep -q 'fatal error' "$record"; then
    exit 1
fi
exit 2
