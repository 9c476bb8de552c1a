#!/bin/sh
# Builds the stand-ins of the second review's scripts: they are Python programs that use
# the standard library only, so building them means checking that they compile.
set -e
cd "$(dirname "$0")/.."
for folder in review/common_2 review/4 review/5 review/6 review/7 review/8; do
    if [ -d "$folder" ]; then
        PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/ashlatch-review-pycache-2" \
            python3 -m compileall -q "$folder"
    fi
done
