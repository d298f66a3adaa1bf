#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Comes after the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
includes=(-Ireview/standins -Iplatform/src -Iplatform/tests -Itests/path/src -Itests/standins/src -Ilibs/http/tests -Ilibs/http/src)
for folder in libs/*/include; do
    includes+=("-I$folder")
done
flags=(-std=c++20 -O1 -g "${includes[@]}")
libraries=(target/platform/libmagnolia_adapters.a)
for name in forward group peers settings wire store routing observe http base; do
    libraries+=("target/libs/$name/libmagnolia_$name.a")
done
compile() {
    g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cpp).o"
}
pids=()
for source in review/standins/*.cpp tests/path/src/reservedport.cpp tests/standins/src/relay.cpp tests/standins/src/scheduler.cpp \
    tests/standins/src/replies.cpp; do
    compile "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
shared=("$out/runcase.o" "$out/reservedport.o" "$out/relay.o" "$out/scheduler.o" "$out/replies.o")
for source in review/standins/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != runcase ]; then
        g++ "$out/$name.o" "${shared[@]}" -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
            -levent -lhttp_parser -lspdlog -lfmt -lprometheus-cpp-core -lxxhash -lssl -lcrypto -lz -lpthread -o "$out/$name"
    fi
done
echo "review: stand-ins are built"
