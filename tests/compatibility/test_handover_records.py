"""The records of messages that await their handover: a last field of the snapshot, and kind 8."""

from __future__ import annotations

from pathlib import Path

import msgspec

from . import state_binding as product

ACCEPTED, HANDED_OVER = 1, 8
SNAPSHOT = ["unsafe", "t", 7, None, 1000, 9000, "", 0, None, None, "", 0.0, False, "http", b"body"]
SEGMENT = "seg-0000000001"


def awaiting(folder: Path) -> dict[str, bool]:
    """Returns whether each message that a start would recover awaits its handover."""
    recovered = product.read_journal(folder)
    assert not recovered["damage"]
    return {each["message"]: "awaits_handover" in each for each in recovered["messages"]}


def test_stored_handover_records_are_read(tmp_path: Path) -> None:
    pack = msgspec.msgpack.encode
    records = [
        (ACCEPTED, "doubtful", pack([*SNAPSHOT, True])),
        (ACCEPTED, "confirmed", pack([*SNAPSHOT, True])),
        (ACCEPTED, "other", pack(SNAPSHOT)),
        (HANDED_OVER, "confirmed", b""),
    ]
    (tmp_path / SEGMENT).write_bytes(product.segment_bytes(1, 1, 5, records))
    assert awaiting(tmp_path) == {"doubtful": True, "confirmed": False, "other": False}


def test_handover_records_are_written_as_stored(tmp_path: Path) -> None:
    steps = [["await handover", "m1"], ["handed over", "m1"], ["await handover", "m2"]]
    product.run_journal(tmp_path, 400_000, True, steps)
    assert awaiting(tmp_path) == {"m1": False, "m2": True}
    kinds = [record["kind"] for record in product.journal_records(tmp_path)]
    assert kinds == ["census", "take", "acked", "take"]
    assert msgspec.msgpack.encode([*SNAPSHOT, True]) in (tmp_path / SEGMENT).read_bytes()
