#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() {
  g++ -std=c++20 -O1 -o "target/review-2/$1" "review/$1.cc" -lPocoNet -lPocoJSON -lPocoFoundation -pthread
}
for name in platform-store key-server callers-2 pipeline-2; do
  build "$name" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
