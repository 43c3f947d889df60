#!/bin/sh
# Builds the stand-ins of the cases from 6 on: they are Python and stand beside their case, so there is only to compile.
# The project's own programs are built by the deploy file's `build`, which has run before.
cd "$(dirname "$0")/.." || exit 2
for folder in review/6 review/7 review/8 review/9 review/10; do
    test -d "$folder" || continue
    .venv/bin/python -m compileall -q "$folder" || exit 1
done
