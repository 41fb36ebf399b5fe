#!/usr/bin/env bash
# Plays patterns of overload in simulated worlds and prints the worth of the
# jobs by queue and customer, with each part of the scheduling on and off.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
seeds=${SEEDS:-6}
"$go" test ./internal/controller -run '^TestOverloadTable$' -overload-table -overload-seeds "$seeds" -v | grep -v '^ *\(=== \|--- \|PASS\|ok \)'
