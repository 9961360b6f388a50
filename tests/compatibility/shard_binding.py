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
    return {"shards": layout.shards, "keepers": list(layout.keepers)}


def _shard_part(part: shard_wire.Part) -> Values:
    match part:
        case shard_wire.FullShard():
            return {"whole shard": part.shard, "rows": [row_values(row) for row in part.rows]}
        case shard_wire.Changes():
            return {"changed shard": part.shard, "rows": [row_values(row) for row in part.rows]}
        case _:
            return {"same shard": part.shard}


def shard_message_values(word: shard_wire.Word) -> Values:
    match word:
        case shard_wire.ShardRequest():
            return {
                "request": word.number,
                "layout": layout_values(word.layout),
                "version": list(word.version),
                "held shards": word.holds.hex(),
                "wanted": [[want.shard, want.due_ms] for want in word.wants],
                "sums": [list(pair) for pair in word.sums],
                "partly at": list(word.ahead),
                "part held": word.further.hex(),
            }
        case shard_wire.ShardResponse():
            return {
                "answer": word.number,
                "version": list(word.version),
                "parts": [_shard_part(part) for part in word.parts],
                "complete": word.complete,
                "history from": list(word.since),
                "source age ms": word.source_age_ms,
                "boot": word.boot,
                "clock ms": word.clock_ms,
                "reached": list(word.reached),
            }
        case shard_wire.Overloaded():
            return {"busy": word.number, "after ms": word.after_ms}
        case shard_wire.LayoutMismatch():
            return {
                "other layout": word.number,
                "layout": layout_values(word.layout),
                "loading": word.loading,
            }
        case _:
            return {
                "layout sum": word.layout_sum,
                "version": list(word.version),
                "sum of shard numbers": word.set_sum,
                "sum of rows": word.sum,
                "source age ms": word.source_age_ms,
                "boot": word.boot,
                "clock ms": word.clock_ms,
            }


def shard_sums(row: Any, layout: Any, name: str) -> dict[str, Any]:
    """Hashes and bitmaps on which two builds have to agree."""
    bits = shard_wire.packed_bits(0b1000_0000_0101, 16)
    return {
        "row": shard_wire.row_sum(msgspec.convert(row, shard_wire.Row)),
        "layout": shard_wire.layout_sum(msgspec.convert(layout, shard_wire.Layout)),
        "shard": shard_wire.shard_mark(4097),
        "name": shard_table.name_mark(name),
        "shard of destination": rendezvous_hash.shard_of(123456, 8192),
        "keepers in order": rendezvous_hash.ranked("n7", ["n0", "n1", "n2", "n3"]),
        "bitmap": shard_wire.read_bits(bits, 16),
        "listing numbers": {each.value: number for number, each in enumerate(shard_wire.LISTINGS)},
    }
