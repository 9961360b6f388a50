"""Real processes that are not alike: builds that know less, and wall clocks that step."""

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

# Read by the interpreter before the program: a build of before classes were known to rules, and a wall clock
# set apart by so many seconds as stand in a file at the moment.
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
    async def work() -> None:
        older = {**install_sitecustomize(tmp_path), "TOWN_OLDER": "1"}
        async with cluster(
            5, bound=1.0, horizon=3.0, deadline_share=0.3, more_env={3: older, 4: older}
        ) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet) as clients:
                number = 1
                for n in (3, 4):
                    for asked in (0, 4):  # a voter, and one of the old build
                        refusal = (await fleet.propose(asked, CLASSES))["refused"]
                        assert "runs a build that does not know classes: upgrade it first" in refusal
                    # What all of them know goes on being agreed on meanwhile.
                    assert not (await fleet.propose(4, OPEN if n == 3 else CLOSED))["refused"]
                    number += 1
                    await fleet.wait_for_version(str(number))
                    await fleet.kill(n, signal.SIGTERM)
                    del fleet.more_env[n]
                    await fleet.start_instance(n)
                    await fleet.wait_for_version(str(number))
                answer = await propose_until_accepted(fleet, CLASSES)
                await fleet.wait_for_version(str(answer["number"]))
            await fleet.drained(12.0)
            assert fleet.broken(clients.taken) == [] and len(clients.taken) > 50

    run_with_timeout(work())


async def propose_until_accepted(fleet: ClusterHarness, rules: dict[str, Any]) -> dict[str, Any]:
    """Proposed until it is taken: that the last old build is gone may be news to the voter."""
    async with asyncio.timeout(20.0):
        while True:
            answer = await fleet.propose(0, rules)
            if not answer["refused"]:
                return answer
            assert "upgrade it first" in answer["refused"]
            await asyncio.sleep(0.2)


def test_wall_clock_steps_affect_neither_the_bound_nor_voter_changes(tmp_path: Path) -> None:
    async def work() -> None:
        clock = tmp_path / "clock"
        clock.write_text("0")
        env = {**install_sitecustomize(tmp_path), "TOWN_CLOCK": str(clock)}
        more = {n: env for n in range(3)}
        async with cluster(4, bound=1.0, horizon=8.0, deadline_share=0.3, more_env=more) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet):
                await change_voters(fleet, "", add=3)
                clock.write_text("-3600")  # an hour back, on all that vote
                await fleet.wait_for_version("2")
                leads = await leader_number(fleet)
                away = next(n for n in range(3) if n != leads)
                assert "they changed" in await change_voters(fleet, "they changed", remove=away)
                clock.write_text("3600")  # and two hours on: the wait is not over by that
                assert "they changed" in await change_voters(fleet, "they changed", remove=away)
                await change_voters(fleet, "", remove=away)  # once the wait after the last change is over
                await fleet.wait_for_version("3")

    run_with_timeout(work())


async def change_voters(fleet: ClusterHarness, wanted: str, **more: Any) -> str:
    """Asks whoever leads until the answer is the one wanted (empty: taken), or that they are changed already:
    a leader may be on its way out, or a member not known yet."""
    async with asyncio.timeout(40.0):
        while True:
            with contextlib.suppress(StatusError):
                refusal = str(
                    (await fleet.rules(await leader_number(fleet), "voters", author="test", **more))[
                        "refused"
                    ]
                )
                if refusal == wanted or (wanted and (wanted in refusal or not refusal)):
                    return refusal
            await asyncio.sleep(0.1)
