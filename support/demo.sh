#!/usr/bin/env bash
# Sets up a fresh machine, builds, and runs a whole installation on loopback: stand-in platform,
# six targets, three hosts, requests through all of them. Exits 0 only if every response was correct.
# Usage: demo.sh [--keep]; --keep leaves it running until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
support/setup.sh
support/build.sh build
PIMENTOMAST_BIN=build exec build/test/demo "$@"
