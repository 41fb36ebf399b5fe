#!/usr/bin/env bash
# Runs the placement policy and its baselines through the same arrivals, prints
# one table, keeps it beside the plots in docs/plots and prints the cost per
# decision and the bytes per task at several numbers of waiting works.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}
seed=${SEED:-1}
"$go" run ./internal/placement/benchpolicy -seed "$seed" -plots docs/plots | tee docs/plots/policy-table.txt
"$go" test ./internal/placement -run '^$' -bench BenchmarkSchedule -benchtime 20000x
"$go" test ./internal/placement -run '^$' -bench BenchmarkMemory -benchtime 1x
