"""A shard client with its servers and directory, for tests: every request gets its response at once."""

from __future__ import annotations

import random
from typing import Any

from message_relay.core.directory import EndpointDirectory
from message_relay.core.ports import EndpointUpdate
from message_relay.sharded_directory.rendezvous_hash import rank_servers, shard_of
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.wire import (
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardRequest,
    ShardResponse,
    decode_message,
    encode_message,
)

from ..conftest import make_settings
from .common import filled

LAYOUT = Layout(4, (1, 2, 3))


ONE = Layout(1, (1, 2, 3))


FIRST, SECOND, THIRD = rank_servers("n100", ("n1", "n2", "n3"))


class World:
    """A reader, keepers, and the directory; every ask is answered at once unless a test says otherwise."""

    def __init__(self, rows: list[Row], layout: Layout = LAYOUT, now: float = 100.0, **more: Any) -> None:
        self.layout, self.now = layout, now
        self.keepers = {f"n{number}": filled(layout, rows, now=now, seed=number) for number in layout.servers}
        self.reader = ShardClient("n100", layout, random.Random(1), **more)
        self.directory = EndpointDirectory(make_settings(), ("z",))
        self.updates: list[EndpointUpdate] = []
        self.absent: list[int] = []
        self.in_use: set[int] = set()
        self.down: set[str] = set()
        self.served: list[tuple[str, ShardRequest]] = []
        self.behind: set[str] = set()  # whose source is silent

    def changed(
        self, generation: int, rows: list[Row], lives: list[tuple[str, int]] | None = None, *names: str
    ) -> None:
        for name in names or self.keepers:
            assert self.keepers[name].apply_changes(self.now, generation, rows, lives or [])

    def apply(self) -> None:
        self.updates += self.reader.updates
        for update in self.reader.updates:
            self.directory.apply(update)
        self.reader.updates.clear()
        self.absent += self.reader.missing_destinations
        self.reader.missing_destinations.clear()

    def turn(self) -> list[tuple[str, ShardRequest]]:
        """A tick; its asks are left to the caller."""
        self.reader.tick(self.now, self.in_use.__contains__)
        self.apply()
        asks: list[tuple[str, ShardRequest]] = list(self.reader.outgoing)
        self.reader.outgoing.clear()
        return asks

    def serve(self, asks: list[tuple[str, ShardRequest]]) -> None:
        for name, told in asks:
            self.served.append((name, told))
            if name in self.down:
                self.reader.on_request_failed(self.now, name)
            else:
                sent = decode_message(encode_message(told))
                assert isinstance(sent, ShardRequest)
                word = decode_message(
                    encode_message(self.keepers[name].handle_request(self.now, "n100", sent))
                )
                assert isinstance(word, ShardResponse | Overloaded | LayoutMismatch)
                self.reader.on_response(self.now, name, word)
            self.apply()

    def settle(self, seconds: float = 0.0, step: float = 0.1, digests: bool = True) -> None:
        end = self.now + seconds
        while True:
            for _ in range(20):
                asks = self.turn()
                if not asks:
                    break
                self.serve(asks)
            if self.now >= end:
                return
            self.now = min(end, self.now + step)
            for name, keeper in self.keepers.items():
                if name not in self.behind:
                    keeper.confirm_source(self.now)
                if name not in self.down and digests:
                    for _, digest in keeper.due_digests(self.now):
                        self.reader.on_digest(self.now, name, digest)
                        self.apply()

    def want(self, *destinations: int, due: float = 10.0) -> None:
        for destination in destinations:
            self.reader.request(self.now, destination, self.now + due)
        self.apply()

    def has(self, name: str) -> Any:
        known = self.directory.by_name.get(name)
        return None if known is None else known.endpoint


def in_shard(shard: int, count: int, shards: int = 4) -> list[int]:
    return [each for each in range(1_000) if shard_of(each, shards) == shard][:count]


def answer_to(
    told: tuple[str, ShardRequest],
    version: tuple[int, int],
    parts: Any = (),
    complete: bool = True,
    now: float = 0.0,
) -> ShardResponse:
    """Of a keeper that does not look at what it is asked."""
    return ShardResponse(told[1].number, version, tuple(parts), complete, (1, 0), 0.0, 1, now * 1e3)


def partly(world: World, version: tuple[int, int], *parts: Any) -> None:
    """The next ask is answered by this much, and more is to come."""
    told = world.turn()[0]
    world.reader.on_response(world.now, told[0], answer_to(told, version, parts, False, world.now))
    world.apply()
    world.now += 0.6
