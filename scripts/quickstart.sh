#!/usr/bin/env bash
# Installs and builds what is needed, runs a whole small deployment on 127.0.0.1 and sends real requests through it.
# Ends 0 with every process it started gone. `--keep` leaves it running and prints the addresses to try.
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
case "${1:-}" in
--keep) keep=yes ;;
--help)
    sed -n '2,3s/^# //p' "$0"
    exit 0
    ;;
'') ;;
*)
    echo "quickstart: unknown option $1; see --help" >&2
    exit 2
    ;;
esac

host=127.0.0.1
paying_key=flue-commons-example-key
trial_key=visitor-example-key
link_secret=quickstart-link-secret
operators_key=quickstart-operators-key
folder=$(mktemp -d "${TMPDIR:-/tmp}/magnoliarack-quickstart.XXXXXX")
names=()
pids=()
step="start"
failed_stop=no

say() {
    printf '\n== %s\n' "$*"
    step=$*
}

# Daemons end before what they talk to; each has ten seconds to end by itself.
stop_all() {
    local i waited
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || continue
        for ((waited = 0; waited < 100; waited++)); do
            kill -0 "${pids[i]}" 2>/dev/null || break
            sleep 0.1
        done
        if kill -0 "${pids[i]}" 2>/dev/null; then
            echo "quickstart: ${names[i]} has not ended by itself" >&2
            kill -KILL "${pids[i]}" 2>/dev/null || true
            failed_stop=yes
        fi
        wait "${pids[i]}" 2>/dev/null || true
    done
    pids=()
}

print_logs() {
    local log
    for log in "$folder"/*.log; do
        [ -s "$log" ] || continue
        printf -- '---- %s\n' "$(basename "$log")" >&2
        tail -n 15 "$log" >&2
    done
}

finish() {
    local code=$?
    trap - EXIT INT TERM
    if [ "$code" -ne 0 ]; then
        echo "quickstart: failed at: $step" >&2
        print_logs
    elif [ "$keep" = yes ]; then
        exit 0
    fi
    stop_all
    if [ "$failed_stop" = yes ] && [ "$code" -eq 0 ]; then
        code=1
    fi
    rm -rf "$folder"
    exit "$code"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Sets $address to a free one. Fixed numbers make the printed addresses easy to type; taken ones are passed over.
port=18100
next_address() {
    while (exec 3<>"/dev/tcp/$host/$port") 2>/dev/null; do
        port=$((port + 1))
    done
    address=$host:$port
    port=$((port + 1))
}

start() { # NAME PROGRAM ARGUMENT...
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    names+=("$name")
    pids+=($!)
    echo "$name: process $!"
}

wait_for() { # NAME URL: until it answers 200
    local tries
    for ((tries = 0; tries < 200; tries++)); do
        if curl --silent --fail --max-time 2 --output /dev/null "$2"; then
            return 0
        fi
        sleep 0.1
    done
    echo "quickstart: $1 is not ready at $2" >&2
    return 1
}

register() { # NAME ROLE ENDPOINT ADDRESS OPERATORS_ADDRESS: what the platform's own tooling does
    curl --silent --fail --max-time 5 --output /dev/null --request PUT "http://$platform/instances/$1" \
        --data "{\"role\":\"$2\",\"endpoint\":\"$3\",\"address\":\"$4\",\"operators\":\"$5\",\"data_centre\":\"north\",\"leaving\":false}"
}

common_settings() { # NAME OPERATORS_ADDRESS
    cat <<SETTINGS
[instance]
name = "$1"
data_centre = "north"
[operators]
address = "$2"
key = "$operators_key"
[platform]
table = "$platform"
objects = "$platform"
instances = "$platform"
poll_interval_ms = 1000
[traces]
file = "$folder/traces.jsonl"
SETTINGS
}

start_agent() { # ENDPOINT ENDPOINT_ADDRESS
    local name=agent-$1 links operators
    next_address && links=$address
    next_address && operators=$address
    {
        common_settings "$name" "$operators"
        printf '[endpoint]\nname = "%s"\naddress = "%s"\n' "$1" "$2"
        printf '[links]\naddress = "%s"\nkeys = [{ id = "quickstart", secret = "%s" }]\n' "$links" "$link_secret"
        printf '[stop]\nlag_ms = 0\n'
    } >"$folder/$name.toml"
    register "$name" agent "$1" "$links" "$operators"
    start "$name" build/apps/magnolia-agent/magnolia-agent --settings "$folder/$name.toml"
    daemons+=("$name" "$operators")
}

start_entry() { # NAME CALLERS_ADDRESS
    local operators
    next_address && operators=$address
    {
        common_settings "$1" "$operators"
        printf '[callers]\naddress = "%s"\n' "$2"
        printf '[links]\nkeys = [{ id = "quickstart", secret = "%s" }]\n' "$link_secret"
        printf '[stop]\nlag_ms = 200\n'
    } >"$folder/$1.toml"
    register "$1" entry "" "$2" "$operators"
    start "$1" build/apps/magnolia-entry/magnolia-entry --settings "$folder/$1.toml"
    daemons+=("$1" "$operators")
}

ctl() {
    build/apps/magnoliactl/magnoliactl --settings "$folder/magnoliactl.toml" "$@"
}

# Sends a request, prints status, our headers and the body, and fails if the status is another one.
request() { # EXPECTED_STATUS CURL_ARGUMENT...
    local expected=$1 status
    shift
    status=$(curl --silent --show-error --max-time 30 --no-buffer --dump-header "$folder/headers" --output "$folder/body" \
        --write-out '%{http_code}' "$@")
    echo "HTTP $status"
    grep -i -E '^(x-request-id|x-verdict|retry-after):' "$folder/headers" | tr -d '\r' || true
    grep -v '^$' "$folder/body" || true
    echo
    if [ "$status" != "$expected" ]; then
        echo "quickstart: expected status $expected, got $status" >&2
        return 1
    fi
}

chat() { # STREAM TEXT
    printf '{"model":"guide","stream":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2"
}

same_body_as() { # FILE
    if ! cmp --silent "$folder/body" "$1"; then
        echo "quickstart: expected the stored answer again" >&2
        return 1
    fi
}

say "install and build"
scripts/install-packages.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target magnolia-entry magnolia-agent magnoliactl standin-engine standin-platform

say "start the platform's stand-in, two engines and a booking service"
next_address && platform=$address
start platform build/tests/standins/standin-platform --address "$platform"
next_address && engine_1=$address
start engine-1 build/tests/standins/standin-engine --address "$engine_1" --check-fencing --token-interval-ms 20
next_address && engine_2=$address
start engine-2 build/tests/standins/standin-engine --address "$engine_2" --token-interval-ms 20
next_address && bookings=$address
start bookings-1 build/tests/standins/standin-engine --service --address "$bookings"
wait_for platform "http://$platform/instances"
wait_for engine-1 "http://$engine_1/health"
wait_for engine-2 "http://$engine_2/health"
wait_for bookings-1 "http://$bookings/health"

say "start an agent beside each of them, and two entries"
daemons=()
start_agent engine-1 "$engine_1"
start_agent engine-2 "$engine_2"
start_agent bookings-1 "$bookings"
next_address && entry_1=$address
start_entry entry-1 "$entry_1"
next_address && entry_2=$address
start_entry entry-2 "$entry_2"

say "apply examples/manifest.toml"
{
    printf '[operators]\nkey = "%s"\naddresses = [\n' "$operators_key"
    for ((i = 1; i < ${#daemons[@]}; i += 2)); do
        printf '    "%s",\n' "${daemons[i]}"
    done
    printf ']\n[platform]\ntable = "%s"\nobjects = "%s"\ninstances = "%s"\n' "$platform" "$platform" "$platform"
} >"$folder/magnoliactl.toml"
ctl apply --wait examples/manifest.toml
for ((i = 0; i < ${#daemons[@]}; i += 2)); do
    wait_for "${daemons[i]}" "http://${daemons[i + 1]}/readyz"
done

say "a streamed answer for a paying organisation, at entry-1"
request 200 "http://$entry_1/v1/chat/completions" --header "Authorization: Bearer $paying_key" \
    --header 'Content-Type: application/json' --data "$(chat true 'creosote warning')"
grep -q '^data: \[DONE\]' "$folder/body"

say "a whole answer for a trial organisation, at entry-2"
request 200 "http://$entry_2/v1/chat/completions" --header "Authorization: Bearer $trial_key" \
    --header 'Content-Type: application/json' --data "$(chat false 'label changeover')"

say "a booking"
booking=(--header "Authorization: Bearer $paying_key" --header 'Idempotency-Key: door-7' --data '{"door":7,"day":"Monday"}')
request 200 "http://$entry_1/services/bookings/slots" "${booking[@]}"
cp "$folder/body" "$folder/first-booking"

say "the same booking with the same key at the other entry: the stored answer, no second run"
request 200 "http://$entry_2/services/bookings/slots" "${booking[@]}"
same_body_as "$folder/first-booking"
curl --silent --fail "http://$bookings/test/counts" | tee "$folder/counts"
echo
grep -q '"door-7":{"begun":1,' "$folder/counts"

say "a refused request: the trial organisation may not book"
request 403 "http://$entry_1/services/bookings/slots" --header "Authorization: Bearer $trial_key" \
    --header 'Idempotency-Key: door-8' --data '{"door":8}'

say "what the operator sees"
ctl status

if [ "$keep" = yes ]; then
    disown -a
    say "it is running; try"
    echo "curl -N http://$entry_1/v1/chat/completions -H 'Authorization: Bearer $paying_key' -d '$(chat true hello)'"
    echo "curl http://$entry_2/services/bookings/slots -H 'Authorization: Bearer $paying_key' -H 'Idempotency-Key: k1' -d '{}'"
    echo "build/apps/magnoliactl/magnoliactl --settings $folder/magnoliactl.toml status"
    for ((i = 0; i < ${#daemons[@]}; i += 2)); do
        echo "${daemons[i]}: http://${daemons[i + 1]}/status /readyz /metrics"
    done
    echo "settings, logs and traces: $folder"
    echo "end it: kill ${pids[*]}; rm -r $folder"
    exit 0
fi

say "stop everything"
stop_all
[ "$failed_stop" = no ]
echo "quickstart: all is well, and every process is gone"
