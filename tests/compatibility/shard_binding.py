"""The product's names for what readers and keepers of shards say to each other."""

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


def shard_message_values(word: shard_wire.DirectoryMessage) -> Values:
    match word:
        case shard_wire.ShardRequest():
            return {
                "request": word.number,
                "layout": layout_values(word.layout),
                "version": list(word.version),
                "held shards": word.resident_shards.hex(),
                "wanted": [[want.shard, want.time_left_ms] for want in word.requested_shards],
                "sums": [list(pair) for pair in word.checksums],
                "partly at": list(word.ahead_version),
                "part held": word.ahead_shards.hex(),
            }
        case shard_wire.ShardResponse():
            return {
                "answer": word.number,
                "version": list(word.version),
                "parts": [_shard_part(part) for part in word.parts],
                "complete": word.is_complete,
                "history from": list(word.history_start),
                "source age ms": word.source_age_ms,
                "boot": word.process_epoch,
                "clock ms": word.clock_ms,
                "reached": list(word.reached_version),
            }
        case shard_wire.Overloaded():
            return {"busy": word.number, "after ms": word.retry_after_ms}
        case shard_wire.LayoutMismatch():
            return {
                "other layout": word.number,
                "layout": layout_values(word.layout),
                "loading": word.is_loading,
            }
        case _:
            return {
                "layout sum": word.layout_checksum,
                "version": list(word.version),
                "sum of shard numbers": word.shard_set_checksum,
                "sum of rows": word.rows_checksum,
                "source age ms": word.source_age_ms,
                "boot": word.process_epoch,
                "clock ms": word.clock_ms,
            }


def shard_sums(row: Any, layout: Any, name: str) -> dict[str, Any]:
    """Hashes and bitmaps on which two builds have to agree."""
    bits = shard_wire.pack_shard_set(0b1000_0000_0101, 16)
    return {
        "row": shard_wire.row_checksum(msgspec.convert(row, shard_wire.Row)),
        "layout": shard_wire.layout_checksum(msgspec.convert(layout, shard_wire.Layout)),
        "shard": shard_wire.shard_number_hash(4097),
        "name": shard_table.name_hash(name),
        "shard of destination": rendezvous_hash.shard_of(123456, 8192),
        "keepers in order": rendezvous_hash.rank_servers("n7", ["n0", "n1", "n2", "n3"]),
        "bitmap": shard_wire.unpack_shard_set(bits, 16),
        "listing numbers": {each.value: number for number, each in enumerate(shard_wire.LISTINGS)},
    }
