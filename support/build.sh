#!/usr/bin/env bash
# Configures and builds into build/ (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build"
