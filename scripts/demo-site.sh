#!/usr/bin/env bash
# Runs two daemons on stand-ins of the users' platform, puts jobs through them,
# and kills one daemon meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
port=${DEMO_SITE_PORT:-17500}
go build -o bin/ ./internal/standin/cmd/standin

bin/standin site -store "127.0.0.1:$port" -adviser "127.0.0.1:$((port + 1))" >"$work/site.out" 2>"$work/site.err" &
site=$!
declare -A daemon
cleanup() {
  for pid in "${daemon[@]}" "$site"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "demo: failed: $1" >&2
  tail -n 5 "$work"/*.log "$work/site.err" >&2
  exit 1
}

# start starts daemon N; its ports begin at port + 10 N.
start() {
  local at=$((port + 10 * $1))
  cat >"$work/entry-$1.ini" <<INI
[instance]
name = entry-$1
zone = z1
region = g1
[bounds]
lease_max = 10s
[listen]
callers = 127.0.0.1:$at
ready = 127.0.0.1:$((at + 1))
peer = 127.0.0.1:$((at + 2))
admin = 127.0.0.1:$((at + 3))
[reach]
store = 127.0.0.1:$port
eligibility = 127.0.0.1:$((port + 1))
[end]
INI
  bin/bluebellstiled -site -config "$work/entry-$1.ini" >"$work/entry-$1.log" 2>&1 &
  daemon[$1]=$!
}

# until_ok repeats a command for at most 15 s.
until_ok() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@"; then return; fi
    sleep 0.1
  done
  fail "$what"
}
ready() { curl -sf -o /dev/null "http://127.0.0.1:$((port + 10 * $1 + 1))/-/ready"; }
# call sends a request of a client through daemon N.
call() {
  curl -s -m 3 -H 'Host: site.example' -H 'X-Api-Key: key-one' -X "$2" "http://127.0.0.1:$((port + 10 * $1))$3" "${@:4}"
}
accepted() { [ "$(call "$1" POST "$2" -o /dev/null -w '%{http_code}' -d "$3")" = 200 ]; }
completed() { call "$1" GET "$2" | grep -q completed; }

until_ok "the site did not start" test -s "$work/site.out"
start 1
start 2
until_ok "entry-1 is not ready" ready 1
until_ok "entry-2 is not ready" ready 2

echo "== an urgent job of two tasks"
until_ok "the job was not accepted" accepted 1 /urgent/00000000000000a1 '{"spec":"check","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":200}]}'
until_ok "the job was not completed" completed 2 /urgent/00000000000000a1

echo "== a job of two steps, the second one all at once"
until_ok "the job was not accepted" accepted 2 /bulk/jobs/00000000000000b1 '{"spec":"costs","steps":[{"count":6,"cpu":2000,"mem_mb":100,"estimate_ms":200},{"count":3,"cpu":4000,"mem_mb":100,"estimate_ms":200,"after":[0],"gang":true}]}'
until_ok "the job was not completed" completed 1 /bulk/jobs/00000000000000b1

echo "== the daemon that holds the cell is killed, the other one goes on"
holder=1
grep -q 'msg="term runs"' "$work/entry-2.log" && holder=2
other=$((3 - holder))
until_ok "the job was not accepted" accepted "$other" /bulk/jobs/00000000000000b2 '{"spec":"costs","steps":[{"count":20,"cpu":2000,"mem_mb":100,"estimate_ms":200}]}'
kill -9 "${daemon[$holder]}"
until_ok "the job was not completed" completed "$other" /bulk/jobs/00000000000000b2

echo "== its story"
bin/bluebellstile explain 00000000000000b2 "$work"/entry-*.log | grep -E 'taken in|term runs|served|job ended'

kill "$site"
wait "$site" || fail "a runner has seen a task run twice: $(tail -n 1 "$work/site.out")"
tail -n 1 "$work/site.out"
echo "demo on the platform: ok"
