#!/bin/sh
# Puts all that the roles need under target/deps: the libraries once, the sources every time.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ pyproject.toml -nt "$deps/.libraries" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" .
    touch "$deps/.libraries"
fi
rm -rf "$deps/persimmoncrank" "$deps/persimmoncrank_platform"
cp -r persimmoncrank platform/persimmoncrank_platform "$deps/"
rm -rf "$deps/persimmoncrank/tests"
# The roles cannot write compiled files, and each start would compile the sources anew.
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/persimmoncrank" "$deps/persimmoncrank_platform"
