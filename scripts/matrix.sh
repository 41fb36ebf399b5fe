#!/usr/bin/env bash
# Runs the fault matrix with real processes and writes docs/FAULTS.md from it.
# Logs and histories of the cells stay in out/matrix, all rows in
# out/matrix-rows.jsonl. A run of some cells replaces their rows only; a run of
# all begins anew.
# BLUEBELLSTILE_MATRIX  cells as "fault/step", separated by commas; "fault/" and
#                       "/step" stand for a whole row or column; default all
# BLUEBELLSTILE_SEED    seed of the run
# BLUEBELLSTILE_PARALLEL  cells that run at once
set -euo pipefail
cd "$(dirname "$0")/.."
export BLUEBELLSTILE_MATRIX=${BLUEBELLSTILE_MATRIX:-all}
export BLUEBELLSTILE_MATRIX_DIR=$PWD/out/matrix
export BLUEBELLSTILE_ROWS=$PWD/out/matrix-rows.jsonl
export BLUEBELLSTILE_FAULTS_PAGE=$PWD/docs/FAULTS.md
BLUEBELLSTILE_COMMIT=$(git describe --always --dirty --exclude '*')
export BLUEBELLSTILE_COMMIT
if [ "$BLUEBELLSTILE_MATRIX" = all ]; then
  rm -f "$BLUEBELLSTILE_ROWS"
fi
rm -rf "$BLUEBELLSTILE_MATRIX_DIR"
mkdir -p "$BLUEBELLSTILE_MATRIX_DIR" docs
status=0
go test -v -count=1 -timeout 60m -run 'TestMatrix$' ./internal/harness/matrix >"$BLUEBELLSTILE_MATRIX_DIR/test.log" 2>&1 || status=$?
sed -n '/^fault matrix:$/,/ passed, .* failed$/p' "$BLUEBELLSTILE_MATRIX_DIR/test.log"
if [ "$status" != 0 ]; then
  echo "matrix: violations with their events are in out/matrix/test.log" >&2
fi
exit "$status"
