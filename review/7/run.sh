#!/usr/bin/env bash
# A client outside the limits: one request in chunks with a long field in its trailer. See claim.txt.
# TROUBLE=0: the field is short.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib-2.sh"

rounds=3 # Ends of each machine that break the rule.
trailer=70000
[ "$trouble" = 0 ] && trailer=70

begin
put_configuration 1
start_servers orders 3
start_servers model 21 kind=engine events=87 event_ms=60
for i in 1 2 3; do start_node $i; done
for i in 1 2 3; do wait_for 20 is_ready $i || cannot_run "node-$i is not ready"; done
sleep 4

declare -A ends=([1]=0 [2]=0)
for round in $(seq $rounds); do
    for i in 1 2; do
        # Ten prompts of ordinary callers, whose answers have begun when the request comes.
        "$standin" crowd to="$(callers_of $i)" path=/kerb/x key=drivers-key count=10 for_s=4 usage=5000,4000 \
            name="ordinary-$i-$round" record="$record" &
        crowd=$!
        started+=("$crowd")
        sleep 1
        answer=$("$standin" trailer "$(callers_of $i)" /nowhere $trailer)
        note "node-$i: the request with a trailer field of $trailer bytes, without a key, at a path without a route: $answer"
        wait "$crowd"
        sleep 0.5
        if has_ended "node-$i"; then
            ends[$i]=$((ends[$i] + 1))
            start_again $i
        fi
        wait_for 20 is_ready $i || cannot_run "node-$i is not ready again"
    done
done
lost=$(sed -n 's/.*crowd_end name=ordinary.* closed=\([0-9]*\).*/\1/p' "$record" | awk '{ sum += $1 } END { print sum + 0 }')
result="ends of their own: node-1 ${ends[1]}, node-2 ${ends[2]}; answers of ordinary callers that were cut off: $lost"
note "$result"
echo "$result"
if [ "${ends[1]}" -ge $rounds ] && [ "${ends[2]}" -ge $rounds ]; then
    note "the rule is broken"
    exit 1
fi
note "the rule held"
exit 0
