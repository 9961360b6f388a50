"""Counts calls to an endpoint that was announced as leaving, with an agent that answers each request late.

    python -m benchmarks.slow_discovery [--delays 0,0.3,0.6,0.8,2,5] [--seconds 10] [--relays 200] [--json]

Each run has one real relay process; agent, endpoints and clients are in this process. `restart`: the list
changes while the relay is down, and the relay starts with the older list in its configuration. `middle`: the
list changes while the relay is serving. `silent`: the request rate, and the largest number of concurrent
connections to an agent, of `--relays` relays in one process, each with its own agent that does not answer."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import logging
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from emulator.live import free_ports
from emulator.partner import Partner
from emulator.spec import Service, Spec
from fakes.discovery_agent import Agent
from fakes.endpoint import Endpoint
from message_relay.http.discovery_client import DiscoveryClient

from .kills import Traffic, start_process, wait_until_healthy
from .processes import settings
from .report import report

PAGE_BOUND_S = 6.25  # a change counts as known after 6 s; 250 ms later a call to a draining endpoint is late
CLIENTS = 4


class CallTimes:
    """Records the times of an endpoint's calls, by the clock of this process."""

    def __init__(self) -> None:
        self.times: list[float] = []

    def write(self, text: str) -> int:
        self.times.append(time.monotonic())
        return len(text)

    def flush(self) -> None:
        pass


async def endpoint(calls: CallTimes) -> Endpoint:
    model = Partner(Spec(service=Service(5.0, cv=0.0)), random.Random(1))
    server = Endpoint(model, ("127.0.0.1", 0), None, None, calls)  # type: ignore[arg-type]
    await server.start()
    server.start_model()
    return server


def entry(name: str, at: tuple[str, int], lifecycle: str) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"{at[0]}:{at[1]}",
        "zone": "z",
        "machineType": "k",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 2000.0,
        "startedAtMs": 0,
    }


async def play(folder: Path, delay_s: float, is_restart: bool, seconds: float) -> dict[str, Any]:
    leaving, staying = CallTimes(), CallTimes()
    old, new = await endpoint(leaving), await endpoint(staying)
    listing = {"generation": 1, "reset": True, "instances": [entry("s-1", old.listen, "ready")]}
    changed = [entry("s-1", old.listen, "draining"), entry("s-2", new.listen, "ready")]
    agent = await Agent(json.dumps(listing).encode()).start()
    agent.delay_s = delay_s
    (port,) = free_ports(1)
    (folder / "state").mkdir()
    config = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "discovery": "{}:{}".format(*agent.address),
        "seed": "1",
        "known": listing,
        "state": str(folder / "state"),
        "settings": settings(0.25),
    }
    (folder / "config.json").write_text(json.dumps(config))
    if is_restart:
        agent.replace_list(changed)
    relay, _ = await start_process("message_relay", RELAY_CONFIG=str(folder / "config.json"))
    traffic = Traffic(port, random.Random(1))
    clients: list[asyncio.Task[None]] = []
    try:
        await wait_until_healthy(port)
        changed_at = time.monotonic()
        clients = [asyncio.ensure_future(traffic.client()) for _ in range(CLIENTS)]
        if not is_restart:
            await asyncio.sleep(3.0)
            changed_at = time.monotonic()
            agent.replace_list(changed)
        await asyncio.sleep(seconds)
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        relay.kill()
        await relay.wait()
    delays = [at - changed_at for at in leaving.times if at > changed_at]
    return {
        "case": "restart" if is_restart else "middle",
        "delay_s": delay_s,
        "leaving": len(delays),
        "calls": len(delays) + len([at for at in staying.times if at > changed_at]),
        "last_s": max(delays, default=0.0),
        "after_bound": sum(at > PAGE_BOUND_S for at in delays),
    }


async def silent(relays: int, seconds: float) -> dict[str, Any]:
    """Measures the load on agents that do not answer, one for each relay."""
    listing = json.dumps({"generation": 1, "reset": True, "instances": []}).encode()
    agents = [await Agent(listing).start() for _ in range(relays)]
    clients = [DiscoveryClient(each.address, relays, n, shared=False) for n, each in enumerate(agents)]
    for agent in agents:
        agent.is_silent = True
    client_tasks = [asyncio.ensure_future(each.run(lambda update: None)) for each in clients]
    connections = 0
    for _ in range(round(seconds * 10)):
        await asyncio.sleep(0.1)
        connections = max(connections, max(each.open_count for each in agents))
    for task in client_tasks:
        task.cancel()
    await asyncio.gather(*client_tasks, return_exceptions=True)
    calls = sum(len(each.calls) for each in agents) / seconds
    return {"case": f"silent, {relays}", "calls_per_s": calls, "connections": connections}


async def plays(delays: list[float], seconds: float, relays: int) -> list[dict[str, Any]]:
    rows = []
    for delay_s in delays:
        for is_restart in (True, False):
            with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
                rows.append(await play(Path(folder), delay_s, is_restart, seconds))
    for count in (1, relays):
        rows.append(await silent(count, seconds))
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.slow_discovery")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--delays", default="0,0.3,0.6,0.8,2,5")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--relays", type=int, default=200)
    args = parser.parse_args()
    logging.disable(logging.WARNING)  # hides the warnings of the clients in this process
    with contextlib.suppress(KeyboardInterrupt):
        rows = asyncio.run(plays([float(text) for text in args.delays.split(",")], args.seconds, args.relays))
    table = [row for row in rows if "calls_per_s" not in row]
    report(
        table,
        args.json,
        ("agent that answers late", "case     delay s  leaving  of calls  last s  after 6.25 s"),
        "{case:9}{delay_s:7.2f}{leaving:9}{calls:10}{last_s:8.2f}{after_bound:14}",
    )
    report(
        rows[len(table) :],
        args.json,
        ("agent that is silent", "case          calls/s  connections at once"),
        "{case:14}{calls_per_s:7.1f}{connections:21}",
    )
    return 1 if any(row["after_bound"] for row in table) else 0


if __name__ == "__main__":
    sys.exit(main())
