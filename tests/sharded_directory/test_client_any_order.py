"""Random events in any order: the data in the real directory never become older."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.core.directory import EndpointDirectory
from message_relay.decisions.model import Listing
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.wire import (
    DRAINING,
    GONE,
    Digest,
    Layout,
    Row,
    ShardRequest,
)

from ..conftest import make_settings
from .common import by_shard, loaded_server, row

NAMES = [f"e{i}" for i in range(4)]


OPS = st.lists(st.tuples(st.sampled_from("ccckkkaaatttdddDDDwwgfi"), st.integers(0, 11)), max_size=60)


class RandomEvents:
    """Servers that are updated independently, and messages delivered in any order, twice or never."""

    def __init__(self) -> None:
        self.layout = Layout(2, (1, 2))
        self.now = 100.0
        self.rng = random.Random(7)
        self.log: list[Row] = []  # generation g is self.log[g - 2]
        self.rows: list[dict[str, Row]] = [{}, {name: row(name, i, mark=1.0) for i, name in enumerate(NAMES)}]
        first = list(self.rows[1].values())
        self.servers = {f"n{i}": loaded_server(self.layout, first, now=self.now, seed=i) for i in (1, 2)}
        self.client = ShardClient("n100", self.layout, random.Random(3), idle_s=10.0)
        self.directory = EndpointDirectory(make_settings(), ("z",))
        self.requests: list[tuple[str, ShardRequest]] = []
        self.responses: list[tuple[str, Any]] = []
        self.digests: list[tuple[str, Digest]] = []
        self.latest_marks: dict[str, int] = {}
        self.latest_mark = 0

    def change(self, pick: int) -> None:
        generation = len(self.rows)
        name = NAMES[pick % 4]
        known = self.rows[-1].get(name)
        listing = (0, DRAINING, GONE)[pick // 4] if known else 0
        destination = known.destination if known and listing else pick % 5
        new = row(name, destination, listing, mark=float(generation))
        after = {each: unchanged for each, unchanged in self.rows[-1].items() if each != name}
        if listing != GONE:
            after[name] = new
        self.rows.append(after)
        self.log.append(new)

    def update_server(self, name: str) -> None:
        server = self.servers[name]
        generation = server.version[1] + 1
        if generation < len(self.rows):
            assert server.apply_changes(self.now, generation, [self.log[generation - 2]])
        else:
            server.confirm_source(self.now)

    def tick(self) -> None:
        self.client.tick(self.now, lambda destination: False)
        self.requests += self.client.outgoing
        self.client.outgoing.clear()
        self.client.missing_destinations.clear()
        for update in self.client.updates:
            latest_before = self.latest_mark
            for endpoint in update.endpoints:
                mark = int(endpoint.rate)
                assert mark >= self.latest_marks.get(endpoint.name, 0), "older than before"
                if endpoint.name not in self.directory.by_name:
                    replaced = [
                        g for g in range(mark + 1, len(self.rows)) if self.log[g - 2].name == endpoint.name
                    ]
                    assert not replaced or replaced[0] > latest_before, "a replaced endpoint came back"
                self.latest_marks[endpoint.name] = mark
                self.latest_mark = max(self.latest_mark, mark)
            self.directory.apply(update)
        self.client.updates.clear()

    def do(self, op: str, pick: int) -> None:
        name = f"n{1 + pick % 2}"
        self.now += 0.05
        if op == "c":
            self.change(pick)
        elif op == "k":
            self.update_server(name)
        elif op == "a" and self.requests:
            server, sent = self.requests[pick % len(self.requests)]
            self.responses.append((server, self.servers[server].handle_request(self.now, "n100", sent)))
        elif op == "t" and self.responses:
            server, response = self.responses[-1 - pick % len(self.responses)]
            self.client.on_response(self.now, server, response)
        elif op == "d":
            for _, digest in self.servers[name].due_digests(self.now):
                self.digests.append((name, digest))
            self.now += 0.5
        elif op == "D" and self.digests:
            server, digest = self.digests[-1 - pick % len(self.digests)]
            self.client.on_digest(self.now, server, digest)
        elif op == "w":
            self.client.request(self.now, pick % 5, self.now + 5.0)
        elif op == "g":
            self.client.touch(self.now, pick % 5)
        elif op == "f":
            self.client.on_request_failed(self.now, name)
        elif op == "i":
            self.now += 4.0
        self.tick()

    def deliver_all(self) -> None:
        """Deliver everything from now on, until the client has the latest data."""
        for _ in range(400):
            self.now += 0.1
            for name in self.servers:
                self.update_server(name)
                for _, digest in self.servers[name].due_digests(self.now):
                    self.client.on_digest(self.now, name, digest)
                if (
                    self.client.scheduler.servers[name].outstanding is not None
                    and self.requests
                    and self.requests[-1][0] != name
                ):
                    self.client.on_request_failed(self.now, name)
            for destination in range(5):
                self.client.touch(self.now, destination)
                if not self.client.is_resident(destination):
                    self.client.request(self.now, destination, self.now + 5.0)
            self.tick()
            while self.requests:
                server, sent = self.requests.pop()
                self.client.on_response(
                    self.now, server, self.servers[server].handle_request(self.now, "n100", sent)
                )
                self.tick()


@given(ops=OPS)
@settings(max_examples=250, deadline=None)
def test_nothing_gets_older_in_any_order_of_events(ops: list[tuple[str, int]]) -> None:
    simulation = RandomEvents()
    for op, pick in [("w", 0), ("w", 1), *ops]:
        simulation.do(op, pick)
    simulation.deliver_all()
    actual = {
        name: (known.endpoint.destination, known.endpoint.rate, known.endpoint.listing)
        for name, known in simulation.directory.by_name.items()
    }
    expected = {
        name: (each.destination, each.rate, (Listing.READY, Listing.DRAINING)[each.listing])
        for name, each in simulation.rows[-1].items()
    }
    assert actual == expected
    shards = by_shard(simulation.rows[-1], 2)
    for shard, cached in simulation.client.cache.resident.items():
        assert len(simulation.client.cache._decode_rows(cached)) == len(shards[shard])
    assert simulation.client.status(simulation.now).endpoints == len(actual)
