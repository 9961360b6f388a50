"""A minimal relay, as the cost floor: h11 on both sides, a write for each journal record, no decisions.

benchmarks.relay starts it with the relay's own environment variables. It accepts a message, writes a record,
answers 202 and makes the call on a persistent connection; it writes a record before the call's first byte and
one at its completion. Messages that it cannot send at once wait in a FIFO queue; with `hold` pending messages
it answers 503.
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
        self.pending = self.busy = 0
        self.idle: list[Call] = []

    def record(self, **fields: object) -> None:
        text = json.dumps(fields, separators=(",", ":")).encode()
        os.write(self.file, b"%08x %s\n" % (zlib.crc32(text), text))

    def accept(self, message_id: str, body: bytes) -> bool:
        if self.pending >= self.hold:
            return False
        self.pending += 1
        self.record(k="take", id=message_id, body=body.decode("latin-1"))
        self.queue.append((message_id, body))
        self.start_next()
        return True

    def start_next(self) -> None:
        while self.queue and self.busy < self.slots:
            self.busy += 1
            message_id, body = self.queue.popleft()
            if self.idle:
                self.idle.pop().start(message_id, body)
            else:
                call = Call(self, message_id, body)
                task = asyncio.get_running_loop().create_task(call.connect())
                call.task = task


class Call(asyncio.Protocol):
    def __init__(self, floor: Floor, message_id: str, body: bytes) -> None:
        self.floor, self.message_id, self.body = floor, message_id, body
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        await asyncio.get_running_loop().create_connection(lambda: self, *self.floor.partner)
        self.start(self.message_id, self.body)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def start(self, message_id: str, body: bytes) -> None:
        assert self.transport is not None
        self.message_id, self.body = message_id, body
        self.floor.record(k="try", id=message_id)
        request = h11.Request(
            method="POST",
            target="/inbox",
            headers=[("Host", "x"), ("X-Trace-Id", message_id), ("Content-Length", str(len(body)))],
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
                self.floor.record(k="end", id=self.message_id)
                self.http.start_next_cycle()
                self.floor.pending -= 1
                self.floor.busy -= 1
                self.floor.idle.append(self)
                self.floor.start_next()
                return


class Client(asyncio.Protocol):
    def __init__(self, floor: Floor) -> None:
        self.floor, self.http = floor, h11.Connection(h11.SERVER)
        self.message_id, self.body = "", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                headers = dict(event.headers)
                self.message_id, self.body = headers.get(b"x-trace-id", b"").decode("latin-1"), b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                accepted = not self.message_id or self.floor.accept(self.message_id, self.body)
                response = h11.Response(
                    status_code=202 if accepted else 503, headers=[("Content-Length", "0")]
                )
                self.transport.write(
                    b"".join(self.http.send(part) or b"" for part in (response, h11.EndOfMessage()))
                )
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
