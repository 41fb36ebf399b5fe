#!/usr/bin/env bash
# Formatter, linter, vet and the check that generated code is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
lint=$1

unformatted=$(git ls-files '*.go' | grep -v '^internal/gen/' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "check: run gofmt -w on: $unformatted" >&2
  exit 1
fi
for module in . operator; do
  (cd "$module" && go vet ./... && "$lint" run ./...)
done
if ! diff <(scripts/proto-sums.sh) proto/SUMS; then
  echo "check: proto files or generated code changed; run 'make generate' and commit the result" >&2
  exit 1
fi
echo "check: ok"
