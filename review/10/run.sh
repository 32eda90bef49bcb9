#!/usr/bin/env bash
# Upstreams send a share of their answers without end.
# With TROUBLE=0 (see scene-2.sh) there is no disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../scene-2.sh"

start_store
put_config '{"version":"00000001","resources":[
 {"type":"routes","metadata":{"name":"r-sale"},"spec":{"host":"sales.example","prefix":"/sales/","kind":"idempotent","timeout":"800ms","slo":"300ms","priority":1,"service":"ledger","attempts":2}},
 {"type":"services","metadata":{"name":"ledger"},"spec":{"healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}},
 {"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}'
for i in $(seq 5); do
  start_server "s$i" $((10 + i)) --service ledger --fault endless --fault-percent 5
done
sleep 1
for i in 1 2 3; do start_host "h$i" $((i + 1)); done
for i in 2 3 4; do wait_ready "$i"; done
note "the hosts are ready"
callers sales --hosts "$net.2:7000,$net.3:7000,$net.4:7000" --name sales.example \
  --path /sales/new --clients 24 --pause-ms 50 --deadline-ms 4000 --seconds 14
sleep 3
if [ "$trouble" != 0 ]; then send_signal USR2 s1 s2 s3; fi
sleep 5.5
if [ "$trouble" != 0 ]; then send_signal USR2 s1 s2 s3; fi
wait "${pids[sales]}"
write_record "$here"
# Requests without an end (an answer or a closed connection) at the route's timeout of 0.8 s, and
# those of them without one half a second later.
awk '$2 == "client" && $3 == "sends" { sent[$4] = $1 }
     $2 == "client" && ($4 == "gets" || $4 == "unanswered") { all++; took = $1 - sent[$3]
       if (took > 800) { long++; if (took > 1300) never++ } }
     END { print "requests: " all ", unanswered at the timeout: " long + 0 ", and 0.5 s later: " never + 0
           exit !all ? 2 : never >= 8 && never * 2 > long ? 1 : 0 }' "$here/record.txt"
