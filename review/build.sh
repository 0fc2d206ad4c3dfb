#!/bin/sh
# Builds the stand-ins and the cases into review/dist. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review
