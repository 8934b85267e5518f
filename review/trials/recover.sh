#!/usr/bin/env bash
# A trial, no case: see REPORT.md.
#
# All router processes are killed at once and started again, while answers of the platform's store are lost for two
# seconds. Checks RECOVER: of the requests sent later than `recovery` after the machines are back, a quarter or more is
# served. TROUBLE=0: no process is killed and no answer is lost.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
record=$case_folder/record.txt
source "$case_folder/../lib.sh"

recovery_s=15       # bound `recovery` of the site
load_before_s=6
late_ms=4000        # the site's days have such writes done 1 to 6 s later
lost_answers_s=2
measured_s=10

config='{"version":"00000007","routes":[
 {"name":"r-alpha","host":"alpha.example","pathPrefix":"/a/","kind":"idempotent","timeout":"2500ms","targetLatency":"600ms","priority":2,"service":"alpha","maxAttempts":2},
 {"name":"r-beta","host":"beta.example","pathPrefix":"/b/","kind":"non_idempotent","timeout":"3000ms","targetLatency":"800ms","priority":1,"service":"beta","maxAttempts":2}],
 "services":[{"name":"alpha","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false},
 {"name":"beta","healthPath":"/health","maxConnections":120,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
 "baseVersion":"00000005"}'
nodes=(alpha-1 alpha-2 beta-1 beta-2)

[ -x "$tools/review-store-proxy" ] || cannot_run "review-store-proxy is not built"
start_store
take_ports
proxy_port=$port
start proxy "$tools/review-store-proxy" --listen "127.0.0.1:$proxy_port" --store "127.0.0.1:$store_port"
wait_for_port "$proxy_port"
for node in "${nodes[@]}"; do
  describe_node "$node" "zone-${node##*-}" "${node%-*}" "$proxy_port"
  start_router "$node"
  start_server "$node" "${node%-*}" 100
done
wait_until_ready "${nodes[@]}"
sleep 3  # the servers' first heartbeats and the routers' records of them

# load NODE HOST PATH METHOD: clients on the node's machine, which ask the other service.
load() {
  start "load-$1" "$tools/review-load" --router "127.0.0.1:$((${base[$1]} + 4))" --host "$2" --path "$3" --method "$4" \
    --prefix "$1" --clients 5 --pause-ms 200 --deadline-ms 2500 --record "$record" \
    --seconds $((load_before_s + 1 + recovery_s + measured_s))
}
load alpha-1 beta.example /b/order POST
load alpha-2 beta.example /b/order POST
load beta-1 alpha.example /a/look GET
load beta-2 alpha.example /a/look GET
sleep "$load_before_s"

fault_ms=$(now_ms)
if [ "$trouble" != 0 ]; then
  note "all router processes are killed; answers of the store's writes are lost for $lost_answers_s s"
  post "$proxy_port" /late "$late_ms" > /dev/null
  for node in "${nodes[@]}"; do kill -KILL "${router_pid[$node]}"; done
fi
sleep 1
back_ms=$(now_ms)
if [ "$trouble" != 0 ]; then
  for node in "${nodes[@]}"; do start_router "$node"; done
  note "all router processes are started again"
  sleep "$lost_answers_s"
  post "$proxy_port" /late 0 > /dev/null
  note "the store's answers are no longer lost"
fi
sleep $((recovery_s + measured_s - lost_answers_s * (trouble != 0) - 1))
grep -h "late" "$work/proxy.log" | sed 's/^/store: /' >> "$record"
record_runs

# share FROM_MS UNTIL_MS: prints the requests sent in that time and how many of them were answered with 200.
share() {
  awk -v from="$1" -v until="$2" '$2 == "sent" && $1 >= from && $1 < until { sent[$3] = 1; n++ }
    $2 == "answered" && $4 == 200 && ($3 in sent) { served++ } END { print n + 0, served + 0 }' "$record"
}
read -r before before_served <<< "$(share 0 "$fault_ms")"
measure_ms=$((back_ms + recovery_s * 1000))
read -r after after_served <<< "$(share "$measure_ms" $((measure_ms + (measured_s - 3) * 1000)))"
note "before the fault: $before_served of $before served; from $recovery_s s after the machines were back: $after_served of $after"
tail -n 1 "$record"
[ "$before" -gt 0 ] && [ "$after" -gt 0 ] && [ $((before_served * 4)) -ge "$before" ] || cannot_run "too few requests were sent, or served before the fault"
[ $((after_served * 4)) -ge "$after" ] && exit 0
echo "RECOVER is broken" | tee -a "$record"
exit 1
