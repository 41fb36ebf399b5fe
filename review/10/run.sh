#!/usr/bin/env bash
# Plays the case; see claim.txt. Before it, run the build of the deploy file and
# review/build-2.sh. TROUBLE=0 leaves the disruption out.
folder=review/$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bluebellstiled ] || [ ! -x target/review-kit-2 ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
exec target/review-kit-2 waiting "$folder"
