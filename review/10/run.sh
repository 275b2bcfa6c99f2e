#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exit code: 1 rule broken, 0 rule held, 2 could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 ./case.py
