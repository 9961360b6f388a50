"""A fake of the platform's discovery agent: serves a list of endpoints and its changes, and records notices.

    python -m fakes.discovery_agent --listen 127.0.0.1:0 --list FILE [--ledger FILE]

FILE contains the list in the format of discovery. A watch is answered when the list changes, or after the
time that it asks for. A notice gets 204 at once, and is written unchanged as a line of the ledger. Code in
the same process can change the list, delay answers or spread them over time, and silence the agent.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

from .serving import address, arguments, serve

PIECES = 4  # number of pieces of an answer that is spread over time


class Agent:
    def __init__(self, listing: bytes, ledger: TextIO | None = None) -> None:
        self.ledger = ledger
        self.listing, self.generation = listing, int(json.loads(listing)["generation"])
        self.changed = asyncio.Event()
        self.delay_s = 0.0  # delay between the end of a watch and its answer
        self.spread_s = 0.0  # time between the first and the last piece of an answer
        self.is_silent = False  # while set, requests for the list are never answered
        self.calls: list[float] = []  # times of the requests for the list, on the loop's clock
        self.open_count = 0  # number of open connections
        self.address = ("", 0)

    async def start(self) -> Agent:
        """Starts to listen on loopback."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    def replace_list(self, instances: list[dict[str, Any]]) -> None:
        """Replaces the list and answers the open watches."""
        self.generation += 1
        replacement = {"generation": self.generation, "reset": True, "instances": instances}
        self.listing = json.dumps(replacement).encode()
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
                notice = await reader.readexactly(length)
                if method == "GET" and self.is_silent:
                    self._count_call()
                    await reader.read()  # until the relay closes the connection
                    break
                status, body = await self.answer(method, target, notice)
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

    async def answer(self, method: str, target: str, notice: bytes) -> tuple[int, bytes]:
        url = urlsplit(target)
        if method == "POST":
            if self.ledger is not None:
                self.ledger.write(notice.decode().rstrip("\n") + "\n")
                self.ledger.flush()
            return 204, b""
        self._count_call()
        body = await self._wait_for_list(parse_qs(url.query))
        await asyncio.sleep(self.delay_s)
        return 200, body

    def _count_call(self) -> None:
        self.calls.append(asyncio.get_running_loop().time())

    async def _wait_for_list(self, query: dict[str, list[str]]) -> bytes:
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
