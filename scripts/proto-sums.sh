#!/usr/bin/env bash
# Prints checksums of the .proto files and of the code generated from them.
set -euo pipefail
cd "$(dirname "$0")/.."
find proto internal/gen -type f \( -name '*.proto' -o -name '*.go' \) | LC_ALL=C sort | xargs sha256sum
