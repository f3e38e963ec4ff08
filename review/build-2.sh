#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python modules that need only the standard library, and run
# in the environment that the build line of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review/standins-2
