#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 into target/review-2/, from the libraries that the deploy file's build has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -pthread -Wall -Wextra -DSPDLOG_SHARED_LIB -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL)
for folder in libs/*/include libs/http/tests platform/src platform/tests tests/path/src; do
    flags+=("-I$folder")
done
mapfile -t archives < <(find target/libs target/platform -name 'libmagnolia_*.a' | sort)
libraries=(-Wl,--start-group "${archives[@]}" -Wl,--end-group -lprometheus-cpp-core -lspdlog -lfmt -levent -lhttp_parser -lxxhash -lssl -lcrypto -lz)
for source in tests/path/src/process.cpp tests/path/src/reservedport.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
wait
for source in review/[6-9]/*.cpp review/10/*.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/process.o" "$out/reservedport.o" "${libraries[@]}" -o "$out/$number-$(basename "$source" .cpp)" &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit $status
