"""A partner's endpoint on sockets: the model emulator.partner decides each answer and its time.

    python -m fakes.endpoint --listen 127.0.0.1:0 [--answer-ms 2] [--refuse 0.1] [--error 0.1] [--hang 0.1]
                               [--reset 0.1] [--slots 8 --queue 4] [--seed 1] [--ledger FILE] [--calls FILE]
                               [--rate 60] [--down 10:4,30:2] [--cold 0.18] [--warm-s 11] [--armed]
                               [--spec FILE] [--unheard]

`--rate` is the agreed rate: calls above it, or above the reduced capacity right after an outage, get 503.
`--down` lists outages, FROM:LENGTH in seconds after it is ready: open connections are aborted, and new ones
refused. With `--unheard` new ones get no answer, as from a machine that is gone, and the client's kernel
sends its SYN again 1 s and 3 s after the first.

`--calls` gets a line for each complete call: `UNIX_MS TRACE_ID REPLY MS RULES`, with the time until the
answer (`inf`: it is never sent) and the relay's X-Rules (`-`: none). `--ledger` gets a line for each call
that had an effect, written before its answer: `UNIX_MS TRACE_ID KEY`. A key that was used within the last
hour has no effect again. Requests are HTTP/1.1 with Content-Length, as the relay sends them; one that is too
long ends the connection.
"""

from __future__ import annotations

import asyncio
import random
import re
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

import msgspec

from emulator.partner import Call, Partner, Reply
from emulator.spec import Cold, Fault, Rate, Service, Spec, Trouble

from .serving import address, arguments, serve

HEAD = re.compile(rb"\r\n\r\n")
HEADER = re.compile(rb"\r\n(content-length|x-trace-id|idempotency-key|x-rules): *([^\r]*)", re.IGNORECASE)
MAX_BUFFERED_BYTES = 128 * 1024
KEY_WINDOW_MS = 3_600_000.0
UNARMED_OFFSET_MS = -1e13  # added to Unix ms until it is armed, so that none of its troubles has begun
STATUS = {
    Reply.OK: b"200 OK",
    Reply.ERROR: b"500 Internal Server Error",
    Reply.FULL: b"503 Service Unavailable",
}


def unanswering_listener(listen: tuple[str, int]) -> list[socket.socket]:
    """Returns a listener with a full accept queue, and the socket that fills it; further SYNs are dropped."""
    listener, filler = socket.socket(), socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(listen)
    listener.listen(0)
    filler.connect(listener.getsockname())
    return [listener, filler]


class Endpoint:
    """A listener that answers as its model decides. `clock` returns the model's time in ms."""

    def __init__(
        self,
        model: Partner,
        listen: tuple[str, int],
        clock: Callable[[], float] | None = None,
        ledger: TextIO | None = None,
        log: TextIO | None = None,
    ) -> None:
        self.model, self.listen, self.ledger, self.log = model, listen, ledger, log
        self.started_at_ms: float | None = (
            None  # Unix ms at which the model's time began; None: it is not armed yet
        )
        self.clock = clock or self._clock
        self.after: Callable[[float], float] = (
            lambda delay_ms: delay_ms
        )  # maps the model's delay of an answer to the real one
        self.open: set[asyncio.Transport] = set()
        self.falls = 0
        # Whether new connections get no answer during an outage; else they are refused.
        self.unresponsive = False
        self.tasks: set[asyncio.Task[None]] = set()

    def _clock(self) -> float:
        now = time.time() * 1000
        return now + UNARMED_OFFSET_MS if self.started_at_ms is None else now - self.started_at_ms

    def answer(self, trace: bytes, key: bytes, rules: bytes = b"") -> tuple[Reply, float, float]:
        """Returns the reply to one complete call, its delay, and the retry delay that it states, in ms."""
        now, name = self.clock(), trace.decode("latin-1")
        effects_before = self.model.effects[name]
        answer = self.model.call(now, Call(name, key.decode("latin-1") or None))
        if self.log is not None:
            reply = answer.reply.value.replace(" ", "-")
            self.log.write(
                f"{time.time() * 1000:.1f} {name} {reply} {answer.at - now:.1f} "
                f"{rules.decode('latin-1') or '-'}\n"
            )
            self.log.flush()
        if self.ledger is not None and self.model.effects[name] > effects_before:
            self.ledger.write(f"{time.time() * 1000:.0f} {name} {key.decode('latin-1')}\n")
            self.ledger.flush()
        if self.model.falls > self.falls:
            self.falls = self.model.falls
            self._go_down(self.model.spec.cold.fallen_ms)
        return answer.reply, self.after(answer.at - now), answer.wait_ms

    # -- the listener ------------------------------------------------------------------------------------

    async def start(self) -> asyncio.Server:
        self.server = await self._server()
        self.listen = self.server.sockets[0].getsockname()[:2]
        return self.server

    async def _server(self) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: Connection(self), *self.listen, backlog=1024)

    def start_model(self) -> None:
        """Starts the model's time, and so its outages."""
        self.started_at_ms = time.time() * 1000
        for trouble in self.model.spec.troubles:
            if trouble.fault is Fault.DOWN:
                length = trouble.end_ms - trouble.begin_ms
                asyncio.get_running_loop().call_later(trouble.begin_ms / 1000, self._go_down, length)

    def _go_down(self, length_ms: float) -> None:
        """Aborts connections, and closes the listener for the given time."""
        self.server.close()
        for transport in list(self.open):
            transport.abort()
        sockets = unanswering_listener(self.listen) if self.unresponsive else []
        task = asyncio.get_running_loop().create_task(self._recover(length_ms, sockets))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _recover(self, length_ms: float, sockets: list[socket.socket]) -> None:
        await asyncio.sleep(length_ms / 1000)
        for each in sockets:
            each.close()
        self.server = await self._server()


class Connection(asyncio.Protocol):
    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint, self.data = endpoint, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.endpoint.open.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        assert self.transport is not None
        self.endpoint.open.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.data += data
        while (end := HEAD.search(self.data)) is not None:
            headers = {name.lower(): value for name, value in HEADER.findall(self.data[: end.start()])}
            length = int(headers.get(b"content-length", b"0"))
            if len(self.data) < end.end() + length:
                break
            del self.data[: end.end() + length]
            self._call(*(headers.get(name, b"") for name in (b"x-trace-id", b"idempotency-key", b"x-rules")))
        if len(self.data) > MAX_BUFFERED_BYTES:
            self.transport.abort()

    def _call(self, trace: bytes, key: bytes, rules: bytes) -> None:
        assert self.transport is not None
        reply, after_ms, wait_ms = self.endpoint.answer(trace, key, rules)
        loop = asyncio.get_running_loop()
        if reply in (Reply.RESET, Reply.NO_CONNECTION):
            loop.call_later(after_ms / 1000, self.transport.abort)
        elif reply is not Reply.NOTHING:
            status = STATUS[reply]
            wait = b""
            if wait_ms > 0:
                status, wait = b"429 Too Many Requests", b"X-RateLimit-Wait-Ms: %d\r\n" % round(wait_ms)
            loop.call_later(
                after_ms / 1000,
                self.transport.write,
                b"HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n" % (status, wait),
            )


def spans(text: str) -> list[tuple[float, float]]:
    """Parses `FROM:LENGTH,...` in seconds into pairs of start and end in ms. Raises ValueError."""
    pairs = [[float(part) * 1000 for part in item.split(":")] for item in text.split(",") if item]
    if any(len(pair) != 2 for pair in pairs):
        raise ValueError(f"{text!r} is not FROM:LENGTH,...")
    return [(start, start + length) for start, length in pairs]


def rated(per_s: float) -> Rate:
    """A rate limit that refuses only what is clearly above: its burst is two calls and 5% of the rate."""
    return Rate(per_s, burst=2 + 0.05 * per_s)


def spec_of(path: Path) -> Spec:
    """Reads one of an experiment's [[partners]] from a JSON file. Raises ValueError."""
    from emulator.experiment import Partner as PartnerSettings

    settings: PartnerSettings = msgspec.json.decode(path.read_bytes(), type=PartnerSettings)
    return settings.model()


def main() -> None:
    parser = arguments("partner")
    parser.add_argument("--answer-ms", type=float, default=2.0)
    for name in ("refuse", "error", "hang", "reset"):
        parser.add_argument(f"--{name}", type=float, default=0.0, help="chance from 0 to 1")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slots", type=int)
    parser.add_argument("--queue", type=int, default=0)
    parser.add_argument("--ledger", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    parser.add_argument("--calls", type=lambda path: open(path, "a"))  # noqa: SIM115
    parser.add_argument("--rate", type=float, help="calls a second")
    parser.add_argument("--down", type=spans, default=[], metavar="FROM:LENGTH,...")
    parser.add_argument(
        "--armed", action="store_true", help="outages are counted from SIGUSR1, not from the start"
    )
    parser.add_argument(
        "--unheard", action="store_true", help="new connections get no answer during an outage"
    )
    parser.add_argument("--cold", type=float, default=0.18, help="share of the rate right after an outage")
    parser.add_argument(
        "--warm-s", type=float, default=11.0, help="seconds from the end of an outage until the full rate"
    )
    parser.add_argument(
        "--spec", type=Path, help="JSON file with a partner of an experiment; replaces all these options"
    )
    args = parser.parse_args()
    try:
        spec = (
            spec_of(args.spec)
            if args.spec is not None
            else Spec(
                rate=None if args.rate is None else rated(args.rate),
                slots=args.slots,
                queue=args.queue,
                service=Service(args.answer_ms, cv=0.0),
                cold=Cold(args.cold, args.warm_s * 1000),
                key_window_ms=KEY_WINDOW_MS,
                refuse=args.refuse,
                error=args.error,
                reset=args.reset,
                hang=args.hang,
                troubles=tuple(Trouble(Fault.DOWN, start, end) for start, end in args.down),
            )
        )
    except ValueError as error:
        parser.error(str(error))
    endpoint = Endpoint(
        Partner(spec, random.Random(args.seed)), address(args.listen), None, args.ledger, args.calls
    )
    endpoint.unresponsive = args.unheard

    async def start() -> asyncio.Server:
        server = await endpoint.start()
        if args.armed:
            asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, endpoint.start_model)
        else:
            endpoint.start_model()
        return server

    serve(start)


if __name__ == "__main__":
    main()
