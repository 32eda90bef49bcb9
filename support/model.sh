#!/usr/bin/env bash
# Checks every model under model/ and every mutant of it, and prints a line for each:
#   model, removed guard or "-", verdict (ok, counterexample, truncated, broken), states.
# A mutant is the model with one guard removed by the preprocessor; Spin must find a counterexample.
# Fails if a model violates an assertion or its search is incomplete, or if a mutant has no
# counterexample. Each search is breadth-first and limited to 4 GB and 300 s; three run in parallel.
# Usage: model.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
source=$(pwd)/model
work=${1:-build}/model
rm -rf "$work"
mkdir -p "$work"
cd "$work"

parallelRuns=3
memoryMb=4000
export source memoryMb

# Prints each name used in an #ifdef or #ifndef, except bounds: names that the model also defines as
# a number.
guardsOf() {
  comm -23 \
    <(sed -n 's/^#if\(n\)\?def \([A-Z_]*\)$/\2/p' "$1" | sort -u) \
    <(sed -n 's/^#define \([A-Z_]*\) [0-9]*$/\1/p' "$1" | sort -u)
}

check() {
  local model=$1 guard=$2 folder=$1-$2 verdict=broken option=()
  [ "$guard" = - ] || option=("-D$guard")
  mkdir -p "$folder"
  cd "$folder"
  spin -a "${option[@]}" "$source/$model.pml" >spin.txt 2>&1 || true
  gcc -O2 -DSAFETY -DBFS -DCOLLAPSE "-DMEMLIM=$memoryMb" -w -o pan pan.c >gcc.txt 2>&1 || true
  timeout 300 ./pan -n >pan.txt 2>&1 || true
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\)$/\1/p' pan.txt)
  states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' pan.txt)
  if grep -q 'assertion violated' pan.txt && [ "${errors:-0}" -gt 0 ]; then
    verdict=counterexample
  elif [ "${errors:-}" = 0 ] && grep -q 'Search not completed\|max search depth\|out of memory' pan.txt; then
    verdict=truncated
  elif [ "${errors:-}" = 0 ]; then
    verdict=ok
  fi
  printf '%-15s %-22s %-15s %s\n' "$model" "$guard" "$verdict" "${states:-?}"
}
export -f check

for file in "$source"/*.pml; do
  model=$(basename "$file" .pml)
  echo "$model -"
  guardsOf "$file" | sed "s/^/$model /"
done >runs.txt
xargs -P "$parallelRuns" -L 1 bash -c 'check "$@"' check <runs.txt >results.txt
sort results.txt

bad=$(awk '($2 == "-" && $3 != "ok") || ($2 != "-" && $3 != "counterexample")' results.txt)
if [ "$(wc -l <results.txt)" != "$(wc -l <runs.txt)" ] || [ -n "$bad" ]; then
  echo "Wrong verdicts:"
  echo "$bad"
  exit 1
fi
