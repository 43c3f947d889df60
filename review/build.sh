#!/bin/sh
# Builds the stand-ins that the scripts of this review start: they are Python modules without further dependencies.
# Run it after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
