#!/bin/bash
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflypier ] && [ -x target/review2-standin ] || exit 2
exec target/review2-standin slow review/7
