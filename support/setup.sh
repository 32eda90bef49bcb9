#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y g++ cmake ninja-build clang-format clang-tidy ccache >/dev/null
apt-get install -y libpoco-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc >/dev/null
apt-get install -y libboost-log-dev libboost-program-options-dev libboost-dev >/dev/null
apt-get install -y libcriterion-dev libxxhash-dev spin librapidcheck-dev libcsv-dev >/dev/null
