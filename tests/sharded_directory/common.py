"""Helpers for the tests of the sharded directory."""

from __future__ import annotations

import random
from collections.abc import Iterable

from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.shard_server import ShardServer
from message_relay.sharded_directory.wire import (
    CHECKSUM_MASK,
    GONE,
    NO_VERSION,
    FullShard,
    Layout,
    RequestedShard,
    Row,
    ShardChanges,
    ShardRequest,
    ShardResponse,
    Version,
    pack_shard_set,
    row_checksum,
)


def row(name: str, destination: int, listing: int = 0, mark: float = 0.0, port: int = 80) -> Row:
    """Build a row; `mark` becomes its rate, and identifies the change that made it."""
    return Row(name, destination, listing, "host", port, None, "z", mark)


def loaded_server(
    layout: Layout, rows: Iterable[Row], generation: int = 1, now: float = 0.0, seed: int = 1
) -> ShardServer:
    server = ShardServer(layout, 1, random.Random(seed))
    assert load_list(server, rows, generation, now)
    return server


def load_list(
    server: ShardServer, rows: Iterable[Row], generation: int, now: float = 0.0, epoch: int = 1
) -> bool:
    staged = server.start_list(now, (epoch, generation))
    staged.add(rows)
    if not staged.seal(now):
        return False
    while not staged.step():
        pass
    return staged.is_committed


def shard_request(
    layout: Layout,
    version: Version = NO_VERSION,
    resident: Iterable[int] = (),
    requested: Iterable[int] = (),
    checksums: Iterable[tuple[int, int]] = (),
    time_left_ms: float = 1000.0,
    number: int = 1,
) -> ShardRequest:
    bits = pack_shard_set(sum(1 << shard for shard in set(resident)), layout.shard_count)
    return ShardRequest(
        number,
        layout,
        version,
        bits,
        tuple(RequestedShard(shard, time_left_ms) for shard in requested),
        tuple(checksums),
    )


def respond(
    server: ShardServer, request: ShardRequest, now: float = 1000.0, client: str = "n100"
) -> ShardResponse:
    response = server.handle_request(now, client, request)
    assert isinstance(response, ShardResponse), response
    return response


def by_shard(rows: dict[str, Row], shards: int) -> list[dict[str, Row]]:
    tables: list[dict[str, Row]] = [{} for _ in range(shards)]
    for each in rows.values():
        tables[shard_of(each.destination, shards)][each.name] = each
    return tables


def checksum_of(rows: Iterable[Row]) -> int:
    return sum(map(row_checksum, rows)) & CHECKSUM_MASK


def apply_response(shards: dict[int, dict[str, Row]], response: ShardResponse) -> None:
    """Apply a response to a plain dict of shards."""
    for part in response.parts:
        if isinstance(part, FullShard):
            shards[part.shard] = {each.name: each for each in part.rows}
        elif isinstance(part, ShardChanges):
            for each in part.rows:
                shards[part.shard].pop(each.name, None)
                if each.listing != GONE:
                    shards[part.shard][each.name] = each
