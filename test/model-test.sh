#!/usr/bin/env bash
# Runs the model check. First verifies that support/model.sh can fail: it must reject a model with a
# guard removed, a guard whose removal gives no counterexample, and a truncated search.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
copy=$build/model-copy

prepareCopy() {
  rm -rf "$copy"
  mkdir -p "$copy/model" "$copy/support"
  cp "$root/support/model.sh" "$copy/support/"
  cp "$root/model/rewrite.pml" "$copy/model/"
}

mustFail() {
  if bash "$copy/support/model.sh" "$copy/out" >"$copy/log.txt"; then
    echo "model.sh accepted $1"
    exit 1
  fi
  grep -q 'Wrong verdicts' "$copy/log.txt"
}

prepareCopy
sed -i 's/^#define LEASE 2/#define LEASE 2\n#define UNSETTLED_IGNORED/' "$copy/model/rewrite.pml"
mustFail "a wrong model"

prepareCopy
printf '#ifdef NOTHING\n#endif\n' >>"$copy/model/rewrite.pml"
mustFail "a guard without a counterexample"

prepareCopy
sed -i 's/memoryMb=4000/memoryMb=8/' "$copy/support/model.sh"
mustFail "a truncated search"

bash "$root/support/model.sh" "$build"
