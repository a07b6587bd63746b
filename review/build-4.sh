#!/bin/sh
# Copies the stand-ins of the cases 16 to 20 to target/review-4 and compiles them.
set -eu
cd "$(dirname "$0")/.."
built=target/review-4
rm -rf "$built"
mkdir -p "$built"
cp -r review/standins_4 "$built/standins_4"
python3 -m compileall -q "$built"
