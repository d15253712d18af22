#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out and does the same otherwise.
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0 | 1) ;;
    *) echo "TROUBLE is 0 or 1, not $TROUBLE"; exit 2 ;;
esac
export TROUBLE
cd "$(dirname "$0")" && exec python3 scenario.py
