#!/usr/bin/env bash
# Plays case 7, see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/topazfront ] && [ -x ../../bin/review-standin-2 ] || exit 2
exec ../../bin/review-standin-2 7 "$PWD" "$(cd ../.. && pwd)"
