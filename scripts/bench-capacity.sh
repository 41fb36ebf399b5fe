#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md with real daemon processes on
# stand-ins and prints them with the table budget / computed / ratio.
# CAPACITY_ONLY names some measurements, with commas; CAPACITY_RESULTS is a
# JSON file in which results are merged.
set -euo pipefail
cd "$(dirname "$0")/.."
exec "${GO:-go}" run ./internal/capacity/cmd/capacity \
  -daemon bin/bluebellstiled -only "${CAPACITY_ONLY:-}" -results "${CAPACITY_RESULTS:-}"
