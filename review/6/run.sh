#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" exec node review/6/run.mjs
