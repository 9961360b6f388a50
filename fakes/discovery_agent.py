"""The platform's agent: one list of endpoints that does not change, and notices, counted.

    python -m fakes.discovery_agent --listen 127.0.0.1:0 --list FILE [--ledger FILE]

FILE holds the list in discovery's form. A watch is held for as long as it asks to be; notices get 204, and a
line each in the ledger, as they came."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import TextIO
from urllib.parse import parse_qs, urlsplit

from .serving import address, arguments, serve


class Agent:
    def __init__(self, listing: bytes, ledger: TextIO | None = None) -> None:
        self.ledger = ledger
        self.listing, self.generation = listing, int(json.loads(listing)["generation"])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                status, body = await self.answer(method, target, told)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method: str, target: str, told: bytes) -> tuple[int, bytes]:
        url = urlsplit(target)
        if method == "POST":
            if self.ledger is not None:
                self.ledger.write(told.decode().rstrip("\n") + "\n")
                self.ledger.flush()
            return 204, b""
        query = parse_qs(url.query)
        if query.get("from", [""])[0] != str(self.generation):
            return 200, self.listing
        await asyncio.sleep(int(query.get("hold_ms", ["0"])[0]) / 1000)
        return 200, json.dumps({"generation": self.generation, "reset": False, "instances": []}).encode()


def main() -> None:
    parser = arguments("agent")
    parser.add_argument("--list", type=Path, required=True)
    parser.add_argument("--ledger", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    args = parser.parse_args()
    agent = Agent(args.list.read_bytes(), args.ledger)
    serve(lambda: asyncio.start_server(agent.serve, *address(args.listen)))


if __name__ == "__main__":
    main()
