"""Stand-ins for the cases of the review: the platform's agent, partner endpoints, clients and the relay's process.

Standard library only, one event loop, loopback addresses only. All times are Unix milliseconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# The command `run` of deploy/balancer.toml, started by /bin/sh -c from the project's root.
RUN = "trap '' HUP; exec .venv/bin/python -m message_relay"


def now_ms() -> float:
    return time.time() * 1000


class Record:
    """record.txt: one line of JSON for each thing that was sent, answered, told or run."""

    def __init__(self, path: Path) -> None:
        self.file = open(path, "w")  # noqa: SIM115
        self.began = now_ms()

    def write(self, what: str, **fields: Any) -> None:
        line = {"at_ms": round(now_ms() - self.began, 1), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Head:
    """Start line and headers of a request or response."""

    def __init__(self, raw: bytes) -> None:
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()

    @property
    def length(self) -> int:
        return int(self.headers.get("content-length", "0"))


class Agent:
    """The platform's agent: the list with its watches, and the notices (PROTOCOL, Notices and Discovery).

    `piece_bytes`: an answer for the list is written in pieces of this size, each by a write of its own
    (DAYS: "Peers write in pieces of any size"); 0: in one write.
    """

    def __init__(self, record: Record, piece_bytes: int = 0, piece_gap_s: float = 0.0005) -> None:
        self.record, self.piece_bytes, self.piece_gap_s = record, piece_bytes, piece_gap_s
        self.generation = 41
        self.endpoints: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []  # (generation, entry), oldest first
        self.sends_whole_lists = False  # "answers with the entries that changed or with the whole list"
        self.changed = asyncio.Event()
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.endpoints.values())}

    def change(self, entry: dict[str, Any]) -> float:
        """Adds, changes or removes (lifecycle gone) an endpoint, answers the open watches, returns the time."""
        self.generation += 1
        name = entry["instanceId"]
        if entry["lifecycle"] == "gone":
            self.endpoints.pop(name, None)
        else:
            self.endpoints[name] = entry
        self.changes.append((self.generation, entry))
        told_at = now_ms()
        self.record.write("agent has a change", endpoint=name, lifecycle=entry["lifecycle"])
        self.changed.set()
        self.changed = asyncio.Event()
        return told_at

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while raw := await reader.readuntil(b"\r\n\r\n"):
                head = Head(raw)
                method, target, _ = head.start.split(" ", 2)
                body = await reader.readexactly(head.length)
                if method == "POST":
                    self.take_notices(body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                answer = json.dumps(await self.listing(target)).encode()
                await self.write(
                    writer,
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(answer), answer),
                )
                self.record.write("agent answered", target=target, answer_bytes=len(answer))
        writer.close()

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        size = self.piece_bytes or len(data)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(self.piece_gap_s)
            writer.write(data[start : start + size])
            await writer.drain()

    async def listing(self, target: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(target).query)
        if "from" not in query:
            return self.whole_list()
        known = int(query["from"][0])
        hold_s = min(60_000, int(query.get("hold_ms", ["0"])[0])) / 1000
        deadline = asyncio.get_running_loop().time() + hold_s
        while known == self.generation and asyncio.get_running_loop().time() < deadline:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await self.changed.wait()
        if known == self.generation or not self.sends_whole_lists:
            entries = [entry for generation, entry in self.changes if generation > known]
            return {"generation": self.generation, "reset": False, "instances": entries}
        return self.whole_list()

    def take_notices(self, body: bytes) -> None:
        for line in body.decode().splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["id"], []).append((now_ms(), notice["state"]))
            self.record.write("notice", **notice)


class Call:
    """One call at an endpoint."""

    def __init__(self, endpoint: str, head: Head, first_byte_at: float) -> None:
        self.endpoint, self.head, self.first_byte_at = endpoint, head, first_byte_at
        self.id = head.headers.get("x-trace-id", "")
        self.key = head.headers.get("idempotency-key", "")
        self.complete_at = 0.0

    @property
    def relay(self) -> str:
        """The relay that the message was handed to."""
        return self.id.partition("-")[0]


Answerer = Callable[[Call, asyncio.StreamWriter], Awaitable[bool]]


class Endpoint:
    """A partner's endpoint. `answer` answers a complete call, and returns False to end the connection."""

    def __init__(self, name: str, answer: Answerer) -> None:
        self.name, self.answer = name, answer
        self.address = ""
        self.calls: list[Call] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=1024)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                first = await reader.readexactly(1)
                first_byte_at = now_ms()
                call = Call(self.name, Head(first + await reader.readuntil(b"\r\n\r\n")), first_byte_at)
                await reader.readexactly(call.head.length)
                call.complete_at = now_ms()
                self.calls.append(call)
                if not await self.answer(call, writer):
                    break
        self.writers.discard(writer)
        with contextlib.suppress(Exception):
            writer.close()

    def refuse_connections(self) -> None:
        """Ends its listener and all its connections, as a process that dies."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, destination: int, kind: str, weight: float, zone: str, lifecycle: str = "ready") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": zone,
            "machineType": kind,
            "cell": destination,
            "lifecycle": lifecycle,
            "weight": weight,
            "startedAtMs": 0,
        }


def response(status: bytes, *headers: bytes) -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n" % (status, b"".join(header + b"\r\n" for header in headers))


class Client:
    """Clients of the relay: kept connections, one request at a time on each, 400 ms for an answer."""

    def __init__(self, record: Record, port: int, relay: str = "n1") -> None:
        self.record, self.port, self.relay = record, port, relay
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.sent: dict[str, float] = {}
        self.answers: dict[str, int] = {}
        self.last = 0

    async def hand_in(
        self, class_name: str, tenant: str, destination: int, left_ms: int, key: str | None = None
    ) -> tuple[str, int]:
        """Hands in one message; returns its id and the status of the answer, 0 if there was none."""
        self.last += 1
        message_id = f"{self.relay}-{self.last:06d}-{os.urandom(4).hex()}"  # new each time; names the relay for the record
        body = b"document %d" % self.last
        key_line = f"Idempotency-Key: {key or 'k-' + message_id}\r\n"
        request = (
            f"POST /{class_name} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {message_id}\r\nX-Qos: {class_name}\r\n"
            f"X-Customer: {tenant}\r\nX-Expires-In-Ms: {left_ms}\r\n{key_line}"
            f"Content-Length: {len(body)}\r\nX-Addressing: dest={destination}\r\n\r\n"
        ).encode() + body
        self.sent[message_id] = now_ms()
        status = 0
        for attempt in range(2):  # a kept connection that the relay has just closed: once more on a new one
            fresh = not self.idle or attempt > 0
            try:
                async with asyncio.timeout(0.4):
                    if fresh:
                        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    else:
                        reader, writer = self.idle.pop()
                    writer.write(request)
                    head = Head(await reader.readuntil(b"\r\n\r\n"))
                    await reader.readexactly(head.length)
                status = int(head.start.split(" ")[1])
                if head.headers.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
                break
            except (OSError, asyncio.IncompleteReadError):
                if fresh:
                    break
            except TimeoutError:
                break
        self.answers[message_id] = status
        self.record.write(
            "handed in", id=message_id, **{"class": class_name}, dest=destination, left_ms=left_ms, answer=status
        )
        return message_id, status


class Relay:
    """A relay as its own process, started with the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], name: str = "n1") -> None:
        self.record, self.folder, self.name = record, folder, name
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        (folder / "state").mkdir()
        self.path = folder / "config.json"
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "state": str(folder / "state"),
            **config,
        }
        self.path.write_text(json.dumps(self.config))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        env["RELAY_CONFIG"] = str(self.path)
        with open(self.folder / "relay.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        for _ in range(600):
            if self.process.returncode is not None:
                raise RuntimeError("the relay ended at its start: " + (self.folder / "relay.log").read_text()[-500:])
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200" in head.split(b"\r\n")[0]:
                    self.record.write("relay is ready", name=self.name)
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the relay is not ready after 30 s")

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Sends a signal, and waits for the end of the process; kills it if that takes over 6 s."""
        if self.process is None or self.process.returncode is not None:
            return
        self.record.write("signal to the relay", number=int(number))
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), 6)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log(self) -> list[str]:
        return (self.folder / "relay.log").read_text().splitlines()


def run_case(
    record_path: Path, play: Callable[[Record, Path, bool], Awaitable[list[str]]], limit_s: float = 110.0
) -> None:
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `record_path`: the file for what was sent, answered and run.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="relay-review-"))

    async def main() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends the relay too
        async with asyncio.timeout(limit_s):
            return await play(record, folder, trouble)

    try:
        breaks = asyncio.run(main())
        for line in breaks[:20]:
            record.write("rule broken", why=line)
            print("broken:", line)
        record.write("verdict", trouble=trouble, breaks=len(breaks))
        print(f"trouble={int(trouble)} breaks={len(breaks)}")
        code = 1 if breaks else 0
    except BaseException as error:  # noqa: BLE001
        record.write("could not run", why=repr(error))
        print("could not run:", repr(error))
        code = 2
    finally:
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(folder)
    sys.exit(code)
