#!/usr/bin/env bash
# An upstream of a service that is divided by key sends surplus answers late, in the place where the next answer is due.
# Checks TWICE: a request that is not idempotent does not run more than one time. Also counts, for REFUSED, requests
# that were answered as not run though they have run. TROUBLE=0: no surplus answers.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
record=$case_folder/record.txt
source "$case_folder/../lib.sh"

bursts=12
clients=4  # as many as the upstream has slots
work_ms=250
after_load_s=2  # longer than a request runs

config='{"version":"00000007","routes":[
 {"name":"r-order","host":"order.example","pathPrefix":"/o/","kind":"non_idempotent","timeout":"3000ms","targetLatency":"800ms","priority":1,"service":"ledger","maxAttempts":3}],
 "services":[{"name":"ledger","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false,"sharded":true,"warmUp":"3s","grants":"request"},
 {"name":"front","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
 "baseVersion":"00000005"}'

[ -x "$tools/review-surplus-server" ] || cannot_run "review-surplus-server is not built"
surplus=refusals
[ "$trouble" = 0 ] && surplus=none
start_store
describe_node ledger-1 zone-1 ledger "$store_port"
describe_node front-1 zone-2 front "$store_port"
start_router ledger-1
start_router front-1
start server-ledger-1 "$tools/review-surplus-server" --listen "127.0.0.1:$((${base[ledger-1]} + 1))" \
  --reports-to "127.0.0.1:$((${base[ledger-1]} + 6))" --service ledger --id i-5e1f0a7c --slots "$clients" \
  --work-ms "$work_ms" --surplus "$surplus" --log "$work/server-ledger-1.runs"
start_server front-1 front 50
wait_until_ready ledger-1 front-1
sleep 5  # the upstream's first heartbeat, the division of the keys and their grants

# Each burst comes over new connections to the upstream, since it has closed the idle ones: some requests find it full.
for burst in $(seq $bursts); do
  "$tools/review-load" --router "127.0.0.1:$((${base[front-1]} + 4))" --host order.example --path /o/place \
    --prefix "order-$burst" --clients $clients --pause-ms 10000 --deadline-ms 2500 --first-key 100 --record "$record" \
    --seconds 2
done
sleep "$after_load_s"
record_runs

twice=$(awk '$1 == "run" && $5 == "begin" { runs[$6]++ } END { for (id in runs) if (runs[id] > 1) print id }' \
  "$record" | sort -V)
not_refused=$(awk '$2 == "answered" && ($4 == 429 || $4 == 503 || $4 == 408 || $4 == 421) { refused[$3] = 1 }
  $1 == "run" && $5 == "begin" { run[$6] = 1 }
  END { for (id in refused) if (id in run) print id }' "$record" | sort -V)
served=$(grep -c " answered .* 200$" "$record")
note "$(grep -c " sent " "$record") sent, $served answered with 200"
note "ran more than once: $(wc -w <<< "$twice") ($(tr '\n' ' ' <<< "$twice"))"
note "answered as not run, but run: $(wc -w <<< "$not_refused") ($(tr '\n' ' ' <<< "$not_refused"))"
tail -n 3 "$record"
[ "$served" -gt 0 ] || cannot_run "no request was served"
[ -z "$twice" ] && exit 0
echo "TWICE is broken" | tee -a "$record"
exit 1
