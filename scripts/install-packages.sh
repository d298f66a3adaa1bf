#!/usr/bin/env bash
# Installs every Debian package that building, testing and checking need. Does nothing where all are there.
set -euo pipefail

packages=(
    g++ ccache cmake ninja-build pkg-config curl clang-format clang-tidy
    libboost-dev libboost-test-dev libboost-system-dev libboost-filesystem-dev
    libevent-dev libhttp-parser-dev libwebsocketpp-dev libssl-dev
    libtomlplusplus-dev nlohmann-json3-dev libexpected-dev
    libspdlog-dev libfmt-dev prometheus-cpp-dev
    libxxhash-dev libpcg-cpp-dev zlib1g-dev
    iproute2
)

missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query --show --showformat='${db:Status-Status}' "$package" 2>/dev/null || true)
    if [ "$status" != installed ]; then
        missing+=("$package")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi

as_root=()
if [ "$(id -u)" -ne 0 ]; then
    as_root=(sudo)
fi
echo "install-packages: installing ${missing[*]}"
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
