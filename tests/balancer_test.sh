#!/bin/sh
# Start and end of the program: an invalid configuration ends it with one error line and status 1; SIGHUP reloads
# the configuration; SIGTERM drains the program, which then ends with status 0.
balancer=$1
fail() { echo "$1"; exit 1; }
scratch=$(mktemp -d) && trap 'rm -rf "$scratch"' EXIT

refused() {
    message=$("$@" 2>&1 >/dev/null) && fail "expected an error exit: $*"
    status=$?
    [ $status -eq 1 ] || fail "expected exit status 1, got $status: $message"
    [ "$(printf '%s\n' "$message" | wc -l)" -eq 1 ] || fail "expected one line on standard error: $message"
}

refused env -u NODE_CONFIG "$balancer"
[ "$message" = "flaxdoor: NODE_CONFIG is not set" ] || fail "unexpected error message: $message"
refused env NODE_CONFIG="$scratch/none" "$balancer"
echo '{"settings":' >"$scratch/broken"
refused env NODE_CONFIG="$scratch/broken" "$balancer"
echo '{"settings":{"rank":0},"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}' >"$scratch/short"
refused env NODE_CONFIG="$scratch/short" "$balancer"
case $message in *"setting missing: siblings"*) ;; *) fail "unexpected error message: $message" ;; esac

# A successful start is logged, a reload after SIGHUP is logged, and SIGTERM ends the program with status 0.
cat >"$scratch/config" <<'END'
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "settings":{"rank":0,"siblings":1,"zone":0,"zones":["here"],"tick":1.0,"registry_mode":"ask","tenants":[],
  "services":[{"name":"look","aim":100.0,"hard_limit":200.0,"effect":"idempotent"}],
  "limits":{"max_attempts":2},"invariants":{"ask_within":10000.0}}}
END
mkfifo "$scratch/log"
NODE_CONFIG="$scratch/config" "$balancer" 2>"$scratch/log" &
balancer_pid=$!
exec 3<"$scratch/log"
while read -r line <&3; do
    [ "$line" = listening ] && kill -HUP $balancer_pid
    [ "$line" = "configuration reloaded" ] && kill -TERM $balancer_pid
    [ "$line" = drained ] && break
done
wait $balancer_pid || fail "expected exit status 0 after SIGTERM"
[ "$line" = drained ] || fail "unexpected last log line: $line"
