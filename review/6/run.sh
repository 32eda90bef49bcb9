#!/usr/bin/env bash
# Two of 14 upstreams crash at the same moment, twice, while clients send orders in chunks on one path.
# With TROUBLE=0 (see scene-2.sh) there is no disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../scene-2.sh"

start_store
put_config '{"version":"00000001","resources":[
 {"type":"routes","metadata":{"name":"r-sale"},"spec":{"host":"sales.example","prefix":"/sales/","kind":"non_idempotent","timeout":"1000ms","slo":"300ms","priority":1,"service":"ledger","attempts":2}},
 {"type":"services","metadata":{"name":"ledger"},"spec":{"healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}},
 {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}'
for i in $(seq 14); do start_server "s$i" $((10 + i)) --service ledger --work-ms 150; done
sleep 1
start_host h1 2
wait_ready 2
note "the host is ready"
callers sales --hosts "$net.2:7000" --name sales.example --path /sales/new --method POST \
  --chunked 1 --clients 56 --pause-ms 40 --jitter-ms 80 --seconds 22
crash_two() {
  [ "$trouble" = 0 ] && return
  send_signal KILL "$1" "$2"
  sleep 4.5
  note "two upstreams start in their places"
  start_server "t$1" "$3" --service ledger --work-ms 150
  start_server "t$2" "$4" --service ledger --work-ms 150
}
sleep 4
crash_two s3 s9 13 19
sleep 3
crash_two s5 s12 15 22
wait "${pids[sales]}"
write_record "$here"
awk '$2 == "client" && $4 == "gets" { all++; if ($5 ~ /^4/ && $5 !~ /^(408|421|429)$/ && $7 == "none") own++; count[$5]++ }
     $2 == "client" && $4 == "unanswered" { all++ ; count["unanswered"]++ }
     END { for (each in count) print "answered " each ": " count[each]
           print "requests: " all ", ended with a 4xx of the host: " own + 0 ", allowed: " 5 + all / 500
           exit own > 5 + all / 500 ? 1 : all == 0 ? 2 : 0 }' "$here/record.txt"
