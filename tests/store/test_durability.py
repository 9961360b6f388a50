"""Power cuts: only what was synced is left. What was promised must be in it, as the setting says."""

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

BUDGET, NOWHERE = 300_000, Path("/nowhere")


class Slow(Disk):
    """Its syncs wait for the test, and may fail."""

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
        """After a power cut; `unlinked`: files that were removed are removed."""
        return Disk({name: data for name, data in self.synced.items() if not unlinked or name in self.files})


def entry(ident: str, size: int) -> JournalEntry:
    return JournalEntry(ident, "plata", "t", 7, None, 1000.0, 9000.0, "", bytes(size))


@pytest.mark.parametrize("seed", range(6))
def test_with_group_all_that_was_promised_outlasts_a_power_cut(seed: int) -> None:
    async def work() -> None:
        rng, disk = Random(seed), Slow()
        journal = Journal(NOWHERE, BUDGET, disk, sync_ms=0)
        assert journal.durability is not None
        syncing = asyncio.ensure_future(journal.durability.run())
        taken, tried, ending, ended = set[str](), set[str](), set[str](), dict[str, str]()
        for n in range(250):
            one = entry(f"m{n}", rng.choice((30, 300, 9000)))
            try:
                journal.append_accepted(one)
            except JournalError:
                await asyncio.sleep(0.001)  # room comes with the next sync
            if one.id in journal.entries and rng.random() < 0.6:
                safe = journal.barrier()
                assert safe is not None
                await safe
                taken.add(one.id)
            open_ = [each for each in journal.entries.values() if not each.final_state]
            if open_ and rng.random() < 0.9:
                one = rng.choice(open_)
                try:
                    if one.attempt_in_flight is None and rng.random() < 0.5:
                        journal.append_attempt(one, 1500.0, "s", 0)
                        mark, into = one.id, tried.add
                        safe = journal.barrier()
                        if safe is not None:
                            await safe
                        into(mark)
                    else:
                        ending.add(one.id)
                        journal.append_final_outcome(one, "failed")
                        safe = journal.barrier()
                        if safe is not None:
                            await safe
                        ended[one.id] = "failed"
                        journal.append_notified([one.id])
                except JournalError:
                    continue
            if n % 10 == 0:
                disk.go.clear()  # syncs hang, while segments are given up
                for k in range(6):
                    with contextlib.suppress(JournalError):
                        journal.append_accepted(entry(f"unheard{n}-{k}", 9000))
                for unlinked in (True, False):
                    after = Journal(NOWHERE, BUDGET * 4, disk.cut(unlinked)).entries
                    for ident in taken:
                        known = after.get(ident)  # gone only where it had its end, and room was needed
                        assert ident in ended if known is None else known.final_state or ident not in ended
                        assert known is None or not known.final_state or ident in ending, f"{ident} is lost"
                    for ident in tried & after.keys():
                        assert after[ident].final_state or after[ident].uncertain_attempt is not None
                disk.go.set()
                for each in [each for each in journal.entries.values() if each.id.startswith("unheard")]:
                    with contextlib.suppress(JournalError):
                        journal.append_cancelled(each)
        assert journal.log.segments[0].number > 3 and len(taken) > 50 and tried and ended
        syncing.cancel()
        await asyncio.gather(syncing, return_exceptions=True)
        journal.close()

    run(work())


def test_a_sync_that_fails_has_all_written_anew_and_nothing_promised_before() -> None:
    async def work() -> None:
        disk = Slow()
        journal = Journal(NOWHERE, BUDGET, disk, sync_ms=0)
        assert journal.durability is not None
        syncing = asyncio.ensure_future(journal.durability.run())
        disk.failing = 1
        journal.append_accepted(entry("m", 100))
        safe = journal.barrier()
        assert safe is not None
        before = journal.log.segments[-1].name
        await safe
        assert (
            disk.failing == 0 and journal.log.segments[-1].name != before
        )  # what failed is not believed again
        assert before not in disk.synced or "m" in Journal(NOWHERE, BUDGET, disk.cut(True)).entries
        syncing.cancel()
        await asyncio.gather(syncing, return_exceptions=True)
        journal.close()

    run(work())


def test_with_interval_nothing_waits_and_a_sync_comes_soon() -> None:
    async def work() -> None:
        disk = Slow()
        journal = Journal(NOWHERE, BUDGET, disk, sync_ms=5)
        assert journal.durability is not None
        syncing = asyncio.ensure_future(journal.durability.run())
        journal.append_accepted(entry("m", 100))
        assert journal.barrier() is None
        await until(lambda: "m" in Journal(NOWHERE, BUDGET, disk.cut(True)).entries)
        syncing.cancel()
        await asyncio.gather(syncing, return_exceptions=True)
        journal.close()

    run(work())


def test_a_client_is_answered_after_the_sync_and_the_loop_never_waits(tmp_path: Path) -> None:
    """A sync hangs: no answer, no first byte, no notice; then one by one. One that hangs up is withdrawn."""

    async def work() -> None:
        agent, server = Agent(), Server()
        await agent.start()
        await server.start()
        (tmp_path / "state").mkdir()
        host = host_of(tmp_path / "state", agent, server)
        host.host.journal.close()
        disk = Slow()
        journal = Journal(tmp_path, 3_000_000, disk, sync_ms=0)
        host.host.journal = host.host.messages.journal = host.host.messages.outcomes.journal = journal
        await host.start()
        await until(lambda: journal.barrier() is None)
        disk.go.clear()
        async with Client(host.ingress.port) as client, Client(host.ingress.port) as gone:
            client.writer.write(message("m", "unsafe"))
            gone.writer.write(message("g"))
            await until(lambda: {"m", "g"} <= journal.entries.keys())
            gone.writer.close()
            reading = asyncio.ensure_future(client.status())
            await asyncio.sleep(0.05)
            assert not reading.done() and not server.seen
            disk.go.set()
            assert await reading == 202
            await server.came.get()
            await until(lambda: "g" not in journal.entries)
            assert await client.ask(message("n")) == 202  # the connection is good for more
            await until(lambda: len(server.seen) == 2)
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["m", "n"]
        await host.close()

    run(work())
