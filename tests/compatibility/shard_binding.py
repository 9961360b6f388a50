"""Plain values of the messages between shard clients and shard servers.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

from __future__ import annotations

from typing import Any

import msgspec

from message_relay.sharded_directory import rendezvous_hash, shard_table
from message_relay.sharded_directory import wire as shard_wire

Values = dict[str, Any]


def row_values(row: shard_wire.Row) -> Values:
    return {
        "name": row.name,
        "destination": row.destination,
        "listing number": row.listing,
        "host": row.host,
        "port": row.port,
        "kind": row.kind,
        "zone": row.zone,
        "rate": row.rate,
    }


def layout_values(layout: shard_wire.Layout) -> Values:
    return {"shards": layout.shard_count, "keepers": list(layout.servers)}


def _shard_part(part: shard_wire.ResponsePart) -> Values:
    match part:
        case shard_wire.FullShard():
            return {"whole shard": part.shard, "rows": [row_values(row) for row in part.rows]}
        case shard_wire.ShardChanges():
            return {"changed shard": part.shard, "rows": [row_values(row) for row in part.rows]}
        case _:
            return {"same shard": part.shard}


def shard_message_values(message: shard_wire.DirectoryMessage) -> Values:
    match message:
        case shard_wire.ShardRequest():
            return {
                "request": message.number,
                "layout": layout_values(message.layout),
                "version": list(message.version),
                "held shards": message.resident_shards.hex(),
                "wanted": [
                    [requested.shard, requested.time_left_ms] for requested in message.requested_shards
                ],
                "sums": [list(pair) for pair in message.checksums],
                "partly at": list(message.ahead_version),
                "part held": message.ahead_shards.hex(),
            }
        case shard_wire.ShardResponse():
            return {
                "answer": message.number,
                "version": list(message.version),
                "parts": [_shard_part(part) for part in message.parts],
                "complete": message.is_complete,
                "history from": list(message.history_start),
                "source age ms": message.source_age_ms,
                "boot": message.process_epoch,
                "clock ms": message.clock_ms,
                "reached": list(message.reached_version),
            }
        case shard_wire.Overloaded():
            return {"busy": message.number, "after ms": message.retry_after_ms}
        case shard_wire.LayoutMismatch():
            return {
                "other layout": message.number,
                "layout": layout_values(message.layout),
                "loading": message.is_loading,
            }
        case _:
            return {
                "layout sum": message.layout_checksum,
                "version": list(message.version),
                "sum of shard numbers": message.shard_set_checksum,
                "sum of rows": message.rows_checksum,
                "source age ms": message.source_age_ms,
                "boot": message.process_epoch,
                "clock ms": message.clock_ms,
            }


def shard_hashes(row: Any, layout: Any, name: str) -> dict[str, Any]:
    """Returns hashes and bitmaps that must be the same in all builds."""
    bits = shard_wire.pack_shard_set(0b1000_0000_0101, 16)
    return {
        "row": shard_wire.row_checksum(msgspec.convert(row, shard_wire.Row)),
        "layout": shard_wire.layout_checksum(msgspec.convert(layout, shard_wire.Layout)),
        "shard": shard_wire.shard_number_hash(4097),
        "name": shard_table.name_hash(name),
        "shard of destination": rendezvous_hash.shard_of(123456, 8192),
        "keepers in order": rendezvous_hash.rank_servers("n7", ["n0", "n1", "n2", "n3"]),
        "bitmap": shard_wire.unpack_shard_set(bits, 16),
        "listing numbers": {listing.value: number for number, listing in enumerate(shard_wire.LISTINGS)},
    }
