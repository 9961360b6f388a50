#!/bin/sh
# Writes record.txt, beside this file: what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
rm -f "$here/record.txt"
if ! test -x .venv/bin/python; then
    echo "could not run: the build of the deploy file is missing" | tee "$here/record.txt"
    exit 2
fi
exec .venv/bin/python "$here/case.py"
