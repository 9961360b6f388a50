"""Small fakes on loopback sockets, no simulated system: an endpoint, the platform's agent, a client."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol, Self

import h11

from message_relay import config
from message_relay.amqp.settings import AmqpSettings
from message_relay.composition import compose
from message_relay.decisions.events import Event
from message_relay.http.discovery_client import parse_listing

PATIENCE_S = 60.0  # the tests take far less; only a hang reaches this limit
SETTINGS: dict[str, Any] = {
    "az": 0,
    "balancers": 1,
    "zones": ["z"],
    "kinds": ["k"],
    "tick-ms": 5.0,
    "weight-kind": "nominal",
    "classes": [
        {"name": "keyed", "effect": "by_key", "aim-ms": 4000.0, "deadline-ms": 16000.0, "window-ms": 4000.0},
        {"name": "unsafe", "effect": "once", "aim-ms": 3000.0, "deadline-ms": 16000.0},
        {"name": "safe", "effect": "repeatable", "aim-ms": 1500.0, "deadline-ms": 8000.0},
    ],
    "extra": {"call-slots": 8, "loses-worth": "halves"},
    "limits": {"open-cap": 20, "try-limit": 8, "conn-idle-ms": 10000.0, "connect-timeout-ms": 1500.0},
    "orgs": [{"name": "t", "quota-per-s": 100.0}],
    "safety": {
        "answer-slack-ms": 20.0,
        "drain-grace-ms": 250.0,
        "cold-from": 0.2,
        "cold-ms": 9000.0,
        "fall-ms": 1500.0,
        "fall-multiple": 2.0,
    },
}


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(coroutine, PATIENCE_S))


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def answer(status: int, *headers: str, body: str = "") -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", body]
    return "\r\n".join(lines).encode()


OK = answer(200)


@dataclass
class Seen:
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    connection: int


@dataclass
class Server:
    """Sends the next reply of `script` to each request, or else `default_reply`; None sends no reply."""

    default_reply: bytes | None = OK
    script: deque[bytes | None | str] = field(
        default_factory=deque
    )  # "reset", "close": no reply, ends the connection
    seen: list[Seen] = field(default_factory=list)
    arrivals: asyncio.Queue[Seen] = field(default_factory=asyncio.Queue)
    opened: int = 0
    readers: list[asyncio.StreamReader] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    hold: asyncio.Event | None = None  # if set, replies wait for this event
    address: tuple[str, int] = ("", 0)

    async def start(self, port: int = 0) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        self.readers.append(reader)
        self.writers.append(writer)
        number, http = self.opened, h11.Connection(h11.SERVER)
        try:
            while seen := await self._request(reader, http, number):
                reply = await self.reply(seen)
                if reply in ("reset", "close"):
                    if reply == "reset":
                        writer.transport.abort()
                    break
                if isinstance(reply, bytes):
                    writer.write(reply)
                    http = h11.Connection(h11.SERVER)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def is_disconnected(self) -> bool:
        """Returns whether the peer has closed all its connections."""
        return all(reader.at_eof() or reader.exception() is not None for reader in self.readers)

    async def reply(self, seen: Seen) -> bytes | None | str:
        self.seen.append(seen)
        self.arrivals.put_nowait(seen)
        if self.hold is not None:
            await self.hold.wait()
        return self.script.popleft() if self.script else self.default_reply

    @staticmethod
    async def _request(reader: asyncio.StreamReader, http: h11.Connection, number: int) -> Seen | None:
        seen: Seen | None = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                seen = Seen(event.target.decode(), headers, b"", 0.0, number)
            elif isinstance(event, h11.Data) and seen:
                seen.body += event.data
            elif isinstance(event, h11.EndOfMessage) and seen:
                seen.at = time.monotonic()
                return seen
            else:
                return None


@dataclass
class Agent(Server):
    """A fake agent for discovery and outcome notifications.

    Discovery requests wait for `publish`; one with `hold_ms=0` is answered at once, unless `silent`.
    Notifications are stored in `notices`.
    """

    version: int = 1
    silent: bool = False
    changes: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    notices: asyncio.Queue[dict[str, Any]] = field(default_factory=asyncio.Queue)

    async def reply(self, seen: Seen) -> bytes | None | str:
        self.seen.append(seen)
        if seen.target.endswith("hold_ms=0") and not self.silent and self.changes.empty():
            return self.unchanged_reply(seen.target)
        if seen.target.startswith("/v1/servers"):
            return await self.changes.get()
        if self.script:
            return self.script.popleft()
        for line in seen.body.splitlines():
            self.notices.put_nowait(json.loads(line))
        return answer(204)

    @staticmethod
    def unchanged_reply(target: str) -> bytes:
        """Builds the reply that the caller's version is the latest."""
        version = int(target.partition("from=")[2].partition("&")[0])
        return answer(200, body=json.dumps({"generation": version, "reset": False, "instances": []}))

    def publish(self, raw: dict[str, Any]) -> None:
        self.changes.put_nowait(answer(200, body=json.dumps(raw)))


def listing(
    *servers: Server, generation: int = 1, reset: bool = True, state: str = "ready"
) -> dict[str, Any]:
    return {
        "generation": generation,
        "reset": reset,
        "instances": [
            {
                "instanceId": f"s-{server.address[1]}",
                "hostPort": "{}:{}".format(*server.address),
                "zone": "z",
                "machineType": "k",
                "cell": 7,
                "lifecycle": state,
                "weight": 50.0,
                "startedAtMs": 0,
            }
            for server in servers
        ],
    }


class HasAddress(Protocol):
    """Anything that listens on an address."""

    @property
    def address(self) -> tuple[str, int]: ...


def raw_config(state: Path, agent: HasAddress, *servers: Server, **more: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "{}:{}".format(*agent.address),
        "seed": "1f",
        "state": str(state),
        "limits": {"sockets": 256, "disk_mb": 3},
        "known": listing(*servers),
        "settings": SETTINGS,
        **more,
    }


class Running:
    """A relay composed as the program composes it, with the components that tests inspect."""

    def __init__(self, settings: config.Config, amqp: AmqpSettings | None = None) -> None:
        self.parts = compose(settings, None, amqp)
        self.host, self.intake, self.register = self.parts.relay, self.parts.intake, self.parts.discovery
        self.ingress, self.notices = self.intake.listener, self.intake.notifier
        self.transport = self.parts.transport
        self.messages, self.driver, self.directory = self.host.messages, self.host.driver, self.host.directory
        self.relay, self.settings, self.journal = self.host.scheduler, self.host.settings, self.host.journal
        self.accepted, self.tasks, self.now = self.messages.accepted, self.host.tasks, self.driver.now
        self.start, self.stop, self.close = self.parts.start, self.host.stop, self.host.close
        self.reload = self.host.reload

    @property
    def numbers(self) -> dict[str, int]:
        return self.messages.numbers_by_id

    @property
    def dests(self) -> dict[int, float]:
        return self.messages.known_destinations

    @property
    def events(self) -> list[Event]:
        return self.driver.pending_events

    def apply_list(self, raw: dict[str, Any]) -> None:
        """Applies an endpoint list as if it had come from discovery."""
        self.register.version, update = parse_listing(raw)
        self.host.on_endpoint_update(update)


def host_of(
    state: Path, agent: HasAddress, *servers: Server, amqp: AmqpSettings | None = None, **more: Any
) -> Running:
    path = state.parent / "config.json"
    path.write_text(json.dumps(raw_config(state, agent, *servers, **more)))
    return Running(config.load({"RELAY_CONFIG": str(path)}), amqp)


@asynccontextmanager
async def relay(state: Path, agent: HasAddress, *servers: Server, **more: Any) -> AsyncIterator[Running]:
    host = host_of(state, agent, *servers, **more)
    await host.start()
    try:
        yield host
    finally:
        await host.close()


def message(ident: str, class_: str = "safe", body: bytes = b"hello", left: int = 8000, **more: str) -> bytes:
    headers = {
        "Host": "origin.svc",
        "X-Trace-Id": ident,
        "X-Qos": class_,
        "X-Customer": "t",
        "X-Expires-In-Ms": str(left),
        "X-Addressing": "dest=7",
        "Content-Length": str(len(body)),
        **({"Idempotency-Key": "k-" + ident} if class_ == "keyed" else {}),
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    lines = [f"POST /{class_} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode() + body


class Client:
    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def send(self, request: bytes) -> int:
        self.writer.write(request)
        return await self.status()

    async def status(self) -> int:
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        self.text = (await self.reader.readexactly(length)).decode()
        self.head = head.decode().lower()
        return int(head.split()[1])
