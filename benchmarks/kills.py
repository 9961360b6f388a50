"""Kills the real process with SIGKILL at random moments, while its journal deletes segments under traffic.

    python -m benchmarks.kills [--kills 300] [--seed 1] [--json]

One relay with a small journal budget (so that it deletes segments all the time), a partner that randomly
refuses, fails and hangs (fakes.endpoint), a discovery agent that records notices (fakes.discovery_agent), and
clients that submit without pause. After each kill the relay is restarted on its state folder. At the end
every accepted message must have taken effect at the partner or have a final outcome, and no `pay` may have
taken effect twice: the partner's ledger records each delivery of a `pay`, since those carry no key."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from emulator.live import free_ports

from .processes import lines, settings
from .report import report

CLIENTS = 6
DISK_MB = 0.7
READY_S = 30.0


@dataclass
class Row:
    kills: int = 0
    taken: int = 0
    effects: int = 0
    notices: int = 0
    segments: int = 0  # number of segments created
    restart_s: float = 0.0  # mean, from the kill to the next 200 of /healthz
    broken: list[str] = field(default_factory=list)


async def start_process(*args: str, **env: str) -> tuple[asyncio.subprocess.Process, str]:
    import os

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, **env},
    )
    if args[0] == "message_relay":
        return process, ""
    assert process.stdout is not None
    return process, (await process.stdout.readline()).decode().split()[1]


async def wait_until_healthy(port: int, host: str = "127.0.0.1") -> None:
    async with asyncio.timeout(READY_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head[:15]:
                    return
            await asyncio.sleep(0.01)


@dataclass
class Traffic:
    port: int
    rng: random.Random
    accepted: dict[str, str] = field(default_factory=dict)
    submitted_count: int = 0

    async def client(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    while True:
                        async with asyncio.timeout(5.0):
                            await self.submit(reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(0.02)

    async def submit(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.submitted_count += 1
        message_id = f"m{self.submitted_count}"
        class_ = self.rng.choice(("order", "pay", "status"))
        body = bytes(self.rng.choice((100, 100, 400, 9000)))
        key = f"Idempotency-Key: k{message_id}\r\n" if class_ == "order" else ""
        writer.write(
            f"POST /{class_} HTTP/1.1\r\nHost: r\r\nX-Trace-Id: {message_id}\r\nX-Qos: {class_}\r\n"
            f"X-Customer: t\r\nX-Expires-In-Ms: {4000}\r\n{key}X-Addressing: dest=1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length:")[2].split(b"\r", 1)[0]
        await reader.readexactly(int(length or 0))
        if b" 202 " in head[:13]:
            self.accepted[message_id] = class_
        else:
            await asyncio.sleep(0.02)


async def measure(folder: Path, kills: int, seed: int) -> Row:
    rng, row = random.Random(seed), Row()
    (folder / "state").mkdir()
    partner, partner_address = await start_process(
        "fakes.endpoint",
        "--answer-ms",
        "15",
        "--refuse",
        "0.08",
        "--error",
        "0.05",
        "--hang",
        "0.02",
        "--ledger",
        str(folder / "effects"),
    )
    listing = {
        "generation": 1,
        "reset": True,
        "instances": [
            {
                "instanceId": "p",
                "hostPort": partner_address,
                "zone": "z",
                "machineType": "k",
                "cell": 1,
                "lifecycle": "ready",
                "weight": 2000.0,
                "startedAtMs": 0,
            }
        ],
    }
    (folder / "list.json").write_text(json.dumps(listing))
    agent, discovery = await start_process(
        "fakes.discovery_agent", "--list", str(folder / "list.json"), "--ledger", str(folder / "notices")
    )
    (port,) = free_ports(1)
    raw = settings(0.25)
    raw["extra"]["call-slots"] = 24
    (folder / "config.json").write_text(
        json.dumps(
            {
                "name": "k",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery,
                "seed": "1",
                "known": listing,
                "state": str(folder / "state"),
                "settings": raw,
                "limits": {"disk_mb": DISK_MB},
            }
        )
    )
    traffic = Traffic(port, rng)
    relay, _ = await start_process("message_relay", RELAY_CONFIG=str(folder / "config.json"))
    clients: list[asyncio.Task[None]] = []
    try:
        await wait_until_healthy(port)
        clients = [asyncio.ensure_future(traffic.client()) for _ in range(CLIENTS)]
        for _ in range(kills):
            await asyncio.sleep(rng.uniform(0.02, 0.5))
            relay.send_signal(signal.SIGKILL)
            await relay.wait()
            started_at = time.monotonic()
            relay, _ = await start_process("message_relay", RELAY_CONFIG=str(folder / "config.json"))
            await wait_until_healthy(port)
            row.kills += 1
            row.restart_s += (time.monotonic() - started_at) / kills
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await asyncio.sleep(5.0)  # longer than every deadline
        numbers = [int(path.name[4:]) for path in (folder / "state").glob("seg-*")]
        row.segments = max(numbers)
        relay.send_signal(signal.SIGTERM)
        await relay.wait()
    finally:
        for process in (relay, agent, partner):
            if process.returncode is None:
                process.kill()
                await process.wait()
    effects = Counter(line.split()[1] for line in lines(folder / "effects"))
    final_states: dict[str, set[str]] = {}
    for item in map(json.loads, lines(folder / "notices")):
        final_states.setdefault(item["id"], set()).add(item["state"])
    row.taken, row.effects, row.notices = len(traffic.accepted), len(effects), len(final_states)
    finished = effects.keys() | final_states.keys()
    row.broken += [
        f"{message_id}: no final outcome" for message_id in traffic.accepted if message_id not in finished
    ]
    row.broken += [
        f"{message_id}: several final outcomes {sorted(states)}"
        for message_id, states in final_states.items()
        if len(states) > 1
    ]
    row.broken += [
        f"{message_id}: took effect {effects[message_id]} times"
        for message_id, class_ in traffic.accepted.items()
        if class_ == "pay" and effects[message_id] > 1
    ]
    return row


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.kills")
    parser.add_argument("--kills", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        row = asyncio.run(measure(Path(folder), args.kills, args.seed))
    for text in row.broken:
        print(text, file=sys.stderr)
    report(
        [{**asdict(row), "broken": len(row.broken)}],
        args.json,
        (
            "SIGKILL at random moments, under traffic",
            "kills   taken  effects  notices  segments  restart s  broken",
        ),
        "{kills:5}{taken:8}{effects:9}{notices:9}{segments:10}{restart_s:11.2f}{broken:8}",
    )
    return 1 if row.broken else 0


if __name__ == "__main__":
    sys.exit(main())
