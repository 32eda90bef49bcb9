#!/usr/bin/env bash
# One of eight upstreams fails half of its requests with 503 after it has run them.
# With TROUBLE=0 (see scene-2.sh) there is no disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../scene-2.sh"

start_store
put_config '{"version":"00000001","resources":[
 {"type":"routes","metadata":{"name":"r-sale"},"spec":{"host":"sales.example","prefix":"/sales/","kind":"non_idempotent","timeout":"1000ms","slo":"300ms","priority":1,"service":"ledger","attempts":2}},
 {"type":"services","metadata":{"name":"ledger"},"spec":{"healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}},
 {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}'
for i in $(seq 8); do
  start_server "s$i" $((10 + i)) --service ledger --fault fails --fault-percent 50
done
sleep 1
for i in 1 2 3; do start_host "h$i" $((i + 1)); done
for i in 2 3 4; do wait_ready "$i"; done
note "the hosts are ready"
callers sales --hosts "$net.2:7000,$net.3:7000,$net.4:7000" --name sales.example \
  --path /sales/new --method POST --clients 12 --pause-ms 50 --retries 2 --seconds 14
sleep 3
if [ "$trouble" != 0 ]; then send_signal USR2 s3; fi
sleep 8
if [ "$trouble" != 0 ]; then send_signal USR2 s3; fi
wait "${pids[sales]}"
write_record "$here"
awk '$3 == "runs" { ran[$4] = 1; all++; if (order_ran[$5]++ == 1) twice++ }
     $2 == "client" && $4 == "gets" && ($5 == "503" || $5 == "429") && $3 in ran { refused++ }
     END { print "runs: " all ", answered 429 or 503 though run: " refused + 0 ", orders run twice: " twice + 0
           exit !all ? 2 : refused > 0 ? 1 : 0 }' "$here/record.txt"
