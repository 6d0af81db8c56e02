#!/usr/bin/env bash
# Installs the packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(
  g++ cmake make ninja-build ccache clang-format clang-tidy pkg-config curl python3
  libcxxtools-dev libboost-dev libboost-context-dev libboost-coroutine-dev
  libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  libcli11-dev liblog4cplus-dev catch2 librapidcheck-dev libbenchmark-dev
  rapidjson-dev libssl-dev libabsl-dev libxxhash-dev libzstd-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo="sudo"
  $sudo apt-get update -qq
  $sudo env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y --no-install-recommends "${missing[@]}"
fi

cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "$(nproc)"
