#!/bin/sh
# Builds what the cases 6 to 10 start beside the program itself, after the deploy file's line `build`: the stand-ins
# in review/common are Python on the standard library alone, so it is enough that they compile.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the deploy file's line build first" >&2; exit 1; }
exec .venv/bin/python -m compileall -q review/common review/6 review/7 review/8 review/9 review/10
