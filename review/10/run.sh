#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec .venv/bin/python -m "review.$(basename "$here").case" "$here"
