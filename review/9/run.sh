#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. The case itself ends with 10 if the rule was broken: 1 is how an interpreter fails.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
.venv/bin/python -B -m "review.$(basename "$here").case" "$here"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
