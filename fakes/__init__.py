"""Outside systems, played on loopback: `python -m fakes.NAME --listen HOST:PORT` prints one line when it
is ready and ends on SIGTERM. Nothing of message_relay imports them, and they import nothing of it; the models
behind them are in `emulator`."""
