#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python and
# need no build; cases 6 and 8 run the relay with the project's own extra `amqp`, at the version of pyproject.toml.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 1; }
.venv/bin/python -c 'import pamqp' 2>/dev/null && exit 0
want=$(.venv/bin/python -c 'import tomllib; print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["amqp"])')
exec .venv/bin/pip -q install $want
