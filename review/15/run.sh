#!/bin/sh
# Case 15; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/trial ] && [ -x target/control ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-3/trial -programs target -names review/trial/names.json -record review/15/record.txt -trouble=$trouble readback
