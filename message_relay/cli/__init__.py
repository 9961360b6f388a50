"""The commands: `python -m message_relay COMMAND`, one file each. Needs the extra `ops`."""
