#!/usr/bin/env bash
# A client that reads slowly; see claim.txt. Exits with 1 if MIXED is broken.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/support-2 exec python3 review/6/case.py
