#!/usr/bin/env bash
# Installs the packages that the build needs, if any is missing (Debian).
set -eu
PACKAGES="build-essential cmake ninja-build ccache pkg-config curl openssl
  clang-format clang-tidy
  libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  libboost-dev libboost-test-dev libcpp-httplib-dev libcli11-dev
  liblog4cplus-dev libexpected-dev nlohmann-json3-dev libtomlplusplus-dev liburcu-dev
  libxxhash-dev libssl-dev zlib1g-dev libbenchmark-dev"
missing=""
for package in $PACKAGES; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq $missing >/dev/null
