"""Power cuts: only synced data is left, and must contain everything promised under the durability setting."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import threading
from pathlib import Path
from random import Random

import pytest

from message_relay.store.errors import JournalError
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from ..loopback import Agent, Client, Server, host_of, message, run, until
from .disk import Disk

BUDGET_BYTES, NOWHERE = 300_000, Path("/nowhere")


class SlowDisk(Disk):
    """A disk whose syncs wait for the test, and may fail."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()
        self.go.set()
        self.failing = 0

    def sync(self, name: str) -> None:
        data = self.files.get(name)
        assert self.go.wait(30.0)
        if self.failing:
            self.failing -= 1
            raise OSError(errno.EIO, "sync failed")
        if data is None:
            raise FileNotFoundError(name)
        self.synced[name] = data

    def cut(self, unlinked: bool) -> Disk:
        """Return the disk after a power cut; `unlinked`: removals of files have reached the disk."""
        return Disk({name: data for name, data in self.synced.items() if not unlinked or name in self.files})


def entry(ident: str, size: int) -> JournalEntry:
    return JournalEntry(ident, "plata", "t", 7, None, 1000.0, 9000.0, "", bytes(size))


async def durable(journal: Journal) -> None:
    """Waits until all written records may be promised."""
    barrier = journal.barrier()
    if barrier is not None:
        await barrier


class PromiseTracker:
    """Drives a journal with group commit, and records the promises made after syncs."""

    def __init__(self, journal: Journal, disk: SlowDisk, rng: Random) -> None:
        self.journal = journal
        self.disk = disk
        self.rng = rng
        self.accepted = set[str]()
        self.attempted = set[str]()
        self.finishing = set[str]()  # a final outcome was written, but maybe not synced
        self.finished = set[str]()

    async def accept(self, message_id: str) -> None:
        new = entry(message_id, self.rng.choice((30, 300, 9000)))
        try:
            self.journal.append_accepted(new)
        except JournalError:
            await asyncio.sleep(0.001)  # the next sync frees space
        if new.id in self.journal.entries and self.rng.random() < 0.6:
            barrier = self.journal.barrier()
            assert barrier is not None
            await barrier
            self.accepted.add(new.id)

    async def advance(self) -> None:
        """Records an attempt or the final outcome of a random message. Raises JournalError."""
        unfinished = [each for each in self.journal.entries.values() if not each.final_state]
        if not unfinished or self.rng.random() >= 0.9:
            return
        chosen = self.rng.choice(unfinished)
        if chosen.attempt_in_flight is None and self.rng.random() < 0.5:
            self.journal.append_attempt(chosen, 1500.0, "s", 0)
            await durable(self.journal)
            self.attempted.add(chosen.id)
        else:
            self.finishing.add(chosen.id)
            self.journal.append_final_outcome(chosen, "failed")
            await durable(self.journal)
            self.finished.add(chosen.id)
            self.journal.append_notified([chosen.id])

    def check_power_cuts(self, round_number: int) -> None:
        """Checks power cuts while a sync hangs and segments are retired."""
        self.disk.go.clear()
        for k in range(6):
            with contextlib.suppress(JournalError):
                self.journal.append_accepted(entry(f"unpromised{round_number}-{k}", 9000))
        for unlinked in (True, False):
            self._check(Journal(NOWHERE, BUDGET_BYTES * 4, self.disk.cut(unlinked)).entries)
        self.disk.go.set()
        for each in [each for each in self.journal.entries.values() if each.id.startswith("unpromised")]:
            with contextlib.suppress(JournalError):
                self.journal.append_cancelled(each)

    def _check(self, after: dict[str, JournalEntry]) -> None:
        for message_id in self.accepted:
            known = after.get(message_id)
            if known is None:  # removed only if it was finished and space was needed
                assert message_id in self.finished, f"{message_id} is lost"
                continue
            assert known.final_state or message_id not in self.finished
            assert not known.final_state or message_id in self.finishing, f"{message_id} is lost"
        for message_id in self.attempted & after.keys():
            assert after[message_id].final_state or after[message_id].uncertain_attempt is not None


@pytest.mark.parametrize("seed", range(6))
def test_with_group_commit_all_promises_survive_a_power_cut(seed: int) -> None:
    async def work() -> None:
        disk = SlowDisk()
        journal = Journal(NOWHERE, BUDGET_BYTES, disk, sync_ms=0)
        assert journal.durability is not None
        syncing = asyncio.ensure_future(journal.durability.run())
        tracker = PromiseTracker(journal, disk, Random(seed))
        for n in range(250):
            await tracker.accept(f"m{n}")
            try:
                await tracker.advance()
            except JournalError:
                continue
            if n % 10 == 0:
                tracker.check_power_cuts(n)
        assert journal.log.segments[0].number > 3 and len(tracker.accepted) > 50
        assert tracker.attempted and tracker.finished
        syncing.cancel()
        await asyncio.gather(syncing, return_exceptions=True)
        journal.close()

    run(work())


def test_a_failed_sync_rewrites_all_messages_before_anything_is_promised() -> None:
    async def work() -> None:
        disk = SlowDisk()
        journal = Journal(NOWHERE, BUDGET_BYTES, disk, sync_ms=0)
        assert journal.durability is not None
        syncing = asyncio.ensure_future(journal.durability.run())
        disk.failing = 1
        journal.append_accepted(entry("m", 100))
        barrier = journal.barrier()
        assert barrier is not None
        before = journal.log.segments[-1].name
        await barrier
        assert (
            disk.failing == 0 and journal.log.segments[-1].name != before
        )  # the file with the failed sync is no longer appended to
        assert before not in disk.synced or "m" in Journal(NOWHERE, BUDGET_BYTES, disk.cut(True)).entries
        syncing.cancel()
        await asyncio.gather(syncing, return_exceptions=True)
        journal.close()

    run(work())


def test_with_an_interval_nothing_waits_for_the_sync_that_follows() -> None:
    async def work() -> None:
        disk = SlowDisk()
        journal = Journal(NOWHERE, BUDGET_BYTES, disk, sync_ms=5)
        assert journal.durability is not None
        syncing = asyncio.ensure_future(journal.durability.run())
        journal.append_accepted(entry("m", 100))
        assert journal.barrier() is None
        await until(lambda: "m" in Journal(NOWHERE, BUDGET_BYTES, disk.cut(True)).entries)
        syncing.cancel()
        await asyncio.gather(syncing, return_exceptions=True)
        journal.close()

    run(work())


def test_a_client_is_answered_after_the_sync_and_the_loop_is_not_blocked(tmp_path: Path) -> None:
    """While a sync hangs, no answer and no first byte is sent. Disconnecting cancels a message."""

    async def work() -> None:
        agent, server = Agent(), Server()
        await agent.start()
        await server.start()
        (tmp_path / "state").mkdir()
        host = host_of(tmp_path / "state", agent, server)
        host.host.journal.close()
        disk = SlowDisk()
        journal = Journal(tmp_path, 3_000_000, disk, sync_ms=0)
        host.host.journal = host.host.messages.journal = host.host.messages.outcomes.journal = journal
        await host.start()
        await until(lambda: journal.barrier() is None)
        disk.go.clear()
        async with Client(host.ingress.port) as client, Client(host.ingress.port) as leaving:
            client.writer.write(message("m", "unsafe"))
            leaving.writer.write(message("g"))
            await until(lambda: {"m", "g"} <= journal.entries.keys())
            leaving.writer.close()
            reading = asyncio.ensure_future(client.status())
            await asyncio.sleep(0.05)
            assert not reading.done() and not server.seen
            disk.go.set()
            assert await reading == 202
            await server.arrivals.get()
            await until(lambda: "g" not in journal.entries)
            assert await client.send(message("n")) == 202  # the connection can be used again
            await until(lambda: len(server.seen) == 2)
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["m", "n"]
        await host.close()

    run(work())
