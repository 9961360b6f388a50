"""The real relay: `python -m linnetstile`, configured by the RELAY_ variables."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

from .net.config import Config, ConfigError, load
from .net.host import Host


async def serve(config: Config) -> None:
    host = Host(config)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await host.start()
    logging.info("%s serves on %s:%d", config.name, *config.listen)
    await stopping.wait()
    await host.stop()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        config = load()
    except ConfigError as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
