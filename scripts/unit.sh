#!/usr/bin/env bash
# Unit and integration tests of every module, with the race detector. Passes
# over the tests that KNOWN-RED.txt names in lines "skip: ^Name$", and prints it.
set -euo pipefail
cd "$(dirname "$0")/.."
# Tests that draw at random draw the same cases in every run; make fuzz draws others.
export RAPID_SEED=${RAPID_SEED:-1}
skip='^$'
if [ -f KNOWN-RED.txt ]; then
  names=$(sed -n 's/^ *skip: *//p' KNOWN-RED.txt | paste -sd'|' -)
  skip=${names:-$skip}
fi
for module in . operator; do
  (cd "$module" && go list ./... | grep -v '/platform/crowd$' | xargs go test -race -count=1 -timeout 20m -skip "$skip")
done
# The crowds of clients run one at a time and apart from other load.
go test -count=1 -timeout 20m -skip "$skip" ./platform/crowd
if [ -f KNOWN-RED.txt ]; then
  echo "known red, not part of this run:"
  sed 's/^/  /' KNOWN-RED.txt
fi
