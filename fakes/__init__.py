"""Fakes of external systems on loopback.

`python -m fakes.NAME --listen HOST:PORT` prints one line when it is ready and ends on SIGTERM. message_relay
and the fakes do not import each other; the models behind the fakes are in `emulator`.
"""
