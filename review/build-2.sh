#!/bin/sh
# Builds the stand-ins and the scripts of the cases in review/6 to review/10.
set -e
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/standIns-2
