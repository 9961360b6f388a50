"""Stand-ins and helpers of the cases 6 to 10: the agent, endpoints, clients, and the relay as a process.

The stand-ins follow PROTOCOL: the agent answers at once and keeps watches open until something newer is
there; an endpoint begins a call when its last byte has come; a client sends one request at a time on a
connection and waits 400 ms for the answer. Standard library only; every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

HERE = Path(sys.argv[0]).resolve().parent  # the folder of the case that is run
ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
CLIENT_WAIT_S = 0.4
HEAD_END = b"\r\n\r\n"
STARTED = time.monotonic()


class CannotRunError(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """What was sent, answered and run: one line each, with the seconds since the start."""

    def __init__(self) -> None:
        self.file = open(HERE / "record.txt", "w", buffering=1)  # noqa: SIM115

    def __call__(self, *words: object) -> None:
        self.file.write(f"{time.monotonic() - STARTED:9.4f} " + " ".join(map(str, words)) + "\n")


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of the example in WIRE, a small deployment; `changes` replaces parts of it."""
    base: dict[str, Any] = {
        "az": 0,
        "balancers": 2,
        "classes": [
            {
                "name": "comanda",
                "effect": "by_key",
                "dedup-scope": "all",
                "aim-ms": 4000.0,
                "deadline-ms": 16000.0,
                "window-ms": 4000.0,
                "worth": 2.0,
                "late-share": 0.5,
                "stream": False,
            },
            {
                "name": "plata",
                "effect": "once",
                "dedup-scope": "all",
                "aim-ms": 3000.0,
                "deadline-ms": 16000.0,
                "window-ms": 5000.0,
                "worth": 1.0,
                "late-share": 0.5,
                "stream": False,
            },
            {
                "name": "stare-lucrare",
                "effect": "repeatable",
                "dedup-scope": "all",
                "aim-ms": 1500.0,
                "deadline-ms": 8000.0,
                "window-ms": 5000.0,
                "worth": 4.0,
                "late-share": 0.1,
                "stream": False,
            },
        ],
        "client-habits": {"marks-retry": True},
        "extra": {
            "call-slots": 10,
            "carriage": [0.0],
            "loses-worth": "halves",
            "per-call": [1, 1],
            "separate-routes": [False, False],
            "turned-away-price": 0.0,
        },
        "feedback": {"fields": [], "how": "silent"},
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
        "index": 0,
        "kinds": ["firma-mare", "birou-mic"],
        "limits": {
            "cancelling": True,
            "conn-idle-ms": 10000.0,
            "connect-timeout-ms": 1500.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 500000,
            "max-retry-after-ms": 3000.0,
            "open-cap": 210,
            "peers": False,
            "probing": False,
            "retry-after": False,
            "second-copies": False,
            "streams-per-conn": 1,
            "try-limit": 8,
        },
        "orgs": [
            {"fraction": 0.45, "name": "dir-consular", "quota-per-s": 19.0},
            {"fraction": 0.44, "name": "dir-juridic", "quota-per-s": 19.0},
            {"fraction": 0.11, "name": "dir-educatie", "quota-per-s": 5.0},
        ],
        "over-share-worth": 0.1,
        "registry-mode": "push",
        "safety": {
            "answer-slack-ms": 20.0,
            "ask-within-ms": 10000.0,
            "cold-from": 0.18,
            "cold-ms": 11000.0,
            "drain-grace-ms": 250.0,
            "fall-ms": 1500.0,
            "fall-multiple": 2.0,
        },
        "service-type": "deliver",
        "tick-ms": 5.0,
        "tier": 0,
        "tiers": ["parteneri"],
        "value-by": "request",
        "weight-kind": "nominal",
        "zones": ["bucuresti-1"],
    }
    for key, value in changes.items():
        name = key.replace("_", "-")
        base[name] = {**base[name], **value} if isinstance(value, dict) else value
    return base


def entry(name: str, port: int, cell: int, weight: float = 20.0, lifecycle: str = "ready") -> dict[str, Any]:
    """One entry of discovery's list."""
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": "bucuresti-1",
        "machineType": "birou-mic",
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": weight,
        "startedAtMs": 0,
    }


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@dataclass
class Request:
    """One complete HTTP request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request on a connection; None if the connection ends before it is complete."""
    try:
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """An encoded HTTP response."""
    extra = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Server:
    """A listener on loopback that runs `serve` for each connection."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@dataclass
class Agent(Server):
    """Discovery's agent on the relay's machine."""

    record: Record
    instances: list[dict[str, Any]] = field(default_factory=list)
    generation: int = 1
    is_silent: bool = False
    notices: list[tuple[float, dict[str, Any]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__()
        self.changed = asyncio.Event()
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.gets = 0

    def listing(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    def change(self, *entries: dict[str, Any]) -> None:
        """Makes a change of the list, of which open watches are told at once."""
        self.generation += 1
        for each in entries:
            self.changes.append((self.generation, each))
            kept = [old for old in self.instances if old["instanceId"] != each["instanceId"]]
            self.instances = kept + ([each] if each["lifecycle"] != "gone" else [])
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            if request.method == "POST":
                now = time.monotonic()
                for line in request.body.decode().splitlines():
                    self.record("notice", line)
                    self.notices.append((now, json.loads(line)))
                writer.write(response(204))
                continue
            self.gets += 1
            query = parse_qs(urlsplit(request.target).query)
            known = int(query.get("from", ["-1"])[0])
            while self.is_silent:
                await asyncio.sleep(0.01)
            hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
            if known == self.generation:
                try:
                    async with asyncio.timeout(hold_s):
                        await self.changed.wait()
                except TimeoutError:
                    pass
            while self.is_silent:
                await asyncio.sleep(0.01)
            if 0 <= known <= self.generation:
                news = {e["instanceId"]: e for number, e in self.changes if number > known}
                listing = {"generation": self.generation, "reset": False, "instances": list(news.values())}
            else:
                listing = self.listing()
            self.record("list", "from", known, "->", self.generation, len(listing["instances"]), "entries")
            writer.write(response(200, body=json.dumps(listing).encode()))


Handler = Callable[["Endpoint", Request, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class Endpoint(Server):
    """A partner's endpoint. `handle` answers one call and returns whether the connection stays open."""

    name: str
    record: Record
    handle: Handler

    def __post_init__(self) -> None:
        super().__init__()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            if not await self.handle(self, request, writer):
                return


@dataclass
class Answer:
    """The relay's answer to one submission."""

    trace: str
    status: int  # 0: none within 400 ms, or the connection ended
    sent_at: float
    at: float


class Clients:
    """Clients that hand in messages, one request at a time on each kept connection."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.answers: dict[str, Answer] = {}

    async def submit(
        self,
        trace: str,
        cls: str,
        dest: int,
        expires_ms: int,
        body: bytes = b"x",
        tenant: str = "dir-consular",
    ) -> Answer:
        head = (
            f"POST /{cls} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {trace}\r\nX-Qos: {cls}\r\n"
            f"X-Customer: {tenant}\r\nX-Expires-In-Ms: {expires_ms}\r\n"
            f"Idempotency-Key: key-{trace}\r\nX-Addressing: dest={dest}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        sent_at = time.monotonic()
        status = 0
        writer = None
        try:
            async with asyncio.timeout(CLIENT_WAIT_S):
                for _ in range(2):  # once more on a new connection, if the first end crossed the request
                    reused = bool(self.idle)
                    reader, writer = (
                        self.idle.pop() if reused else await asyncio.open_connection(HOST, self.port)
                    )
                    try:
                        writer.write(head + body)
                        answer = (await reader.readuntil(HEAD_END)).decode("latin-1")
                    except (asyncio.IncompleteReadError, ConnectionError):
                        writer.transport.abort()
                        writer = None
                        if reused:
                            continue
                        break
                    status = int(answer.split(" ", 2)[1])
                    length = re.search(r"content-length: *(\d+)", answer, re.I)
                    await reader.readexactly(int(length[1]) if length else 0)
                    if "connection: close" in answer.lower():
                        writer.close()
                    else:
                        self.idle.append((reader, writer))
                    writer = None
                    break
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        if writer is not None:
            writer.transport.abort()
        result = Answer(trace, status, sent_at, time.monotonic())
        self.answers[trace] = result
        self.record("submit", trace, cls, f"dest={dest}", f"expires_ms={expires_ms}", "->", status)
        return result

    def close(self) -> None:
        for _, writer in self.idle:
            writer.transport.abort()


RELAYS: list[Relay] = []  # all that were started, so that none is left behind


class Relay:
    """One relay, started by the `run` command of the deploy file from the project's root."""

    def __init__(self, folder: Path, agent: Agent, record: Record, config: dict[str, Any]) -> None:
        self.folder, self.record = folder, record
        self.port = free_port()
        self.state = folder / "state"
        self.state.mkdir()
        self.config_path = folder / "config.json"
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": agent.listing(),
            "state": str(self.state),
            **config,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        RELAYS.append(self)

    def write_config(self) -> None:
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    async def start(self, seed: int = 1) -> None:
        self.starts += 1
        self.config["seed"] = f"{seed * 1000 + self.starts:016x}"
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "RELAY_NAME": self.config["name"],
            "RELAY_CONFIG": str(self.config_path),
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_STATE": str(self.state),
        }
        with open(self.folder / "log.txt", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.record("relay started")
        give_up = time.monotonic() + 30
        while time.monotonic() < give_up:
            if self.process.returncode is not None:
                raise CannotRunError(f"the relay ended with {self.process.returncode}: {self.log()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                if b" 200 " in line:
                    self.record("relay ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise CannotRunError("the relay is not ready after 30 s")

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record("relay gets", number.name)
        self.process.send_signal(number)

    async def stop(self, grace_s: float = 3.7) -> None:
        """SIGTERM, and SIGKILL after 3.7 s if it still runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.send(signal.SIGKILL)
            await self.process.wait()

    def log(self) -> str:
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""


def main(play: Callable[[Record, Path], Awaitable[list[str]]]) -> None:
    """Plays a case; exits with 1 if it returns breaks of the rule, 0 if none, 2 if it could not run."""
    record = Record()

    async def run() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # an interrupted case leaves no process behind, either
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            try:
                async with asyncio.timeout(110):
                    return await play(record, Path(folder))
            finally:
                for relay in RELAYS:
                    if relay.process is not None:
                        await relay.kill()

    try:
        breaks = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case, not of the relay
        record("could not run:", repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in breaks:
        record("BROKEN:", line)
    print(f"trouble {'on' if TROUBLE else 'off'}: {len(breaks)} breaks of the rule")
    for line in breaks[:5]:
        print(" ", line)
    sys.exit(1 if breaks else 0)
