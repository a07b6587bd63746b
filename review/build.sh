#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
