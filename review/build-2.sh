#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need only the standard library, so that
# compiling them is all there is to do.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2
