#!/bin/sh
# Runs a case five times with its disruption and once without: sh review/five.sh N
cd "$(dirname "$0")/.." || exit 2
for run in 1 2 3 4 5; do
    "review/$1/run.sh" > /dev/null
    echo "case $1, run $run: exit code $?"
done
TROUBLE=0 "review/$1/run.sh" > /dev/null
echo "case $1, TROUBLE=0: exit code $?"
