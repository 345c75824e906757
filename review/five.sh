#!/bin/sh
# Runs a case five times with its disruption and five times without: sh review/five.sh N
cd "$(dirname "$0")/.." || exit 2
for trouble in 0 1; do
    for run in 1 2 3 4 5; do
        TROUBLE=$trouble "review/$1/run.sh" > /dev/null
        echo "case $1, TROUBLE=$trouble, run $run: exit code $?"
    done
done
