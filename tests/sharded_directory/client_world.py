"""Simulation for tests: a shard client with its servers and directory; requests get responses at once."""

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
from .common import loaded_server

LAYOUT = Layout(4, (1, 2, 3))


ONE_SHARD = Layout(1, (1, 2, 3))


FIRST, SECOND, THIRD = rank_servers("n100", ("n1", "n2", "n3"))


class ClientWorld:
    """A client, servers and the directory; requests get responses at once unless a test intervenes."""

    def __init__(self, rows: list[Row], layout: Layout = LAYOUT, now: float = 100.0, **more: Any) -> None:
        self.layout, self.now = layout, now
        self.servers = {
            f"n{number}": loaded_server(layout, rows, now=now, seed=number) for number in layout.servers
        }
        self.client = ShardClient("n100", layout, random.Random(1), **more)
        self.directory = EndpointDirectory(make_settings(), ("z",))
        self.updates: list[EndpointUpdate] = []
        self.missing: list[int] = []
        self.in_use: set[int] = set()
        self.down: set[str] = set()
        self.served: list[tuple[str, ShardRequest]] = []
        self.lagging: set[str] = set()  # servers whose source is silent

    def apply_changes(
        self, generation: int, rows: list[Row], listings: list[tuple[str, int]] | None = None, *names: str
    ) -> None:
        for name in names or self.servers:
            assert self.servers[name].apply_changes(self.now, generation, rows, listings or [])

    def apply(self) -> None:
        self.updates += self.client.updates
        for update in self.client.updates:
            self.directory.apply(update)
        self.client.updates.clear()
        self.missing += self.client.missing_destinations
        self.client.missing_destinations.clear()

    def tick(self) -> list[tuple[str, ShardRequest]]:
        """Run a tick; return its requests for the caller to serve."""
        self.client.tick(self.now, self.in_use.__contains__)
        self.apply()
        requests: list[tuple[str, ShardRequest]] = list(self.client.outgoing)
        self.client.outgoing.clear()
        return requests

    def serve(self, requests: list[tuple[str, ShardRequest]]) -> None:
        for name, request in requests:
            self.served.append((name, request))
            if name in self.down:
                self.client.on_request_failed(self.now, name)
            else:
                decoded = decode_message(encode_message(request))
                assert isinstance(decoded, ShardRequest)
                message = decode_message(
                    encode_message(self.servers[name].handle_request(self.now, "n100", decoded))
                )
                assert isinstance(message, ShardResponse | Overloaded | LayoutMismatch)
                self.client.on_response(self.now, name, message)
            self.apply()

    def settle(self, seconds: float = 0.0, step: float = 0.1, digests: bool = True) -> None:
        end = self.now + seconds
        while True:
            for _ in range(20):
                requests = self.tick()
                if not requests:
                    break
                self.serve(requests)
            if self.now >= end:
                return
            self.now = min(end, self.now + step)
            for name, server in self.servers.items():
                if name not in self.lagging:
                    server.confirm_source(self.now)
                if name not in self.down and digests:
                    for _, digest in server.due_digests(self.now):
                        self.client.on_digest(self.now, name, digest)
                        self.apply()

    def request_destinations(self, *destinations: int, due: float = 10.0) -> None:
        for destination in destinations:
            self.client.request(self.now, destination, self.now + due)
        self.apply()

    def endpoint(self, name: str) -> Any:
        known = self.directory.by_name.get(name)
        return None if known is None else known.endpoint


def in_shard(shard: int, count: int, shards: int = 4) -> list[int]:
    return [destination for destination in range(1_000) if shard_of(destination, shards) == shard][:count]


def response_to(
    request: tuple[str, ShardRequest],
    version: tuple[int, int],
    parts: Any = (),
    complete: bool = True,
    now: float = 0.0,
) -> ShardResponse:
    """Build the response of a server that ignores the requested shards."""
    return ShardResponse(request[1].number, version, tuple(parts), complete, (1, 0), 0.0, 1, now * 1e3)


def respond_in_part(world: ClientWorld, version: tuple[int, int], *parts: Any) -> None:
    """Respond to the next request with these parts, as an incomplete response."""
    request = world.tick()[0]
    world.client.on_response(world.now, request[0], response_to(request, version, parts, False, world.now))
    world.apply()
    world.now += 0.6
