"""The platform's agent: a list of endpoints, changes of it, and notices.

    python -m fakes.discovery_agent --listen 127.0.0.1:0 --list FILE [--ledger FILE]

FILE holds the list in discovery's form. A watch is held until the list changes, or as long as it asks to be;
notices get 204 at once, and a line each in the ledger, as they came. In the same process the list can be
changed, answers delayed or spread over time, and the agent silenced."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

from .serving import address, arguments, serve

PIECES = 4  # of an answer that is spread over time


class Agent:
    def __init__(self, listing: bytes, ledger: TextIO | None = None) -> None:
        self.ledger = ledger
        self.listing, self.generation = listing, int(json.loads(listing)["generation"])
        self.changed = asyncio.Event()
        self.delay_s = 0.0  # from when an answer is known until it is written
        self.spread_s = 0.0  # from the first piece of an answer to its last
        self.is_silent = False  # requests for the list that come now are never answered
        self.calls: list[float] = []  # when requests for the list came, on the loop's clock
        self.open_count = 0  # connections
        self.address = ("", 0)

    async def start(self) -> Agent:
        """Listens on loopback."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    def replace_list(self, instances: list[dict[str, Any]]) -> None:
        """Replaces the list and answers the open watches."""
        self.generation += 1
        told = {"generation": self.generation, "reset": True, "instances": instances}
        self.listing = json.dumps(told).encode()
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_count += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                length = next(
                    (
                        int(line.partition(":")[2])
                        for line in lines
                        if line.lower().startswith("content-length:")
                    ),
                    0,
                )
                told = await reader.readexactly(length)
                if method == "GET" and self.is_silent:
                    self._count_call()
                    await reader.read()  # until the relay gives the call up
                    break
                status, body = await self.answer(method, target, told)
                await self._write(
                    writer, b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_count -= 1
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        size = len(data) if not self.spread_s else -(-len(data) // PIECES)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(self.spread_s / (PIECES - 1))
            writer.write(data[start : start + size])

    async def answer(self, method: str, target: str, told: bytes) -> tuple[int, bytes]:
        url = urlsplit(target)
        if method == "POST":
            if self.ledger is not None:
                self.ledger.write(told.decode().rstrip("\n") + "\n")
                self.ledger.flush()
            return 204, b""
        self._count_call()
        body = await self._known(parse_qs(url.query))
        await asyncio.sleep(self.delay_s)
        return 200, body

    def _count_call(self) -> None:
        self.calls.append(asyncio.get_running_loop().time())

    async def _known(self, query: dict[str, list[str]]) -> bytes:
        if query.get("from", [""])[0] != str(self.generation):
            return self.listing
        changed = self.changed
        try:
            async with asyncio.timeout(int(query.get("hold_ms", ["0"])[0]) / 1000):
                await changed.wait()
        except TimeoutError:
            return json.dumps({"generation": self.generation, "reset": False, "instances": []}).encode()
        return self.listing


def main() -> None:
    parser = arguments("agent")
    parser.add_argument("--list", type=Path, required=True)
    parser.add_argument("--ledger", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    args = parser.parse_args()
    agent = Agent(args.list.read_bytes(), args.ledger)
    serve(lambda: asyncio.start_server(agent.serve, *address(args.listen)))


if __name__ == "__main__":
    main()
