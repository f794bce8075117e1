#!/usr/bin/env bash
# Faulty servers: a few of their answers end with a long field in the trailer. See claim.txt.
# TROUBLE=0: the field is short.
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../lib-2.sh"

rounds=3 # Ends of each machine that break the rule.
trailer=70000
[ "$trouble" = 0 ] && trailer=70

begin
put_configuration 1
start_servers orders 3
start_servers model 21 kind=engine
# Three more servers of six spoil one answer in 34.
start servers-faulty "$standin" servers store="$store" service=orders count=3 first=3 zones=zone-a,zone-b,zone-c runs="$record" \
    trailer_bytes=$trailer spoiled_every=34
wait_for 10 grep -q registered "$work/servers-faulty.log" || cannot_run "the faulty servers did not start"
for i in 1 2 3; do start_node $i; done
for i in 1 2 3; do wait_for 20 is_ready $i || cannot_run "node-$i is not ready"; done
sleep 4

declare -A ends=([1]=0 [2]=0 [3]=0)
machines() {
    local count=0 i
    for i in 1 2 3; do [ "${ends[$i]}" -ge $rounds ] && count=$((count + 1)); done
    echo $count
}
start_callers() { # Ordinary callers of the service, and prompts to the sound engines.
    "$standin" callers to="$(callers_of "$1")" path=/stock/x key=drivers-key every_ms=50 for_s="$2" \
        name="stock-$1-${ends[$1]}" record="$record" &
    started+=("$!")
    "$standin" crowd to="$(callers_of "$1")" path=/kerb/x key=drivers-key count=10 for_s="$2" usage=5000,1600 \
        name="kerb-$1-${ends[$1]}" record="$record" &
    started+=("$!")
}
end=$(($(now_ms) + 70000))
for i in 1 2 3; do start_callers $i 70; done
while [ "$(now_ms)" -lt "$end" ] && [ "$(machines)" -lt 2 ]; do
    for i in 1 2 3; do
        has_ended "node-$i" || continue
        ends[$i]=$((ends[$i] + 1))
        sleep 0.5
        start_again $i
        wait_for 10 has_ports $i || cannot_run "node-$i did not start again"
        start_callers $i $(((end - $(now_ms)) / 1000 + 1))
    done
    sleep 0.05
done
lost=$(grep " caller id" "$record" | grep -c "status=closed")
result="ends of their own: node-1 ${ends[1]}, node-2 ${ends[2]}, node-3 ${ends[3]}; ordinary requests without an answer: $lost"
note "$result"
echo "$result"
if [ "$(machines)" -ge 2 ]; then
    note "the rule is broken"
    exit 1
fi
note "the rule held"
exit 0
