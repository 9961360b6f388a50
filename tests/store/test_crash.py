"""Crashes before and during every disk call, failing disks and flipped bits: no message is lost, and every
attempt that may have run is known after recovery."""

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

BUDGET_BYTES = 300_000
NOWHERE = Path("/nowhere")


@dataclass
class JournalDriver:
    """Drives a journal with a random script, and records the promises that must hold after recovery."""

    disk: Disk
    seed: int = 1
    accepted: dict[str, str] = field(default_factory=dict)  # id -> class of messages with an answered client
    attempted: set[str] = field(default_factory=set)  # the first byte of an attempt may have been sent
    # ids for which the record that no attempt had an effect is written, or is being written
    proven_harmless: set[str] = field(default_factory=set)
    # id -> final state; the platform may have been notified, or the endpoint answered 200
    final_states: dict[str, str] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)  # cancelled, or finished and then removed
    rejected_count: int = 0

    def run(self, steps: int, largest: int = 20_000) -> Journal:
        rng, now = Random(self.seed), 1000.0
        self.journal = Journal(NOWHERE, BUDGET_BYTES, self.disk)
        for step in range(steps):
            now += 40.0
            unfinished = [each for each in self.journal.entries.values() if not each.final_state]
            choice = rng.random()
            if choice < 0.34 or not unfinished:
                self.accept(f"m{self.seed}-{step}", rng, now, largest)
                continue
            entry = rng.choice(unfinished)
            with contextlib.suppress(JournalError):
                if choice < 0.6 and self.advance_attempt(entry, choice, rng, now):
                    continue
                self.finish_or_maintain(entry, choice, rng, now)
        return self.journal

    def advance_attempt(self, entry: JournalEntry, choice: float, rng: Random, now: float) -> bool:
        """Starts an attempt, or ends the one in flight; returns False if it did neither."""
        if entry.attempt_in_flight is None:
            self.journal.append_attempt(entry, now, "s-1", 0)
            self.attempted.add(entry.id)  # the first byte may be sent now
            self.proven_harmless.discard(entry.id)
            return True
        if choice >= 0.5:
            return False
        may_have_run = rng.random() < 0.5
        if not may_have_run and entry.uncertain_attempt is None:
            self.proven_harmless.add(entry.id)
        self.journal.append_outcome(entry, may_have_run)
        return True

    def finish_or_maintain(self, entry: JournalEntry, choice: float, rng: Random, now: float) -> None:
        if choice < 0.9:
            self.finish(entry, rng.choice(("delivered", "failed", "returned")))
        elif choice < 0.92:
            self.removed.add(entry.id)
            self.journal.append_cancelled(entry)
        elif choice < 0.97:  # possibly long after the final outcome
            unnotified = [each.id for each in self.journal.entries.values() if each.needs_notification]
            self.journal.append_notified(unnotified[:2])
        else:
            self.journal.compact(now)
            self.removed |= set(self.accepted) - set(self.journal.entries)

    def accept(self, ident: str, rng: Random, now: float, largest: int) -> None:
        class_ = rng.choice(("plata", "stare"))
        body = bytes(rng.choice((20, 200, largest)))
        entry = JournalEntry(ident, class_, "t", 7, None, now, now + 2000.0, "", body)
        try:
            self.journal.append_accepted(entry)
            self.accepted[ident] = class_
        except JournalError:
            self.rejected_count += 1

    def finish(self, entry: JournalEntry, state: str) -> None:
        if state == "returned" and (entry.uncertain_attempt or entry.attempt_in_flight):
            state = "failed"
        self.journal.append_final_outcome(entry, state)
        self.final_states[entry.id] = state  # from now on the platform may be notified
        if state != "delivered" and len(self.final_states) % 3 == 0:
            self.journal.append_notified([entry.id])

    def check(self, disk: Disk, may_have_losses: bool = False) -> Journal:
        """Recovers in a new process. `may_have_losses`: damage may have destroyed records."""
        after = Journal(NOWHERE, BUDGET_BYTES, disk)
        for ident, class_ in self.accepted.items():
            entry = after.entries.get(ident)
            if entry is None:
                # It may have been removed if it is finished and needs no notification any more.
                assert ident in self.removed or ident in self.final_states, f"{ident} is lost"
                continue
            if ident in self.final_states and not may_have_losses:
                assert entry.final_state == self.final_states[ident], ident
            if class_ == "plata" and (
                ident in self.attempted - self.proven_harmless or ident in self.final_states
            ):
                assert (
                    entry.final_state or entry.uncertain_attempt is not None
                ), f"{ident} could be sent twice"
        assert after.disk_bytes <= BUDGET_BYTES
        return after


def call_count(steps: int, seed: int) -> int:
    driver = JournalDriver(Disk(), seed)
    journal = driver.run(steps)
    assert driver.disk.peak <= BUDGET_BYTES and journal.log.segments[0].number > 5  # several were retired
    return driver.disk.calls


@pytest.mark.parametrize("torn", [None, 0.0, 0.3, 0.95])
def test_a_crash_at_every_call(torn: float | None) -> None:
    """The process ends before the call (None), or during an append with part of its data on the disk."""
    steps, seed = 260, 3
    for at in range(1, call_count(steps, seed) + 1):
        disk = Disk(crash_at=at)
        if torn is not None:
            disk.torn = round(torn * 400)
        driver = JournalDriver(disk, seed)
        with pytest.raises(Crash):
            driver.run(steps)
        after = driver.check(disk.after_crash())
        assert not after.findings, (at, after.findings)
        files = after.files
        assert isinstance(files, Disk)
        driver.check(files.after_crash())  # a second recovery gives the same result


def test_a_crash_at_every_call_of_the_upgrade_from_format_1() -> None:
    old = (Path(__file__).parent / "journal-1").read_bytes()
    expected = Journal(NOWHERE, BUDGET_BYTES, Disk({"journal": old})).entries
    for at in range(1, 40):
        disk = Disk({"journal": old}, crash_at=at, torn=50)
        with contextlib.suppress(Crash):
            Journal(NOWHERE, BUDGET_BYTES, disk)
        assert Journal(NOWHERE, BUDGET_BYTES, disk.after_crash()).entries == expected, at


def test_a_full_disk_rejects_and_resumes() -> None:
    total = call_count(200, 5)
    for at in range(1, total, 7):
        for error in (errno.ENOSPC, errno.EIO):
            disk = Disk(
                fail=lambda call, name, n, at=at, error=error:  # type: ignore[misc]
                error if at <= n < at + 60 and call == "append" else None
            )
            driver = JournalDriver(disk, 5)
            journal = driver.run(200)
            disk.fail = lambda call, name, number: None
            journal.compact(0.0)
            assert not journal.overdue
            driver.check(disk.after_crash())


def test_a_partial_write_that_cannot_be_truncated() -> None:
    total = call_count(200, 7)
    for at in range(1, total, 3):
        disk = Disk(short=lambda n, at=at: 30 if n == at else None)  # type: ignore[misc]
        driver = JournalDriver(disk, 7)
        driver.run(200)
        after = driver.check(disk.after_crash())
        assert not after.findings, (at, after.findings)


def test_flipped_bits_lose_no_message_and_repeat_no_payment() -> None:
    rng = Random(11)
    for round_ in range(250):
        driver = JournalDriver(Disk(), 100 + round_ % 10)
        driver.run(120, largest=3000)
        names = [name for name in driver.disk.files if name.startswith("seg-")]
        driver.check(driver.disk.corrupted(rng, 6, names), may_have_losses=True)


def test_a_missing_segment_in_the_middle() -> None:
    driver = JournalDriver(Disk(), 13)
    driver.run(200)
    names = sorted(name for name in driver.disk.files if name.startswith("seg-"))
    for name in names[1:-1]:
        files = {other: data for other, data in driver.disk.files.items() if other != name}
        after = driver.check(Disk(files), may_have_losses=True)
        assert any("missing" in text for text in after.findings)
        for ident in driver.accepted:
            entry = after.entries.get(ident)
            if (
                entry is not None
                and not entry.final_state
                and entry.uncertain_attempt is not None
                and ident not in driver.attempted
            ):
                assert entry.uncertain_attempt.endpoint == UNKNOWN_ENDPOINT
        again = driver.check(Disk(dict(after.files.files)), may_have_losses=True)  # type: ignore[attr-defined]
        assert not again.findings  # the journal was repaired


def test_a_truncated_segment_in_the_middle_is_reported() -> None:
    driver = JournalDriver(Disk(), 13)
    driver.run(200)
    names = sorted(name for name in driver.disk.files if name.startswith("seg-"))
    files = dict(driver.disk.files)
    files[names[1]] = files[names[1]][: len(files[names[1]]) // 2]
    assert driver.check(Disk(files), may_have_losses=True).findings
