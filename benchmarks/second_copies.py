"""Plays endpoints and an agent that write a second copy of an answer some time after it.

    python -m benchmarks.second_copies [--delays 0,1,5,25,100,200,400] [--seconds 8] [--seed 1] [--json]
    python -m benchmarks.second_copies --delays 25 --record FILE   # each byte of the endpoints, with its time

For each delay one real relay process runs under steady traffic; `none` is the baseline without copies. A copy
is written only if the connection is still open. Endpoints answer 200, 503 and 500 by chance; one of them is
listed as draining from time to time. Their ledger tells, from outside the relay, which rules were broken:

    lost      accepted, but neither delivered nor ended by a notice 0.35 s after its deadline
    again     an unsafe message was sent again after a call that may have run
    at once   a message was sent while another call with it was out
    drain     a call began at a draining endpoint 0.3 s after the change was written to the relay, or later

and what the relay paid: connections to endpoints and to the agent, time to delivery, and CPU time. The exit
code is 1 if a rule was broken."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

from emulator.clients import Clients, request
from emulator.live import free_ports
from fakes.discovery_agent import Agent

from .kills import start_process, wait_until_healthy
from .processes import settings
from .report import report
from .slow_discovery import entry

DELAYS_MS = (0.0, 1.0, 5.0, 25.0, 100.0, 200.0, 400.0)
RULES = ("lost", "again", "at_once", "drain")
ENDPOINTS = 4
MESSAGES_PER_S = 60.0
WORK_S = (0.02, 0.12)  # of one call
STATUSES = {"200 OK": 0.7, "503 Service Unavailable": 0.25, "500 Internal Server Error": 0.05}
MAY_HAVE_RUN = ("200 OK", "500 Internal Server Error", "")  # "": no answer yet, or none
COPY_SHARE = 0.5  # of the answers have a second copy
CLASS_SHARES = {"order": 0.5, "pay": 0.3, "status": 0.2}
LIFE_MS = {"order": 4000.0, "pay": 4000.0, "status": 2000.0}
END_SLACK_S = 0.35
DRAIN_GRACE_S = 0.3
# One round of the listed endpoint: it returns, drains so much later, and stays so for the rest of the round.
ROUND_S, DRAINS_AFTER_S = 2.0, 0.2


@dataclass
class Call:
    """One call with a message, as an endpoint saw it. Times are of time.monotonic()."""

    message: str
    endpoint: str
    began_at: float  # first byte
    complete_at: float  # last byte
    status: str = ""
    ended_at: float = float("inf")  # the answer was written, or the connection ended


@dataclass
class Ledger:
    """What all parties but the relay saw."""

    calls: list[Call] = field(default_factory=list)
    accepted: dict[str, tuple[str, float, float]] = field(default_factory=dict)  # class, handed in, deadline
    notices: dict[str, float] = field(default_factory=dict)
    drains: list[tuple[float, float]] = field(default_factory=list)  # start and end, of the endpoint `s-0`
    lines: list[dict[str, Any]] = field(default_factory=list)  # bytes of the endpoints' connections
    connections: int = 0
    copies: int = 0

    def note(self, connection: int, what: str, data: bytes) -> None:
        """Records bytes that came or went on a connection."""
        line = {"at_s": time.monotonic(), "connection": connection, what: data.decode("latin-1")}
        self.lines.append(line)

    def by_message(self) -> dict[str, list[Call]]:
        """Returns the calls of each message, in the order in which they came."""
        calls: dict[str, list[Call]] = {}
        for call in sorted(self.calls, key=lambda call: call.complete_at):
            calls.setdefault(call.message, []).append(call)
        return calls

    def delivered_at(self, calls: list[Call]) -> float:
        return min((call.ended_at for call in calls if call.status == "200 OK"), default=float("inf"))

    def broken(self) -> dict[str, int]:
        """Returns how many messages or calls broke each rule."""
        counts = dict.fromkeys(RULES, 0)
        by_message = self.by_message()
        for message, (class_name, _, due_at) in self.accepted.items():
            calls = by_message.get(message, [])
            end = min(self.delivered_at(calls), self.notices.get(message, float("inf")))
            counts["lost"] += end > due_at + END_SLACK_S
            earlier_and_later = [(a, b) for n, b in enumerate(calls) for a in calls[:n]]
            counts["at_once"] += any(b.complete_at < a.ended_at for a, b in earlier_and_later)
            counts["again"] += class_name == "pay" and any(
                a.status in MAY_HAVE_RUN for a, _ in earlier_and_later
            )
        counts["drain"] = sum(
            since + DRAIN_GRACE_S < call.began_at < until
            for call in self.calls
            if call.endpoint == "s-0"
            for since, until in self.drains
        )
        return counts


class CopyingEndpoint:
    """Answers one call at a time on each connection; `delay_s`: of the second copies, None: no copies."""

    def __init__(self, name: str, ledger: Ledger, delay_s: float | None, rng: random.Random) -> None:
        self.name, self.ledger, self.delay_s, self.rng = name, ledger, delay_s, rng
        self.address = ("", 0)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.ledger.connections += 1
        number = self.ledger.connections
        call: Call | None = None
        try:
            while True:
                first = await reader.readexactly(1)
                began_at = time.monotonic()
                head = first + await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                body = await reader.readexactly(int(fields[b"Content-Length"]))
                self.ledger.note(number, "request", head + body)
                call = Call(fields[b"X-Trace-Id"].decode(), self.name, began_at, time.monotonic())
                self.ledger.calls.append(call)
                await asyncio.sleep(self.rng.uniform(*WORK_S))
                self._answer(call, number, writer)
        except (OSError, asyncio.IncompleteReadError):
            if call is not None and not call.status:
                call.ended_at = time.monotonic()
        finally:
            writer.close()

    def _answer(self, call: Call, number: int, writer: asyncio.StreamWriter) -> None:
        (call.status,) = self.rng.choices(tuple(STATUSES), tuple(STATUSES.values()))
        answer = f"HTTP/1.1 {call.status}\r\nContent-Length: 0\r\n\r\n".encode()
        writer.write(answer)
        call.ended_at = time.monotonic()
        self.ledger.note(number, "answer", answer)
        if self.delay_s is not None and self.rng.random() < COPY_SHARE:
            asyncio.get_running_loop().call_later(self.delay_s, self._copy, number, writer, answer)

    def _copy(self, number: int, writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.is_closing():
            self.ledger.copies += 1
            self.ledger.note(number, "second copy", answer)
            writer.write(answer)


class CopyingAgent(Agent):
    """An agent that writes a second copy of each answer."""

    def __init__(self, listing: dict[str, Any], ledger: Ledger, delay_s: float | None) -> None:
        super().__init__(json.dumps(listing).encode())
        self.copying_ledger, self.copy_delay_s = ledger, delay_s
        self.connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await super().serve(reader, writer)

    async def answer(self, method: str, target: str, notice: bytes) -> tuple[int, bytes]:
        for line in notice.splitlines():
            self.copying_ledger.notices.setdefault(json.loads(line)["id"], time.monotonic())
        return await super().answer(method, target, notice)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        await super()._write(writer, data)
        if self.copy_delay_s is not None:
            asyncio.get_running_loop().call_later(self.copy_delay_s, self._copy, writer, data)

    @staticmethod
    def _copy(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)


async def hand_in(
    clients: Clients, at: tuple[str, int], number: int, rng: random.Random, ledger: Ledger
) -> None:
    (class_name,) = rng.choices(tuple(CLASS_SHARES), tuple(CLASS_SHARES.values()))
    message, now = f"m{number}", time.monotonic()
    data = request(message, class_name, 1, LIFE_MS[class_name], b"x" * 100, f"k{message}")
    if (await clients.hand_in(at, data)).taken:
        ledger.accepted[message] = class_name, now, now + LIFE_MS[class_name] / 1000


async def flap(agent: Agent, endpoints: list[CopyingEndpoint], ledger: Ledger) -> None:
    """Lists the first endpoint as ready and soon after as draining, round by round."""

    def publish(lifecycle: str) -> float:
        lifecycles = [lifecycle] + ["ready"] * (len(endpoints) - 1)
        agent.replace_list(
            [entry(e.name, e.address, state) for e, state in zip(endpoints, lifecycles, strict=True)]
        )
        return time.monotonic()

    while True:
        await asyncio.sleep(DRAINS_AFTER_S)
        since = publish("draining")
        ledger.drains.append((since, float("inf")))
        await asyncio.sleep(ROUND_S - DRAINS_AFTER_S)
        ledger.drains[-1] = (since, publish("ready"))


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used so far."""
    ticks = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]
    return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


async def play(
    folder: Path, delay_ms: float | None, seconds: float, seed: int
) -> tuple[Ledger, dict[str, Any]]:
    """Plays one delay; returns the ledger and the row of the report."""
    ledger, rng = Ledger(), random.Random(seed)
    delay_s = None if delay_ms is None else delay_ms / 1000
    endpoints = [
        CopyingEndpoint(f"s-{n}", ledger, delay_s, random.Random(seed + n)) for n in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    known = {
        "generation": 1,
        "reset": True,
        "instances": [entry(endpoint.name, endpoint.address, "ready") for endpoint in endpoints],
    }
    agent = CopyingAgent(known, ledger, delay_s)
    await agent.start()
    (port,) = free_ports(1)
    (folder / "state").mkdir()
    config = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "discovery": "{}:{}".format(*agent.address),
        "seed": f"{seed:x}",
        "known": known,
        "state": str(folder / "state"),
        "settings": settings(0.25),
    }
    (folder / "config.json").write_text(json.dumps(config))
    relay, _ = await start_process("message_relay", RELAY_CONFIG=str(folder / "config.json"))
    clients, tasks = Clients(400.0), set[asyncio.Task[None]]()
    flapping: asyncio.Task[None] | None = None
    try:
        await wait_until_healthy(port)
        flapping = asyncio.ensure_future(flap(agent, endpoints, ledger))
        loop = asyncio.get_running_loop()
        next_at, number, ends_at = loop.time(), 0, loop.time() + seconds
        while (next_at := next_at + rng.expovariate(MESSAGES_PER_S)) < ends_at:
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            number += 1
            tasks.add(asyncio.ensure_future(hand_in(clients, ("127.0.0.1", port), number, rng, ledger)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(LIFE_MS.values()) / 1000 + END_SLACK_S)
        used_s = cpu_s(relay.pid)
    finally:
        if flapping is not None:
            flapping.cancel()
            await asyncio.gather(flapping, return_exceptions=True)
        clients.close()
        with contextlib.suppress(ProcessLookupError):
            relay.kill()
        await relay.wait()
    return ledger, row(ledger, agent, delay_ms, number, used_s)


def row(
    ledger: Ledger, agent: CopyingAgent, delay_ms: float | None, handed_in: int, used_s: float
) -> dict[str, Any]:
    by_message = ledger.by_message()
    times_ms = sorted(
        1000 * (ledger.delivered_at(by_message.get(message, [])) - handed_in_at)
        for message, (_, handed_in_at, _) in ledger.accepted.items()
    )
    delivered = [each for each in times_ms if each < float("inf")]
    return {
        "delay": "none" if delay_ms is None else f"{delay_ms:g} ms",
        "handed_in": handed_in,
        "accepted": len(ledger.accepted),
        "delivered": len(delivered),
        "copies": ledger.copies,
        "calls": len(ledger.calls),
        **ledger.broken(),
        "connections": ledger.connections,
        "agent_connections": agent.connections,
        "p50_ms": round(median(delivered), 1) if delivered else 0.0,
        "p99_ms": round(delivered[int(0.99 * (len(delivered) - 1))], 1) if delivered else 0.0,
        "cpu_s": round(used_s, 2),
    }


async def play_all(
    delays: list[float | None], seconds: float, seed: int, record: Path | None
) -> list[dict[str, Any]]:
    """Plays all delays side by side, each with a relay of its own."""
    with contextlib.ExitStack() as stack:
        folders = [Path(stack.enter_context(tempfile.TemporaryDirectory())) for _ in delays]
        plays = [play(folder, delay, seconds, seed) for folder, delay in zip(folders, delays, strict=True)]
        results = await asyncio.gather(*plays)
    if record is not None:
        lines = [{"delay": each["delay"], **line} for ledger, each in results for line in ledger.lines]
        record.write_text("".join(json.dumps(line) + "\n" for line in lines))
    return [each for _, each in results]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--delays", default=",".join(f"{delay:g}" for delay in DELAYS_MS), help="in ms")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--record", type=Path)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    delays = [None, *map(float, args.delays.split(","))]
    rows = asyncio.run(play_all(delays, args.seconds, args.seed, args.record))
    report(
        rows,
        args.json,
        ["second copies of answers: rules broken, and what the relay paid"],
        "{delay:>7}: accepted {accepted}, delivered {delivered}, calls {calls}, copies {copies}; "
        "lost {lost}, again {again}, at once {at_once}, drain {drain}; connections {connections}, "
        "to the agent {agent_connections}; p50 {p50_ms:.0f} ms, p99 {p99_ms:.0f} ms, CPU {cpu_s:.2f} s",
    )
    return int(any(each[rule] for each in rows for rule in RULES))


if __name__ == "__main__":
    sys.exit(main())
