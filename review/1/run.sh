#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review .venv/bin/python review/1/case.py &
played=$!
trap 'kill "$played"' TERM INT
wait "$played"
case $? in 0) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac # 11: the judge found the rule broken
