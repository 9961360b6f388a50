"""The journal file: what a kill, a bad disk or a full one may do to it."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.store.journal import BLOCK, Entry, Journal, JournalError, JournalFull

DISK = 400_000


def entry(ident: str, body: bytes = b"body", due: float = 9000.0) -> Entry:
    return Entry(ident, "safe", "t", 7, None, 1000.0, due, "", body)


def fill(folder: Path) -> Journal:
    journal = Journal(folder, DISK)
    for n in range(3):
        journal.take(entry(f"m{n}"))
    journal.tried(journal.entries["m1"], 1500.0, "s-1", 0)
    journal.ended(journal.entries["m2"], "failed")
    return journal


def test_a_torn_tail_loses_only_the_torn_record(tmp_path: Path) -> None:
    fill(tmp_path).close()
    whole = (tmp_path / "journal").read_bytes()
    last = whole[:-1].rfind(b"\n") + 1
    for cut in range(last, len(whole)):
        (tmp_path / "journal").write_bytes(whole[:cut])
        journal = Journal(tmp_path, DISK)
        assert set(journal.entries) == {"m0", "m1", "m2"} and journal.entries["m2"].end == ""
        journal.ended(journal.entries["m0"], "delivered")  # what is written next is whole again
        journal.close()
        again = Journal(tmp_path, DISK)
        assert again.entries["m0"].end == "delivered" and again.entries["m1"].risk is not None
        again.close()


@pytest.mark.parametrize("junk", [b"\x00\xff junk", b"00000000 {}", b"", b"zz"])
def test_a_corrupt_record_is_reported_and_passed_over(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, junk: bytes
) -> None:
    fill(tmp_path).close()
    lines = (tmp_path / "journal").read_bytes().splitlines()
    (tmp_path / "journal").write_bytes(b"\n".join([lines[0], junk, *lines[2:], b""]))
    for _ in range(2):  # and not a reason to fail at every start
        caplog.clear()
        journal = Journal(tmp_path, DISK)
        assert "m0" in journal.entries and journal.entries["m2"].end == "failed"
        assert "a record cannot be used number=2" in caplog.text
        journal.close()


def test_a_short_write_is_taken_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal, write = fill(tmp_path), os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda file, data: write(file, data[:20]))
        with pytest.raises(JournalError):
            journal.take(entry("lost"))
    assert "lost" not in journal.entries
    journal.take(entry("kept"))
    journal.close()
    assert set(Journal(tmp_path, DISK).entries) == {"m0", "m1", "m2", "kept"}


def test_a_closed_journal_writes_nothing(tmp_path: Path) -> None:
    """Guards the end of the process: its descriptor's number may be a socket's by then."""
    journal = fill(tmp_path)
    journal.close()
    with open(tmp_path / "other", "wb"), pytest.raises(JournalError):
        journal.ended(journal.entries["m0"], "failed")
    assert (tmp_path / "other").read_bytes() == b""


def disk(folder: Path) -> int:
    return sum(-(-path.stat().st_size // BLOCK) * BLOCK for path in folder.iterdir())


def test_the_folder_stays_under_its_limit_with_old_new_and_large_bodies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, rename, seen, full = Journal(tmp_path, DISK), os.rename, [0], 0

    def counted(old: Any, new: Any) -> None:
        seen.append(disk(tmp_path))  # old and new lie side by side
        rename(old, new)

    monkeypatch.setattr(os, "rename", counted)
    for n in range(300):
        try:
            journal.take(entry(f"m{n}", b"x" * (65536 if n % 3 else 100)))
        except JournalFull:
            full += 1
            held = next(each for each in journal.entries.values() if not each.end)
            for _ in range(8):
                journal.tried(held, 1500.0, "s-1", 0)
                journal.outcome(held, False)
            journal.ended(held, "failed")
            journal.told([held.id])
        assert disk(tmp_path) <= DISK
    assert full > 10 and len(seen) > 5 and max(seen) <= DISK
    held_now = {ident for ident, each in journal.entries.items() if not each.end}
    journal.close()
    again = Journal(tmp_path, DISK)
    assert {ident for ident, each in again.entries.items() if not each.end} == held_now
    assert all(len(again.entries[ident].body) in (100, 65536) for ident in held_now)


def test_a_kill_before_the_rename_leaves_the_old_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Killed(BaseException):
        pass

    def killed(*_: object) -> None:
        raise Killed

    journal = fill(tmp_path)
    monkeypatch.setattr(os, "rename", killed)
    with pytest.raises(Killed):
        journal._compact()
    assert (tmp_path / "journal.new").exists()
    assert set(Journal(tmp_path, DISK).entries) == {"m0", "m1", "m2"}
    assert not (tmp_path / "journal.new").exists()


def test_the_ended_are_forgotten_when_their_time_is_up_and_not_before_their_notice(tmp_path: Path) -> None:
    journal = fill(tmp_path)
    journal.ended(journal.entries["m0"], "delivered")
    journal.tidy(8000.0)
    assert set(journal.entries) == {"m0", "m1", "m2"}
    journal.tidy(9001.0)
    assert set(journal.entries) == {"m1", "m2"}
    journal.told(["m2"])
    journal.tidy(9001.0)
    assert set(journal.entries) == {"m1"}


@given(st.lists(st.tuples(st.sampled_from(["take", "try", "out", "ran", "end", "told", "drop", "compact"]),
                          st.integers(0, 3)), max_size=40))
def test_what_is_read_back_is_what_was_written(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, int]]
) -> None:
    folder = tmp_path_factory.mktemp("state")
    journal = Journal(folder, DISK)
    for step, n in steps:
        held = journal.entries.get(f"m{n}")
        if step == "take" and held is None:
            journal.take(entry(f"m{n}", bytes([n]) * n))
        elif step == "compact":
            journal._compact()
        elif held is not None:
            if step == "try":
                journal.tried(held, 1500.0, "s-1", 1)
            elif step in ("out", "ran"):
                journal.outcome(held, step == "ran")
            elif step == "end":
                journal.ended(held, "failed", 25.0)
            elif step == "told":
                journal.told([held.id])
            elif step == "drop":
                journal.withdrawn(held)
    for held in journal.entries.values():  # a call that was out may have run
        held.risk, held.out = held.risk or held.out, None
    journal.close()
    again = Journal(folder, DISK)
    assert again.entries == journal.entries and again.live == journal.live
    again.close()
