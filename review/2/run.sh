#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review .venv/bin/python -c "import standins.gate, standins.play, standins.planner" || exit 2
PYTHONPATH=review exec .venv/bin/python review/2/case.py
