"""Real relays and servers with a net between them. The plays of benchmarks/sharded_directory.py in small."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from click.testing import CliRunner

from benchmarks.sharded_directory_cluster import Clients, sharded_cluster, traffic
from message_relay.cli.main import group


def go(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 100.0))


def test_pending_messages_outlast_relays_and_servers_and_reach_current_addresses() -> None:
    async def work() -> None:
        async with sharded_cluster(2, 2, dests=300) as it:
            await asyncio.gather(it.kill(0), it.kill(1))
            clients = Clients(it)
            for dest in range(1, 61):
                clients.submit(dest, it.relays[dest % 2], "order", 60_000.0)
            clients.submit(999, it.relays[0], "order", 60_000.0)  # there is none
            await clients.wait_until_settled()
            assert clients.statuses == {"202": 61} and not it.effects()
            await asyncio.gather(*(it.kill(n) for n in it.relays))
            it.move(*range(1, 21))
            await asyncio.gather(*(it.start_instance(n) for n in range(4)))
            await it.drained(30.0)
            assert it.broken(clients.accepted) == []
            assert it.ends() == {"m60-999": {"failed"}} and len(it.effects()) == 60
            assert not any(it.calls_to(dest, "a") for dest in range(1, 21))
            clients.submit(999, it.relays[0])
            await clients.wait_until_settled()
            assert clients.statuses["202"] == 62  # it is in no use, and ends like the first
            clients.close()

    go(work())


def test_changes_take_effect_over_a_partition_a_kill_and_a_freeze() -> None:
    async def work() -> None:
        async with sharded_cluster(2, 2, dests=100) as it:
            used = list(range(1, 31))
            async with traffic(it, 80.0, used) as clients:
                await asyncio.sleep(1.0)
                await it.net("set", "n0", [f"n{n}" for n in it.relays], cut=True)  # one way
                it.move(*range(1, 11))
                await asyncio.sleep(4.0)
                await it.net("heal")
                await it.kill(1)
                it.move(*range(11, 21))
                await asyncio.sleep(3.0)
                await it.start_instance(1)
                it.freeze(it.relays[0])
                it.move(*range(1, 31))
                await asyncio.sleep(13.0)
                it.resume(it.relays[0])
                await asyncio.sleep(2.0)
            await it.drained(25.0)
            assert it.broken(clients.accepted) == [] and len(clients.accepted) > 500
            assert max(it.lateness_of_moves()) < 12.0

    go(work())


def test_without_servers_known_data_serve_and_the_status_shows_it() -> None:
    async def work() -> None:
        async with sharded_cluster(1, 1, dests=100, bound_s=6.0) as it:
            used = list(range(1, 11))
            async with traffic(it, 40.0, used) as clients:
                await asyncio.sleep(2.0)
                await it.kill(0, signal.SIGTERM)
                await asyncio.sleep(9.0)
                before = len(it.effects())
                await asyncio.sleep(2.0)
                assert len(it.effects()) > before + 40
                status = await it.role_status(1, "reader")
                assert status["age_s"] > 8.0 and status["failures"] > 0 and status["shards"] > 5
                output = await asyncio.to_thread(
                    CliRunner().invoke, group, ["status", "--folder", str(it.folder / "run")]
                )
                assert "directory by interest" in output.output and "age_s" in output.output.replace("\n", "")
            await it.drained(25.0)
            assert it.broken(clients.accepted) == []

    go(work())
