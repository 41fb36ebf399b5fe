#!/usr/bin/env bash
# Plays the case and writes record.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/reviewkit ] || [ ! -x ../../target/bluebellstiled ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec ../../target/reviewkit replaced "$PWD"
