#!/usr/bin/env bash
# Clients outside the limits: requests of legal size made of very many short header fields. See claim.txt.
# TROUBLE=0: the same clients send as many requests with ordinary headers.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib-2.sh"

timeout_ms=800 # Of the route that the ordinary callers use.
late_ms=$((timeout_ms + 500))
shape=fields
[ "$trouble" = 0 ] && shape=plain

begin
put_configuration 1
start_servers orders 3
start_servers model 21 kind=engine
for i in 1 2 3; do start_node $i; done
for i in 1 2 3; do wait_for 20 is_ready $i || cannot_run "node-$i is not ready"; done
sleep 4 # The machines are in touch.

# Eight clients of one workspace, each with 30 requests sent ahead on its connection.
"$standin" crowd to="$(callers_of 1)" path=/stock/x method=GET key=drivers-key count=8 ahead=30 shape=$shape \
    deadline_ms=1500 for_s=25 name=crowd record="$record" &
crowd_pid=$!
started+=("$crowd_pid")
sleep 1
"$standin" callers to="$(callers_of 1)" path=/stock/x key=drivers-key every_ms=200 for_s=15 deadline_ms=4000 \
    name=ordinary record="$record" &
callers_pid=$!
started+=("$callers_pid")
missed=0
in_a_row=0
for _ in $(seq 15); do # The platform asks once a second.
    began=$(now_ms)
    status=$("$standin" probe "127.0.1.1:$(node_port 1 ready)" /api/ready 1000)
    note "ready probe: status=$status"
    if [ "$status" = 200 ]; then in_a_row=0; else in_a_row=$((in_a_row + 1)); fi
    [ $in_a_row -gt $missed ] && missed=$in_a_row
    left=$((1000 - ($(now_ms) - began)))
    [ $left -gt 0 ] && sleep "$(printf '0.%03d' $((left > 999 ? 999 : left)))"
done
wait "$callers_pid"
is_running node-1 || cannot_run "node-1 has ended"
kill -KILL "$crowd_pid" 2>/dev/null; wait "$crowd_pid" 2>/dev/null

# Callers whose request had no final answer at the timeout of its route, and half a second later.
read -r all unanswered late < <(awk -v timeout=$timeout_ms -v late=$late_ms '
    / caller id=ordinary/ {
        ++all
        split($4, status, "="); split($5, after, "=")
        if (status[2] == "none" || after[2] > timeout) ++unanswered
        if (status[2] == "none" || after[2] > late) ++isLate
    }
    END { print all + 0, unanswered + 0, isLate + 0 }' "$record")
note "ordinary requests: $all, unanswered at $timeout_ms ms: $unanswered, at $late_ms ms: $late; ready probes missed in a row: $missed"
echo "ordinary requests: $all, unanswered at $timeout_ms ms: $unanswered, at $late_ms ms: $late; ready probes missed in a row: $missed"
[ "$all" -ge 20 ] || cannot_run "too few ordinary requests"
if [ "$unanswered" -ge 8 ] && [ $((2 * late)) -gt "$unanswered" ]; then
    note "the rule is broken"
    exit 1
fi
note "the rule held"
exit 0
