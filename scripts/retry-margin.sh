#!/usr/bin/env bash
# Says how near a deployment came to its retry budget, from the JSON logs of all its entries on standard input (several
# entries' lines in any order; what stands before a line's '{' is left out).
#
#   cat entry-*.log | scripts/retry-margin.sh --share 0.2 --constant 90 --window 10
#
# For each service: requests, sendings beyond the first, and the window that came nearest to the budget. Sendings count at
# the moment at which the one before them failed. Lines that an entry left out are counted and named: the figures then are
# too low.
set -euo pipefail

share=0.2
constant=0
window=10
while [ $# -gt 0 ]; do
    case "$1" in
    --share) share=$2 ;;
    --constant) constant=$2 ;;
    --window) window=$2 ;;
    *)
        echo "usage: scripts/retry-margin.sh [--share RATIO] [--constant NUMBER] [--window SECONDS] < LOGS" >&2
        exit 2
        ;;
    esac
    shift 2
done

awk -v share="$share" -v constant="$constant" -v window="$window" '
function text(key,    at, rest) {
    at = index($0, "\"" key "\":\"")
    if (at == 0) return ""
    rest = substr($0, at + length(key) + 4)
    return substr(rest, 1, index(rest, "\"") - 1)
}
function number(key,    at, rest) {
    at = index($0, "\"" key "\":")
    if (at == 0) return 0
    rest = substr($0, at + length(key) + 3)
    return rest + 0
}
# Seconds of the day are enough: logs of a longer time are split by whoever passes them here.
function seconds(time,    part) {
    split(substr(time, 12), part, /[:Z]/)
    return part[1] * 3600 + part[2] * 60 + part[3]
}
# How many of sorted times[service, 1..count] are in (from, to].
function within(times, service, count, from, to,    low, high) {
    low = position(times, service, count, from)
    high = position(times, service, count, to)
    return high - low
}
function position(times, service, count, bound,    low, high, middle) {
    low = 0
    high = count
    while (low < high) {
        middle = int((low + high + 1) / 2)
        if (times[service, middle] <= bound) low = middle; else high = middle - 1
    }
    return low
}
function sorted(times, service, count,    gap, i, j, held) {
    for (gap = int(count / 2); gap > 0; gap = int(gap / 2))
        for (i = gap + 1; i <= count; ++i) {
            held = times[service, i]
            for (j = i; j > gap && times[service, j - gap] > held; j -= gap) times[service, j] = times[service, j - gap]
            times[service, j] = held
        }
}
/"message":"Lines left out/ { leftOut += number("out") }
/"message":"Sending failed"/ {
    id = text("id")
    failures[id, ++failed[id]] = seconds(text("time"))
}
/"message":"Ended"/ {
    service = text("service")
    if (service == "") next
    id = text("id")
    ended = seconds(text("time"))
    came[service, ++requests[service]] = ended - number("took_ms") / 1000
    more = number("sendings") - 1
    for (i = 1; i <= more; ++i) sent[service, ++retries[service]] = (i <= failed[id]) ? failures[id, i] : ended
}
END {
    for (service in requests) {
        sorted(came, service, requests[service])
        sorted(sent, service, retries[service])
        nearest = 0
        at = 0
        for (i = 1; i <= retries[service]; ++i) {
            to = sent[service, i]
            used = within(sent, service, retries[service], to - window, to)
            base = within(came, service, requests[service], to - window, to)
            half = within(came, service, requests[service], to - 1.5 * window, to - 0.5 * window)
            before = within(came, service, requests[service], to - 2 * window, to - window)
            if (half > base) base = half
            if (before > base) base = before
            part = used / (share * base + constant)
            if (part > nearest) { nearest = part; at = to; usedThen = used; allowed = share * base + constant }
        }
        printf "service=%s requests=%d sendings_beyond_first=%d", service, requests[service], retries[service]
        if (retries[service] > 0) printf " nearest_window_used=%d allowed=%.1f part=%.2f", usedThen, allowed, nearest
        printf "\n"
    }
    if (leftOut > 0) printf "left_out_lines=%d\n", leftOut
}'
