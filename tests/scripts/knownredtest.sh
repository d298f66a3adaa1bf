#!/usr/bin/env bash
# Tests scripts/known-red.sh: which lines of a KNOWN-RED.txt are accepted, and which tests they name.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
printf 'http_test\nforward_test\n' >"$folder/tests"
failures=0

# check NAME EXPECTED_CODE EXPECTED_TESTS, the lines come from standard input.
check() {
    cat >"$folder/known-red"
    local code=0 named
    named=$(scripts/known-red.sh "$folder/known-red" "$folder/tests" 2>"$folder/errors" | paste -sd ' '; exit "${PIPESTATUS[0]}") || code=$?
    if [ "$code" != "$2" ] || [ "$named" != "$3" ]; then
        echo "$1: exit $code, expected $2; named '$named', expected '$3'"
        cat "$folder/errors"
        failures=1
    fi
}

check line_ofACiTest_isNamed 0 http_test <<<'http_test | ctest -R http_test, seed 4 | fails in one of three runs | issue 7'
check line_ofAPath_isNotNamed 0 '' <<<'README.md | README.md by hand, no seed | fails | issue 7'
check lines_several_areAllNamed 0 'http_test forward_test' <<'LINES'
http_test | a, seed 1 | fails | issue 7
README.md | b, no seed | fails | issue 7
forward_test | c, seed 2 | fails | issue 8
LINES
check line_withoutWhatWasSeen_isRejected 1 '' <<<'http_test | a, seed 4 | issue 7'
check line_withoutASeed_isRejected 1 http_test <<<'http_test | a | fails | issue 7'
check line_withoutAnIssue_isRejected 1 http_test <<<'http_test | a, seed 4 | fails | soon'
check line_ofNoTest_isRejected 1 '' <<<'unknown_test | a, seed 4 | fails | issue 7'
check line_twice_isRejected 1 'http_test http_test' <<'LINES'
http_test | a, seed 4 | fails | issue 7
http_test | a, seed 4 | fails | issue 7
LINES
exit $failures
