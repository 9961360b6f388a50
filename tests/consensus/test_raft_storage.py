"""What lies on a voter's disk: damage is told and not voted by; a word goes out after what it speaks of."""

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
    verify_log(tmp_path)  # nothing lies there yet
    write_journal(tmp_path)
    verify_log(tmp_path)
    told = parse_journal((tmp_path / JOURNAL).read_bytes())
    assert [(number, term) for number, term, _ in told] == [(1, 0), (2, 1), (3, 1), (4, 3)]
    assert verified_payload(told[2][2][1:]) == b"command 3"
    remove_log(tmp_path)
    assert not list(tmp_path.iterdir())


def test_truncated_and_corrupted_journals_are_detected(tmp_path: Path) -> None:
    write_journal(tmp_path)
    whole = (tmp_path / JOURNAL).read_bytes()
    last = int.from_bytes(whole[36:40], "little")
    for length in range(last):
        with pytest.raises(TornWriteError):
            parse_journal(whole[:length])
    good = parse_journal(whole)
    silent = 0
    for at in (*range(9), *range(32, last)):  # but for the library's version and the name's padding
        for flip in (0x01, 0x80, 0xFF):
            raw = bytearray(whole)
            raw[at] ^= flip
            (tmp_path / JOURNAL).write_bytes(raw)
            try:
                verify_log(tmp_path)
            except TornWriteError:
                continue
            told = parse_journal(bytes(raw))
            for one, other in zip(good, told, strict=True):
                if one[2][1:] != other[2][1:]:
                    with pytest.raises(TornWriteError):
                        verified_payload(other[2][1:])
                elif one != other:
                    silent += 1  # a term by less than a step, the kind of an entry, the first one's number
    assert silent < 0.04 * 3 * last


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
    """A peers' node that nobody can be reached by."""

    def __init__(self) -> None:
        self.frame_handlers: dict[str, Any] = {}

    def address_of(self, name: str) -> None:
        return None

    class rng:
        uniform = staticmethod(lambda a, b: a)


def open_log(folder: Path, did: list[str]) -> ReplicatedLog:
    def say(what: str, raw: bytes) -> bool:
        did.append(what)
        return True

    gossip = cast(GossipNode, UnreachableGossip())
    history = VersionHistory(Rules(), VOTERS)
    log = ReplicatedLog(folder, gossip, "n0", ["n1", "n2"], history, lambda: None)
    for name, stream in log.transport.streams.items():
        stream.is_connected = True
        log.transport._on_connection_changed(name, True)
        stream.send = functools.partial(say, f"says to {name}")  # type: ignore[method-assign]
    sync = log.storage.sync

    def synced() -> None:
        did.append("syncs")
        sync()

    log.storage.sync = synced  # type: ignore[method-assign]
    return log


def test_vote_is_synced_before_it_is_sent_and_a_disk_failure_sends_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        did: list[str] = []
        log = open_log(tmp_path, did)
        running = asyncio.ensure_future(log.run())
        async with asyncio.timeout(10.0):
            while "says to n2" not in did:
                await asyncio.sleep(0.01)
        assert did[0] == "syncs" and pickle.loads((tmp_path / META).read_bytes())["currentTerm"] >= 1
        assert not log.storage.has_unsynced_writes()
        before = len(did)
        (tmp_path / (META + ".tmp")).mkdir()  # from now on a vote can't be written
        async with asyncio.timeout(10.0):
            with pytest.raises(OSError):
                await running
        assert "says" not in "".join(did[before:])
        await log.close()

    asyncio.run(work())


def test_written_entry_is_noticed_also_when_it_replaces_another(
    tmp_path: Path,
) -> None:
    journal = FileJournal(str(tmp_path / JOURNAL))
    disk = RaftStorage(tmp_path)
    assert disk.has_unsynced_writes()
    disk.sync()
    for number, term in ((1, 0), (2, 1)):
        journal.add(b"\0" * 9, number, term)
        assert disk.has_unsynced_writes()
        disk.sync()
        assert not disk.has_unsynced_writes()
    journal.deleteEntriesFrom(1)
    journal.add(b"\0" * 9, 2, 2)  # of another term, at the same place and as long
    assert disk.has_unsynced_writes()
