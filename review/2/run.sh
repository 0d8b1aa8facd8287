#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reviewcase ] || { echo "run review/build.sh first"; exit 2; }
exec target/reviewcase twice review/2/record.txt
