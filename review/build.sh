#!/bin/sh
# Builds what the scripts start besides the relay: the stand-ins are Python modules of the standard library alone.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review message_relay
