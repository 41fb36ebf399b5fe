#!/bin/sh
# Builds the stand-ins of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/kit-3"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/kit3 .
