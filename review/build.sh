#!/usr/bin/env bash
# Checks that the stand-ins compile. They are Python modules of review/harness and need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
