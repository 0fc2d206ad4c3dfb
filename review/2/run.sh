#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
program="$(dirname "$0")/../dist/2/run.js"
if [ ! -f "$program" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
exec node "$program"
