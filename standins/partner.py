"""A partner's endpoint: answers each call with 200 after a stated time, or with faults by chance.

    python -m standins.partner --listen 127.0.0.1:0 [--answer-ms 2] [--refuse 0.1] [--error 0.1] [--hang 0.1]
                               [--seed 1] [--ledger FILE] [--calls FILE]
                               [--rate 60 [--down 10:4,30:2] [--cold 0.18] [--warm-s 11]]

`--rate` is an agreed one: above it, or above what the partner can do so soon after it was down, calls get 503
(standins.agreed). `--down` gives outages, FROM:LENGTH in seconds after it is ready: its connections end, and
new ones are refused. `--calls` gets a line for each whole call: `UNIX_MS TRACE_ID ANSWER`. `--ledger` gets a
line for each call that took effect, written before its answer: `UNIX_MS TRACE_ID KEY`. A key that is there
already takes no effect again. Requests are HTTP/1.1 with Content-Length, as the relay sends them; one that is
too long ends the connection. """

from __future__ import annotations

import asyncio
import random
import re
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TextIO

from .agreed import Agreed, Answer
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
    agreed: Agreed | None = None
    log: TextIO | None = None
    open: set[asyncio.Transport] = field(default_factory=set)

    def answer(self, trace: bytes, key: bytes) -> bytes | None:
        """What one whole call gets; None: nothing ever."""
        self.calls += 1
        now, chance = time.time() * 1000, self.random.random()
        told = Answer.TAKEN if self.agreed is None else self.agreed.call(now)
        if self.log is not None:
            self.log.write(f"{now:.1f} {trace.decode('latin-1')} {told.value}\n")
            self.log.flush()
        if told is Answer.DOWN:
            return None
        if told is Answer.FULL or chance < self.refuse:
            return b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        if self.ledger is not None and (not key or key not in self.keys):
            self.keys.add(key)
            self.ledger.write(f"{now:.0f} {trace.decode('latin-1')} {key.decode('latin-1')}\n")
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
        self.partner.open.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        assert self.transport is not None
        self.partner.open.discard(self.transport)

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


def spans(text: str) -> list[tuple[float, float]]:
    """`FROM:LENGTH,...` in seconds as pairs of begin and end in ms; ValueError if it is something else."""
    pairs = [[float(part) * 1000 for part in item.split(":")] for item in text.split(",") if item]
    if any(len(pair) != 2 for pair in pairs):
        raise ValueError(f"{text!r} is not FROM:LENGTH,...")
    return [(begin, begin + length) for begin, length in pairs]


class Outages:
    """Takes the listener away for as long as the partner is down."""

    def __init__(self, partner: Partner, listen: tuple[str, int], armed: bool) -> None:
        self.partner, self.listen, self.armed = partner, listen, armed
        self.work: asyncio.Task[None] | None = None

    async def start(self) -> asyncio.Server:
        server = await self._server()
        if self.partner.agreed is not None and self.partner.agreed.downs:
            self.listen = server.sockets[0].getsockname()[:2]
            downs, self.partner.agreed.downs = self.partner.agreed.downs, ()
            if self.armed:
                asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, self._begin, downs, server)
            else:
                self._begin(downs, server)
        return server

    def _begin(self, downs: Sequence[tuple[float, float]], server: asyncio.Server) -> None:
        assert self.partner.agreed is not None
        zero = time.time() * 1000
        self.partner.agreed.downs = [(zero + begin, zero + end) for begin, end in downs]
        self.work = asyncio.ensure_future(self._run(server))

    async def _server(self) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(lambda: Connection(self.partner), *self.listen,
                                                              backlog=1024)

    async def _run(self, server: asyncio.Server) -> None:
        assert self.partner.agreed is not None
        for begin, end in self.partner.agreed.downs:
            await asyncio.sleep(begin / 1000 - time.time())
            server.close()
            for transport in list(self.partner.open):
                transport.abort()
            await asyncio.sleep(end / 1000 - time.time())
            server = await self._server()


def main() -> None:
    parser = arguments("partner")
    parser.add_argument("--answer-ms", type=float, default=2.0)
    for name in ("refuse", "error", "hang"):
        parser.add_argument(f"--{name}", type=float, default=0.0, help="chance from 0 to 1")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ledger", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    parser.add_argument("--calls", type=lambda path: open(path, "a"))  # noqa: SIM115
    parser.add_argument("--rate", type=float, help="calls a second")
    parser.add_argument("--down", type=spans, default=[], metavar="FROM:LENGTH,...")
    parser.add_argument("--armed", action="store_true", help="outages count from SIGUSR1, not from the start")
    parser.add_argument("--cold", type=float, default=0.18, help="share of the rate right after an outage")
    parser.add_argument("--warm-s", type=float, default=11.0, help="from then until it can do all of it")
    args = parser.parse_args()
    if args.down and args.rate is None:
        parser.error("--down needs --rate")
    agreed = None if args.rate is None else Agreed(args.rate, args.down, args.cold, args.warm_s * 1000)
    partner = Partner(args.answer_ms / 1000, args.refuse, args.error, args.hang, random.Random(args.seed),
                      args.ledger, agreed=agreed, log=args.calls)
    serve(Outages(partner, address(args.listen), args.armed).start)


if __name__ == "__main__":
    main()
