"""A crash before and in every call to the disk, a disk that fails, bits that flip: nothing goes missing, and
no effect is forgotten."""

from __future__ import annotations

import contextlib
import errno
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest

from message_relay.store.errors import JournalError
from message_relay.store.journal import Journal
from message_relay.store.records import UNKNOWN_ENDPOINT, JournalEntry

from .disk import Crash, Disk

BUDGET = 300_000
NOWHERE = Path("/nowhere")


@dataclass
class World:
    """Drives a journal by a script of chance, and knows what was promised: that alone must hold."""

    disk: Disk
    seed: int = 1
    taken: dict[str, str] = field(default_factory=dict)  # id -> class; what the client heard of
    tried: set[str] = field(default_factory=set)  # an attempt's first byte may have gone out
    # it is known, or being written down, that none had an effect
    proven: set[str] = field(default_factory=set)
    # the platform, or the partner's 200, may have been told
    ended: dict[str, str] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)  # withdrawn, or ended and forgotten
    refused: int = 0

    def run(self, steps: int, largest: int = 20_000) -> Journal:
        rng, now = Random(self.seed), 1000.0
        self.journal = journal = Journal(NOWHERE, BUDGET, self.disk)
        for step in range(steps):
            now += 40.0
            open_ = [e for e in journal.entries.values() if not e.final_state]
            choice = rng.random()
            if choice < 0.34 or not open_:
                self.take(f"m{self.seed}-{step}", rng, now, largest)
                continue
            entry = rng.choice(open_)
            try:
                if entry.attempt_in_flight is not None and choice < 0.5:
                    ran = rng.random() < 0.5
                    self.proven.update([entry.id] if not ran and entry.uncertain_attempt is None else [])
                    journal.append_outcome(entry, ran)
                elif entry.attempt_in_flight is None and choice < 0.6:
                    journal.append_attempt(entry, now, "s-1", 0)
                    self.tried.add(entry.id)  # its first byte goes out now
                    self.proven.discard(entry.id)
                elif choice < 0.9:
                    self.end(entry, rng.choice(("delivered", "failed", "returned")))
                elif choice < 0.92:
                    self.gone.add(entry.id)
                    journal.append_cancelled(entry)
                elif choice < 0.97:  # long after its end
                    journal.append_notified(
                        [each.id for each in journal.entries.values() if each.needs_notification][:2]
                    )
                else:
                    journal.compact(now)
                    self.gone |= set(self.taken) - set(journal.entries)
            except JournalError:
                pass
        return journal

    def take(self, ident: str, rng: Random, now: float, largest: int) -> None:
        class_ = rng.choice(("plata", "stare"))
        body = bytes(rng.choice((20, 200, largest)))
        entry = JournalEntry(ident, class_, "t", 7, None, now, now + 2000.0, "", body)
        try:
            self.journal.append_accepted(entry)
            self.taken[ident] = class_
        except JournalError:
            self.refused += 1

    def end(self, entry: JournalEntry, state: str) -> None:
        if state == "returned" and (entry.uncertain_attempt or entry.attempt_in_flight):
            state = "failed"
        self.journal.append_final_outcome(entry, state)
        self.ended[entry.id] = state  # after this it may be told
        if state != "delivered" and len(self.ended) % 3 == 0:
            self.journal.append_notified([entry.id])

    def check(self, disk: Disk, lost_may_be: bool = False) -> Journal:
        """What the next process makes of it. `lost_may_be`: records may have been lost to damage."""
        after = Journal(NOWHERE, BUDGET, disk)
        for ident, class_ in self.taken.items():
            entry = after.entries.get(ident)
            if entry is None:
                # It may be gone where it had its end, and that was told or needs no telling.
                assert ident in self.gone or ident in self.ended, f"{ident} is lost"
                continue
            if ident in self.ended and not lost_may_be:
                assert entry.final_state == self.ended[ident], ident
            if class_ == "plata" and (ident in self.tried - self.proven or ident in self.ended):
                assert (
                    entry.final_state or entry.uncertain_attempt is not None
                ), f"{ident} could be sent twice"
        assert after.disk_bytes <= BUDGET
        return after


def calls_of(steps: int, seed: int) -> int:
    world = World(Disk(), seed)
    journal = world.run(steps)
    assert world.disk.peak <= BUDGET and journal.log.segments[0].number > 5  # several were given up
    return world.disk.calls


@pytest.mark.parametrize("torn", [None, 0.0, 0.3, 0.95])
def test_a_crash_at_every_call(torn: float | None) -> None:
    """Before the call (None), or in the midst of an append, with a part of it on the disk."""
    steps, seed = 260, 3
    for at in range(1, calls_of(steps, seed) + 1):
        disk = Disk(crash_at=at)
        if torn is not None:
            disk.torn = round(torn * 400)
        world = World(disk, seed)
        with pytest.raises(Crash):
            world.run(steps)
        after = world.check(disk.after_crash())
        assert not after.findings, (at, after.findings)
        files = after.files
        assert isinstance(files, Disk)
        world.check(files.after_crash())  # and once more: a start changes nothing of it


def test_a_crash_in_the_start_that_takes_over_the_old_file() -> None:
    old = (Path(__file__).parent / "journal-1").read_bytes()
    whole = Journal(NOWHERE, BUDGET, Disk({"journal": old})).entries
    for at in range(1, 40):
        disk = Disk({"journal": old}, crash_at=at, torn=50)
        with contextlib.suppress(Crash):
            Journal(NOWHERE, BUDGET, disk)
        assert Journal(NOWHERE, BUDGET, disk.after_crash()).entries == whole, at


def test_a_disk_that_is_full_from_some_call_on_refuses_and_resumes() -> None:
    total = calls_of(200, 5)
    for at in range(1, total, 7):
        for error in (errno.ENOSPC, errno.EIO):
            disk = Disk(
                fail=lambda call, name, n, at=at, error=error:  # type: ignore[misc]
                error if at <= n < at + 60 and call == "append" else None
            )
            world = World(disk, 5)
            journal = world.run(200)
            disk.fail = lambda call, name, number: None
            journal.compact(0.0)
            assert not journal.overdue
            world.check(disk.after_crash())


def test_a_write_that_fails_half_way_and_cannot_be_taken_back() -> None:
    total = calls_of(200, 7)
    for at in range(1, total, 3):
        disk = Disk(short=lambda n, at=at: 30 if n == at else None)  # type: ignore[misc]
        world = World(disk, 7)
        world.run(200)
        after = world.check(disk.after_crash())
        assert not after.findings, (at, after.findings)


def test_bits_that_flip_cost_no_message_its_end_and_no_payment_twice() -> None:
    rng = Random(11)
    for round_ in range(250):
        world = World(Disk(), 100 + round_ % 10)
        world.run(120, largest=3000)
        names = [name for name in world.disk.files if name.startswith("seg-")]
        world.check(world.disk.spoiled(rng, 6, names), lost_may_be=True)


def test_a_segment_that_is_missing_from_the_middle() -> None:
    world = World(Disk(), 13)
    world.run(200)
    names = sorted(name for name in world.disk.files if name.startswith("seg-"))
    for name in names[1:-1]:
        files = {other: data for other, data in world.disk.files.items() if other != name}
        after = world.check(Disk(files), lost_may_be=True)
        assert any("missing" in text for text in after.findings)
        for ident in world.taken:
            entry = after.entries.get(ident)
            if (
                entry is not None
                and not entry.final_state
                and entry.uncertain_attempt is not None
                and ident not in world.tried
            ):
                assert entry.uncertain_attempt.endpoint == UNKNOWN_ENDPOINT
        again = world.check(Disk(dict(after.files.files)), lost_may_be=True)  # type: ignore[attr-defined]
        assert not again.findings  # it was mended


def test_a_segment_cut_short_in_the_middle_is_told() -> None:
    world = World(Disk(), 13)
    world.run(200)
    names = sorted(name for name in world.disk.files if name.startswith("seg-"))
    files = dict(world.disk.files)
    files[names[1]] = files[names[1]][: len(files[names[1]]) // 2]
    assert world.check(Disk(files), lost_may_be=True).findings
