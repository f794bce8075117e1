# The run of the cases on prompts that crash servers. A script sets `folder`, `parts` (shared parts of each prompt; the
# part that crashes servers is the last of them) and `events` (whole events that a server writes before it crashes), and
# sources this file. TROUBLE=0 sends the same requests without the part that crashes servers.
source "$folder/../lib.sh"
record=$folder/record.txt
: >"$record"
[ -x "$node" ] && [ -x "$stand/prompts" ] || fail "build first"
deadly=0badf00d
[ "${TROUBLE:-1}" = 0 ] && deadly=none
zones=(zone-a zone-b zone-c)
callers=()

start_store
for engine in 0 1 2 3 4 5; do
    keep "engine-$engine" "$stand/engine" @ "$work/engine-$engine.port" "${zones[$((engine % 3))]}" "$store" "$record" "$deadly" "$events"
done
for engine in 0 1 2 3 4 5; do wait_for_file "$work/engine-$engine.port"; done
put config '{"version":1,"routes":[{"name":"kerb","host":"rounds.example","pathPrefix":"/kerb/","kind":"stream","timeoutMs":10000,"targetLatencyMs":300,"gapTargetMs":200,"priority":1,"service":"model","maxAttempts":2,"public":false,"sticky":true,"streamResume":true}],"services":[{"name":"model","healthPath":"/health","maxConnections":274,"engine":{"slots":16,"kvCapacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"rounds","apiKeys":["drivers-key"],"priority":1}]}'
for number in 1 2 3; do start_node "$number" "${zones[$((number - 1))]}"; done
for number in 1 2 3; do wait_ready "$number"; done
sleep 3
"$stand/prompts" "$record" 0badf00d "$parts" "${SOUND:-8}" "${BAD:-2}" 10 "${SECONDS_OF_TROUBLE:-35}" "${callers[@]}"
verdict=$?
[ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
exit "$verdict"
