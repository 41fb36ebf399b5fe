#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the daemon.
set -euo pipefail
cd "$(dirname "$0")/kit"
GOWORK=off go build -o ../../target/reviewkit .
