"""Outside systems, played on loopback: `python -m standins.NAME --listen HOST:PORT` prints one line when it
is ready and ends on SIGTERM. Nothing of linnetstile imports them, and they import nothing of it; the models
behind them are in `emulator`."""
