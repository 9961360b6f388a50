"""Hosts with a directory by interest, in this process: real peers' nodes on loopback, a list in a file, and a
carrier that notes each call in place of endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from benchmarks.processes import free_ports
from message_relay import config
from message_relay.core.ports import Attempt, AttemptResult
from message_relay.core.relay import Relay
from message_relay.decisions.model import Outcome
from message_relay.gossip.identity import claim_identity
from message_relay.gossip.node import GossipNode
from message_relay.gossip.settings import GossipSettings
from message_relay.sharded_directory.node import ShardedDirectory
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.settings import ShardedDirectorySettings

from ..core.test_ports import FakeIntake, FakeTransport
from ..loopback import Agent, raw_config

SHARDS = 64
MAX_PENDING = 400


def entry(name: str, dest: int, port: int = 1, **more: Any) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": f"h:{port}",
        "zone": "z",
        "machineType": "k",
        "cell": dest,
        "lifecycle": "ready",
        "weight": 500.0,
        "startedAtMs": 0,
        **more,
    }


def listing(entries: list[dict[str, Any]], generation: int = 1, reset: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": reset, "instances": entries}


def in_shards(count: int) -> list[int]:
    """Destinations, each in a shard of its own."""
    found: dict[int, int] = {}
    dest = 0
    while len(found) < count:
        dest += 1
        found.setdefault(shard_of(dest, SHARDS), dest)
    return list(found.values())


class SlowCarrier(FakeTransport):
    """Looks for a connection for as long as `connects` is not set; asks right before the first byte."""

    def __init__(self, *script: Outcome) -> None:
        super().__init__(*script)
        self.can_connect = asyncio.Event()
        self.can_connect.set()
        self.connect_attempts = 0
        self.withheld_calls = 0

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        self.connect_attempts += 1
        await self.can_connect.wait()
        if not attempt.may_write():
            self.withheld_calls += 1
            return AttemptResult(Outcome.NOT_SENT, is_withheld=True)
        self.attempts.append(attempt)
        outcome = self.script.pop(0) if self.script else Outcome.OK
        return AttemptResult(outcome, is_finished=outcome is Outcome.OK)


def relay_in(folder: Path, front: FakeIntake, carrier: FakeTransport) -> Relay:
    (folder / "state").mkdir(exist_ok=True, parents=True)
    raw = copy.deepcopy(raw_config(folder / "state", Agent(address=("127.0.0.1", 1))))
    raw["settings"]["limits"]["open-cap"] = MAX_PENDING
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    host = Relay(config.load({"RELAY_CONFIG": str(path)}))
    host.connect({"fake": front}, carrier, [])
    return host


class Instance:
    """One relay; a server too, if its number is among the part's."""

    def __init__(self, number: int, part: ShardedDirectorySettings, folder: Path, port: int) -> None:
        self.front, self.carrier = FakeIntake(), SlowCarrier()
        self.folder = folder / str(number)
        self.host = relay_in(self.folder, self.front, self.carrier)
        peers = GossipSettings(listen=f"127.0.0.1:{port}", seeds=(f"127.0.0.1:{port}",), period_s=0.2)
        home = self.folder / "peers"
        self.node = GossipNode(peers, claim_identity(home, f"n{number}"), home, number, "z", 0)
        self.shards = ShardedDirectory(part, self.node, self.host, number, self.host.config)
        self.host.use_destination_interest(self.shards, self.shards)
        self.messages, self.entries = self.host.messages, self.host.journal.entries

    async def start(self) -> None:
        await self.host.start()
        await self.node.start()
        self.shards.start()

    async def close(self) -> None:
        await self.host.close()
        self.node.leave()
        await self.node.close()
        await asyncio.sleep(0)

    async def kill(self) -> None:
        """As if it were killed: nobody is told, and nothing more is written."""
        self.shards.close()
        await self.node.close()
        await self.host.tasks.cancel()
        self.host.driver.stop()
        self.host.journal.close()
        self.host.lock.release()


class Fleet:
    def __init__(self, folder: Path, entries: list[dict[str, Any]], servers: int = 1, **more: Any) -> None:
        self.folder, self.file, self.generation = folder, folder / "list.json", 0
        self.port = free_ports(8, 3)
        self.part = ShardedDirectorySettings(tuple(range(servers)), SHARDS, file=str(self.file), **more)
        self.instances: dict[int, Instance] = {}
        self.write_list(entries)

    def write_list(self, entries: list[dict[str, Any]], generation: int | None = None) -> None:
        """The list is replaced."""
        self.generation = self.generation + 1 if generation is None else generation
        part = self.file.with_suffix(".part")
        part.write_text(json.dumps(listing(entries, self.generation)))
        os.replace(part, self.file)

    async def start_instance(self, number: int) -> Instance:
        it = self.instances[number] = Instance(number, self.part, self.folder, self.port)
        await it.start()
        return it

    async def stop_instance(self, number: int, killed: bool = True) -> None:
        it = self.instances.pop(number)
        await (it.kill() if killed else it.close())

    async def wait_until_loaded(self) -> None:
        """Each server has the list as it is in the file."""
        servers = [it.shards.server for it in self.instances.values() if it.shards.server is not None]
        await until(lambda: all(it.version == (1, self.generation) for it in servers))


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, entries: list[dict[str, Any]], *numbers: int, **more: Any
) -> AsyncIterator[Fleet]:
    it = Fleet(folder, entries, **more)
    try:
        for number in numbers:
            await it.start_instance(number)
        await it.wait_until_loaded()
        yield it
    finally:
        for each in it.instances.values():
            await each.close()


async def until(true: Callable[[], object], seconds: float = 20.0) -> None:
    async with asyncio.timeout(seconds):
        while not true():
            await asyncio.sleep(0.005)
