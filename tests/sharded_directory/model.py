"""Model checker: two servers, one client, one or two shards; explores all orders of events up to a depth.

The model uses the real ShardServer, ShardClient and endpoint directory. Versions are 1 to 3; an event gives a
server the next one. Requests, responses and digests are kept in pools: each may be delivered now, later,
twice or never. The client may wait 5 s (requests without a response have failed), or be frozen for 13 s with
all outstanding requests. Randomness is replaced by constants, so that equal states are recognised.

    python -m tests.sharded_directory.model [--depth N]
"""

from __future__ import annotations

import argparse
import pickle
import random
from collections.abc import Iterator, Sequence
from typing import Any

from message_relay.core.directory import EndpointDirectory
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    DRAINING,
    Digest,
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardRequest,
    ShardResponse,
)

from ..conftest import make_settings
from .common import load_list, row

BOUND_S = 12.0
WAIT_S, FREEZE_S = 5.0, 13.0
MAX_DELIVERIES = 2  # of one response or digest
MAX_POOLED_DIGESTS = 2  # of one server
A, B = 0, next(each for each in range(9) if shard_of(each, 2) != shard_of(0, 2))
ONE_ENDPOINT = {1: [row("x", A, 0, 1.0)], 2: [row("x", A, DRAINING, 2.0)], 3: [row("x", A, 0, 3.0, port=81)]}
MOVED = {1: [row("x", A, 0, 1.0)], 2: [row("x", B, 0, 2.0)], 3: [row("x", B, DRAINING, 3.0)]}
LATEST = 3

Action = tuple[Any, ...]


class ConstantRandom(random.Random):
    """Returns the middle of every range."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.number = number

    def __reduce__(self) -> Any:
        return ConstantRandom, (self.number,)  # not the generator's 2.5 KB

    def getrandbits(self, bits: int) -> int:
        return self.number

    def random(self) -> float:
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2


class Model:
    def __init__(self, rows: dict[int, list[Row]], shards: int, destinations: Sequence[int]) -> None:
        self.rows, self.destinations, self.now = rows, destinations, 100.0
        layout = Layout(shards, (1, 2))
        self.servers: dict[str, ShardServer] = {}
        self.learned = {name: {1: self.now} for name in ("n1", "n2")}
        self.failed_at = dict.fromkeys(("n1", "n2"), 0.0)
        for number, name in enumerate(self.learned):
            self.servers[name] = ShardServer(layout, 1, ConstantRandom(number))
            load_list(self.servers[name], rows[1], 1, self.now)
        self.client = ShardClient("n100", layout, ConstantRandom(9), idle_s=25.0)
        self.directory = EndpointDirectory(make_settings(), ("z",))
        self.requests: list[tuple[str, ShardRequest]] = []
        self.responses: list[
            tuple[int, str, ShardResponse | Overloaded | LayoutMismatch]
        ] = []  # (times delivered, server, ...)
        self.digests: list[tuple[int, str, Digest]] = []
        self.mark = 0  # the latest mark that the directory had
        self.violation = ""
        self.request_destinations()
        self.tick()

    def request_destinations(self) -> None:
        for destination in self.destinations:
            self.client.touch(self.now, destination)
            if not self.client.is_resident(destination):
                self.client.request(self.now, destination, self.now + 60.0)

    # -- events ----------------------------------------------------------------------------------------------

    def actions(self) -> Iterator[Action]:
        for name, server in self.servers.items():
            if server.version[1] < LATEST:
                yield "update_server", name
            if (
                sum(each[1] == name for each in self.digests) < MAX_POOLED_DIGESTS
                and server.subscribers.by_name
            ):
                yield "digest", name
            if self.client.scheduler.servers[name].outstanding is not None:
                yield "fail", name
        for index, _ in enumerate(self.requests):
            yield "request", index
        for index, (times, _, _) in enumerate(self.responses):
            if times < MAX_DELIVERIES:
                yield "response", index
        for index, (times, _, _) in enumerate(self.digests):
            if times < MAX_DELIVERIES:
                yield "deliver_digest", index
        yield ("wait",)
        yield ("freeze",)

    def do(self, action: Action) -> None:
        getattr(self, f"do_{action[0]}")(*action[1:])
        self.drain()
        self.check()  # before a tick: a process that resumes makes calls first
        self.tick()
        self.check()

    def do_update_server(self, name: str) -> None:
        server = self.servers[name]
        generation = server.version[1] + 1
        self.confirm()
        server.apply_changes(self.now, generation, self.rows[generation])
        self.learned[name][generation] = self.now

    def confirm(self) -> None:
        """Confirm the sources of the servers that are at the latest version."""
        latest = max(server.version for server in self.servers.values())
        for server in self.servers.values():
            if server.version == latest:
                server.confirm_source(self.now)

    def do_digest(self, name: str) -> None:
        self.confirm()
        server = self.servers[name]
        server.subscribers.digest_queue = [(self.now, slot) for _, slot in server.subscribers.digest_queue]
        self.now += 0.001  # so that digests of a server differ by their clock
        self.digests += [(0, name, digest) for _, digest in server.due_digests(self.now)]

    def do_deliver_digest(self, index: int) -> None:
        times, name, digest = self.digests[index]
        self.digests[index] = (times + 1, name, digest)
        self.client.on_digest(self.now, name, digest)

    def do_request(self, index: int) -> None:
        self.confirm()
        name, shard_request = self.requests.pop(index)
        self.responses.append((0, name, self.servers[name].handle_request(self.now, "n100", shard_request)))

    def do_response(self, index: int) -> None:
        times, name, message = self.responses[index]
        self.responses[index] = (times + 1, name, message)
        self.client.on_response(self.now, name, message)

    def do_fail(self, name: str) -> None:
        outstanding = self.client.scheduler.servers[name].outstanding
        assert outstanding is not None
        self.failed_at[name] = max(self.failed_at[name], outstanding.sent_at)
        self.client.on_request_failed(self.now, name)

    def do_wait(self) -> None:
        self.now += 1.0
        for name, server in self.client.scheduler.servers.items():
            if server.outstanding is not None:
                self.do_fail(name)
        self.now += WAIT_S - 1.0

    def do_freeze(self) -> None:
        self.now += FREEZE_S

    def tick(self) -> None:
        self.confirm()
        self.client.tick(self.now, lambda destination: False)
        self.drain()

    def drain(self) -> None:
        """Process the client's decisions, like the node after each event."""
        self.requests += self.client.outgoing
        self.client.outgoing.clear()
        self.client.missing_destinations.clear()
        for update in self.client.updates:
            for endpoint in update.endpoints:
                if int(endpoint.rate) < self.mark:
                    self.violation = self.violation or f"{endpoint} after mark {self.mark}"
                self.mark = max(self.mark, int(endpoint.rate))
            self.directory.apply(update)
        self.client.updates.clear()

    # -- invariants ------------------------------------------------------------------------------------------

    def check(self) -> None:
        for destination in self.destinations:
            if not self.client.is_resident(destination) or not self.client.is_current(self.now, destination):
                continue
            for known in self.directory.by_name.values():
                if known.endpoint.destination == destination and known.is_ready:
                    self.check_lateness(int(known.endpoint.rate) + 1)

    def check_lateness(self, replaced: int) -> None:
        for name, learned in self.learned.items():
            since = learned.get(replaced)
            if since is not None and self.now - max(since, self.failed_at[name]) > BOUND_S:
                self.violation = (
                    self.violation or f"a call {self.now - since:.1f} s after {name} had {replaced}"
                )

    def converge(self) -> str:
        """Deliver everything in order; return how directory and source differ, or an empty string."""
        for _ in range(8):
            for name in self.servers:
                while self.servers[name].version[1] < LATEST:
                    self.do_update_server(name)
                if self.client.scheduler.servers[name].outstanding is not None and name not in {
                    each for each, _ in self.requests
                }:
                    self.do_fail(name)
            self.request_destinations()
            self.tick()
            while self.requests:
                self.do_request(0)
                self.responses[-1] = (MAX_DELIVERIES, *self.responses[-1][1:])
                self.client.on_response(self.now, self.responses[-1][1], self.responses[-1][2])
                self.tick()
            self.check()
            self.now += 2.0
        actual = {
            (known.name, known.endpoint.destination, known.endpoint.rate)
            for known in self.directory.by_name.values()
        }
        expected = {
            (each.name, each.destination, each.rate)
            for each in self.rows[LATEST]
            if each.destination in self.destinations
        }
        if actual != expected:
            return f"directory has {actual}, source has {expected}"
        if not all(
            self.client.is_current(self.now, destination)
            for destination in self.destinations
            if self.client.is_resident(destination)
        ):
            return "not current"
        return self.violation

    def key(self) -> bytes:
        """Return a key that identifies the state, without counters."""
        client, cache = self.client, self.client.cache
        return pickle.dumps(
            (
                round(self.now, 3),
                [
                    (
                        server.version,
                        sorted(server.subscribers.by_name),
                        server.source_confirmed_at,
                        server.tokens_at,
                    )
                    for server in self.servers.values()
                ],
                self.learned,
                self.failed_at,
                self.mark,
                self.requests,
                sorted(map(repr, self.responses)),
                sorted(map(repr, self.digests)),
                [
                    (
                        shard,
                        cached.encoded_rows,
                        cached.version,
                        sorted(cached.last_used.items()),
                        sorted(cached.published),
                        cached.last_used_at,
                    )
                    for shard, cached in sorted(cache.resident.items())
                ],
                cache.common_version,
                cache.latest_version,
                sorted(cache.shard_by_name.items()),
                sorted(client.pending.by_shard),
                sorted(client.scheduler.shards_to_compare),
                [
                    (
                        server.outstanding and (server.outstanding.number, server.outstanding.sent_at),
                        server.paused_until,
                        server.is_failing,
                        server.lagging_until,
                        server.has_more,
                    )
                    for server in client.scheduler.servers.values()
                ],
                client.staleness.fact_versions,
                client.staleness.fact_times,
                sorted(client.staleness.last_contacts.items()),
                sorted((name, clock.offset) for name, clock in client.staleness.clocks.items()),
            )
        )


def explore(
    rows: dict[int, list[Row]],
    shards: int,
    destinations: Sequence[int],
    depth: int,
    before: Sequence[Action] = (),
    fair_every: int = 1,
) -> tuple[int, str]:
    """Explore every order of up to `depth` events after the events `before`.

    Returns the number of states, and the first violation with its path, or an empty string. Convergence of
    the client is checked from each `fair_every`th state.
    """
    first = Model(rows, shards, destinations)
    for action in before:
        first.do(action)
    level: list[tuple[bytes, tuple[Action, ...]]] = [(pickle.dumps(first, -1), ())]
    seen = {first.key()}
    for _ in range(depth):
        next_level = []
        for raw, path_before in level:
            for action in list(pickle.loads(raw).actions()):
                model: Model = pickle.loads(raw)
                model.do(action)
                path = (*path_before, action)
                if model.violation:
                    return len(seen), f"{model.violation}: {path}"
                key = model.key()
                if key in seen:
                    continue
                seen.add(key)
                after = pickle.dumps(model, -1)
                violation = model.converge() if len(seen) % fair_every == 0 else ""
                if violation:
                    return len(seen), f"after convergence: {violation}: {path}"
                next_level.append((after, path))
        level = next_level
    return len(seen), ""


RESIDENT: tuple[Action, ...] = (("request", 0), ("response", 0))  # the client has the shard as of version 1
STARTS: dict[str, tuple[dict[int, list[Row]], int, Sequence[int], tuple[Action, ...]]] = {
    "one shard, requested": (ONE_ENDPOINT, 1, (A,), ()),
    "one shard, resident": (ONE_ENDPOINT, 1, (A,), RESIDENT),
    "a move, requested": (MOVED, 2, (A, B), ()),
    "a move, resident": (MOVED, 2, (A, B), RESIDENT),
    "a move, one shard resident": (MOVED, 2, (A,), RESIDENT),
    "one shard, resident, one server ahead": (
        ONE_ENDPOINT,
        1,
        (A,),
        (*RESIDENT, ("update_server", "n1"), ("update_server", "n1")),
    ),
    "one shard, resident, the other ahead": (
        ONE_ENDPOINT,
        1,
        (A,),
        (*RESIDENT, ("update_server", "n2"), ("update_server", "n2")),
    ),
    "one shard, resident, one ahead and its digest delivered": (
        ONE_ENDPOINT,
        1,
        (A,),
        (
            *RESIDENT,
            ("update_server", "n1"),
            ("digest", "n1"),
            ("deliver_digest", 0),
            ("request", 0),
            ("response", 1),
        ),
    ),
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument("--fair-every", type=int, default=10)
    arguments = parser.parse_args()
    for name, (rows, shards, destinations, before) in STARTS.items():
        states, violation = explore(rows, shards, destinations, arguments.depth, before, arguments.fair_every)
        print(f"{name}, depth {arguments.depth}: {states} states, {violation or 'no violation'}", flush=True)


if __name__ == "__main__":
    main()
