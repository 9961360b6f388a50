"""`demo`: a relay, two endpoints and a client on loopback, for a newcomer to watch. Ends by itself."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from ..fleet.report import Report
from ..fleet.status import StatusError, fetch_report

MESSAGES_PER_S = 20.0  # submitted by the client
MIN_DURATION_S = 12.0
QUIET_END_S = 5.0  # nothing is submitted so long before the end: pending messages have time to finish
DOWN_FROM, DOWN_FOR = 0.25, 0.2  # parts of the whole time
START_TIMEOUT_S = 20.0  # a process that is not ready by then is a fault
CLASSES = (  # name, effect, deadline: as an office for translations might have them
    ("order", "by_key", 9000),
    ("payout", "once", 9000),
    ("status", "repeatable", 5000),
)


def settings() -> dict[str, Any]:
    """Settings of the demo in the platform's form."""
    return {
        "az": 0,
        "balancers": 1,
        "zones": ["z"],
        "kinds": ["office"],
        "tick-ms": 5.0,
        "weight-kind": "nominal",
        "classes": [
            {
                "name": name,
                "effect": effect,
                "aim-ms": deadline / 4,
                "deadline-ms": deadline,
                "window-ms": 4000,
                "worth": 1.0,
                "late-share": 0.5,
            }
            for name, effect, deadline in CLASSES
        ],
        "extra": {"call-slots": 16, "loses-worth": "halves"},
        "limits": {"open-cap": 200, "try-limit": 8, "conn-idle-ms": 10000, "connect-timeout-ms": 1000},
        "orgs": [{"name": "demo", "quota-per-s": 1000}],
        "safety": {
            "drain-grace-ms": 250,
            "cold-from": 0.2,
            "cold-ms": 3000,
            "fall-ms": 1500,
            "fall-multiple": 2,
        },
    }


@dataclass
class Demo:
    """The processes of the demo, and what its client saw."""

    folder: Path
    seconds: float
    port: int = 0
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    accepted: set[str] = field(default_factory=set)
    rejected: int = 0

    async def start(self, *args: str, **env: str) -> str:
        """Starts a module as a process of its own; the address that it prints, if it prints one."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *args,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, **env},
            stderr=None if os.environ.get("DEMO_LOG") else asyncio.subprocess.DEVNULL,
        )
        self.processes.append(process)
        if args[0] == "message_relay":
            return ""
        assert process.stdout is not None
        line = (await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)).decode()
        if not line.startswith("ready "):
            raise click.ClickException(f"{args[0]} does not start: is this run from the repository's folder?")
        return line.split()[1]

    async def set_up(self) -> None:
        """Starts endpoints, discovery and the relay."""
        self.folder.joinpath("state").mkdir()
        down = f"{self.seconds * DOWN_FROM:.1f}:{self.seconds * DOWN_FOR:.1f}"
        ledgers = [("--ledger", str(self.folder / f"partner-{n}")) for n in (1, 2)]
        partners = [
            await self.start("fakes.endpoint", "--answer-ms", "30", "--rate", "30", *ledgers[0]),
            await self.start(
                "fakes.endpoint",
                "--answer-ms",
                "30",
                "--rate",
                "30",
                "--down",
                down,
                "--warm-s",
                "3",
                *ledgers[1],
            ),
        ]
        entries = [
            {
                "instanceId": f"partner-{n}",
                "hostPort": at,
                "zone": "z",
                "machineType": "office",
                "cell": n,
                "lifecycle": "ready",
                "weight": 30.0,
                "startedAtMs": 0,
            }
            for n, at in enumerate(partners, 1)
        ]
        known = {"generation": 1, "reset": True, "instances": entries}
        (self.folder / "list.json").write_text(json.dumps(known))
        agent = await self.start(
            "fakes.discovery_agent",
            "--list",
            str(self.folder / "list.json"),
            "--ledger",
            str(self.folder / "notices"),
        )
        self.port = free_port()
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "demo",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": agent,
                    "seed": "1",
                    "known": known,
                    "state": str(self.folder / "state"),
                    "settings": settings(),
                }
            )
        )
        (self.folder / "relay.toml").write_text(f'[status]\nfolder = "{self.folder}"\n')
        await self.start(
            "message_relay",
            "run",
            "--config",
            str(self.folder / "relay.toml"),
            RELAY_CONFIG=str(self.folder / "config.json"),
        )
        ends = time.monotonic() + START_TIMEOUT_S
        while await self.report() is None:
            if time.monotonic() > ends or self.processes[-1].returncode is not None:
                raise click.ClickException("the relay does not start: DEMO_LOG=1 shows why")
            await asyncio.sleep(0.05)

    async def report(self) -> Report | None:
        """The relay's status report, if it answers."""
        try:
            told = await fetch_report(self.folder / "0.sock")
        except StatusError:
            return None
        return told if isinstance(told, Report) else None

    async def hand_in(self) -> None:
        """The client: a message after the other, for each partner and of each class in turn."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        begun = time.monotonic()
        with contextlib.closing(writer):
            for n in itertools.count():
                await asyncio.sleep(max(0.0, begun + n / MESSAGES_PER_S - time.monotonic()))
                class_, _, deadline = CLASSES[n % len(CLASSES)]
                ident, body = f"demo-{n}", b"a document to translate"
                writer.write(
                    f"POST /{class_} HTTP/1.1\r\nHost: relay\r\nX-Trace-Id: {ident}\r\n"
                    f"X-Qos: {class_}\r\nX-Customer: demo\r\nX-Expires-In-Ms: {deadline}\r\n"
                    f"Idempotency-Key: key-{ident}\r\nX-Addressing: dest={1 + n % 2}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
                await reader.readexactly(int(length or 0))
                if head.split(b" ", 2)[1] == b"202":
                    self.accepted.add(ident)
                else:
                    self.rejected += 1

    def effects(self) -> list[Counter[str]]:
        """What took effect at each partner, by message."""
        return [Counter(line.split()[1] for line in lines(self.folder / f"partner-{n}")) for n in (1, 2)]

    def ends(self) -> Counter[str]:
        """Final answers that came as notices, by message: one may be told twice, and counts once."""
        told = {(item["id"], item["state"]) for item in map(json.loads, lines(self.folder / "notices"))}
        return Counter(ident for ident, _ in told)

    async def progress(self, second: int) -> str:
        """One line about the state of the demo."""
        told = await self.report()
        counts = [sum(partner.values()) for partner in self.effects()]
        state = "no report"
        if told is not None:
            down = [f"partner {one.destination} down" for one in told.destinations if one.down]
            cold = [
                f"partner {one.destination} back, spared"
                for one in told.destinations
                if one.cold_ms is not None and not one.down
            ]
            state = f"held {told.held:3}  " + (", ".join(down + cold) or "all well")
        return (
            f"{second:3} s  taken {len(self.accepted):4}  delivered {counts[0]:4} + {counts[1]:4}  "
            f"given back {sum(self.ends().values()):3}  {state}"
        )

    async def settle(self) -> None:
        """Until nothing is held, or no message can have time left."""
        ends = time.monotonic() + max(deadline for _, _, deadline in CLASSES) / 1000 + 1
        while time.monotonic() < ends:
            told = await self.report()
            if told is not None and not (told.held or told.ends_waiting):
                return
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        """Stops all processes."""
        for process in reversed(self.processes):  # the relay first: others hear its last words
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), START_TIMEOUT_S)
            except TimeoutError:
                process.kill()


def lines(path: Path) -> list[str]:
    """Lines of a ledger; none before it is written."""
    return path.read_text().splitlines() if path.exists() else []


def free_port() -> int:
    """A port that is free at this moment."""
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextlib.asynccontextmanager
async def prepared(seconds: float) -> AsyncIterator[Demo]:
    """A running demo; everything is stopped at the end."""
    with tempfile.TemporaryDirectory(prefix="message_relay-demo-") as folder:
        it = Demo(Path(folder), seconds)
        try:
            await it.set_up()
            yield it
        finally:
            await it.close()


async def show(seconds: float) -> bool:
    """Plays the demo; whether each accepted message finished exactly once."""
    """True if each message that was taken had exactly one end, and none took effect twice."""
    async with prepared(seconds) as it:
        click.echo("A relay, two partners, one client. Partner 2 goes down for a while and comes back cold.")
        client = asyncio.ensure_future(it.hand_in())
        begun = time.monotonic()
        for second in range(1, int(seconds - QUIET_END_S) + 1):
            await asyncio.sleep(max(0.0, begun + second - time.monotonic()))
            click.echo(await it.progress(second))
            if client.done():
                raise click.ClickException(f"the client failed: {client.exception()!r}")
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
        await it.settle()
        click.echo(await it.progress(int(time.monotonic() - begun)))
        effects, ends = it.effects(), it.ends()
        delivered = effects[0] + effects[1]
        without = [ident for ident in it.accepted if ident not in delivered and ident not in ends]
        twice = [ident for ident, count in delivered.items() if count > 1]
        click.echo(
            f"{len(it.accepted)} taken, {len(delivered)} took effect, {len(ends)} given back, "
            f"{it.rejected} refused; without an end {len(without)}, twice {len(twice)}"
        )
        return not without and not twice


@click.command()
@click.option("--seconds", type=click.FloatRange(MIN_DURATION_S, 3600), default=30.0, show_default=True)
def demo(seconds: float) -> None:
    """Show a relay at work on loopback: deliveries, a partner that goes down, its return. Ends by itself."""
    sys.exit(0 if asyncio.run(show(seconds)) else 1)
