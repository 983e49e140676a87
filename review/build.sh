#!/bin/bash
# Builds what the cases start beside the program: stand-ins in Python, of the standard library alone. Run it behind
# the build of deploy/balancer.toml, whose environment has the interpreter.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
