#!/usr/bin/env bash
# Builds the cases of the third review and their stand-ins into target/review-3/. The packages of
# deploy/system.toml suffice.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wpedantic -Ireview/11/stand-ins)
compile() { g++ "${flags[@]}" -c "$1" -o "$out/$2.o"; }
pids=()
for source in review/11/stand-ins/*.cc; do
  compile "$source" "$(basename "$source" .cc)" &
  pids+=($!)
done
for source in review/1[1-5]/case.cc; do
  compile "$source" "case-$(basename "$(dirname "$source")")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
objects=()
for source in review/11/stand-ins/*.cc; do objects+=("$out/$(basename "$source" .cc).o"); done
for source in review/1[1-5]/case.cc; do
  name=case-$(basename "$(dirname "$source")")
  g++ "$out/$name.o" "${objects[@]}" -o "$out/$name" -lPocoJSON -lPocoFoundation -lpthread
done
