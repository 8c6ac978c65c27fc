#!/usr/bin/env sh
# Builds the stand-ins that the scripts start: they are Python and need only to compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/[1-9]/
