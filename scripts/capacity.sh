#!/usr/bin/env bash
# Measures what control costs one real daemon, at several sizes, and fits a line through each series.
# Prints RESULT lines for docs/CAPACITY.md. Everything runs on 127.0.0.1, and every process that is started here is ended
# here, by its id.
#   scripts/capacity.sh [--quick] [SERIES...]
# `--quick` measures for a shorter time; without names all series are measured.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=10
if [ "${1:-}" = --quick ]; then
    seconds=3
    shift
fi
series=("$@")
scripts/build.sh

entry=build/apps/magnolia-entry/magnolia-entry
agent=build/apps/magnolia-agent/magnolia-agent
ctl=build/apps/magnoliactl/magnoliactl
standins=build/tests/standins
crowd=build/benchmarks/capacity/capacity-crowd
work=$(mktemp -d)
secret=0123456789abcdef0123456789abcdef
bearer=capacity-key
key_hash=$(printf %s "$bearer" | sha256sum | cut -d' ' -f1)
header_bytes=52 # IPv4 and TCP with timestamps
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# start LOG COMMAND...: starts a process; its id is in $started.
start() {
    local log=$1
    shift
    "$@" >"$work/$log" 2>&1 &
    started=$!
    pids+=("$started")
}

# wait_for LOG PATTERN: waits until the log shows the pattern.
wait_for() {
    local try
    for try in $(seq 600); do
        if grep -q "$2" "$work/$1" 2>/dev/null; then
            return
        fi
        sleep 0.1
    done
    echo "capacity: $1 never showed '$2'" >&2
    tail -n 5 "$work/$1" >&2
    exit 1
}

# wait_until COMMAND...: tries the command until it succeeds.
wait_until() {
    local try
    for try in $(seq 300); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    echo "capacity: never succeeded: $*" >&2
    exit 1
}

free_port() {
    # The kernel picks a port; it is free again when the stand-in that asked for it has gone.
    local log=port.$RANDOM pid
    "$standins/standin-platform" --address 127.0.0.1:0 >"$work/$log" 2>&1 &
    pid=$!
    for _ in $(seq 100); do
        grep -q listening "$work/$log" && break
        sleep 0.05
    done
    sed -n 's/.*listening .*:\([0-9]*\).*/\1/p' "$work/$log" | head -n 1
    kill "$pid"
    wait "$pid" 2>/dev/null || true
}

# manifest ENDPOINTS ORGANISATIONS: writes a manifest of that size.
manifest() {
    awk -v endpoints="$1" -v organisations="$2" -v hash="$key_hash" 'BEGIN {
        printf "[[models]]\nname = \"assistant\"\nversion = \"1\"\nadapters = [{ name = \"fitter\", version = \"1\" }]\n"
        for (i = 0; i < organisations; ++i) {
            tier = i % 10 == 0 ? "paying" : "trial"
            printf "[[organisations]]\nname = \"organisation-%d\"\ntier = \"%s\"\n", i, tier
            own = i == 0 ? hash : sprintf("%016x%048x", i, i)
            printf "key_hashes = [\"%s\"]\nmodels = [{ model = \"assistant\", adapters = [\"*\"] }]\n", own
        }
        for (i = 0; i < endpoints; ++i) {
            printf "[[endpoints]]\nname = \"crowd-%d\"\ndata_centre = \"north\"\nkind = \"model\"\n", i
            printf "models = [\"assistant\"]\nconcurrency = 64\n"
        }
    }' >"$work/manifest.toml"
}

start_platform() {
    start platform.log "$standins/standin-platform" --address 127.0.0.1:0
    wait_for platform.log listening
    platform=$(sed -n 's/.*listening \([0-9.:]*\).*/\1/p' "$work/platform.log" | head -n 1)
    cat >"$work/ctl.toml" <<END
[platform]
table = "$platform"
objects = "$platform"
instances = "$platform"
END
}

apply() {
    "$ctl" apply --settings "$work/ctl.toml" "$work/manifest.toml" >"$work/apply.log" 2>&1 || {
        cat "$work/apply.log" >&2
        exit 1
    }
}

common_settings() {
    cat <<END
[operators]
address = "127.0.0.1:$1"
key = "$secret"
[platform]
table = "$platform"
objects = "$platform"
instances = "$platform"
[log]
level = "warn"
END
}

start_entry() {
    callers_port=$(free_port)
    operators_port=$(free_port)
    {
        printf '[instance]\nname = "entry-a"\ndata_centre = "north"\n'
        printf '[callers]\naddress = "127.0.0.1:%s"\n' "$callers_port"
        printf '[links]\nkeys = [{ id = "bench", secret = "%s" }]\n' "$secret"
        common_settings "$operators_port"
    } >"$work/entry.toml"
    start entry.log "$entry" --settings "$work/entry.toml"
    daemon=$started
}

start_agent() {
    links_port=$(free_port)
    operators_port=$(free_port)
    start engine.log "$standins/standin-engine" --address 127.0.0.1:0
    wait_for engine.log listening
    engine=$(sed -n 's/.*listening \([0-9.:]*\).*/\1/p' "$work/engine.log" | head -n 1)
    {
        printf '[instance]\nname = "agent-a"\ndata_centre = "north"\n'
        printf '[endpoint]\nname = "crowd-0"\naddress = "%s"\n' "$engine"
        printf '[links]\naddress = "127.0.0.1:%s"\nkeys = [{ id = "bench", secret = "%s" }]\n' "$links_port" "$secret"
        common_settings "$operators_port"
    } >"$work/agent.toml"
    start agent.log "$agent" --settings "$work/agent.toml"
    daemon=$started
}

# sample: "RUN_NS PAYLOAD_BYTES SEGMENTS" of the daemon so far. The processor time is the scheduler's own count; bytes and
# segments are the kernel's counts for the daemon's open TCP connections, both directions.
sample() {
    cut -d' ' -f1 "/proc/$daemon/schedstat" | tr '\n' ' '
    ss -tinpH | awk -v pid="pid=$daemon," '
        /^[A-Z]/ { ours = index($0, pid) > 0 }
        ours {
            for (i = 1; i <= NF; ++i) {
                split($i, field, ":")
                if (field[1] == "bytes_sent" || field[1] == "bytes_received") bytes += field[2]
                if (field[1] == "segs_in" || field[1] == "segs_out") segments += field[2]
            }
        }
        END { print bytes + 0, segments + 0 }'
}

resident_mb() {
    awk '/^VmRSS/ { print $2 / 1024 }' "/proc/$daemon/status"
}

# measure SERIES X: lets the daemon run and notes its share of a core in %, payload bytes/s, bytes/s with IP and TCP
# headers, and memory.
measure() {
    local before after
    sleep 3
    before=$(sample)
    sleep "$seconds"
    after=$(sample)
    echo "$1 $2 $before $after $(resident_mb)" | awk -v s="$seconds" -v header="$header_bytes" '{
        payload = ($7 - $4) / s
        printf "%s %s %.3f %.0f %.0f %.2f\n", $1, $2, ($6 - $3) / 1e7 / s, payload, payload + header * ($8 - $5) / s, $9
    }' | tee -a "$work/points"
}

measure_entry_links() {
    for links in 10 50 130; do
        start_platform
        manifest "$links" 10
        apply
        start crowd.log "$crowd" agents --count "$links" --platform "$platform" --secret "$secret"
        wait_for crowd.log ready
        start_entry
        wait_until sh -c "curl -sf http://127.0.0.1:$operators_port/readyz"
        measure entry_links "$links"
        stop_all
    done
}

measure_agent_links() {
    for links in 50 200 420; do
        start_platform
        manifest 1 10
        apply
        start_agent
        wait_until sh -c "curl -sf http://127.0.0.1:$operators_port/readyz"
        start crowd.log "$crowd" entries --count "$links" --agent "127.0.0.1:$links_port" --secret "$secret"
        wait_for crowd.log ready
        measure agent_links "$links"
        stop_all
    done
}

measure_entry_organisations() {
    for organisations in 10 2000 20000; do
        start_platform
        manifest 10 "$organisations"
        apply
        start crowd.log "$crowd" agents --count 10 --platform "$platform" --secret "$secret"
        wait_for crowd.log ready
        start_entry
        wait_until sh -c "curl -sf http://127.0.0.1:$operators_port/readyz"
        measure entry_organisations "$organisations"
        stop_all
    done
}

measure_entry_endpoints() {
    for endpoints in 27 300 1300; do
        start_platform
        manifest "$endpoints" 10
        apply
        start crowd.log "$crowd" agents --count "$endpoints" --platform "$platform" --secret "$secret"
        wait_for crowd.log ready
        start_entry
        wait_until sh -c "curl -sf http://127.0.0.1:$operators_port/readyz"
        measure entry_endpoints "$endpoints"
        stop_all
    done
}

measure_entry_requests() {
    for rate in 20 100 300; do
        start_platform
        manifest 10 10
        apply
        start crowd.log "$crowd" agents --count 10 --platform "$platform" --secret "$secret" --chunks 64
        wait_for crowd.log ready
        start_entry
        wait_until sh -c "curl -sf http://127.0.0.1:$operators_port/readyz"
        start "callers-$rate.log" "$crowd" callers --target "127.0.0.1:$callers_port" --bearer "$bearer" --rate "$rate" --seconds $((seconds + 4))
        measure entry_requests "$rate"
        wait_for "callers-$rate.log" "^sent"
        sed "s/^/  callers at $rate\/s: /" "$work/callers-$rate.log"
        stop_all
    done
}

# One organisation changes between two applies: what does a change cost a daemon that holds 20,000?
measure_entry_changes() {
    for changes in 1 4 8; do
        start_platform
        manifest 10 20000
        apply
        start crowd.log "$crowd" agents --count 10 --platform "$platform" --secret "$secret"
        wait_for crowd.log ready
        start_entry
        wait_until sh -c "curl -sf http://127.0.0.1:$operators_port/readyz"
        sleep 2
        before=$(sample)
        for change in $(seq "$changes"); do
            sed -i "0,/tier = \"trial\"/s//tier = \"paying\"/" "$work/manifest.toml"
            apply
        done
        sleep "$seconds"
        after=$(sample)
        in_force=$(curl -sf "http://127.0.0.1:$operators_port/status" | grep -o '"manifest":{[^}]*}' || true)
        echo "entry_changes $changes $before $after $(resident_mb)" |
            awk '{ printf "%s %s %.3f - - %.2f\n", $1, $2, ($6 - $3) / 1e6, $9 }' | tee -a "$work/points"
        echo "  (processor time in ms in all; the bytes of a change are in manifest_change_cost; in force at the end: $in_force)"
        stop_all
    done
}

if [ ${#series[@]} -eq 0 ]; then
    series=(entry_links agent_links entry_organisations entry_endpoints entry_requests entry_changes)
fi
echo "series x cpu_percent payload_bytes_per_s wire_bytes_per_s rss_mb"
for name in "${series[@]}"; do
    "measure_$name"
done

# A least-squares line through each series; the error is the largest distance of a point from it.
awk '
    { n[$1]++; x[$1, n[$1]] = $2; cpu[$1, n[$1]] = $3; payload[$1, n[$1]] = $4; wire[$1, n[$1]] = $5; rss[$1, n[$1]] = $6 }
    function fit(series, values, unit,    i, sx, sy, sxx, sxy, count, slope, base, worst, off) {
        sx = sy = sxx = sxy = worst = 0
        count = n[series]
        for (i = 1; i <= count; ++i) {
            sx += x[series, i]; sy += values[series, i]
            sxx += x[series, i] ^ 2; sxy += x[series, i] * values[series, i]
        }
        slope = (count * sxy - sx * sy) / (count * sxx - sx ^ 2)
        base = (sy - slope * sx) / count
        for (i = 1; i <= count; ++i) {
            off = values[series, i] - base - slope * x[series, i]
            if (off < 0) off = -off
            if (off > worst) worst = off
        }
        printf "RESULT %s.%s base %.4g slope %.4g error %.4g\n", series, unit, base, slope, worst
    }
    END {
        for (series in n) {
            fit(series, cpu, "cpu")
            if (payload[series, 1] != "-") {
                fit(series, payload, "payload")
                fit(series, wire, "wire")
            }
            fit(series, rss, "rss_mb")
        }
    }
' "$work/points" | sort
