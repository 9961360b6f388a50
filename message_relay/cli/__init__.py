"""Commands of `python -m message_relay COMMAND`, one module each. Requires the extra `ops`."""
