#!/usr/bin/env bash
# Regenerates the C++ sources of proto/peers.proto. Run it after a change of that file; the output
# is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=src/peers/generated --grpc_out=src/peers/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peers.proto
