#!/usr/bin/env bash
# Runs a cell in one process and real work through it.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
bluebellstile=bin/bluebellstile
port=${DEMO_PORT:-17400}

$bluebellstile dev -json -port "$port" >"$work/addresses.json" 2>"$work/dev.log" &
dev=$!
cleanup() {
  kill "$dev" 2>/dev/null || true
  wait "$dev" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "demo: failed: $1" >&2
  tail -n 20 "$work/dev.log" >&2
  exit 1
}
# expect runs a command that must end with the given exit code.
expect() {
  local want=$1 got=0
  shift
  "$@" >"$work/out" 2>"$work/err" || got=$?
  cat "$work/out"
  [ "$got" -eq "$want" ] || { cat "$work/err" >&2; fail "exit $got instead of $want: $*"; }
}

for _ in $(seq 100); do
  [ -s "$work/addresses.json" ] && break
  kill -0 "$dev" 2>/dev/null || fail "the cell did not start"
  sleep 0.1
done
export BLUEBELLSTILE_API="http://127.0.0.1:$port" BLUEBELLSTILE_ADMIN="http://127.0.0.1:$((port + 2))"
as() { export BLUEBELLSTILE_KEY="demo-$1-secret"; }

echo "== publish the configuration printed by operator/example/demo"
(cd operator && go run ./example/demo) >"$work/cell.ini"
as operator
expect 0 $bluebellstile config check "$work/cell.ini"
expect 0 $bluebellstile config publish -expected 0 "$work/cell.ini"

echo "== a service request: cost a price list"
as lab
expect 0 $bluebellstile submit -queue colour-match -command cost demo/prices.csv
grep -q '^total' "$work/out" || fail "the answer has no total"

echo "== a batch job of two tasks"
expect 0 $bluebellstile run -queue costing -command cost demo/prices.csv demo/prices-small.csv

echo "== an all-at-once job: sort lots"
as laundry
expect 0 $bluebellstile run -queue lot-sorting -command sort -gang demo/lots-morning.csv demo/lots-night.csv

echo "== refused with its reason: a queue of another team, a job that can never run"
expect 3 $bluebellstile run -queue costing -command cost -retries 0 demo/prices.csv
cat "$work/err"
expect 3 $bluebellstile run -queue lot-sorting -command sort -cores 900 -retries 0 demo/lots-night.csv
cat "$work/err"

echo "== a withdrawn key is refused"
as operator
expect 0 $bluebellstile key withdraw lab-1
as lab
expect 3 $bluebellstile submit -queue colour-match -command cost -retries 0 demo/prices.csv
cat "$work/err"
grep -q 'withdrawn' "$work/err" || fail "the refusal does not name the withdrawn key"

echo "demo: ok"
