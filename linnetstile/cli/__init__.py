"""The commands: `python -m linnetstile COMMAND`, one file each. Needs the extra `ops`."""
