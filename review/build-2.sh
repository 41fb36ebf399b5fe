#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into target/, beside the programs
# that the build line of the deploy file puts there. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-kit-2 .
