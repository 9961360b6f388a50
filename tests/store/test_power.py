"""A power cut before and in every call to the disk, syncs too, with what was not synced lost, kept, or kept
in part and out of order; and ids that come again, with a kill at every call."""

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

BUDGET, NOWHERE = 240_000, Path("/nowhere")
COPIED = 10_000
Kept = Callable[[Disk, Random], dict[str, bytes]]


class Synced(Disk):
    """Its syncs are done in its own thread, when the script says so, and may be cut off too."""

    def sync(self, name: str) -> None:
        if name in self.files:
            super().sync(name)
        else:
            raise FileNotFoundError(name)


def lost(disk: Disk, rng: Random) -> dict[str, bytes]:
    """Nothing but what was synced; removals had not reached the disk."""
    return dict(disk.synced)


def removed(disk: Disk, rng: Random) -> dict[str, bytes]:
    return {name: data for name, data in disk.synced.items() if name in disk.files}


def kept(disk: Disk, rng: Random) -> dict[str, bytes]:
    return dict(disk.files)


def in_part(disk: Disk, rng: Random) -> dict[str, bytes]:
    """Of each file as much behind its synced part as chance has it, a later one before an earlier one too."""
    out = removed(disk, rng) if rng.random() < 0.5 else lost(disk, rng)
    for name, data in disk.files.items():
        safe = len(disk.synced.get(name, b""))
        if name in out or rng.random() < 0.6:
            out[name] = data[: rng.randint(safe, len(data))]
    return out


@dataclass
class Promises:
    """Drives a journal that syncs in groups, and counts as promised only what a sync has covered."""

    disk: Synced
    seed: int
    taken: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    proven: set[str] = field(default_factory=set)  # written down that none had an effect, perhaps unsynced
    ending: set[str] = field(default_factory=set)  # an end was written, perhaps unsynced
    ended: set[str] = field(default_factory=set)
    unsent: set[str] = field(default_factory=set)  # its attempt is written, and its first byte waits
    waiting: list[tuple[int, Callable[[], object]]] = field(default_factory=list)

    def run(self, steps: int) -> Journal:
        rng = Random(self.seed)
        journal = Journal(NOWHERE, BUDGET, self.disk, sync_ms=0)
        durability = journal.durability
        assert durability is not None
        try:
            for step in range(steps):
                self.step(journal, f"m{step}", rng)
                if rng.random() < 0.15:
                    names, upto = durability.start_sync()
                    self.step(journal, f"w{step}", rng)  # the loop goes on while the sync runs
                    durability.sync_files(names)
                    durability.mark_durable(upto)
                    for need, promise in [each for each in self.waiting if each[0] <= upto]:
                        self.waiting.remove((need, promise))
                        promise()
        finally:
            journal.close()
        return journal

    def step(self, journal: Journal, ident: str, rng: Random) -> None:
        open_ = [each for each in journal.entries.values() if not each.final_state]
        choice, size = rng.random(), rng.choice((30, 900, 6000))
        with contextlib.suppress(JournalError):  # no room before the next sync
            if choice < 0.4 or not open_:
                journal.append_accepted(
                    JournalEntry(ident, "plata", "t", 7, None, 1000.0, 9000.0, "", bytes(size))
                )
                self.promise(journal, lambda: self.taken.add(ident))
                return
            one = max(rng.choices(open_, k=4), key=lambda each: len(each.body))  # small ones live on
            name = one.id
            if one.attempt_in_flight is not None and name not in self.unsent and choice < 0.55:
                self.proven.update([name] if one.uncertain_attempt is None else [])
                journal.append_outcome(one, False)
            elif one.attempt_in_flight is None and choice < 0.7:
                journal.append_attempt(one, 1500.0, "s-1", 0)
                self.unsent.add(name)
                self.promise(journal, lambda: self.first_byte(name))
            elif choice < 0.95:
                self.ending.add(name)
                journal.append_final_outcome(one, rng.choice(("delivered", "failed")))
                self.promise(journal, lambda: self.ended.add(name))
            else:
                journal.append_notified(
                    [
                        each.id
                        for each in journal.entries.values()
                        if each.needs_notification and each.id in self.ended
                    ][:2]
                )

    def first_byte(self, ident: str) -> None:
        self.unsent.discard(ident)
        self.tried.add(ident)
        self.proven.discard(ident)

    def promise(self, journal: Journal, done: Callable[[], object]) -> None:
        assert journal.durability is not None
        self.waiting.append((journal.durability.appended_sequence, done))

    def check(self, files: dict[str, bytes]) -> None:
        """What the next process makes of it; and the one after that."""
        disk = Disk(files)
        for _ in range(2):
            after = Journal(NOWHERE, BUDGET * 2, disk).entries
            for ident in self.taken:
                known = after.get(ident)
                if known is None:
                    assert ident in self.ending, f"{ident} is lost"
                    continue
                assert known.final_state or ident not in self.ended, f"{ident} was told its end"
                assert not known.final_state or ident in self.ending, f"{ident} fails: only its id is left"
                if ident in self.tried - self.proven:
                    assert (
                        known.final_state or known.uncertain_attempt is not None
                    ), f"{ident} could be sent twice"
            disk = disk.after_crash()


@pytest.mark.parametrize("model", [lost, removed, kept, in_part])
def test_a_power_cut_at_every_call(model: Kept) -> None:
    steps, seed = 300, 8
    whole = Promises(Synced(), seed)
    journal = whole.run(steps)
    assert journal.log.segments[0].number > 3 and journal.copied_bytes > COPIED
    assert len(whole.ended) > 15 and whole.tried
    for at in range(1, whole.disk.calls + 1):
        world = Promises(Synced(crash_at=at, torn=at % 3 * 40), seed)
        with pytest.raises(Crash):
            world.run(steps)
        world.check(model(world.disk, Random(at)))


# -- ids that come again ---------------------------------------------------------------------------------


@dataclass
class Again:
    """A few ids, taken anew as soon as the journal has forgotten them: only their last life counts."""

    disk: Disk
    taken: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)
    ended: dict[str, str] = field(default_factory=dict)
    lives: int = 0

    def run(self, steps: int) -> None:
        rng, now = Random(4), 1000.0
        journal = Journal(NOWHERE, BUDGET, self.disk)
        late = list[JournalEntry]()  # of earlier lives, with a call that is still out
        for _ in range(steps):
            now += 100.0
            ident, choice = f"m{rng.randrange(9)}", rng.random()
            entry = journal.entries.get(ident)
            if entry is None:
                for told in (self.taken, self.tried):
                    told.discard(ident)
                self.ended.pop(ident, None)
                journal.append_accepted(
                    JournalEntry(
                        ident, "plata", "t", 7, None, now, now + 500.0, "", bytes(rng.choice((30, 9000)))
                    )
                )
                self.taken.add(ident)
                self.lives += 1
            elif entry.final_state:
                journal.append_notified([ident])
                journal.compact(now)
            elif entry.attempt_in_flight is None and choice < 0.5:
                journal.append_attempt(entry, now, "s-1", 0)
                self.tried.add(ident)
            elif choice < 0.8:
                late.append(entry)
                journal.append_final_outcome(entry, "failed")
                self.ended[ident] = "failed"
            else:
                late.append(entry)
                self.taken.discard(ident)
                journal.append_cancelled(entry)
            if late and rng.random() < 0.4:
                old = late.pop(0)
                journal.append_outcome(old, False)  # its call ends now, when its id may be another message's
                if journal.entries.get(old.id) is not old:
                    with pytest.raises(JournalError, match="is over"):
                        journal.append_attempt(old, now, "s-1", 0)
        journal.close()

    def check(self, files: dict[str, bytes]) -> None:
        after = Journal(NOWHERE, BUDGET, Disk(files)).entries
        for ident in self.taken:
            entry = after.get(ident)
            if entry is None or ident in self.ended:
                assert ident in self.ended and (entry is None or entry.final_state == "failed"), ident
            elif ident in self.tried:
                assert (
                    entry.final_state or entry.uncertain_attempt is not None
                ), f"{ident} could be sent twice"


def test_ids_that_come_again_with_a_kill_at_every_call() -> None:
    whole = Again(Disk())
    whole.run(300)
    whole.check(whole.disk.files)
    assert whole.lives > 60
    for at in range(2, whole.disk.calls + 1):
        world = Again(Disk(crash_at=at, torn=at % 2 * 60))
        with pytest.raises(Crash):
            world.run(300)
        world.check(world.disk.files)
