# Functions for the scripts of the cases. A script sets `folder` to its own folder before it sources this file.
root=$(cd "$folder/../.." && pwd)
stand=$root/target/review
node=$root/target/marigold-node
work=$(mktemp -d)
pids=()
stop_all() {
    exec 2>/dev/null
    touch "$work/stopping"
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
    sleep 0.3
    for pid in "${pids[@]}" $(cat "$work"/*.pid 2>/dev/null); do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT
fail() { echo "the case could not run: $*"; exit 2; }
# wait_for_file FILE: waits until a program has written it.
wait_for_file() {
    for _ in $(seq 200); do [ -s "$1" ] && return 0; sleep 0.05; done
    fail "$1 was not written"
}
start_store() {
    "$stand/store" "$work/store.port" >"$work/store.log" 2>&1 &
    pids+=("$!")
    wait_for_file "$work/store.port"
    store=$(cat "$work/store.port")
}
# put KEY VALUE: the operator writes a record.
put() { curl -sS -X PUT "http://127.0.0.1:$store/write?topic=keyed.op&key=$1" --data-binary "$2" >/dev/null || fail "the store does not answer"; }
# pause SECONDS FILE: sleeps; the process that does is in FILE.
pause() {
    sleep "$1" &
    echo "$!" >"$2"
    wait "$!" 2>/dev/null
}
# keep NAME COMMAND...: runs a program, and again 4 s after each end, under the ids NAME-1, NAME-2 and so on.
keep() {
    local name=$1 start=0
    shift
    (
        while [ ! -e "$work/stopping" ]; do
            start=$((start + 1))
            "${@/@/$name-$start}" >>"$work/$name.log" 2>&1 &
            echo "$!" >"$work/$name.pid"
            wait "$!" 2>/dev/null
            pause 4 "$work/$name-pause.pid"
        done
    ) 2>/dev/null &
    pids+=("$!")
}
# write_settings NUMBER ZONE [PORT]: all nodes listen for peers on the same port, each at its own loopback address.
write_settings() {
    cat >"$work/node-$1.ini" <<END
[instance]
name = node-$1
zone = $2
[listen]
callers = 127.0.1.$1:${3:-0}
ready = 127.0.1.$1:0
metrics = 127.0.1.$1:0
relays = 127.0.1.$1:0
ports = $work/node-$1.ports
[peers]
address = 127.0.1.$1:$store
seeds = 127.0.1.1:$store,127.0.1.2:$store,127.0.1.3:$store
[platform]
address = 127.0.0.1:$store
[bounds]
configuration_ms = 2000
drain_ms = 2000
memory_free_ms = 4000
grace_s = 8
[retries]
ratio = 0.2
slack = 104
window_s = 10
END
}
# start_node NUMBER ZONE
start_node() {
    write_settings "$1" "$2"
    "$node" --config "$work/node-$1.ini" >"$work/node-$1.log" 2>&1 &
    pids+=("$!")
    eval "node_pid_$1=$!"
    wait_for_file "$work/node-$1.ports"
    callers+=("127.0.1.$1:$(sed -n 's/^callers=//p' "$work/node-$1.ports")")
}
# wait_ready NUMBER
wait_ready() {
    local port
    port=$(sed -n 's/^ready=//p' "$work/node-$1.ports")
    for _ in $(seq 200); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.1.$1:$port/api/ready")" = 200 ] && return 0
        sleep 0.05
    done
    fail "node-$1 is not ready"
}
