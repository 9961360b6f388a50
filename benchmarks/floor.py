"""The least a relay of this kind can cost: h11 on both sides, a write for each journal record, no decisions.

Started by benchmarks.relay with the relay's own variables. It takes a message, writes its record, answers
202, makes the call on a kept connection, and writes a record before the call's first byte and one at its end.
What it cannot call at once waits in a plain queue; with `hold` messages held it answers 503.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import zlib
from collections import deque
from pathlib import Path

import h11


class Floor:
    def __init__(self, config: dict[str, object], state: Path) -> None:
        settings = config["settings"]
        assert isinstance(settings, dict)
        self.slots, self.hold = int(settings["extra"]["call-slots"]), int(settings["limits"]["open-cap"])
        known = config["known"]
        assert isinstance(known, dict)
        host, _, port = known["instances"][0]["hostPort"].partition(":")
        self.partner = (host, int(port))
        self.file = os.open(state / "journal", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.queue: deque[tuple[str, bytes]] = deque()
        self.held = self.busy = 0
        self.idle: list[Call] = []

    def record(self, **what: object) -> None:
        text = json.dumps(what, separators=(",", ":")).encode()
        os.write(self.file, b"%08x %s\n" % (zlib.crc32(text), text))

    def take(self, ident: str, body: bytes) -> bool:
        if self.held >= self.hold:
            return False
        self.held += 1
        self.record(k="take", id=ident, body=body.decode("latin-1"))
        self.queue.append((ident, body))
        self.next()
        return True

    def next(self) -> None:
        while self.queue and self.busy < self.slots:
            self.busy += 1
            ident, body = self.queue.popleft()
            if self.idle:
                self.idle.pop().begin(ident, body)
            else:
                call = Call(self, ident, body)
                task = asyncio.get_running_loop().create_task(call.connect())
                call.task = task


class Call(asyncio.Protocol):
    def __init__(self, floor: Floor, ident: str, body: bytes) -> None:
        self.floor, self.ident, self.body = floor, ident, body
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        await asyncio.get_running_loop().create_connection(lambda: self, *self.floor.partner)
        self.begin(self.ident, self.body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def begin(self, ident: str, body: bytes) -> None:
        assert self.transport is not None
        self.ident, self.body = ident, body
        self.floor.record(k="try", id=ident)
        request = h11.Request(
            method="POST",
            target="/inbox",
            headers=[("Host", "x"), ("X-Trace-Id", ident), ("Content-Length", str(len(body)))],
        )
        self.transport.write(
            b"".join(
                self.http.send(event) or b"" for event in (request, h11.Data(data=body), h11.EndOfMessage())
            )
        )

    def data_received(self, data: bytes) -> None:
        self.http.receive_data(data)
        while (event := self.http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                self.floor.record(k="end", id=self.ident)
                self.http.start_next_cycle()
                self.floor.held -= 1
                self.floor.busy -= 1
                self.floor.idle.append(self)
                self.floor.next()
                return


class Client(asyncio.Protocol):
    def __init__(self, floor: Floor) -> None:
        self.floor, self.http = floor, h11.Connection(h11.SERVER)
        self.ident, self.body = "", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                found = dict(event.headers)
                self.ident, self.body = found.get(b"x-trace-id", b"").decode("latin-1"), b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                taken = not self.ident or self.floor.take(self.ident, self.body)
                answer = h11.Response(status_code=202 if taken else 503, headers=[("Content-Length", "0")])
                self.transport.write(b"".join(self.http.send(e) or b"" for e in (answer, h11.EndOfMessage())))
                self.http.start_next_cycle()
            else:
                return


async def serve() -> None:
    config = json.loads(Path(os.environ["RELAY_CONFIG"]).read_text())
    floor = Floor(config, Path(config["state"]))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    host, _, port = config["listen"].partition(":")
    await asyncio.get_running_loop().create_server(lambda: Client(floor), host, int(port))
    await stop.wait()


if __name__ == "__main__":
    asyncio.run(serve())
    sys.exit(0)
