"""Files of a voter's log: damage is detected, and state is synced before a message refers to it."""

from __future__ import annotations

import asyncio
import functools
import pickle
from pathlib import Path
from typing import Any, cast

import pytest
from pysyncobj.journal import FileJournal

from message_relay.consensus.raft_storage import (
    JOURNAL,
    META,
    RaftStorage,
    TornWriteError,
    parse_journal,
    remove_log,
    verified_payload,
    verify_log,
    with_checksum,
)
from message_relay.consensus.replicated_log import ReplicatedLog
from message_relay.consensus.rules import Rules
from message_relay.consensus.version_history import VersionHistory
from message_relay.gossip.node import GossipNode

VOTERS = ("n0", "n1", "n2")


def write_journal(folder: Path) -> FileJournal:
    journal = FileJournal(str(folder / JOURNAL))
    for number, term in ((1, 0), (2, 1), (3, 1), (4, 3)):
        journal.add(b"\0" + with_checksum(b"command %d" % number), number, term)
    journal.setCurrentTerm(3, "n1")
    journal._destroy()
    return journal


def test_journal_of_the_library_is_valid_and_its_commands_have_checksums(tmp_path: Path) -> None:
    verify_log(tmp_path)  # there are no files yet
    write_journal(tmp_path)
    verify_log(tmp_path)
    records = parse_journal((tmp_path / JOURNAL).read_bytes())
    assert [(number, term) for number, term, _ in records] == [(1, 0), (2, 1), (3, 1), (4, 3)]
    assert verified_payload(records[2][2][1:]) == b"command 3"
    remove_log(tmp_path)
    assert not list(tmp_path.iterdir())


def test_truncated_and_corrupted_journals_are_detected(tmp_path: Path) -> None:
    write_journal(tmp_path)
    valid = (tmp_path / JOURNAL).read_bytes()
    end = int.from_bytes(valid[36:40], "little")
    for length in range(end):
        with pytest.raises(TornWriteError):
            parse_journal(valid[:length])
    valid_records = parse_journal(valid)
    undetected = 0
    for at in (*range(9), *range(32, end)):  # except the library's version and the padding of the name
        for flip in (0x01, 0x80, 0xFF):
            raw = bytearray(valid)
            raw[at] ^= flip
            (tmp_path / JOURNAL).write_bytes(raw)
            try:
                verify_log(tmp_path)
            except TornWriteError:
                continue
            records = parse_journal(bytes(raw))
            for expected, record in zip(valid_records, records, strict=True):
                if expected[2][1:] != record[2][1:]:
                    with pytest.raises(TornWriteError):
                        verified_payload(record[2][1:])
                elif expected != record:
                    undetected += 1  # a term by less than a step, the kind of an entry, the first number
    assert undetected < 0.04 * 3 * end


@pytest.mark.parametrize("raw", [b"", b"\x80", pickle.dumps([1]), pickle.dumps({"currentTerm": "x"})])
def test_unreadable_vote_is_not_treated_as_a_missing_one(tmp_path: Path, raw: bytes) -> None:
    write_journal(tmp_path)
    (tmp_path / META).write_bytes(raw)
    with pytest.raises(TornWriteError, match="its vote can't be read"):
        verify_log(tmp_path)
    (tmp_path / META).unlink()
    with pytest.raises(TornWriteError, match="of term 0 and its journal of term 3"):
        verify_log(tmp_path)


class UnreachableGossip:
    """A gossip node that can reach no peer."""

    def __init__(self) -> None:
        self.frame_handlers: dict[str, Any] = {}

    def address_of(self, name: str) -> None:
        return None

    class rng:
        uniform = staticmethod(lambda a, b: a)


def open_log(folder: Path, recorded: list[str]) -> ReplicatedLog:
    def record_send(event: str, raw: bytes) -> bool:
        recorded.append(event)
        return True

    gossip = cast(GossipNode, UnreachableGossip())
    history = VersionHistory(Rules(), VOTERS)
    log = ReplicatedLog(folder, gossip, "n0", ["n1", "n2"], history, lambda: None)
    for name, stream in log.transport.streams.items():
        stream.is_connected = True
        log.transport._on_connection_changed(name, True)
        stream.send = functools.partial(record_send, f"says to {name}")  # type: ignore[method-assign]
    sync = log.storage.sync

    def record_sync() -> None:
        recorded.append("syncs")
        sync()

    log.storage.sync = record_sync  # type: ignore[method-assign]
    return log


def test_vote_is_synced_before_it_is_sent_and_a_disk_failure_sends_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        recorded: list[str] = []
        log = open_log(tmp_path, recorded)
        running = asyncio.ensure_future(log.run())
        async with asyncio.timeout(10.0):
            while "says to n2" not in recorded:
                await asyncio.sleep(0.01)
        assert recorded[0] == "syncs" and pickle.loads((tmp_path / META).read_bytes())["currentTerm"] >= 1
        assert not log.storage.has_unsynced_writes()
        before = len(recorded)
        (tmp_path / (META + ".tmp")).mkdir()  # from now on no vote can be written
        async with asyncio.timeout(10.0):
            with pytest.raises(OSError):
                await running
        assert "says" not in "".join(recorded[before:])
        await log.close()

    asyncio.run(scenario())


def test_written_entry_is_noticed_also_when_it_replaces_another(
    tmp_path: Path,
) -> None:
    journal = FileJournal(str(tmp_path / JOURNAL))
    storage = RaftStorage(tmp_path)
    assert storage.has_unsynced_writes()
    storage.sync()
    for number, term in ((1, 0), (2, 1)):
        journal.add(b"\0" * 9, number, term)
        assert storage.has_unsynced_writes()
        storage.sync()
        assert not storage.has_unsynced_writes()
    journal.deleteEntriesFrom(1)
    journal.add(b"\0" * 9, 2, 2)  # another term at the same offset, with the same length
    assert storage.has_unsynced_writes()
