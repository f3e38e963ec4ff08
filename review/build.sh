#!/usr/bin/env bash
# Installs the project's own packages (requirements.txt) into .venv-run, as scripts/rehearse does: the front that
# serves DASH and the simulated media server and list server of case 3 need them. Cases 1 and 2 need only the
# standard library, so that they can run if the packages can't be had; case 3 then exits with 2.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x .venv-run/bin/python ] || python3 -m venv .venv-run
if ! .venv-run/bin/python -c 'import fernweir.front.program' 2>/dev/null; then
    .venv-run/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.txt ||
        echo "review/build.sh: requirements.txt is not installed; case 3 can't run" >&2
fi
.venv/bin/python -m compileall -q review
