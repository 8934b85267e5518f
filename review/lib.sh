# Functions that the scripts of the review share. A script sources this file; it has set `record`, the file record.txt in
# its folder. It keeps all other files in a temporary folder, `work`.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
tools=$root/review/build
router=$root/target/shedleverd
trouble=${TROUBLE:-1}
grants=request  # how upstreams get their keys
work=$(mktemp -d)
started=()

cannot_run() {
  echo "cannot run: $1" | tee -a "$record"
  exit 2
}

# Ends all processes that the script started, also those that it started again and listed in $work/restarted.
stop_all() {
  local pid
  for pid in "${started[@]}" $(cat "$work/restarted" 2>/dev/null); do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

for program in "$router" "$tools/standin-metadata" "$tools/standin-keys" "$tools/review-load"; do
  [ -x "$program" ] || cannot_run "$program is not built"
done
: > "$record"

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >> "$record"; }

is_free() { ! (exec 3<> "/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Sets `port` to the first of ten free ports in a row, below those that the kernel gives out.
next_port=$((20000 + RANDOM % 1000 * 10))
take_ports() {
  local tries offset all_free
  for tries in {1..50}; do
    port=$next_port
    next_port=$((next_port + 10))
    all_free=1
    for offset in {0..9}; do
      is_free $((port + offset)) || all_free=0
    done
    [ $all_free = 1 ] && return
  done
  cannot_run "no free ports"
}

# start NAME COMMAND...: starts a process; its output goes to NAME.log in the work folder. Sets `pid`.
start() {
  local name=$1
  shift
  "$@" >> "$work/$name.log" 2>&1 &
  pid=$!
  started+=("$pid")
}

# post PORT PATH BODY: sends a POST to a loopback address and prints the first line of the answer.
post() {
  exec 3<> "/dev/tcp/127.0.0.1/$1" || return 1
  printf 'POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "$2" "${#3}" "$3" >&3
  head -n 1 <&3
  exec 3>&-
}

# Starts the stand-in of the store at `store_port`, with the configuration in the environment's `config`.
start_store() {
  take_ports
  store_port=$port
  start store "$tools/standin-metadata" --listen "127.0.0.1:$store_port"
  wait_for_port "$store_port"
  post "$store_port" /objects/config "{\"metadata\":{\"name\":\"main\"},\"spec\":$config}" > /dev/null
}

wait_for_port() {
  local tries
  for tries in {1..100}; do
    is_free "$1" || return 0
    sleep 0.05
  done
  cannot_run "nothing listens at port $1"
}

# describe_node NAME ZONE SERVICE STORE_PORT: takes the node's ports and writes its settings file, as
# deploy/settings.json.template lays it out. The node's ports: base (peers), +1 server, +2 readiness, +4 clients,
# +6 reports.
declare -A base
describe_node() {
  take_ports
  base[$1]=$port
  cat > "$work/$1.json" <<SETTINGS
{"interface": "platform",
 "node": {"name": "$1", "zone": "$2", "service": "$3"},
 "listen": {"clients": "127.0.0.1:$((port + 4))", "peers": "127.0.0.1:$port",
            "readiness": "127.0.0.1:$((port + 2))", "reports": "127.0.0.1:$((port + 6))"},
 "connect": {"server": "127.0.0.1:$((port + 1))", "store": "127.0.0.1:$4"},
 "link": {"mbps": 1000.0},
 "retry": {"ratio": 0.2, "slack": 58},
 "stop": {"grace": "6s", "drain": "2000ms"},
 "config": {"within": "2000ms"},
 "evacuation": {},
 "ownership": {"grants": "$grants", "shared_writes_from": 0, "longest_grant": "10000ms"}}
SETTINGS
}

declare -A router_pid server_pid
start_router() {
  start "$1" "$router" --settings "$work/$1.json"
  router_pid[$1]=$pid
}

# start_server NODE SERVICE WORK_MS
start_server() {
  local at=${base[$1]}
  start "server-$1" "$tools/standin-keys" --listen "127.0.0.1:$((at + 1))" --reports-to "127.0.0.1:$((at + 6))" \
    --service "$2" --slots 18 --work-ms "$3" --log "$work/server-$1.runs"
  server_pid[$1]=$pid
}

# is_ready NODE: whether the router answers 200 to the platform's readiness question.
is_ready() {
  local line
  exec 3<> "/dev/tcp/127.0.0.1/$((${base[$1]} + 2))" || return 1
  printf 'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  read -r line <&3
  exec 3>&-
  [[ $line == *" 200 "* ]]
} 2>/dev/null

wait_until_ready() {
  local node tries
  for node in "$@"; do
    for tries in {1..100}; do
      is_ready "$node" && break
      sleep 0.1
    done
    is_ready "$node" || cannot_run "$node is not ready"
  done
}

# Copies what the servers ran into the record.
record_runs() {
  local file
  for file in "$work"/server-*.runs; do
    sed "s|^|run at $(basename "$file" .runs): |" "$file" >> "$record"
  done
}
