#!/usr/bin/env bash
# Plays the tests that draw at random with fresh seeds for MINUTES (default 10), and
# prints a command that repeats what failed.
#
# MINUTES   how long to play
# PACKAGES  the packages, default all that draw
# CHECKS    drawn cases of each test per seed, default 1000
set -euo pipefail
cd "$(dirname "$0")/.."
minutes=${MINUTES:-10}
checks=${CHECKS:-1000}
packages=${PACKAGES:-$(git grep -l 'pgregory.net/rapid' -- '*_test.go' ':!operator' | xargs -n1 dirname | sort -u | sed 's,^,./,')}
[[ $minutes =~ ^[1-9][0-9]*$ && $checks =~ ^[1-9][0-9]*$ ]] || {
  echo "fuzz: MINUTES and CHECKS have to be whole numbers above 0" >&2
  exit 2
}
seeds=0
status=0
deadline=$((SECONDS + 60 * minutes))
while [ "$SECONDS" -lt "$deadline" ]; do
  for package in $packages; do
    seed=$((RANDOM * 32768 + RANDOM + 1))
    command="RAPID_SEED=$seed RAPID_CHECKS=$checks go test -race -count=1 $package"
    if ! env RAPID_SEED="$seed" RAPID_CHECKS="$checks" go test -race -count=1 -timeout 60m "$package"; then
      echo "fuzz: failed; repeat with: $command"
      status=1
    fi
    seeds=$((seeds + 1))
    [ "$SECONDS" -lt "$deadline" ] || break
  done
done
echo "fuzz: $seeds seeds of $checks cases"
exit "$status"
