# Functions that the scripts of the second review share; sourced by review/N/run.sh.
# Sets up a small deployment on loopback addresses of its own: the stand-in store, upstreams,
# and hosts that run `target/pimentomast serve` with settings made from deploy/settings.ini.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
stand_ins=$top/target/review-2
scratch=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250))
store=$net.1:9000
trouble=${TROUBLE:-1}
declare -A pids=()
mkdir "$scratch/events"

for program in "$top/target/pimentomast" "$stand_ins"/{platform-store,key-server,callers-2,pipeline-2}; do
  [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done

# Ends all processes that the script started, whatever happened.
end_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$scratch"
}
trap end_all EXIT

note() { echo "$(awk '{print int($1 * 1000)}' /proc/uptime) script $*" >> "$scratch/events/script"; }

start_store() {
  "$stand_ins/platform-store" --address "$store" > "$scratch/store.log" 2>&1 &
  pids[store]=$!
  disown
  local i
  for i in $(seq 100); do
    curl_store PUT /outage/off "" && return 0
    sleep 0.05
  done
  echo "the store does not start"; exit 2
}

# curl_store METHOD PATH BODY: one call to the store, without any tool but bash.
curl_store() {
  local reply
  exec 9<>"/dev/tcp/${store%:*}/${store#*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$2" "${#3}" "$3" >&9
  IFS= read -r -t 2 reply <&9 || reply=""
  exec 9>&- 9<&-
  [[ $reply == *" 200 "* ]]
} 2>/dev/null

# put_config JSON: the operator writes the configuration.
put_config() { curl_store PUT /row/op/config "$(printf '%s' "$1" | base64 -w 0)"; }

# start_server NAME ADDRESS-NUMBER [options of key-server]
start_server() {
  local name=$1 number=$2
  shift 2
  "$stand_ins/key-server" --address "$net.$number:8000" --id "$name" --store "$store" \
    --record "$scratch/events/$name" "$@" > "$scratch/$name.log" 2>&1 &
  pids[$name]=$!
  disown
}

# start_host NAME ADDRESS-NUMBER
start_host() {
  local settings=$scratch/$1.ini ip=$net.$2
  sed -e "s/{{node}}/$1/; s/{{zone}}/kalimati/; s/{{listen.front}}/$ip:7000/" \
    -e "s/{{ip}}:{{portRange.0}}/$ip:7001/; s/{{listen.ready}}/$ip:7002/" \
    -e "s/{{limits.cpuShare}}/0.5/; s/{{provider.address}}/$store/; s/{{limits.maxFds}}/4100/" \
    -e "s/{{bounds}}/stability=3000ms,drain=2000ms,grace=6s,configApply=2000ms,recover=15s,holdMax=10000ms,thaw=300ms/" \
    "$top/deploy/settings.ini" > "$settings"
  "$top/target/pimentomast" serve --settings "$settings" > "$scratch/$1.log" 2>&1 &
  pids[$1]=$!
  disown
}

# wait_ready ADDRESS-NUMBER: until the host says that it is ready.
wait_ready() {
  local i reply
  for i in $(seq 200); do
    if { exec 8<>"/dev/tcp/$net.$1/7002"; } 2>/dev/null; then
      printf 'GET /health HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n' >&8
      IFS= read -r -t 2 reply <&8 || reply=""
      exec 8>&- 8<&-
      [[ $reply == *" 200 "* ]] && return 0
    fi
    sleep 0.1
  done
  echo "the host at $net.$1 is not ready"; exit 2
}

# send_signal SIGNAL NAME...
send_signal() {
  local signal=$1 name list=()
  shift
  for name in "$@"; do list+=("${pids[$name]}"); done
  note "SIG$signal to $*"
  kill -"$signal" "${list[@]}"
}

# callers NAME [options of callers-2]: starts clients in the background.
callers() {
  local name=$1
  shift
  "$stand_ins/callers-2" --record "$scratch/events/$name" "$@" &
  pids[$name]=$!
}

# write_record FOLDER: all events in the order of time.
write_record() { sort -n -s "$scratch"/events/* > "$1/record.txt"; }
