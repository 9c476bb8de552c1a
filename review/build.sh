#!/bin/sh
# Builds the stand-ins of the scripts: they are Python programs that use the standard
# library only, so building them means checking that they compile.
set -e
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/ashlatch-review-pycache" \
    python3 -m compileall -q review
