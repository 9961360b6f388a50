"""Real processes of different builds, and wall clocks that step."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Any

from benchmarks.cluster_harness import ClusterHarness, cluster
from message_relay.fleet.status import StatusError

from .test_cluster import CLOSED, OPEN, leader_number, run_with_timeout, traffic

CLASSES: dict[str, Any] = {"destinations": {"1": {"rate": 500}}, "classes": {"pay": {"attempts": 3}}}

# Run by the interpreter before the program: emulates a build from before rules had classes, and a wall clock
# that is shifted by the number of seconds in a file.
SITECUSTOMIZE = """
import os, time
if os.environ.get("TOWN_OLDER"):
    from message_relay.consensus import capabilities
    capabilities.SUPPORTED = capabilities.DESTINATIONS
if os.environ.get("TOWN_CLOCK"):
    real, place = time.time, os.environ["TOWN_CLOCK"]
    def stepped():
        with open(place) as file:
            return real() + float(file.read() or 0)
    time.time = stepped
"""


def install_sitecustomize(folder: Path) -> dict[str, str]:
    (folder / "sitecustomize.py").write_text(SITECUSTOMIZE)
    return {"PYTHONPATH": str(folder)}


def test_rolling_upgrade_refuses_a_new_field_until_every_build_supports_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        older = {**install_sitecustomize(tmp_path), "TOWN_OLDER": "1"}
        async with cluster(
            5, bound=1.0, horizon=3.0, deadline_share=0.3, more_env={3: older, 4: older}
        ) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet) as clients:
                number = 1
                for n in (3, 4):
                    for instance in (0, 4):  # a voter, and an instance of the old build
                        refusal = (await fleet.propose(instance, CLASSES))["refused"]
                        assert "runs a build that does not know classes: upgrade it first" in refusal
                    # Rules that all builds support can still be agreed on.
                    assert not (await fleet.propose(4, OPEN if n == 3 else CLOSED))["refused"]
                    number += 1
                    await fleet.wait_for_version(str(number))
                    await fleet.kill(n, signal.SIGTERM)
                    del fleet.more_env[n]
                    await fleet.start_instance(n)
                    await fleet.wait_for_version(str(number))
                answer = await propose_until_accepted(fleet, CLASSES)
                await fleet.wait_for_version(str(answer["number"]))
            await fleet.wait_until_drained(12.0)
            assert fleet.violations(clients.accepted) == [] and len(clients.accepted) > 50

    run_with_timeout(scenario())


async def propose_until_accepted(fleet: ClusterHarness, rules: dict[str, Any]) -> dict[str, Any]:
    """Proposes rules until they are accepted: the voter may not know yet that the last old build has left."""
    async with asyncio.timeout(20.0):
        while True:
            answer = await fleet.propose(0, rules)
            if not answer["refused"]:
                return answer
            assert "upgrade it first" in answer["refused"]
            await asyncio.sleep(0.2)


def test_wall_clock_steps_affect_neither_the_bound_nor_voter_changes(tmp_path: Path) -> None:
    async def scenario() -> None:
        clock = tmp_path / "clock"
        clock.write_text("0")
        env = {**install_sitecustomize(tmp_path), "TOWN_CLOCK": str(clock)}
        more_env = {n: env for n in range(3)}
        async with cluster(4, bound=1.0, horizon=8.0, deadline_share=0.3, more_env=more_env) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet):
                await change_voters(fleet, "", add=3)
                clock.write_text("-3600")  # an hour back, on all voters
                await fleet.wait_for_version("2")
                leader = await leader_number(fleet)
                removed = next(n for n in range(3) if n != leader)
                assert "they changed" in await change_voters(fleet, "they changed", remove=removed)
                clock.write_text("3600")  # two hours forward: that does not end the wait
                assert "they changed" in await change_voters(fleet, "they changed", remove=removed)
                await change_voters(fleet, "", remove=removed)  # once the wait after the last change is over
                await fleet.wait_for_version("3")

    run_with_timeout(scenario())


async def change_voters(fleet: ClusterHarness, expected: str, **change: Any) -> str:
    """Sends a change to the leader until it is refused as expected (empty: accepted), or is already made.

    Retries, since the leader may just be resigning, or a member may not be known yet.
    """
    async with asyncio.timeout(40.0):
        while True:
            with contextlib.suppress(StatusError):
                refusal = str(
                    (await fleet.rules(await leader_number(fleet), "voters", author="test", **change))[
                        "refused"
                    ]
                )
                if refusal == expected or (expected and (expected in refusal or not refusal)):
                    return refusal
            await asyncio.sleep(0.1)
