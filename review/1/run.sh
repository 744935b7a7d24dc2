#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the trouble out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
