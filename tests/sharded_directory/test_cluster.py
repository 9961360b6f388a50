"""Real relays and servers with a fault proxy: small runs of benchmarks/sharded_directory.py."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from click.testing import CliRunner

from benchmarks.sharded_directory_cluster import Clients, sharded_cluster, traffic
from message_relay.cli.main import group


def run_test(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 100.0))


def test_pending_messages_survive_restarts_and_reach_current_addresses() -> None:
    async def work() -> None:
        async with sharded_cluster(2, 2, dests=300) as harness:
            await asyncio.gather(harness.kill(0), harness.kill(1))
            clients = Clients(harness)
            for dest in range(1, 61):
                clients.submit(dest, harness.relays[dest % 2], "order", 60_000.0)
            clients.submit(999, harness.relays[0], "order", 60_000.0)  # an unknown destination
            await clients.wait_until_settled()
            assert clients.statuses == {"202": 61} and not harness.effects()
            await asyncio.gather(*(harness.kill(n) for n in harness.relays))
            harness.move(*range(1, 21))
            await asyncio.gather(*(harness.start_instance(n) for n in range(4)))
            await harness.wait_until_drained(30.0)
            assert harness.violations(clients.accepted) == []
            assert harness.final_states() == {"m60-999": {"failed"}} and len(harness.effects()) == 60
            assert not any(harness.calls_to(dest, "a") for dest in range(1, 21))
            clients.submit(999, harness.relays[0])
            await clients.wait_until_settled()
            assert clients.statuses["202"] == 62  # accepted while not resident; fails like the first
            clients.close()

    run_test(work())


def test_changes_take_effect_despite_a_partition_a_kill_and_a_freeze() -> None:
    async def work() -> None:
        async with sharded_cluster(2, 2, dests=100) as harness:
            used = list(range(1, 31))
            async with traffic(harness, 80.0, used) as clients:
                await asyncio.sleep(1.0)
                # The network fault is in one direction.
                await harness.net("set", "n0", [f"n{n}" for n in harness.relays], cut=True)
                harness.move(*range(1, 11))
                await asyncio.sleep(4.0)
                await harness.net("heal")
                await harness.kill(1)
                harness.move(*range(11, 21))
                await asyncio.sleep(3.0)
                await harness.start_instance(1)
                harness.freeze(harness.relays[0])
                harness.move(*range(1, 31))
                await asyncio.sleep(13.0)
                harness.resume(harness.relays[0])
                await asyncio.sleep(2.0)
            await harness.wait_until_drained(25.0)
            assert harness.violations(clients.accepted) == [] and len(clients.accepted) > 500
            assert max(harness.lateness_of_moves()) < 12.0

    run_test(work())


def test_without_servers_known_data_are_used_and_the_status_shows_their_age() -> None:
    async def work() -> None:
        async with sharded_cluster(1, 1, dests=100, bound_s=6.0) as harness:
            used = list(range(1, 11))
            async with traffic(harness, 40.0, used) as clients:
                await asyncio.sleep(2.0)
                await harness.kill(0, signal.SIGTERM)
                await asyncio.sleep(9.0)
                before = len(harness.effects())
                await asyncio.sleep(2.0)
                assert len(harness.effects()) > before + 40
                status = await harness.role_status(1, "reader")
                assert status["age_s"] > 8.0 and status["failures"] > 0 and status["shards"] > 5
                output = await asyncio.to_thread(
                    CliRunner().invoke, group, ["status", "--folder", str(harness.folder / "run")]
                )
                assert "directory by interest" in output.output and "age_s" in output.output.replace("\n", "")
            await harness.wait_until_drained(25.0)
            assert harness.violations(clients.accepted) == []

    run_test(work())
