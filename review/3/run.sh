#!/bin/bash
# DRAIN: a server that restarts under its id after its machine's time of day has been set back is heard and ignored;
# its node acknowledges that it leaves and goes on sending it requests.
# Four machines in two zones; machine 1 has the only server of `archivo`, to which few requests go.
. "$(dirname "$0")/../lib.sh"

MACHINES=({1..4})
CLIENTS=(2 3 4)
# drain-s of the sheet, and the dose of clock_step there, in milliseconds.
DRAIN_MS=2500
CLOCK_STEP_MS=2400
SLOTS=6
ID=i-7f3a91c2

service() { [ "$1" = 1 ] && echo archivo || echo tablero; }
zone() { [ "$1" -le 2 ] && echo rosario-a || echo rosario-b; }

configuration() {
    local routes= service
    for service in archivo tablero; do
        routes+="${routes:+,}{\"name\":\"r-$service\",\"path-prefix\":\"/$service/\",\"type\":\"safe\",\"timeout-s\":2,\"target-latency-s\":0.5,\"priority\":1,\"service\":\"$service\",\"attempts\":2,\"anonymous\":false}"
    done
    echo "{\"version\":\"r1\",\"services\":[{\"name\":\"archivo\",\"health-check-path\":\"/health\",\"max-connections\":120},{\"name\":\"tablero\",\"health-check-path\":\"/health\",\"max-connections\":120}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15},\"virtual-hosts\":[{\"host\":\"pedidos.example\",\"paths\":[$routes]}]}"
}

# ask LABEL: one request for archivo from each client's machine, all at once.
ask() {
    local n pids=()
    for n in "${CLIENTS[@]}"; do
        (
            trap - EXIT
            record "request $1-$n sent at machine $n"
            HOST=pedidos.example http GET "$(address "$n")" "$OUTBOUND" /archivo/x "" "Galenahill-Request-Id: $1-$n" "Galenahill-Deadline-Ms: 2000"
            record "request $1-$n at machine $n answered $STATUS"
        ) &
        pids+=($!)
    done
    wait "${pids[@]}"
}

# beats BORN STATE FIRST COUNT: heartbeats of the server at the usual interval; each has to be acknowledged.
beats() {
    local sequence
    for ((sequence = $3; sequence < $3 + $4; sequence++)); do
        beat 1 archivo rosario-a "$ID" "$1" "$2" "$sequence" "$SLOTS"
        [ "$STATUS" = 200 ] || cannot_run "a heartbeat was not acknowledged"
        record "heartbeat $ID born $1 state $2 sequence $sequence acknowledged"
        [ "$sequence" -lt $(($3 + $4 - 1)) ] && sleep "$BEAT_INTERVAL"
    done
}

start_platform
write_object POST config main "$(configuration)"
for n in "${MACHINES[@]}"; do start_node "$n" "$(service "$n")" "$(zone "$n")" true; done
for n in "${CLIENTS[@]}"; do
    start_server "$n" tablero "i-$n" 20000 "$SLOTS"
    start_beats "$n" tablero "$(zone "$n")" "i-$n" "$(now_ms)" "$SLOTS"
done
wait_until_ready 20 "${MACHINES[@]}"
sleep 5

# The server starts; with the trouble, its machine's time of day is 2.4 s ahead for some seconds.
ahead=0
[ "$TROUBLE" = 1 ] && ahead=$CLOCK_STEP_MS
start_server 1 archivo "$ID" 20000 "$SLOTS"
first_born=$(($(now_ms) + ahead))
sleep 0.3
beats "$first_born" ready 1 2
ask start

# The server crashes and starts again under its id; the time of day is right again.
kill_process "${SERVER_PID[1]}"
record "the server of machine 1 has crashed"
sleep 0.1
start_server 1 archivo "$ID" 20000 "$SLOTS"
second_born=$(now_ms)
record "it has started again; born $second_born, before: $first_born"
[ "$TROUBLE" = 0 ] || [ "$second_born" -lt "$first_born" ] || cannot_run "the restart took longer than the clock step"
sleep 0.2
beats "$second_born" ready 1 3
ask restarted

# The server leaves: it reports draining, says so in its answers, and serves on for a while.
http POST "$(address 1)" "$APP" /admin '{"drain": true, "leaving": true}'
[ "$STATUS" = 200 ] || cannot_run "the server stand-in does not take instructions"
beats "$second_born" draining 4 1
acknowledged=$(now_ms)
sleep 2.8
ask leaving

record_runs
late=$(grep -c '^ran leaving-' "$WORK/server-1.log")
grep -hE '"event":"(target-state|target-checked)"' "$WORK/node-1.log" | cut -c1-240 >>"$RECORD"
grep -q '^ran start-' "$WORK/server-1.log" && grep -q '^ran restarted-' "$WORK/server-1.log" || cannot_run "the server got no requests before it left"
record "requests that reached the server, sent at least $((DRAIN_MS + 300)) ms after it was acknowledged as draining at $acknowledged: $late"
echo "requests after drain-s: $late"
if [ "$late" -gt 0 ]; then
    record "DRAIN is broken"
    exit 1
fi
record "DRAIN holds"
