#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the lost answers. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec timeout 120 target/review3/standin3 --case cancel --record "$here/record.txt"
