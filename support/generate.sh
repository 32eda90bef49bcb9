#!/usr/bin/env bash
# Writes the messages' sources again after a change of proto/peers.proto; they are committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=src/peers/generated --grpc_out=src/peers/generated \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peers.proto
