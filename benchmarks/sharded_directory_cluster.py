"""Cluster harness for the sharded directory, for tests and benchmarks/sharded_directory.py.

Runs real relays and shard servers with a fault proxy between them, a discovery agent whose list changes, and
two endpoints ("places" a and b) between which destinations move. Instances 0 to `shard_servers` - 1 are shard
servers; clients submit to the others. Each message's id contains its destination, so that the ledgers of the
two endpoints show which entry each call used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import tempfile
import time
from bisect import bisect_left
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

from emulator import clients as connections
from emulator.clients import request
from fakes.discovery_agent import Agent
from message_relay.fleet.report import Report
from message_relay.fleet.status import StatusError, fetch_report

from .cluster_harness import PORT, ClusterHarness
from .processes import CLASSES, lines

PLACES = ("a", "b")
MAX_LOGGED_CHANGES = 200_000  # a request from before the oldest logged change gets the complete list


class ChangingRegister(Agent):
    """A discovery agent with a list that changes. It runs in the benchmark's process."""

    def __init__(self, entries: Iterable[dict[str, Any]], ledger: TextIO | None = None) -> None:
        super().__init__(b'{"generation": 1}', ledger)
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.history_start = 1  # the generation of the oldest logged change
        self.full_list = (0, b"")
        self.sent_bytes = 0
        self.generation_times: dict[int, float] = {}  # Unix s of each generation

    async def listen(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def change(self, entries: Iterable[dict[str, Any]]) -> None:
        """Applies these entries as one new generation; an entry with lifecycle `gone` is removed."""
        self.generation += 1
        for entry in entries:
            self.changes.append((self.generation, entry))
            if entry["lifecycle"] == "gone":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        if len(self.changes) > MAX_LOGGED_CHANGES:
            self.history_start = self.changes[-MAX_LOGGED_CHANGES][0] + 1
            self.changes = [change for change in self.changes if change[0] >= self.history_start]
        self.generation_times[self.generation] = time.time()
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method: str, target: str, report: bytes) -> tuple[int, bytes]:
        if method == "POST":
            return await super().answer(method, target, report)
        query = parse_qs(urlsplit(target).query)
        known_generation = int(query.get("from", ["-1"])[0])
        if not self.history_start <= known_generation <= self.generation:
            if self.full_list[0] != self.generation:
                self.full_list = self.generation, self._list_body(True, list(self.entries.values()))
            return 200, self.full_list[1]
        if known_generation == self.generation:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("hold_ms", ["0"])[0]) / 1000):
                    await self.changed.wait()
        changes = self.changes[
            bisect_left(self.changes, known_generation + 1, key=lambda change: change[0]) :
        ]
        latest = {entry["instanceId"]: entry for _, entry in changes}
        return 200, self._list_body(False, list(latest.values()))

    def _list_body(self, reset: bool, entries: list[dict[str, Any]]) -> bytes:
        body = json.dumps({"generation": self.generation, "reset": reset, "instances": entries}).encode()
        self.sent_bytes += len(body)
        return body


def entry(destination: int, address: str, **fields: Any) -> dict[str, Any]:
    return {
        "instanceId": f"e{destination}",
        "hostPort": address,
        "zone": "z",
        "machineType": "k",
        "cell": destination,
        "lifecycle": "ready",
        "weight": 1000.0,
        "startedAtMs": 0,
        **fields,
    }


@dataclass
class Clients:
    """Submits messages to randomly chosen relays; each message's id contains its destination."""

    cluster: ShardedCluster
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    submitted: list[str] = field(default_factory=list)
    accepted: dict[str, str] = field(default_factory=dict)  # maps each accepted message to its class
    statuses: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    pool: connections.Clients = field(default_factory=lambda: connections.Clients(2000.0))

    async def run(self, rate: float, seconds: float, dests: list[int], to: list[int] | None = None) -> None:
        """Submits messages open loop, each at its scheduled time."""
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        ends_at = due_at + seconds
        while (due_at := due_at + self.rng.expovariate(rate)) < ends_at:
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            self.submit(self.rng.choice(dests), self.rng.choice(to or self.cluster.relays))
        await self.wait_until_settled()

    def submit(self, dest: int, relay: int, class_: str = "", left_ms: float = 0.0) -> None:
        task = asyncio.ensure_future(self.submit_and_wait(dest, relay, class_, left_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_until_settled(self) -> None:
        while self.tasks:
            await asyncio.gather(*list(self.tasks), return_exceptions=True)

    async def submit_and_wait(self, dest: int, relay: int, class_: str = "", left_ms: float = 0.0) -> None:
        message_id = f"m{len(self.submitted)}-{dest}"
        self.submitted.append(message_id)
        names = [name for name, *_ in CLASSES]
        class_ = class_ or self.rng.choices(names, [weight for *_, weight in CLASSES])[0]
        deadline = left_ms or next(ms for name, _, ms, _ in CLASSES if name == class_)
        data = request(message_id, class_, dest, deadline, b"x" * 200, f"k{message_id}")
        status = (await self.pool.hand_in(("127.0.0.1", self.cluster.port + relay), data)).status
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status in ("202", "200"):
            self.accepted[message_id] = class_

    def close(self) -> None:
        self.pool.close()


@dataclass
class ShardedCluster(ClusterHarness):
    """A cluster with shard servers; `instances` counts them and the relays."""

    agreed: bool = False
    shard_servers: int = 3
    dests: int = 400
    count: int = 512
    bound_s: float = 12.0
    idle_s: float = 300.0
    hold: int = 1000
    on: bool = True  # False: the same processes without sharding, each with the complete list
    malformed: tuple[dict[str, Any], ...] = ()  # malformed entries of the list
    stale_servers: tuple[int, ...] = ()  # servers with a separate agent whose list never changes
    unused_destinations: int = 0  # number of additional destinations without traffic
    moves: list[tuple[float, int, str]] = field(default_factory=list)  # Unix s, destination, new place
    current_places: dict[int, str] = field(default_factory=dict)

    @property
    def relays(self) -> list[int]:
        return list(range(self.shard_servers, self.instances))

    async def start(self, name: str, *args: str) -> str:
        """Starts a process. In place of the agent process, starts a `ChangingRegister` in this process,
        which also receives the notices."""
        if name != "agent":
            return await super().start(name, *args)
        self.notices = open(self.folder / "notices", "a")  # noqa: SIM115  closed in close()
        listed = [entry(dest, self.at["a"]) for dest in range(1, self.dests + 1)]
        listed += [
            entry(dest, self.at["a"])
            for dest in range(self.dests + 1, self.dests + 1 + self.unused_destinations)
        ]
        self.current_places = dict.fromkeys(range(1, self.dests + 1), "a")
        self.register = ChangingRegister([*listed, *self.malformed], self.notices)
        self.old_register = ChangingRegister([*listed, *self.malformed], self.notices)
        self.old_register_address = await self.old_register.listen()
        return await self.register.listen()

    async def set_up(self) -> None:
        self.at = {}
        for place in PLACES:
            self.at[place] = await super().start(
                f"partner {place}",
                "fakes.endpoint",
                "--answer-ms",
                str(self.answer_ms),
                "--calls",
                str(self.folder / f"calls {place}"),
                "--ledger",
                str(self.folder / "effects"),
            )
        if self.stale_servers:
            path = self.folder / "old.json"
            self.more_env |= {n: {"RELAY_CONFIG": str(path)} for n in self.stale_servers}
        await super().set_up()

    def _listed(self, places: dict[str, str]) -> dict[str, Any]:
        return {"generation": 1, "reset": True, "instances": []}

    def _settings(self) -> dict[str, Any]:
        base = super()._settings()
        return base | {"limits": base["limits"] | {"open-cap": self.hold}}

    def configure(self, instances: int) -> None:
        seeds = ", ".join(f'"127.{self.block}.2.{n}:{PORT}"' for n in range(max(1, self.shard_servers)))
        self.more_parts = (
            f'[peers]\nlisten = "127.{self.block}.1.{{n}}:{PORT}"\n'
            f'address = "127.{self.block}.2.{{n}}:{PORT}"\nseeds = [{seeds}]\n'
            f'secret_file = "{self.folder}/secret"\nperiod_s = 0.5\n'
        )
        if self.on:
            self.more_parts += (
                f"[shards]\nkeepers = {list(range(self.shard_servers))}\ncount = {self.count}\n"
                f"bound_s = {self.bound_s}\nidle_s = {self.idle_s}\n"
            )
        path = self.folder / "config0.json"
        if self.stale_servers:
            config = json.loads(path.read_text())
            (self.folder / "old.json").write_text(
                json.dumps(config | {"discovery": self.old_register_address})
            )
        super().configure(instances)

    # -- changes ---------------------------------------------------------------------------------------------

    def move(self, *dests: int) -> None:
        """Moves each of these destinations to the other endpoint, in one generation."""
        for dest in dests:
            self.current_places[dest] = "b" if self.current_places[dest] == "a" else "a"
            self.moves.append((time.time(), dest, self.current_places[dest]))
        self.register.change(entry(dest, self.at[self.current_places[dest]]) for dest in dests)

    def lateness_of_moves(self) -> list[float]:
        """Returns for each move the seconds until the last call by the previous entry; 0 if none."""
        calls: dict[tuple[str, int], list[float]] = {}
        for place in PLACES:
            for line in lines(self.folder / f"calls {place}"):
                at, message_id = line.split()[:2]
                calls.setdefault((place, int(message_id.rpartition("-")[2])), []).append(float(at) / 1000)
        lateness = []
        for n, (moved, dest, to) in enumerate(self.moves):
            next_move_at = next(
                (moved_again_at for moved_again_at, other, _ in self.moves[n + 1 :] if other == dest),
                float("inf"),
            )
            previous_place = "b" if to == "a" else "a"
            delays = [
                called_at - moved
                for called_at in calls.get((previous_place, dest), [])
                if moved < called_at < next_move_at
            ]
            lateness.append(max(delays, default=0.0))
        return lateness

    def calls_to(self, dest: int, place: str) -> list[str]:
        """Returns the ids of the destination's messages that were sent to this endpoint."""
        message_ids = [line.split()[1] for line in lines(self.folder / f"calls {place}")]
        return [message_id for message_id in message_ids if int(message_id.rpartition("-")[2]) == dest]

    # -- instances -------------------------------------------------------------------------------------------

    async def report(self, n: int) -> Report:
        """Returns the instance's status report; raises StatusError."""
        report = await fetch_report(self.folder / "run" / f"{n}.sock")
        assert isinstance(report, Report)
        return report

    async def role_status(self, n: int, role: str) -> dict[str, Any]:
        status: dict[str, Any] = ((await self.report(n)).shards or {})[role]
        return status

    async def wait_until_loaded(self, seconds: float = 60.0) -> None:
        """Waits until each server has a list."""
        async with asyncio.timeout(seconds):
            for n in range(self.shard_servers):
                while True:
                    with contextlib.suppress(StatusError):
                        if not (await self.role_status(n, "keeper"))["loading"]:
                            break
                    await asyncio.sleep(0.05)

    async def wait_until_followed(self, seconds: float = 60.0) -> None:
        """Waits until each server, except those with the unchanging agent, is at the latest generation."""
        async with asyncio.timeout(seconds):
            for n in (n for n in range(self.shard_servers) if n not in self.stale_servers):
                while True:
                    with contextlib.suppress(StatusError):
                        if (await self.role_status(n, "keeper"))["version"][1] == self.register.generation:
                            break
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        try:
            await super().close()
        finally:
            for register in (self.register, self.old_register):
                register.server.close()
            self.notices.close()


@contextlib.asynccontextmanager
async def sharded_cluster(
    shard_servers: int = 3, relays: int = 3, **fields: Any
) -> AsyncIterator[ShardedCluster]:
    with tempfile.TemporaryDirectory(prefix="message_relay-") as folder:
        cluster = ShardedCluster(
            Path(folder),
            shard_servers + relays,
            fields.pop("rate", 1000.0),
            False,
            shard_servers=shard_servers,
            fleet_of=shard_servers + relays,
            **fields,
        )
        try:
            await cluster.set_up()
            if cluster.on:
                await cluster.wait_until_loaded()
            yield cluster
        finally:
            await cluster.close()


@contextlib.asynccontextmanager
async def traffic(cluster: ShardedCluster, rate: float, dests: list[int]) -> AsyncIterator[Clients]:
    """Submits messages for as long as the context is open."""
    clients = Clients(cluster)
    task = asyncio.ensure_future(clients.run(rate, 600.0, dests))
    try:
        yield clients
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await clients.wait_until_settled()
        clients.close()
