#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/fireflypier ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review-standin herd review/3/record.txt
