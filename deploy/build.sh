#!/bin/sh
# Installs all files of the roles into target/deps. The libraries are installed again only
# after a change of pyproject.toml; the sources are copied on each build.
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
# Precompile the sources: the roles cannot write bytecode files, so each start would compile them.
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps/persimmoncrank" "$deps/persimmoncrank_platform"
