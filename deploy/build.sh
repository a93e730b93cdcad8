#!/usr/bin/env bash
# Installs the pinned libraries and the node's sources below target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=$deps/.installed
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install -q --no-compile --target "$deps" \
    -c constraints.txt -r deploy/requirements.txt
  python3 -m compileall -q -j 4 "$deps"
  cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/gypsumfold"
cp -R packages/gypsumfold/src/gypsumfold "$deps/gypsumfold"
python3 -m compileall -q "$deps/gypsumfold"
