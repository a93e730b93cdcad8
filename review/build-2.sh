#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: they use the standard
# library alone, so this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cp review/support-2/*.py target/review-2/
python3 -m compileall -q target/review-2
