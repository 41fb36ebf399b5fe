#!/usr/bin/env bash
# Unit and integration tests of every module, with the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in . operator; do
  (cd "$module" && go test -race -count=1 -timeout 20m ./...)
done
