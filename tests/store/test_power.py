"""Power cuts before and during every disk call, including syncs: unsynced data is lost, written, or partly
written out of order. Also reused ids, with a kill at every call."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest

from message_relay.store.errors import JournalError
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from .disk import Crash, Disk

BUDGET_BYTES, NOWHERE = 240_000, Path("/nowhere")
MIN_COPIED_BYTES = 10_000
PowerCutModel = Callable[[Disk, Random], dict[str, bytes]]


class SyncedDisk(Disk):
    """A disk whose syncs are run by the script, and may be interrupted too."""

    def sync(self, name: str) -> None:
        if name in self.files:
            super().sync(name)
        else:
            raise FileNotFoundError(name)


def only_synced(disk: Disk, rng: Random) -> dict[str, bytes]:
    """Only synced data is left; removals had not reached the disk."""
    return dict(disk.synced)


def synced_and_not_removed(disk: Disk, rng: Random) -> dict[str, bytes]:
    return {name: data for name, data in disk.synced.items() if name in disk.files}


def all_written(disk: Disk, rng: Random) -> dict[str, bytes]:
    return dict(disk.files)


def synced_and_random_parts(disk: Disk, rng: Random) -> dict[str, bytes]:
    """A random part of each file beyond its synced data is left, maybe of a later but not an earlier file."""
    remaining = synced_and_not_removed(disk, rng) if rng.random() < 0.5 else only_synced(disk, rng)
    for name, data in disk.files.items():
        synced_size = len(disk.synced.get(name, b""))
        if name in remaining or rng.random() < 0.6:
            remaining[name] = data[: rng.randint(synced_size, len(data))]
    return remaining


@dataclass
class PromiseTracker:
    """Drives a journal with group commit; only records covered by a sync count as promised."""

    disk: SyncedDisk
    seed: int
    accepted: set[str] = field(default_factory=set)
    attempted: set[str] = field(default_factory=set)
    proven_harmless: set[str] = field(
        default_factory=set
    )  # the record that no attempt had an effect is written, but maybe not synced
    finishing: set[str] = field(default_factory=set)  # a final outcome was written, but maybe not synced
    finished: set[str] = field(default_factory=set)
    unsent: set[str] = field(
        default_factory=set
    )  # the attempt is recorded, and its first byte waits for the sync
    pending_promises: list[tuple[int, Callable[[], object]]] = field(default_factory=list)

    def run(self, steps: int) -> Journal:
        rng = Random(self.seed)
        journal = Journal(NOWHERE, BUDGET_BYTES, self.disk, sync_ms=0)
        durability = journal.durability
        assert durability is not None
        try:
            for step in range(steps):
                self.step(journal, f"m{step}", rng)
                if rng.random() < 0.15:
                    names, upto = durability.start_sync()
                    self.step(journal, f"w{step}", rng)  # the event loop continues during the sync
                    durability.sync_files(names)
                    durability.mark_durable(upto)
                    for sequence, promise in [each for each in self.pending_promises if each[0] <= upto]:
                        self.pending_promises.remove((sequence, promise))
                        promise()
        finally:
            journal.close()
        return journal

    def step(self, journal: Journal, ident: str, rng: Random) -> None:
        unfinished = [each for each in journal.entries.values() if not each.final_state]
        choice, size = rng.random(), rng.choice((30, 900, 6000))
        with contextlib.suppress(JournalError):  # no space before the next sync
            if choice < 0.4 or not unfinished:
                journal.append_accepted(
                    JournalEntry(ident, "plata", "t", 7, None, 1000.0, 9000.0, "", bytes(size))
                )
                self.promise(journal, lambda: self.accepted.add(ident))
                return
            entry = max(
                rng.choices(unfinished, k=4), key=lambda each: len(each.body)
            )  # messages with small bodies stay unfinished for longer
            name = entry.id
            if entry.attempt_in_flight is not None and name not in self.unsent and choice < 0.55:
                self.proven_harmless.update([name] if entry.uncertain_attempt is None else [])
                journal.append_outcome(entry, False)
            elif entry.attempt_in_flight is None and choice < 0.7:
                journal.append_attempt(entry, 1500.0, "s-1", 0)
                self.unsent.add(name)
                self.promise(journal, lambda: self.first_byte(name))
            elif choice < 0.95:
                self.finishing.add(name)
                journal.append_final_outcome(entry, rng.choice(("delivered", "failed")))
                self.promise(journal, lambda: self.finished.add(name))
            else:
                journal.append_notified(
                    [
                        each.id
                        for each in journal.entries.values()
                        if each.needs_notification and each.id in self.finished
                    ][:2]
                )

    def first_byte(self, ident: str) -> None:
        self.unsent.discard(ident)
        self.attempted.add(ident)
        self.proven_harmless.discard(ident)

    def promise(self, journal: Journal, done: Callable[[], object]) -> None:
        assert journal.durability is not None
        self.pending_promises.append((journal.durability.appended_sequence, done))

    def check(self, files: dict[str, bytes]) -> None:
        """Recovers in the next process, and again in the one after it."""
        disk = Disk(files)
        for _ in range(2):
            after = Journal(NOWHERE, BUDGET_BYTES * 2, disk).entries
            for ident in self.accepted:
                known = after.get(ident)
                if known is None:
                    assert ident in self.finishing, f"{ident} is lost"
                    continue
                assert known.final_state or ident not in self.finished, f"{ident} has lost its final outcome"
                assert not known.final_state or ident in self.finishing, f"{ident} fails: only its id is left"
                if ident in self.attempted - self.proven_harmless:
                    assert (
                        known.final_state or known.uncertain_attempt is not None
                    ), f"{ident} could be sent twice"
            disk = disk.after_crash()


@pytest.mark.parametrize("model", [only_synced, synced_and_not_removed, all_written, synced_and_random_parts])
def test_a_power_cut_at_every_call(model: PowerCutModel) -> None:
    steps, seed = 300, 8
    undisturbed = PromiseTracker(SyncedDisk(), seed)
    journal = undisturbed.run(steps)
    assert journal.log.segments[0].number > 3 and journal.copied_bytes > MIN_COPIED_BYTES
    assert len(undisturbed.finished) > 15 and undisturbed.attempted
    for at in range(1, undisturbed.disk.calls + 1):
        driver = PromiseTracker(SyncedDisk(crash_at=at, torn=at % 3 * 40), seed)
        with pytest.raises(Crash):
            driver.run(steps)
        driver.check(model(driver.disk, Random(at)))


# -- reused ids ---------------------------------------------------------------------------------


@dataclass
class ReusedIds:
    """Reuses a few ids as soon as the journal has removed them: only the latest message of an id counts."""

    disk: Disk
    accepted: set[str] = field(default_factory=set)
    attempted: set[str] = field(default_factory=set)
    final_states: dict[str, str] = field(default_factory=dict)
    accepted_count: int = 0

    def run(self, steps: int) -> None:
        rng, now = Random(4), 1000.0
        journal = Journal(NOWHERE, BUDGET_BYTES, self.disk)
        superseded = list[JournalEntry]()  # earlier messages with a call in flight
        for _ in range(steps):
            now += 100.0
            ident, choice = f"m{rng.randrange(9)}", rng.random()
            entry = journal.entries.get(ident)
            if entry is None:
                self.accept(journal, ident, now, rng.choice((30, 9000)))
            elif entry.final_state:
                journal.append_notified([ident])
                journal.compact(now)
            elif entry.attempt_in_flight is None and choice < 0.5:
                journal.append_attempt(entry, now, "s-1", 0)
                self.attempted.add(ident)
            elif choice < 0.8:
                superseded.append(entry)
                journal.append_final_outcome(entry, "failed")
                self.final_states[ident] = "failed"
            else:
                superseded.append(entry)
                self.accepted.discard(ident)
                journal.append_cancelled(entry)
            if superseded and rng.random() < 0.4:
                self.complete_call(journal, superseded.pop(0), now)
        journal.close()

    def accept(self, journal: Journal, ident: str, now: float, body_size: int) -> None:
        self.accepted.discard(ident)
        self.attempted.discard(ident)
        self.final_states.pop(ident, None)
        journal.append_accepted(
            JournalEntry(ident, "plata", "t", 7, None, now, now + 500.0, "", bytes(body_size))
        )
        self.accepted.add(ident)
        self.accepted_count += 1

    def complete_call(self, journal: Journal, old: JournalEntry, now: float) -> None:
        """Completes a call at a time when its id may belong to another message."""
        journal.append_outcome(old, False)
        if journal.entries.get(old.id) is not old:
            with pytest.raises(JournalError, match="is over"):
                journal.append_attempt(old, now, "s-1", 0)

    def check(self, files: dict[str, bytes]) -> None:
        after = Journal(NOWHERE, BUDGET_BYTES, Disk(files)).entries
        for ident in self.accepted:
            entry = after.get(ident)
            if entry is None or ident in self.final_states:
                assert ident in self.final_states and (entry is None or entry.final_state == "failed"), ident
            elif ident in self.attempted:
                assert (
                    entry.final_state or entry.uncertain_attempt is not None
                ), f"{ident} could be sent twice"


def test_reused_ids_with_a_kill_at_every_call() -> None:
    undisturbed = ReusedIds(Disk())
    undisturbed.run(300)
    undisturbed.check(undisturbed.disk.files)
    assert undisturbed.accepted_count > 60
    for at in range(2, undisturbed.disk.calls + 1):
        driver = ReusedIds(Disk(crash_at=at, torn=at % 2 * 60))
        with pytest.raises(Crash):
            driver.run(300)
        driver.check(driver.disk.files)
