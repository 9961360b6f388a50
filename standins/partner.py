"""A partner's endpoint: answers each call with 200 after a stated time, or with faults by chance.

    python -m standins.partner --listen 127.0.0.1:0 [--answer-ms 2] [--refuse 0.1] [--error 0.1] [--hang 0.1]
                               [--seed 1] [--ledger FILE]

`--ledger` gets a line for each call that took effect, written before its answer: `UNIX_MS TRACE_ID KEY`. A
key that is there already takes no effect again. Requests are HTTP/1.1 with Content-Length, as the relay sends
them; one that is too long ends the connection.
"""

from __future__ import annotations

import asyncio
import random
import re
import time
from dataclasses import dataclass, field
from typing import TextIO

from .serving import address, arguments, serve

HEAD = re.compile(rb"\r\n\r\n")
HEADER = re.compile(rb"\r\n(content-length|x-trace-id|idempotency-key): *([^\r]*)", re.IGNORECASE)
MOST = 128 * 1024


@dataclass
class Partner:
    answer_s: float = 0.002
    refuse: float = 0.0
    error: float = 0.0
    hang: float = 0.0
    random: random.Random = field(default_factory=lambda: random.Random(1))
    ledger: TextIO | None = None
    keys: set[bytes] = field(default_factory=set)
    calls: int = 0

    def answer(self, trace: bytes, key: bytes) -> bytes | None:
        """What one whole call gets; None: nothing ever."""
        self.calls += 1
        chance = self.random.random()
        if chance < self.refuse:
            return b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        if self.ledger is not None and (not key or key not in self.keys):
            self.keys.add(key)
            self.ledger.write(f"{time.time() * 1000:.0f} {trace.decode('latin-1')} {key.decode('latin-1')}\n")
            self.ledger.flush()
        if chance < self.refuse + self.error:
            return b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
        if chance < self.refuse + self.error + self.hang:
            return None
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Connection(asyncio.Protocol):
    def __init__(self, partner: Partner) -> None:
        self.partner, self.data = partner, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.data += data
        while (end := HEAD.search(self.data)) is not None:
            found = {name.lower(): value for name, value in HEADER.findall(self.data[: end.start()])}
            length = int(found.get(b"content-length", b"0"))
            if len(self.data) < end.end() + length:
                break
            del self.data[: end.end() + length]
            answer = self.partner.answer(found.get(b"x-trace-id", b""), found.get(b"idempotency-key", b""))
            if answer is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(self.partner.answer_s, self.transport.write, answer)
        if len(self.data) > MOST:
            self.transport.abort()


def main() -> None:
    parser = arguments("partner")
    parser.add_argument("--answer-ms", type=float, default=2.0)
    for name in ("refuse", "error", "hang"):
        parser.add_argument(f"--{name}", type=float, default=0.0, help="chance from 0 to 1")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    args = parser.parse_args()
    partner = Partner(args.answer_ms / 1000, args.refuse, args.error, args.hang, random.Random(args.seed),
                      args.ledger)

    async def start() -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(lambda: Connection(partner),
                                                              *address(args.listen), backlog=1024)

    serve(start)


if __name__ == "__main__":
    main()
