#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2
