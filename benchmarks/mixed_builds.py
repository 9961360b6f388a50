"""Runs two builds of the relay on each other's state folders, and together in one fleet.

    python -m benchmarks.mixed_builds --other CHECKOUT [--json] [--rate 60] [--seconds 6]

CHECKOUT is a work tree of another revision. The runs, each with an independent ledger at the destination:

`state folders`: four instances with gossip, consensus and failover run this build, the other one, this one
and the other one again, each on the folders and the operator's file that the previous build has left. Each
change of build happens under traffic: one instance is stopped with SIGTERM, the others with SIGKILL. A
version of the rules is proposed by each build, and the next build has to act by it. Each build also writes
a dump of the Raft log and, while no partner answers, a snapshot of its destinations' states; the
next one reads both.

`mixed fleet`: six instances in two zones, every second one of the other build. Each build proposes a version
that all act by; the leader of the log is killed; then each instance changes its build, one by one.

`mixed shards`: two shard servers and four relays, every second one of the other build. Destinations move
between two endpoints, and one server and one relay change their build.

`broken` counts messages that were lost, took effect twice or got two final outcomes. The exit code is 1 if
there is one, or if an instance does not act by a version in time.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from message_relay.fleet.status import StatusError

from .cluster_harness import ClusterHarness, cluster
from .processes import Clients
from .report import report
from .sharded_directory_cluster import sharded_cluster, traffic

ZONES = ("a", "b")
FAILOVER = '[failover]\nzones = { a = { region = "east" }, b = { region = "west" } }\nwindow_s = 0.5\n'
RATES = (900, 800, 700, 600, 500, 400)
VERSION_TIMEOUT_S, DRAIN_TIMEOUT_S = 30.0, 30.0
FILE_TIMEOUT_S = 90.0  # an instance compacts its Raft log every 30 s
SHARD_BOUND_S = 12.0  # from a change at the servers until the last call by the previous list


def build_environment(checkout: Path) -> dict[str, str]:
    """Makes `python -m message_relay` load the package of this checkout from any working directory."""
    return {"PYTHONPATH": str(checkout), "PYTHONSAFEPATH": "1"}


def check_build(checkout: Path) -> None:
    """Raises RuntimeError if `build_environment` does not load this checkout's package."""
    command = [sys.executable, "-c", "import message_relay; print(message_relay.__file__)"]
    environment = {**os.environ, **build_environment(checkout)}
    loaded = subprocess.run(
        command, env=environment, capture_output=True, text=True, check=True
    ).stdout.strip()
    if Path(loaded).parent.parent != checkout:
        raise RuntimeError(f"{loaded} is loaded in place of the package of {checkout}")


def rules_with_rate(rate: int) -> dict[str, Any]:
    return {"destinations": {"1": {"rate": rate}}}


@contextlib.asynccontextmanager
async def client_traffic(fleet: ClusterHarness, rate: float) -> AsyncIterator[Clients]:
    """Submits messages to all instances for as long as the context is open."""
    clients = Clients(fleet.port, fleet.instances, deadline_share=0.5)
    work = asyncio.ensure_future(clients.run(rate, 600.0))
    try:
        yield clients
    finally:
        await clients.stop(work)
        clients.close()


async def version_in_force(fleet: ClusterHarness, n: int) -> int:
    """The version that this instance acts by under a full lease; 0 if it has none or does not answer."""
    with contextlib.suppress(StatusError):
        label: str = (await fleet.status(n))["acts by"]
        return int(label) if label.isdecimal() else 0
    return 0


async def wait_for_at_least(fleet: ClusterHarness, version: int) -> None:
    """Waits until every instance acts by this version or a later one.

    The failover controller proposes versions too, so an instance may skip the one that is waited for.
    """
    try:
        async with asyncio.timeout(VERSION_TIMEOUT_S):
            while min([await version_in_force(fleet, n) for n in range(fleet.instances)]) < version:
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise TimeoutError(
            f"not all instances act by version {version} or later: {await fleet.describe_instances()}"
        ) from None


async def propose_and_wait(fleet: ClusterHarness, proposer: int, rate: int) -> int:
    """Proposes a version at this instance and returns its number once every instance acts by it."""
    async with asyncio.timeout(VERSION_TIMEOUT_S):
        while True:
            with contextlib.suppress(StatusError):
                reply = await fleet.propose(proposer, rules_with_rate(rate))
                if not reply["refused"]:
                    break
            await asyncio.sleep(0.2)
    number = int(reply["number"])
    await wait_for_at_least(fleet, number)
    return number


async def has_decider(fleet: ClusterHarness) -> bool:
    """Whether a voter reports that it plans the traffic between zones."""
    for n in range(fleet.voters):
        with contextlib.suppress(StatusError):
            if (await fleet.rules(n, "zones"))["decides"]:
                return True
    return False


async def wait_for_decider(fleet: ClusterHarness) -> None:
    async with asyncio.timeout(VERSION_TIMEOUT_S):
        while not await has_decider(fleet):
            await asyncio.sleep(0.1)


async def wait_for_file(fleet: ClusterHarness, pattern: str, since: float) -> None:
    """Waits until an instance has written such a file of its state folder after this moment (Unix s)."""
    async with asyncio.timeout(FILE_TIMEOUT_S):
        while not any(path.stat().st_mtime > since for path in (fleet.folder / "state").glob(pattern)):
            await asyncio.sleep(0.2)


async def change_build(fleet: ClusterHarness, build: Path) -> None:
    """Ends all instances while no partner answers, and starts them with this build."""
    frozen_at = time.time()
    for zone in ZONES:
        fleet.send_signal(f"partner {zone}", signal.SIGSTOP)
    try:
        await wait_for_file(fleet, "*/learned", frozen_at)
        await asyncio.gather(fleet.kill(3, signal.SIGTERM), *(fleet.kill(n) for n in range(fleet.voters)))
    finally:
        for zone in ZONES:
            fleet.send_signal(f"partner {zone}", signal.SIGCONT)
    fleet.more_env = {n: build_environment(build) for n in range(fleet.instances)}
    await asyncio.gather(*(fleet.start_instance(n) for n in range(fleet.instances)))


@contextlib.asynccontextmanager
async def failover_cluster(builds: list[Path]) -> AsyncIterator[ClusterHarness]:
    """Starts one instance of each of these builds, three of them voters, in two zones with failover."""
    async with cluster(
        len(builds),
        voters=3,
        bound=1.0,
        horizon=6.0,
        deadline_share=0.5,
        zones=2,
        partners=ZONES,
        more_parts=FAILOVER,
        more_env={n: build_environment(build) for n, build in enumerate(builds)},
    ) as fleet:
        yield fleet


async def restart_leader(fleet: ClusterHarness) -> None:
    """Kills the leader of the log, and starts it again once the other voters have elected one."""
    status = await fleet.wait_for(lambda status: bool(status["leader"]), 0)
    leader = int(status["leader"][1:])
    await fleet.kill(leader)
    other_voter = next(n for n in range(fleet.voters) if n != leader)
    await fleet.wait_for(lambda status: status["leader"] not in ("", f"n{leader}"), other_voter)
    await fleet.start_instance(leader)


async def state_folders(builds: list[Path], rate: float, seconds: float) -> dict[str, Any]:
    versions: list[int] = []
    async with failover_cluster([builds[0]] * 4) as fleet:
        await wait_for_at_least(fleet, 1)
        async with client_traffic(fleet, rate) as clients:
            for turn, build in enumerate([builds[0], builds[1], builds[0], builds[1]]):
                if turn:
                    await change_build(fleet, build)
                    await wait_for_at_least(fleet, versions[-1])
                started = time.time()
                versions.append(await propose_and_wait(fleet, turn % 4, RATES[turn]))
                await wait_for_decider(fleet)
                await asyncio.sleep(seconds)
                await wait_for_file(fleet, "*/peers/raft.dump", started)
        await fleet.wait_until_drained(DRAIN_TIMEOUT_S)
        return {
            "play": "state folders",
            "versions": versions,
            "accepted": len(clients.accepted),
            "effects": len(fleet.effects()),
            "broken": fleet.violations(clients.accepted),
            "files": sorted(
                {path.name for path in (fleet.folder / "state").glob("*/**/*") if path.is_file()}
            ),
        }


async def mixed_fleet(builds: list[Path], rate: float, seconds: float) -> dict[str, Any]:
    versions: list[int] = []
    async with failover_cluster([builds[n % 2] for n in range(6)]) as fleet:
        await wait_for_at_least(fleet, 1)
        async with client_traffic(fleet, rate) as clients:
            for turn, proposer in enumerate((0, 1)):
                versions.append(await propose_and_wait(fleet, proposer, RATES[turn]))
                await asyncio.sleep(seconds / 2)
            await wait_for_decider(fleet)
            await restart_leader(fleet)
            versions.append(await propose_and_wait(fleet, 5, RATES[2]))
            for n in range(6):
                await fleet.kill(n, signal.SIGTERM if n % 3 else signal.SIGKILL)
                fleet.more_env[n] = build_environment(builds[(n + 1) % 2])
                await fleet.start_instance(n)
                await wait_for_at_least(fleet, versions[-1])
            versions.append(await propose_and_wait(fleet, 4, RATES[3]))
            await wait_for_decider(fleet)
            await asyncio.sleep(seconds / 2)
        await fleet.wait_until_drained(DRAIN_TIMEOUT_S)
        return {
            "play": "mixed fleet",
            "versions": versions,
            "accepted": len(clients.accepted),
            "effects": len(fleet.effects()),
            "broken": fleet.violations(clients.accepted),
        }


async def mixed_shards(builds: list[Path], rate: float, seconds: float) -> dict[str, Any]:
    async with sharded_cluster(
        2, 4, dests=100, more_env={n: build_environment(builds[n % 2]) for n in range(6)}
    ) as fleet:
        async with traffic(fleet, rate, list(range(1, 41))) as clients:
            await asyncio.sleep(seconds / 2)
            fleet.move(*range(1, 11))
            await asyncio.sleep(seconds / 2)
            for n, signal_number in ((1, signal.SIGKILL), (2, signal.SIGTERM)):
                await fleet.kill(n, signal_number)
                fleet.more_env[n] = build_environment(builds[(n + 1) % 2])
                fleet.move(*range(11, 21))
                await fleet.start_instance(n)
                await asyncio.sleep(seconds / 2)
            await fleet.wait_until_followed()
            fleet.move(*range(1, 31))
            await asyncio.sleep(SHARD_BOUND_S + 1.0)
        await fleet.wait_until_drained(DRAIN_TIMEOUT_S)
        broken = fleet.violations(clients.accepted)
        latest = max(fleet.lateness_of_moves())
        if latest > SHARD_BOUND_S:
            broken.append(f"a destination was called at its previous address {latest:.1f} s after it moved")
        return {
            "play": "mixed shards",
            "versions": [],
            "accepted": len(clients.accepted),
            "effects": len(fleet.effects()),
            "broken": broken,
            "latest_s": round(latest, 1),
        }


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.mixed_builds")
    parser.add_argument("--other", type=Path, required=True)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    args = parser.parse_args()
    if not (args.other / "message_relay" / "__main__.py").exists():
        parser.error(f"--other: {args.other} has no package message_relay")
    builds = [Path.cwd(), args.other.resolve()]
    for build in builds:
        check_build(build)
    rows = [
        asyncio.run(play(builds, args.rate, args.seconds))
        for play in (state_folders, mixed_fleet, mixed_shards)
    ]
    report(
        rows,
        args.json,
        (
            f"this build and {os.path.basename(args.other)}",
            "play           accepted  effects  broken  versions",
        ),
        "{play:15}{accepted:8}{effects:9}  {broken}  {versions}",
    )
    return int(any(row["broken"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
