"""What a relay decides: no I/O, no clock of its own. `control.Relay` is fed events and says actions."""
