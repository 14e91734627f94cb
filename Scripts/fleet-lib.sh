# Functions that run a local fleet on loopback: one process with the stand-ins of
# the platform and the engines, and one process per node. The scripts in this
# folder source it.

binary=${LENTILSWITCH:-build/Source/LentilSwitch/lentilswitch}
base_port=${BASE_PORT:-21000}
work_dir=$(mktemp -d)
operator_key=demo-operator:demo-operator-secret
standin_pid=
declare -A node_pid

table_address=127.0.0.1:$base_port
hosts_address=127.0.0.1:$((base_port + 2))

# Kills only the processes that this script started.
stop_all() {
  local pid
  for pid in "${node_pid[@]}" $standin_pid; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work_dir"
}
trap stop_all EXIT

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after
# the timeout.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.1
  done
}

# start_standins OPTION...: starts `lentilswitch standin` with the options and
# waits up to 10 s for it.
start_standins() {
  "$binary" standin --port "$base_port" "$@" >"$work_dir/standins" 2>"$work_dir/standins.log" &
  standin_pid=$!
  wait_for 10 curl -sf "http://$hosts_address/v1/hosts?version=0"
}

http_address() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 600 + $1))"; }
zone_of() { local zones=(zone-a zone-b zone-c); echo "${zones[$(($1 % 3))]}"; }

publish_node() {
  curl -sf "http://$hosts_address/v1/admin/hosts" -d "{\"put\":[{
    \"name\":\"node-$1\",\"role\":\"node\",\"state\":\"live\",
    \"zone\":\"$(zone_of "$1")\",\"region\":\"region-1\",
    \"address\":\"$(http_address "$1")\",
    \"peer_address\":\"$(peer_address "$1")\"}]}" >/dev/null
}

unpublish_node() {
  curl -sf "http://$hosts_address/v1/admin/hosts" \
    -d "{\"remove\":[\"node-$1\"]}" >/dev/null
}

# start_node NUMBER: starts a node process and adds it to the host list.
start_node() {
  cat >"$work_dir/node-$1.json" <<SETTINGS
{
  "name": "node-$1", "zone": "$(zone_of "$1")", "region": "region-1",
  "listen": { "http": "$(http_address "$1")", "peer": "$(peer_address "$1")" },
  "platform": {
    "table": "http://$table_address",
    "objects": "http://127.0.0.1:$((base_port + 1))",
    "hosts": "http://$hosts_address",
    "weights": "http://127.0.0.1:$((base_port + 3))"
  },
  "peer_keys": [{ "id": "local", "secret": "local-fleet-peer-secret" }],
  "operator_keys": [{ "id": "${operator_key%%:*}", "secret": "${operator_key##*:}",
                      "sections": ["*"] }],
  "timing": { "endpoint_cache_ms": 1000 }
}
SETTINGS
  "$binary" node "$work_dir/node-$1.json" >>"$work_dir/node-$1.log" 2>&1 &
  node_pid[$1]=$!
  publish_node "$1"
}

node_ready() { curl -sf "http://$(http_address "$1")/readyz"; }

# start_fleet NODES: starts the nodes, imports the fleet document, creates the
# budgets and waits until every node is ready.
start_fleet() {
  local i
  for ((i = 1; i <= $1; i++)); do start_node "$i"; done
  "$binary" demo --print-document >"$work_dir/document.json"
  wait_for 10 curl -sf "http://$(http_address 1)/healthz"
  "$binary" config import "$work_dir/document.json" \
    --node "http://$(http_address 1)" --key "$operator_key" >/dev/null
  for budget in clinic repairs reports heavy; do
    "$binary" budget create "$budget" "${BUDGET_TOKENS:-100000000}" \
      --node "http://$(http_address 1)" --key "$operator_key" >/dev/null
  done
  for ((i = 1; i <= $1; i++)); do wait_for 15 node_ready "$i"; done
}

# drain_node NUMBER: stops a node with SIGTERM and returns its exit code.
drain_node() {
  local code=0
  kill -TERM "${node_pid[$1]}"
  wait "${node_pid[$1]}" || code=$?
  unset "node_pid[$1]"
  unpublish_node "$1"
  return "$code"
}

# kill_node NUMBER: kills a node with SIGKILL, as in a crash.
kill_node() {
  kill -KILL "${node_pid[$1]}"
  wait "${node_pid[$1]}" 2>/dev/null || true
  unset "node_pid[$1]"
  unpublish_node "$1"
}

# cpu_ms PID: prints the processor time used so far, in milliseconds.
cpu_ms() {
  local fields
  read -r -a fields < <(sed 's/^.*) //' "/proc/$1/stat")
  echo $(((fields[11] + fields[12]) * 1000 / $(getconf CLK_TCK)))
}

# memory_kib PID: prints the resident memory, in KiB.
memory_kib() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# workload SECONDS RATE PROMPT OUTPUT ADDRESS...: prints a workload file with four
# paying accounts and the free tier. RATE is requests per second in total, PROMPT
# and OUTPUT are tokens per request.
workload() {
  local seconds=$1 rate=$2 prompt=$3 output=$4 nodes
  shift 4
  nodes=$(printf '"%s",' "$@")
  local sources="" entry account rank
  for entry in clinic:urgent repairs:urgent reports:routine heavy:routine \
    free:background; do
    account=${entry%%:*} rank=${entry##*:}
    sources+="{ \"account\": \"$account\", \"api_key\": \"demo-key-$account\",
      \"rank\": \"$rank\", \"model\": \"small\",
      \"rate\": $(awk "BEGIN { print $rate / 5 }"),
      \"prompt_tokens\": { \"least\": $prompt, \"most\": $prompt },
      \"output_tokens\": { \"least\": $output, \"most\": $output } },"
  done
  cat <<WORKLOAD
{
  "nodes": [${nodes%,}], "duration_ms": $((seconds * 1000)), "drain_ms": 20000,
  "seed": ${SEED:-1}, "max_concurrent": 2000, "max_requests": 1000000,
  "max_attempts": 4, "sources": [${sources%,}]
}
WORKLOAD
}
