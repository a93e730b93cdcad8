#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in this folder. They are Python files
# that use the libraries in target/deps, which the deploy file's build installs.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/gypsumfold ] || bash deploy/build.sh
PYTHONPATH=target/deps python3 -c "import aiohttp"
python3 -m compileall -q review/support
