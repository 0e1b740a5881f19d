# Functions for the scripts of the cases: a small fleet on loopback addresses, with the project's own store
# and target stand-ins. To be sourced by bash.
#
# Each machine has an address 127.NET.1.N, and the ports that the settings of the platform give it. The
# application servers are `targetstandin` processes. Their heartbeats are sent by this library, one loop a
# server, so that a script decides what a server says of itself; the stand-in's own announcements go to an
# address where nobody listens.
set -u

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CASE=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
NODE=$ROOT/target/platform/galenahillnode
STORE=$ROOT/target/review/standins/platformstandin
TARGET=$ROOT/target/review/standins/targetstandin
PROXY=$ROOT/target/review/silentproxy
WORK=$(mktemp -d)
PIDS=()
BEAT_INTERVAL=1.5

OUTBOUND=8304
INBOUND=8300
READY=8302
CONTROL=8306
APP=8301
INTERNAL=7620
METRICS=9464

cleanup() {
    local pid
    exec 2>/dev/null
    for pid in "${PIDS[@]:-}"; do
        [ -n "$pid" ] && kill -KILL "$pid"
    done
    wait
    rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

now_ms() { # milliseconds of the real clock
    local t=$EPOCHREALTIME
    echo $((${t%.*} * 1000 + 10#${t#*.} / 1000))
}

record() {
    echo "$(now_ms) $*" >>"$RECORD"
}

cannot_run() {
    record "cannot run: $*"
    echo "cannot run: $*" >&2
    exit 2
}

# http METHOD IP PORT PATH BODY [HEADER...]: sends one request on a new connection. Sets STATUS to the status,
# or 0 if there was no complete answer, and BODY_TEXT to the body.
http() {
    local method=$1 ip=$2 port=$3 path=$4 body=$5 fd line length=0 header
    shift 5
    STATUS=0
    BODY_TEXT=
    { exec {fd}<>"/dev/tcp/$ip/$port"; } 2>/dev/null || return 0
    {
        printf '%s %s HTTP/1.1\r\nHost: %s\r\n' "$method" "$path" "${HOST:-$ip:$port}"
        for header in "$@"; do printf '%s\r\n' "$header"; done
        printf 'Content-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "${#body}" "$body"
    } >&"$fd" 2>/dev/null
    if read -r -t 5 -u "$fd" line; then
        local status=${line#* }
        status=${status%% *}
        while read -r -t 5 -u "$fd" line; do
            line=${line%$'\r'}
            [ -z "$line" ] && break
            case "${line,,}" in content-length:*) length=${line#*:}; length=${length// /} ;; esac
        done
        [ "$length" -gt 0 ] && LC_ALL=C read -r -t 5 -N "$length" -u "$fd" BODY_TEXT
        [ "${#BODY_TEXT}" -ge "$length" ] && STATUS=$status
    fi
    exec {fd}>&-
}

# Chooses a network in which nobody listens, and starts the store.
start_platform() {
    local program
    for program in "$NODE" "$STORE" "$TARGET" "$PROXY"; do
        [ -x "$program" ] || cannot_run "$program is not built; build the deploy file and run review/build.sh"
    done
    : >"$RECORD"
    record "trouble: $TROUBLE"
    local try
    for try in 1 2 3 4 5; do
        NET=$((20 + RANDOM % 200))
        if ! { exec {fd}<>"/dev/tcp/127.$NET.0.1/8309"; } 2>/dev/null; then
            break
        fi
        exec {fd}>&-
    done
    STORE_FOR_NODES=127.$NET.0.1:8309
    "$STORE" --address "127.$NET.0.1" --port 8309 >"$WORK/store.log" 2>&1 &
    PIDS+=($!)
    local wait
    for wait in {1..50}; do
        http GET "127.$NET.0.1" 8309 /objects/config ""
        [ "$STATUS" = 200 ] && return
        sleep 0.1
    done
    cannot_run "the store stand-in does not answer"
}

# start_proxy: lets the nodes reach the store through a loopback proxy.
start_proxy() {
    "$PROXY" "127.$NET.0.2" 8309 "127.$NET.0.1" 8309 >"$WORK/proxy.log" 2>&1 &
    PROXY_PID=$!
    PIDS+=($!)
    STORE_FOR_NODES=127.$NET.0.2:8309
}

address() { echo "127.$NET.1.$1"; }

# write_object METHOD KIND NAME SPEC: what the operator or another writer does at the store.
write_object() {
    local path=/objects/$2
    [ "$1" = PUT ] && path=$path/$3
    http "$1" "127.$NET.0.1" 8309 "$path" "{\"metadata\":{\"name\":\"$3\"},\"spec\":$4}"
    record "store: $1 $2/$3 answered $STATUS"
    [ "$STATUS" = 200 ] || cannot_run "the store refused $2/$3"
}

# start_node N SERVICE ZONE BOOTSTRAP: starts the role `node` of the deploy file on machine N.
start_node() {
    local n=$1 ip
    ip=$(address "$n")
    cat >"$WORK/settings-$n" <<SETTINGS
[node]
name = sidecar-$3-$n
data-centre = $3
service = $2
first-start = $4
link-mbps = 1000.0
log-level = info
stop-timeout-s = 6

[listen]
ingress = $ip:$OUTBOUND
sidecar = $ip:$INBOUND
registration = $ip:$CONTROL
readiness = $ip:$READY
peers = $ip:$INTERNAL
metrics = $ip:$METRICS

[target]
address = $ip:$APP
heartbeat-interval-s = $BEAT_INTERVAL

[store]
address = $STORE_FOR_NODES

[fleet]
seeds =
repeat-share = 0.2
repeat-slack = 60
repeat-window-s = 10
SETTINGS
    (cd "$ROOT" && exec env -i PATH="$PATH" HOME="$WORK" GALENAHILL_CONFIG="$WORK/settings-$n" "$NODE") >>"$WORK/node-$n.log" 2>&1 &
    NODE_PID[n]=$!
    PIDS+=($!)
}

# kill_process PID: SIGKILL for a process of this script, and waits for its end.
kill_process() {
    local pid left=()
    kill -KILL "$1"
    wait "$1" 2>/dev/null
    for pid in "${PIDS[@]}"; do [ "$pid" = "$1" ] || left+=("$pid"); done
    PIDS=("${left[@]}")
}

# record_runs: which requests the servers ran, with microseconds of the machine's monotonic clock.
record_runs() {
    local log n
    for log in "$WORK"/server-*.log; do
        n=${log##*-}
        sed -n "s/^ran \\([^ ]*\\) \\(.*\\)/run of \\1 at machine ${n%.log} at \\2 us/p" "$log" >>"$RECORD"
    done
}

node_ready() {
    http GET "$(address "$1")" "$READY" /ready ""
    [ "$STATUS" = 200 ]
}

# start_server N SERVICE ID SERVICE_TIME_US SLOTS: starts the application server of machine N, without heartbeats.
start_server() {
    local ip
    ip=$(address "$1")
    "$TARGET" --address "$ip" --port "$APP" --announce "127.$NET.0.9:9" --heartbeat "$ROOT/platform/heartbeat.sample" \
        --id "$3" --service "$2" --data-centre z --service-us "$4" --slots "$5" --log-runs >>"$WORK/server-$1.log" 2>&1 &
    SERVER_PID[$1]=$!
    PIDS+=($!)
}

# beat N SERVICE ZONE ID BORN STATE SEQUENCE SLOTS: one heartbeat; sets STATUS.
beat() {
    http PUT "$(address "$1")" "$CONTROL" "/instances/$4" \
        "{\"address\":\"$(address "$1"):$APP\",\"born\":$5,\"info\":{\"service\":\"$2\",\"version\":\"v1\",\"zone\":\"$3\",\"concurrency-limit\":$8},\"status\":{\"state\":\"$6\",\"sequence\":$7,\"warmup-remaining-s\":0}}"
}

# start_beats N SERVICE ZONE ID BORN SLOTS: heartbeats of a ready server at the usual interval, until BEATS_PID is killed.
start_beats() {
    (
        trap - EXIT
        sequence=0
        while :; do
            sequence=$((sequence + 1))
            beat "$1" "$2" "$3" "$4" "$5" ready "$sequence" "$6"
            sleep "$BEAT_INTERVAL"
        done
    ) 2>/dev/null &
    BEATS_PID[$1]=$!
    PIDS+=($!)
}

# wait_until_ready SECONDS N...
wait_until_ready() {
    local end=$((SECONDS + $1)) n
    shift
    for n in "$@"; do
        until node_ready "$n"; do
            [ "$SECONDS" -lt "$end" ] || cannot_run "node $n does not become ready"
            sleep 0.2
        done
    done
}
