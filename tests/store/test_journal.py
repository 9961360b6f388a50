"""The journal on a real directory: torn writes, damage, a full disk, the disk budget, and format 1."""

from __future__ import annotations

import os
from errno import ENOSPC
from pathlib import Path
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from message_relay.store.capacity import BLOCK_BYTES, MESSAGE_OBJECT_BYTES, max_disk_bytes
from message_relay.store.errors import JournalError, JournalFullError, UnsupportedFormatError
from message_relay.store.file_store import DirectoryFileStore
from message_relay.store.inspection import record_lines
from message_relay.store.journal import (
    HANDOVER_RETENTION_MS,
    MAX_ENDPOINT_NAME_CHARS,
    MAX_RETAINED_HANDOVERS,
    Journal,
)
from message_relay.store.record_format import CHECKSUM, HEADER, HEADER_BYTES, encode_frame, frame_size
from message_relay.store.records import (
    Attempt,
    FinalOutcomeRecord,
    JournalEntry,
    RecordType,
    encode_payload,
    encode_snapshot,
)

BUDGET_BYTES = 400_000


def entry(ident: str, body: bytes = b"body", due: float = 9000.0) -> JournalEntry:
    return JournalEntry(ident, "safe", "t", 7, None, 1000.0, due, "", body)


def filled_journal(folder: Path) -> Journal:
    journal = Journal(folder, BUDGET_BYTES)
    for n in range(3):
        journal.append_accepted(entry(f"m{n}"))
    journal.append_attempt(journal.entries["m1"], 1500.0, "s-1", 0)
    journal.append_final_outcome(journal.entries["m2"], "failed")
    return journal


def segments(folder: Path) -> list[Path]:
    return sorted(folder.glob("seg-*"))


def test_a_torn_write_loses_only_its_record(tmp_path: Path) -> None:
    filled_journal(tmp_path).close()
    (only,) = segments(tmp_path)
    complete_data = only.read_bytes()
    last = max(line.offset for line in record_lines(DirectoryFileStore(tmp_path)))
    for cut in range(last + 1, len(complete_data)):
        folder = tmp_path / str(cut)
        folder.mkdir()
        (folder / only.name).write_bytes(complete_data[:cut])
        journal = Journal(folder, BUDGET_BYTES)
        assert set(journal.entries) == {"m0", "m1", "m2"} and journal.entries["m2"].final_state == ""
        assert not journal.findings
        journal.append_final_outcome(journal.entries["m0"], "delivered")
        journal.close()
        again = Journal(folder, BUDGET_BYTES)
        assert (
            again.entries["m0"].final_state == "delivered"
            and again.entries["m1"].uncertain_attempt is not None
        )
        assert not again.findings
        again.close()


def test_damage_is_reported_once_then_repaired_and_quarantined(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    filled_journal(tmp_path).close()
    (only,) = segments(tmp_path)
    data, lost = (
        bytearray(only.read_bytes()),
        [line for line in record_lines(DirectoryFileStore(tmp_path)) if line.kind == "try"],
    )
    data[lost[0].offset + 24] ^= 4  # flips a bit of the payload
    only.write_bytes(data)
    journal = Journal(tmp_path, BUDGET_BYTES)
    assert "a record of kind 2 of message m1 cannot be read" in caplog.text
    assert (
        journal.entries["m1"].uncertain_attempt is not None
        and journal.entries["m0"].uncertain_attempt is None
    )
    assert journal.entries["m2"].final_state == "failed"
    journal.close()
    assert (tmp_path / f"aside-{only.name}").read_bytes() == data
    caplog.clear()
    again = Journal(tmp_path, BUDGET_BYTES)
    assert not again.findings and again.entries["m1"].uncertain_attempt is not None
    again.close()


def test_a_directory_of_a_newer_format_is_rejected_with_one_line(tmp_path: Path) -> None:
    filled_journal(tmp_path).close()
    (only,) = segments(tmp_path)
    data = bytearray(only.read_bytes())
    for at in (0, HEADER_BYTES // 2):
        data[at + 4] = 9
        data[at + HEADER.size : at + HEADER.size + 4] = CHECKSUM.pack(crc32(data[at : at + HEADER.size]))
    only.write_bytes(data)
    with pytest.raises(UnsupportedFormatError, match="its format is 9, and this program knows 2 at most"):
        Journal(tmp_path, BUDGET_BYTES)


def test_a_body_with_the_bytes_of_a_record_is_not_read_as_one(tmp_path: Path) -> None:
    """A client that knows the format must not be able to inject records that are read after damage."""
    fake = encode_frame(
        0, 3, RecordType.FINAL_OUTCOME, b"m0", encode_payload(FinalOutcomeRecord("delivered", 0.0))
    )
    journal = Journal(tmp_path, BUDGET_BYTES)
    for n in range(3):
        journal.append_accepted(entry(f"m{n}", fake * 5))
    journal.close()
    (only,) = segments(tmp_path)
    data = bytearray(only.read_bytes())
    offsets = [line.offset for line in record_lines(DirectoryFileStore(tmp_path)) if line.kind == "take"]
    data[offsets[1]] ^= 1  # the reader searches for the next frame within this body
    only.write_bytes(data)
    again = Journal(tmp_path, BUDGET_BYTES)
    assert (
        again.findings
        and again.entries["m0"].final_state == ""
        and again.entries["m1"].final_state == "failed"
    )
    again.close()


def test_a_partial_write_is_truncated(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal, write = filled_journal(tmp_path), os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda file, data: write(file, data[:20]))
        with pytest.raises(JournalError):
            journal.append_accepted(entry("lost"))
    assert "lost" not in journal.entries
    journal.append_accepted(entry("kept"))
    journal.close()
    again = Journal(tmp_path, BUDGET_BYTES)
    assert set(again.entries) == {"m0", "m1", "m2", "kept"} and not again.findings
    again.close()


def test_a_closed_journal_writes_nothing(tmp_path: Path) -> None:
    """Guards against a late write after close, when the descriptor may belong to a socket."""
    journal = filled_journal(tmp_path)
    journal.close()
    with open(tmp_path / "other", "wb"), pytest.raises(JournalError):
        journal.append_final_outcome(journal.entries["m0"], "failed")
    assert (tmp_path / "other").read_bytes() == b""


def folder_disk_bytes(folder: Path) -> int:
    return sum(-(-path.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES for path in folder.iterdir())


def test_the_directory_stays_within_its_budget_with_large_bodies(tmp_path: Path) -> None:
    journal, full = Journal(tmp_path, BUDGET_BYTES), 0
    for n in range(300):
        try:
            journal.append_accepted(entry(f"m{n}", b"x" * (65536 if n % 3 else 100)))
        except JournalFullError:
            full += 1
            pending = next(each for each in journal.entries.values() if not each.final_state)
            for _ in range(8):
                journal.append_attempt(pending, 1500.0, "s-1", 0)
                journal.append_outcome(pending, False)
            journal.append_final_outcome(pending, "failed")
            journal.append_notified([pending.id])
        assert folder_disk_bytes(tmp_path) == journal.disk_bytes <= BUDGET_BYTES
    assert full > 10 and journal.log.segments[0].number > 10
    open_ids = {ident for ident, each in journal.entries.items() if not each.final_state}
    journal.close()
    again = Journal(tmp_path, BUDGET_BYTES)
    assert {ident for ident, each in again.entries.items() if not each.final_state} == open_ids
    assert all(len(again.entries[ident].body) in (100, 65536) for ident in open_ids)
    again.close()


class FullDisk(DirectoryFileStore):
    """A disk that, while full, writes the first half of the data and fails."""

    is_full = False

    def append(self, name: str, data: bytes) -> None:
        if self.is_full:
            super().append(name, data[: len(data) // 2])
            raise OSError(ENOSPC, "No space left on device")
        super().append(name, data)


def test_a_disk_that_was_full_costs_no_space_afterwards(tmp_path: Path) -> None:
    """Guards against counting files of failed segment starts after their removal.

    While the disk was full, each new message tried to start a segment. The file left by a failed start was
    counted as used, 512 bytes each time, although the next start removes it. After some hundred rejected
    messages the journal considered its budget exhausted with 1 KB in the directory, even when the disk had
    space again, until the process was restarted.
    """
    disk = FullDisk(tmp_path)
    journal = Journal(tmp_path, BUDGET_BYTES, disk)
    journal.append_accepted(entry("m0"))
    disk.is_full = True
    for n in range(2 * BUDGET_BYTES // BLOCK_BYTES):
        with pytest.raises(JournalError):
            journal.append_accepted(entry(f"rejected{n}"))
    disk.is_full = False
    journal.append_accepted(entry("m1"))
    assert journal.disk_bytes == folder_disk_bytes(tmp_path)
    journal.close()


def test_a_full_directory_still_finishes_all_accepted_messages(tmp_path: Path) -> None:
    """For several body sizes, each message has the maximum number of attempts."""
    for size in (0, 300, 5000, 60000):
        folder = tmp_path / str(size)
        folder.mkdir()
        journal = Journal(folder, BUDGET_BYTES)
        with pytest.raises(JournalFullError):
            for n in range(1000):
                journal.append_accepted(entry(f"m{n}", b"x" * size))
        pending = list(journal.entries.values())
        assert len(pending) >= 3 and (size < 60000 or len(pending) * size > BUDGET_BYTES // 4)
        for _ in range(8):
            for pending_entry in pending:
                journal.append_attempt(pending_entry, 1500.0, "a-name-of-an-endpoint", 0)
                journal.append_outcome(pending_entry, True)
        for pending_entry in pending:
            journal.append_final_outcome(pending_entry, "failed")
        for pending_entry in pending:
            journal.append_notified([pending_entry.id])
        assert folder_disk_bytes(folder) == journal.disk_bytes <= BUDGET_BYTES and not journal.overdue
        journal.append_accepted(entry("more", b"x" * size))  # space is available again
        journal.close()


def test_pending_notifications_survive_compaction(tmp_path: Path) -> None:
    journal = Journal(tmp_path, BUDGET_BYTES)
    for n in range(20):
        journal.append_accepted(entry(f"owed{n}"))
        journal.append_final_outcome(journal.entries[f"owed{n}"], "returned", 25.0)
    for n in range(3000):
        accepted = entry(f"m{n}", b"x" * 400, due=9000.0 + n)
        journal.append_accepted(accepted)
        journal.append_final_outcome(accepted, "delivered")
        journal.compact(9000.0 + n)
    assert journal.log.segments[0].number > 10 and journal.copied_bytes < 0.5 * journal.written_bytes
    journal.close()
    again = Journal(tmp_path, BUDGET_BYTES)
    assert (
        sum(each.needs_notification and each.retry_after_ms == 25.0 for each in again.entries.values()) == 20
    )
    again.close()


def test_a_file_of_format_1_is_upgraded_once(tmp_path: Path) -> None:
    (tmp_path / "journal").write_bytes((Path(__file__).parent / "journal-1").read_bytes())
    (tmp_path / "journal.new").write_bytes(b"of a compaction that was cut off")
    journal = Journal(tmp_path, BUDGET_BYTES)
    entries = journal.entries
    assert [entries[f"m{n}"].final_state for n in range(6)] == ["", "", "", "failed", "returned", "delivered"]
    assert (
        entries["m1"].uncertain_attempt == Attempt(1500.0, "s-1", 0)
        and entries["m2"].attempt_count == 1
        and entries["m2"].uncertain_attempt is not None
    )
    assert entries["m4"].is_notified and entries["m0"].body == bytes(10) and entries["m2"].key == "k2"
    journal.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["seg-0000000001", "seg-0000000002"]
    again = Journal(tmp_path, BUDGET_BYTES)
    assert again.entries == entries
    again.close()


def test_a_corrupt_record_of_format_1_is_assumed_to_have_the_worst_content(tmp_path: Path) -> None:
    lines = (Path(__file__).parent / "journal-1").read_bytes().splitlines()
    lines[0] = lines[0].replace(b'"tenant":"t"', b'"tenant":"u"')
    (tmp_path / "journal").write_bytes(b"\n".join([*lines, b""]))
    journal = Journal(tmp_path, BUDGET_BYTES)
    assert journal.entries["m0"].final_state == "failed" and journal.entries["m0"].needs_notification
    assert journal.findings and not journal.entries["m2"].final_state
    journal.close()


def test_finished_messages_are_removed_after_their_deadline_and_notification(tmp_path: Path) -> None:
    journal = filled_journal(tmp_path)
    journal.append_final_outcome(journal.entries["m0"], "delivered")
    journal.compact(8000.0)
    assert set(journal.entries) == {"m0", "m1", "m2"}
    journal.compact(9001.0)
    assert set(journal.entries) == {"m1", "m2"}
    journal.append_notified(["m2"])
    journal.compact(9001.0)
    assert set(journal.entries) == {"m1"}


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["take", "try", "out", "ran", "end", "told", "drop", "compact"]),
            st.integers(0, 3),
        ),
        max_size=40,
    )
)
def test_recovery_reads_what_was_written(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int]]
) -> None:
    folder = tmp_path_factory.mktemp("state")
    journal = Journal(folder, BUDGET_BYTES)
    for step, n in steps:
        pending = journal.entries.get(f"m{n}")
        if step == "take" and pending is None:
            journal.append_accepted(entry(f"m{n}", bytes([n]) * n))
        elif step == "compact":
            journal.log.start_segment()
            journal.compactor.rewrite_all()
        elif pending is not None:
            if step == "try":
                journal.append_attempt(pending, 1500.0, "s-1", 1)
            elif step in ("out", "ran"):
                journal.append_outcome(pending, step == "ran")
            elif step == "end":
                journal.append_final_outcome(pending, "failed", 25.0)
            elif step == "told":
                journal.append_notified([pending.id])
            elif step == "drop":
                journal.append_cancelled(pending)
    for pending in journal.entries.values():  # an attempt in flight counts as one that may have run
        pending.uncertain_attempt, pending.attempt_in_flight = (
            pending.uncertain_attempt or pending.attempt_in_flight,
            None,
        )
    journal.close()
    again = Journal(folder, BUDGET_BYTES)
    assert again.entries == journal.entries and again.live_bytes == journal.live_bytes
    assert again.disk_bytes == folder_disk_bytes(folder)
    again.close()


def test_a_message_that_ends_during_an_attempt_is_accounted_in_full(tmp_path: Path) -> None:
    """The accounted size of a message must not grow with a restart, or the journal's upper bound is wrong.

    A message may finish during an attempt, because it is cancelled or its deadline passes. Its snapshot then
    still contains that attempt, which the accounted size once left out: 271 bytes before the restart and 298
    after, when the attempt had become the uncertain one. A full journal had thus promised space that it did
    not have.
    """
    journal = Journal(tmp_path, BUDGET_BYTES)
    journal.append_accepted(entry("m1"))
    journal.append_attempt(journal.entries["m1"], 1500.0, "s-1", 1)
    journal.append_final_outcome(journal.entries["m1"], "failed", 25.0)
    before = journal.live_bytes
    journal.close()
    again = Journal(tmp_path, BUDGET_BYTES)
    after = again.live_bytes
    again.close()
    assert after == before


ATTEMPTS = st.none() | st.builds(
    Attempt,
    st.integers(0, 2**45).map(float),
    st.sampled_from([0, 1, 32, MAX_ENDPOINT_NAME_CHARS]).map(lambda length: length * "s"),
    st.integers(-1, 2**20),
    st.integers(-1, 2**45).map(float),
)


def test_a_handover_is_known_after_restarts(tmp_path: Path) -> None:
    journal = Journal(tmp_path, BUDGET_BYTES)
    for ident in ("doubtful", "confirmed", "attempted"):
        message = entry(ident)
        message.awaits_handover = True
        journal.append_accepted(message)
    journal.append_handed_over(journal.entries["confirmed"])
    journal.append_attempt(journal.entries["attempted"], 1500.0, "s-1", 0)  # as if the record was lost
    for _ in range(2):  # the second time from copied snapshots
        awaiting = {ident for ident, message in journal.entries.items() if message.awaits_handover}
        assert awaiting == {"doubtful"}
        journal.compactor.rewrite_all()
        journal.close()
        journal = Journal(tmp_path, BUDGET_BYTES)
        assert not journal.findings
    journal.close()


def test_messages_without_a_handover_are_retained_within_bounds(tmp_path: Path) -> None:
    journal = Journal(tmp_path, BUDGET_BYTES)
    for n in range(MAX_RETAINED_HANDOVERS + 3):
        message = entry(f"m{n}")
        message.awaits_handover = True
        journal.append_accepted(message)
        journal.append_final_outcome(message, "failed")
        journal.append_notified([message.id])
    journal.compact(9000.0 + HANDOVER_RETENTION_MS - 1)
    assert len(journal.entries) == MAX_RETAINED_HANDOVERS and "m2" not in journal.entries
    journal.close()
    journal = Journal(tmp_path, BUDGET_BYTES)  # a restart may find those again that were only forgotten
    journal.compact(9000.0 + HANDOVER_RETENTION_MS - 1)
    assert len(journal.entries) == MAX_RETAINED_HANDOVERS
    journal.compact(9000.0 + HANDOVER_RETENTION_MS + 1)
    assert not journal.entries and not journal.retained_handovers and not journal.retained
    journal.close()


@given(
    st.sampled_from(["", "failed", "returned", "delivered"]),
    ATTEMPTS,
    ATTEMPTS,
    st.booleans(),
    st.booleans(),
)
def test_no_snapshot_is_larger_than_its_accounted_size(
    state: str, in_flight: Attempt | None, uncertain: Attempt | None, is_notified: bool, awaits_handover: bool
) -> None:
    message = entry("m1")
    message.final_state, message.is_notified = state, is_notified
    message.awaits_handover = awaits_handover
    message.attempt_in_flight, message.uncertain_attempt = in_flight, uncertain
    assert frame_size(len(message.id), len(encode_snapshot(message))) <= max_disk_bytes(message)


@given(st.lists(st.sampled_from(["ran", "not", "killed"]), min_size=1, max_size=6))
def test_the_first_uncertain_attempt_survives_any_number_of_restarts(
    tmp_path_factory: pytest.TempPathFactory, ends: list[str]
) -> None:
    """Each attempt ends with an outcome, or its process is killed. Failed for "killed, not, killed": after
    the second restart the message was considered one that had certainly not run, and a keyed one was sent to
    another zone."""
    folder = tmp_path_factory.mktemp("state")
    journal = Journal(folder, BUDGET_BYTES)
    journal.append_accepted(entry("m"))
    first: float | None = None
    for n, how in enumerate(ends):
        at = 1500.0 + n
        journal.append_attempt(journal.entries["m"], at, f"s-{n}", n)
        if how != "not" and first is None:
            first = at
        if how == "killed":
            journal.close()
            journal = Journal(folder, BUDGET_BYTES)
        else:
            journal.append_outcome(journal.entries["m"], how == "ran")
    journal.close()
    uncertain = Journal(folder, BUDGET_BYTES).entries["m"].uncertain_attempt
    assert (None if uncertain is None else uncertain.started_at_ms) == first


def test_a_flood_of_finished_messages_takes_no_more_than_its_memory(tmp_path: Path) -> None:
    """Small messages with deadlines far away took 11 MB in 25 s, and so did the next start."""
    limit = 100 * (MESSAGE_OBJECT_BYTES + 600)
    journal = Journal(tmp_path, 3_000_000, memory_bytes=limit)
    unfinished = entry("unfinished", due=1e15)
    journal.append_accepted(unfinished)
    for number in range(2000):
        message = entry(f"m{number}", due=1e15)
        journal.append_accepted(message)
        journal.append_final_outcome(message, "delivered")
        assert journal.memory_bytes <= limit + MESSAGE_OBJECT_BYTES
    assert "unfinished" in journal.entries and "m1999" in journal.entries and "m0" not in journal.entries
    assert len(journal.retained) <= 3 * len(journal.finished) + 64
    journal.close()
    again = Journal(tmp_path, 3_000_000, memory_bytes=limit)
    assert "unfinished" in again.entries and "m1999" in again.entries
    assert again.memory_bytes <= limit and len(again.entries) == len(again.finished) + 1
    again.close()


def test_no_message_is_accepted_beyond_the_memory_of_unfinished_ones(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 3_000_000, memory_bytes=20 * (MESSAGE_OBJECT_BYTES + 2600))
    for number in range(15):
        journal.append_accepted(entry(f"m{number}", due=1e15))
    with pytest.raises(JournalFullError):
        for number in range(15, 50):
            journal.append_accepted(entry(f"m{number}", due=1e15))
    assert 15 <= len(journal.entries) < 40
    journal.close()
