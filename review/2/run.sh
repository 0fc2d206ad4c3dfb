#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
program="$(dirname "$0")/../dist/2/run.js"
if [ ! -f "$program" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
exec node "$program"
