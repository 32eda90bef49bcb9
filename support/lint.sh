#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy over them.
# Usage: lint.sh [build folder] [files...]; without files, over all.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cc$' | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
