"""Common parts of the fakes: the --listen option, the line that reports readiness, and the end on SIGTERM."""

from __future__ import annotations

import argparse
import asyncio
import signal
from collections.abc import Awaitable, Callable


def arguments(name: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog=f"fakes.{name}")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
    return parser


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def serve(start: Callable[[], Awaitable[asyncio.Server]]) -> None:
    async def serve_until_stopped() -> None:
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        server = await start()
        print("ready {}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
        await stop.wait()
        server.close()

    asyncio.run(serve_until_stopped())
