#!/bin/sh
# Puts all that the roles need under target/deps: the libraries once, the sources every time.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ pyproject.toml -nt "$deps/.libraries" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" .
    rm -rf "$deps/persimmoncrank"
    touch "$deps/.libraries"
fi
rm -rf "$deps/persimmoncrank_platform"
cp -r platform/persimmoncrank_platform "$deps/"
