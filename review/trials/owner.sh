#!/usr/bin/env bash
# A trial, no case: see REPORT.md.
#
# An upstream that holds keys sends a surplus answer late, in the place where the next answer is due, while it drains and
# is told to release its keys. Checks OWNER: no upstream is given a key on which another one is still at work, before the
# lease of that other one would have run out. TROUBLE=0: no surplus answers.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
record=$case_folder/record.txt
source "$case_folder/../lib.sh"

load_s=9
drains_after_s=4
work_ms=1500
after_load_s=3

config='{"version":"00000007","routes":[
 {"name":"r-order","host":"order.example","pathPrefix":"/o/","kind":"non_idempotent","timeout":"3000ms","targetLatency":"2500ms","priority":1,"service":"ledger","maxAttempts":2}],
 "services":[{"name":"ledger","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false,"sharded":true,"warmUp":"3s","grants":"request"},
 {"name":"front","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
 "baseVersion":"00000005"}'

[ -x "$tools/review-surplus-server" ] || cannot_run "review-surplus-server is not built"
surplus=grants
[ "$trouble" = 0 ] && surplus=none
start_store
for node in ledger-1 ledger-2 front-1; do
  describe_node "$node" "zone-${node##*-}" "${node%-*}" "$store_port"
  start_router "$node"
done
for node in ledger-1 ledger-2; do
  at=${base[$node]}
  start "server-$node" "$tools/review-surplus-server" --listen "127.0.0.1:$((at + 1))" \
    --reports-to "127.0.0.1:$((at + 6))" --service ledger --id "i-5e1f0a7${node##*-}" --slots 18 --work-ms "$work_ms" \
    --surplus "$surplus" --log "$work/server-$node.runs"
  server_pid[$node]=$pid
done
start_server front-1 front 50
wait_until_ready ledger-1 ledger-2 front-1
sleep 5  # the upstreams' first heartbeats, the division of the keys and their grants

start load "$tools/review-load" --router "127.0.0.1:$((${base[front-1]} + 4))" --host order.example --path /o/place \
  --prefix order --clients 13 --pause-ms 50 --deadline-ms 2900 --first-key 100 --record "$record" --seconds "$load_s"
sleep "$drains_after_s"
note "the upstream at ledger-1 drains"
kill -TERM "${server_pid[ledger-1]}"
sleep $((load_s - drains_after_s + after_load_s))
record_runs

# An upstream takes a range that holds a key on which another one works, whose lease would still last.
violations=$(grep "^run at server-ledger" "$record" | sort -s -n -k4,4 | awk '
  $5 == "begin" { keys[$7] = 1; work[$3, $7, $6] = 1; ids[$3, $7] = ids[$3, $7] " " $6 }
  $5 == "end" { delete work[$3, $7, $6] }
  $5 == "take" {
    for (key in keys) if (key + 0 >= $6 + 0 && key + 0 <= $7 + 0) {
      for (other in servers) if (other != $3 && lease[other, key] > $4) {
        n = split(ids[other, key], list, " ")
        for (i = 1; i <= n; i++) if ((other, key, list[i]) in work && !((key, list[i]) in told)) {
          told[key, list[i]] = 1
          printf "at %s %s takes key %s while %s works on %s, its lease lasts %d ms more\n", $4, $3, key, other, list[i], lease[other, key] - $4
        }
      }
      lease[$3, key] = $4 + $9
    }
    servers[$3] = 1
  }')
served=$(grep -c " answered .* 200$" "$record")
[ -n "$violations" ] && echo "$violations" >> "$record"
note "$(grep -c " sent " "$record") sent, $served answered with 200; keys taken while another upstream worked on them: $(grep -c . <<< "$violations")"
tail -n 1 "$record"
[ "$served" -gt 0 ] || cannot_run "no request was served"
[ -z "$violations" ] && exit 0
echo "OWNER is broken" | tee -a "$record"
exit 1
