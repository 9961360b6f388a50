"""`demo`: runs a relay, two endpoints and a client on loopback to show the relay at work. Ends by itself."""

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
QUIET_END_S = 5.0  # no submissions this long before the end, so that pending messages can finish
DOWN_FROM, DOWN_FOR = 0.25, 0.2  # start and length of partner 2's outage, as shares of the duration
START_TIMEOUT_S = 20.0  # the demo fails if a process is not ready by then
CLASSES = (  # (name, effect, deadline in ms), as a translation office might have them
    ("order", "by_key", 9000),
    ("payout", "once", 9000),
    ("status", "repeatable", 5000),
)


def settings() -> dict[str, Any]:
    """Return the demo's settings in the platform's format."""
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
    """The processes of the demo, and the results of its client."""

    folder: Path
    seconds: float
    port: int = 0
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    accepted: set[str] = field(default_factory=set)
    rejected: int = 0

    async def start(self, *args: str, **env: str) -> str:
        """Starts a module as a separate process; returns the address that it prints, empty for the relay."""
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
            raise click.ClickException(f"{args[0]} does not start: is the current folder the repository?")
        return line.split()[1]

    async def set_up(self) -> None:
        """Starts the endpoints, the discovery agent and the relay."""
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
                "hostPort": address,
                "zone": "z",
                "machineType": "office",
                "cell": n,
                "lifecycle": "ready",
                "weight": 30.0,
                "startedAtMs": 0,
            }
            for n, address in enumerate(partners, 1)
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
        deadline = time.monotonic() + START_TIMEOUT_S
        while await self.report() is None:
            if time.monotonic() > deadline or self.processes[-1].returncode is not None:
                raise click.ClickException("the relay does not start: set DEMO_LOG=1 to see its log")
            await asyncio.sleep(0.05)

    async def report(self) -> Report | None:
        """Return the relay's status report; None if it does not answer."""
        try:
            report = await fetch_report(self.folder / "0.sock")
        except StatusError:
            return None
        return report if isinstance(report, Report) else None

    async def submit_messages(self) -> None:
        """Runs the client: submits one message after another, alternating between partners and classes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        started = time.monotonic()
        with contextlib.closing(writer):
            for n in itertools.count():
                await asyncio.sleep(max(0.0, started + n / MESSAGES_PER_S - time.monotonic()))
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
        """Return the number of effects per message id, for each partner."""
        return [Counter(line.split()[1] for line in lines(self.folder / f"partner-{n}")) for n in (1, 2)]

    def notified_outcomes(self) -> Counter[str]:
        """Return the number of distinct notified outcomes per message id; repetitions count once."""
        outcomes = {(item["id"], item["state"]) for item in map(json.loads, lines(self.folder / "notices"))}
        return Counter(ident for ident, _ in outcomes)

    async def progress(self, second: int) -> str:
        """Return one line with the state of the demo."""
        report = await self.report()
        counts = [sum(partner.values()) for partner in self.effects()]
        state = "no report"
        if report is not None:
            down = [f"partner {each.destination} down" for each in report.destinations if each.down]
            warming_up = [
                f"partner {each.destination} warming up"
                for each in report.destinations
                if each.cold_ms is not None and not each.down
            ]
            state = f"pending {report.held:3}  " + (", ".join(down + warming_up) or "all partners up")
        return (
            f"{second:3} s  accepted {len(self.accepted):4}  delivered {counts[0]:4} + {counts[1]:4}  "
            f"failed or returned {sum(self.notified_outcomes().values()):3}  {state}"
        )

    async def wait_until_idle(self) -> None:
        """Waits until no message is pending, at most until the last deadline has passed."""
        give_up = time.monotonic() + max(deadline for _, _, deadline in CLASSES) / 1000 + 1
        while time.monotonic() < give_up:
            report = await self.report()
            if report is not None and not (report.held or report.ends_waiting):
                return
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        """Stops all processes."""
        for process in reversed(self.processes):  # the relay first: it still notifies the others
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), START_TIMEOUT_S)
            except TimeoutError:
                process.kill()


def lines(path: Path) -> list[str]:
    """Return the lines of a ledger; none if the file does not exist yet."""
    return path.read_text().splitlines() if path.exists() else []


def free_port() -> int:
    """Return a TCP port that is currently free."""
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextlib.asynccontextmanager
async def running_demo(seconds: float) -> AsyncIterator[Demo]:
    """Yields a running demo, and stops all its processes at the end."""
    with tempfile.TemporaryDirectory(prefix="message_relay-demo-") as folder:
        demo_run = Demo(Path(folder), seconds)
        try:
            await demo_run.set_up()
            yield demo_run
        finally:
            await demo_run.close()


async def show(seconds: float) -> bool:
    """Runs the demo; returns whether each accepted message finished."""
    """True if each accepted message has an effect or a notified outcome, and none has two effects."""
    async with running_demo(seconds) as demo_run:
        click.echo("A relay, two partners, one client. Partner 2 goes down for a while, then warms up.")
        client = asyncio.ensure_future(demo_run.submit_messages())
        started = time.monotonic()
        for second in range(1, int(seconds - QUIET_END_S) + 1):
            await asyncio.sleep(max(0.0, started + second - time.monotonic()))
            click.echo(await demo_run.progress(second))
            if client.done():
                raise click.ClickException(f"the client failed: {client.exception()!r}")
        client.cancel()
        await asyncio.gather(client, return_exceptions=True)
        await demo_run.wait_until_idle()
        click.echo(await demo_run.progress(int(time.monotonic() - started)))
        effects, outcomes = demo_run.effects(), demo_run.notified_outcomes()
        delivered = effects[0] + effects[1]
        lost = [ident for ident in demo_run.accepted if ident not in delivered and ident not in outcomes]
        duplicated = [ident for ident, count in delivered.items() if count > 1]
        click.echo(
            f"{len(demo_run.accepted)} accepted, {len(delivered)} delivered, "
            f"{len(outcomes)} failed or returned, {demo_run.rejected} rejected; "
            f"without a final outcome {len(lost)}, delivered twice {len(duplicated)}"
        )
        return not lost and not duplicated


@click.command()
@click.option("--seconds", type=click.FloatRange(MIN_DURATION_S, 3600), default=30.0, show_default=True)
def demo(seconds: float) -> None:
    """Show a relay at work on loopback: deliveries, an outage of a partner and its return. Ends by itself."""
    sys.exit(0 if asyncio.run(show(seconds)) else 1)
