#!/bin/sh
# Builds the stand-ins that the cases start. To be run from the root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
