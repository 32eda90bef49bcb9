#!/usr/bin/env bash
# Case 4; claim.txt says what it shows. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the stop out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
[ -x target/pimentomast ] && [ -x target/review/silence ] || exit 2
target/review/silence "$folder" "$here/record.txt" "${TROUBLE:-1}" &
checker=$!
pids+=("$checker")
for _ in $(seq 50); do
  [ -f "$folder/ready" ] && break
  sleep 0.1
done
[ -f "$folder/ready" ] || exit 2
for host in 1 2; do
  target/pimentomast serve --settings "$folder/host-$host.ini" >"$folder/host-$host.log" 2>&1 &
  pids+=("$!")
done
while kill -0 "$checker" 2>/dev/null; do
  if [ -f "$folder/stop" ] && [ ! -f "$folder/stopped" ]; then
    kill -TERM "${pids[1]}"
    touch "$folder/stopped"
  fi
  sleep 0.02
done
wait "$checker"
result=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
exit "$result"
