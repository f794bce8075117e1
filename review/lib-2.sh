# Functions of the scripts in review/6 and up. A script sets `case_dir` and sources this file.
set -uo pipefail
root=$(cd "$case_dir/../.." && pwd)
node_program=$root/target/marigold-node
standin=$root/target/review-2/standin
record=$case_dir/record.txt
work=$(mktemp -d)
trouble=${TROUBLE:-1}
memory_mb=260
declare -A pid_of
started=()

now_ms() { echo $(($(date +%s%N) / 1000000)); }
note() { echo "$(now_ms) $*" >>"$record"; }

stop_all() {
    local pid
    for pid in "${started[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    for pid in "${started[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap stop_all EXIT

cannot_run() { note "cannot run: $*"; echo "cannot run: $*"; exit 2; }

# start NAME COMMAND...: starts a process whose output goes to $work/NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pid_of[$name]=$!
    started+=("$!")
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.02
    done
}

begin() {
    [ -x "$node_program" ] || { echo "no $node_program: run the build of the deploy file"; exit 2; }
    [ -x "$standin" ] || { echo "no $standin: run review/build-2.sh"; exit 2; }
    : >"$record"
    ulimit -n 4300 2>/dev/null || cannot_run "4300 descriptors are needed"
    note "trouble=$trouble"
    start store "$standin" store "$work/store.ports"
    wait_for 10 test -s "$work/store.ports" || cannot_run "the store did not start"
    store=127.0.0.1:$(sed -n 's/^http=//p' "$work/store.ports")
}

# route NAME PREFIX KIND SERVICE TIMEOUT_MS OBJECTIVE_MS GAP_MS MAX_ATTEMPTS
route() {
    printf '{"name":"%s","host":"rounds.example","pathPrefix":"%s","kind":"%s","service":"%s","timeoutMs":%s,"targetLatencyMs":%s,"gapTargetMs":%s,"maxAttempts":%s,"priority":1,"public":false,"sticky":true,"streamResume":true}' "$@"
}

put_configuration() {
    local engine='{"slots":16,"kvCapacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048}'
    "$standin" put "$store" keyed.op config "{\"version\":$1,\"routes\":[$(route kerb /kerb/ stream model 10000 300 200 2),$(route restock /restock/ unsafe orders 800 100 0 1),$(route stock /stock/ safe orders 800 100 0 2)],\"services\":[{\"name\":\"model\",\"maxConnections\":274,\"engine\":$engine},{\"name\":\"orders\",\"maxConnections\":110}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"rounds\",\"apiKeys\":[\"drivers-key\"],\"priority\":1}]}" ||
        cannot_run "the store did not take the configuration"
}

# start_servers SERVICE COUNT OPTION...
start_servers() {
    local service=$1 count=$2
    shift 2
    start "servers-$service" "$standin" servers store="$store" service="$service" count="$count" \
        zones=zone-a,zone-b,zone-c runs="$record" "$@"
    wait_for 10 grep -q registered "$work/servers-$service.log" || cannot_run "the servers of $service did not start"
}

# start_node N: node-N at 127.0.1.N, with the settings of deploy/node.ini and the values of a small deployment.
start_node() {
    local port=${store##*:} zones=(zone-c zone-a zone-b zone-c)
    rm -f "$work/node-$1.ports"
    cat >"$work/node-$1.ini" <<END
[instance]
name = node-$1
zone = ${zones[$1]}
[listen]
callers = 127.0.1.$1:0
ready = 127.0.1.$1:0
metrics = 127.0.1.$1:0
relays = 127.0.1.$1:0
ports = $work/node-$1.ports
[peers]
address = 127.0.1.$1:$port
seeds = 127.0.1.1:$port,127.0.1.2:$port,127.0.1.3:$port
[platform]
address = $store
[bounds]
configuration_ms = 2000
drain_ms = 2000
memory_free_ms = 4000
grace_s = 8
[limits]
memory_mb = $memory_mb
descriptors = 4100
[retries]
ratio = 0.2
slack = 104
window_s = 10
END
    # The command of the deploy file.
    start "node-$1" "$node_program" --config "$work/node-$1.ini"
    note "node-$1 starts"
}

node_port() { sed -n "s/^$2=//p" "$work/node-$1.ports"; }
has_ports() { [ -s "$work/node-$1.ports" ]; }
callers_of() { echo "127.0.1.$1:$(node_port "$1" callers)"; }
is_ready() { has_ports "$1" && [ "$("$standin" probe "127.0.1.$1:$(node_port "$1" ready)" /api/ready 1000)" = 200 ]; }
is_running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }

# memory_kb NAME: resident memory of a process; empty if it has ended.
memory_kb() { awk '/^VmRSS:/ { print $2 }' "/proc/${pid_of[$1]}/status" 2>/dev/null; }
peak_kb() { awk '/^VmHWM:/ { print $2 }' "/proc/${pid_of[$1]}/status" 2>/dev/null; }

# enforce_memory NAME: kills the process, as the platform does, if it holds more than its memory. Returns 0 if it did.
enforce_memory() {
    local held
    held=$(memory_kb "$1")
    [ -n "$held" ] && [ "$held" -gt $((memory_mb * 1024)) ] || return 1
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null
    note "$1 held $((held / 1024)) MB, more than memoryMb = $memory_mb, and was killed"
}

# start_again N: starts the process once more with the settings in effect, as the platform does.
start_again() {
    rm -f "$work/node-$1.ports"
    start "node-$1" "$node_program" --config "$work/node-$1.ini"
    note "node-$1 starts again"
}

# has_ended NAME: whether a process that nobody stopped has ended. Notes how.
has_ended() {
    is_running "$1" && return 1
    wait "${pid_of[$1]}" 2>/dev/null
    note "$1 has ended by itself with exit code $?"
}
