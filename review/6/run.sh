#!/usr/bin/env bash
# A gateway stops; see claim.txt. Exits with 1 if LOST is broken.
# TROUBLE=0 leaves out the disruption; the record goes to record.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/support-2 exec python3 review/6/case.py
