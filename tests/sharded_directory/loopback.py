"""Relays with a sharded directory in one process: real gossip nodes on loopback, a list in a file, and a fake
transport that records calls.
"""

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
    """Return destinations in different shards."""
    by_shard: dict[int, int] = {}
    dest = 0
    while len(by_shard) < count:
        dest += 1
        by_shard.setdefault(shard_of(dest, SHARDS), dest)
    return list(by_shard.values())


class SlowTransport(FakeTransport):
    """Waits to connect until `can_connect` is set; checks `may_write` right before the first byte."""

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


def relay_in(folder: Path, intake: FakeIntake, transport: FakeTransport) -> Relay:
    (folder / "state").mkdir(exist_ok=True, parents=True)
    raw = copy.deepcopy(raw_config(folder / "state", Agent(address=("127.0.0.1", 1))))
    raw["settings"]["limits"]["open-cap"] = MAX_PENDING
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    relay = Relay(config.load({"RELAY_CONFIG": str(path)}))
    relay.connect({"fake": intake}, transport, [])
    return relay


class Instance:
    """One relay; also a server if its number is among the servers of the settings."""

    def __init__(self, number: int, settings: ShardedDirectorySettings, folder: Path, port: int) -> None:
        self.intake, self.transport = FakeIntake(), SlowTransport()
        self.folder = folder / str(number)
        self.relay = relay_in(self.folder, self.intake, self.transport)
        peers = GossipSettings(listen=f"127.0.0.1:{port}", seeds=(f"127.0.0.1:{port}",), period_s=0.2)
        home = self.folder / "peers"
        self.node = GossipNode(peers, claim_identity(home, f"n{number}"), home, number, "z", 0)
        self.shards = ShardedDirectory(settings, self.node, self.relay, number, self.relay.config)
        self.relay.use_destination_interest(self.shards, self.shards)
        self.messages, self.entries = self.relay.messages, self.relay.journal.entries

    async def start(self) -> None:
        await self.relay.start()
        await self.node.start()
        self.shards.start()

    async def close(self) -> None:
        await self.relay.close()
        self.node.leave()
        await self.node.close()
        await asyncio.sleep(0)

    async def kill(self) -> None:
        """Simulate a kill: no other instance is notified, and nothing more is written."""
        self.shards.close()
        await self.node.close()
        await self.relay.tasks.cancel()
        self.relay.driver.stop()
        self.relay.journal.close()
        self.relay.lock.release()


class Fleet:
    def __init__(self, folder: Path, entries: list[dict[str, Any]], servers: int = 1, **more: Any) -> None:
        self.folder, self.file, self.generation = folder, folder / "list.json", 0
        self.port = free_ports(8, 3)
        self.settings = ShardedDirectorySettings(tuple(range(servers)), SHARDS, file=str(self.file), **more)
        self.instances: dict[int, Instance] = {}
        self.write_list(entries)

    def write_list(self, entries: list[dict[str, Any]], generation: int | None = None) -> None:
        """Replace the list."""
        self.generation = self.generation + 1 if generation is None else generation
        temporary = self.file.with_suffix(".part")
        temporary.write_text(json.dumps(listing(entries, self.generation)))
        os.replace(temporary, self.file)

    async def start_instance(self, number: int) -> Instance:
        instance = self.instances[number] = Instance(number, self.settings, self.folder, self.port)
        await instance.start()
        return instance

    async def stop_instance(self, number: int, killed: bool = True) -> None:
        instance = self.instances.pop(number)
        await (instance.kill() if killed else instance.close())

    async def wait_until_loaded(self) -> None:
        """Wait until each server has loaded the list of the file."""
        servers = [each.shards.server for each in self.instances.values() if each.shards.server is not None]
        await until(lambda: all(server.version == (1, self.generation) for server in servers))


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, entries: list[dict[str, Any]], *numbers: int, **more: Any
) -> AsyncIterator[Fleet]:
    cluster = Fleet(folder, entries, **more)
    try:
        for number in numbers:
            await cluster.start_instance(number)
        await cluster.wait_until_loaded()
        yield cluster
    finally:
        for each in cluster.instances.values():
            await each.close()


async def until(condition: Callable[[], object], seconds: float = 20.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
