#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later: modules of the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins_3
