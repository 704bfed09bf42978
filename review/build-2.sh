#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after deploy/build.
# Their stand-ins need nothing but Python's standard library, so it is enough
# to see that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness_2.py review/[6-9]/*.py review/10/*.py
[ -f target/deps/bronzepaddle_node/main.py ] || {
    echo "run sh deploy/build first" >&2
    exit 1
}
