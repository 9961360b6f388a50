"""Real processes that agree on rules under faults; the partner's ledger records the calls that were made."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from benchmarks.cluster_harness import ClusterHarness, cluster
from benchmarks.processes import Clients
from message_relay.cli.main import group
from message_relay.fleet.operator import OperatorError, decoded

OPEN: dict[str, Any] = {"destinations": {"1": {"rate": 500}}}
CLOSED: dict[str, Any] = {"destinations": {"1": {"closed": True}}}


def run_with_timeout(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 100.0))


@contextlib.asynccontextmanager
async def traffic(fleet: ClusterHarness, rate: float = 40.0) -> Any:
    """Sends messages to all instances meanwhile; the caller checks that none was lost or doubled."""
    clients = Clients(fleet.port, fleet.instances, deadline_share=0.3)
    sending = asyncio.ensure_future(clients.run(rate, 600.0))
    try:
        yield clients
    finally:
        await clients.stop(sending)
        clients.close()


async def leader_number(fleet: ClusterHarness) -> int:
    status = await fleet.wait_for(lambda status: bool(status["leader"]), 0)
    return int(status["leader"][1:])


async def wait_for_accepted(clients: Clients, more_than: int) -> None:
    """Waits until more than `more_than` messages have been accepted."""
    while len(clients.accepted) <= more_than:
        await asyncio.sleep(0.05)


def calls_after(fleet: ClusterHarness, after: float) -> list[tuple[float, str, str]]:
    """Returns the calls that were made after a time (Unix ms)."""
    return [line for line in fleet.labelled_calls() if line[0] > after]


def test_frozen_leader_makes_no_call_by_old_rules_when_it_resumes() -> None:
    """The leader is frozen while the others agree on a version that closes the destination.

    When it resumes, its lease is checked right before the first byte, so that it makes no call under the old
    rules.
    """

    async def scenario() -> None:
        async with cluster(4, bound=1.0, horizon=3.0, deadline_share=0.3) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet) as clients:
                leader = await leader_number(fleet)
                others = [n for n in range(4) if n != leader]
                # Before the version that closes the destination: its time depends on an election.
                await wait_for_accepted(clients, 50)
                fleet.freeze(leader)
                await fleet.wait_for(
                    lambda status: status["leader"] not in ("", f"n{leader}"), next(iter(others))
                )
                answer = await fleet.propose(others[-1], CLOSED)
                assert not answer["refused"]
                await fleet.wait_for_version("2", others)
                closed_at = max(at for at, _, _ in fleet.labelled_calls()) + 200.0
                fleet.resume(leader)
                await fleet.wait_for_version("2", [leader])
                await asyncio.sleep(0.5)
            await fleet.wait_until_drained(12.0)
            assert not calls_after(fleet, closed_at), calls_after(fleet, closed_at)
            assert fleet.violations(clients.accepted) == [] and len(clients.accepted) > 50

    run_with_timeout(scenario())


def test_partitions_with_and_without_a_majority_and_in_one_direction() -> None:
    async def scenario() -> None:
        async with cluster(5, bound=1.0, horizon=4.0, deadline_share=0.3) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet) as clients:
                await fleet.cut([0, 3])
                status = await fleet.wait_for(lambda status: status["tier"] == "standby", 3, 3.0)
                assert status["acts by"] == "1/standby"
                assert not (await fleet.propose(1, OPEN))["refused"]
                await fleet.wait_for_version("2", [1, 2, 4])
                minority = await fleet.propose(0, OPEN)
                assert minority["refused"]  # it reaches no majority
                assert (await fleet.status(3))["acts by"] in ("1/standby", "floor")
                await fleet.net("heal")
                await fleet.wait_for_version("2")
                # n4 receives from all, but reaches nobody: its lease must expire, since it can't renew it.
                await fleet.net("set", "n4", "*", cut=True)
                await fleet.wait_for(lambda status: status["tier"] != "lease", 4, 5.0)
                assert not (await fleet.propose(0, {"destinations": {"1": {"rate": 400}}}))["refused"]
                await fleet.net("heal")
                await fleet.wait_for_version("3")
            await fleet.wait_until_drained(12.0)
            assert fleet.violations(clients.accepted) == [] and len(clients.accepted) > 50

    run_with_timeout(scenario())


def test_restart_of_all_with_one_outdated_state_folder() -> None:
    async def scenario() -> None:
        async with cluster(5, voters=5, bound=1.0, horizon=3.0, deadline_share=0.3) as fleet:
            await fleet.wait_for_version("1")
            fleet.save_state_folder(2)
            await fleet.kill(2)
            await fleet.start_instance(2)  # the others have seen this process epoch
            await fleet.wait_for(lambda status: status["votes"], 2)
            assert not (await fleet.propose(0, OPEN))["refused"]
            await fleet.wait_for_version("2")
            await asyncio.gather(*(fleet.kill(n) for n in range(5)))
            fleet.restore_state_folder(2)
            await asyncio.gather(*(fleet.start_instance(n) for n in range(5)))
            await fleet.wait_for_version("2")  # no instance acts on an older version than before
            status = await fleet.wait_for(lambda status: bool(status["mute"]), 2)
            assert "older than one seen" in status["mute"] and not status["votes"]
            # A copied folder is refused at the start.
            await fleet.kill(4)
            state_folder = fleet.folder / "state" / "4"
            state_folder.rename(fleet.folder / "moved")
            shutil.copytree(fleet.folder / "moved", state_folder)
            await fleet.start_instance(4, wait=False)
            assert await fleet.processes["i4"].wait() == 2
            assert "was copied or moved" in (fleet.folder / "i4.log").read_text()

    run_with_timeout(scenario())


def test_full_disk_at_a_vote_torn_log_and_replaced_voter() -> None:
    async def scenario() -> None:
        async with cluster(4, bound=1.0, horizon=2.5, deadline_share=0.3) as fleet:
            await fleet.wait_for_version("1")
            async with traffic(fleet) as clients:
                leader = await leader_number(fleet)
                full, other = [n for n in range(3) if n != leader]
                fleet.full_disk(full)
                fleet.freeze(leader)  # the other two elect a leader, for which both have to save a vote
                status = await fleet.wait_for(lambda status: "disk has failed" in status["mute"], full)
                assert not status["votes"]
                assert (await fleet.propose(other, OPEN))["refused"]  # no vote counts before it is saved
                fleet.full_disk(full, False)
                await fleet.wait_for(
                    lambda status: status["votes"] and status["leader"] not in ("", f"n{leader}"), other
                )
                status = await fleet.propose(
                    other, OPEN
                )  # unless the proposal without an answer was applied after all
                assert not status["refused"] or "the newest version is 2" in status["refused"]
                fleet.resume(leader)
                await fleet.wait_for_version("2")
                # With a torn journal it no longer votes, and another instance replaces it as a voter.
                await fleet.kill(full)
                journal = fleet.folder / "state" / str(full) / "peers" / "raft.journal"
                raw = journal.read_bytes()
                journal.write_bytes(raw[:60] + b"\xff" * 8 + raw[68:])
                await fleet.start_instance(full)
                status = await fleet.wait_for(lambda status: bool(status["mute"]), full)
                assert "its log can't be read: its journal" in status["mute"] and not status["votes"]
                # It may have been the leader: the others have to elect another one, which removes it.
                await fleet.wait_for(lambda status: status["leader"] not in ("", f"n{full}"), other)
                assert not (await fleet.rules(other, "voters", remove=full, author="test"))["refused"]
                await fleet.wait_for_version("3")
                assert (await fleet.status(full))["mute"] == "" and not journal.exists()
                answer = await fleet.rules(other, "voters", add=3, author="test")
                assert "they changed" in answer["refused"]
                await asyncio.sleep(2.7)
                assert not (await fleet.rules(other, "voters", add=3, author="test"))["refused"]
                await fleet.wait_for_version("4")
                await fleet.wait_for(lambda status: status["votes"], 3)
                # The new voter counts: with one of the two old voters down, it completes the majority.
                await fleet.kill(other)
                status = await fleet.wait_for(
                    lambda status: status["leader"] not in ("", f"n{other}"), leader
                )
                assert not (await fleet.propose(leader, CLOSED))["refused"]
                await fleet.start_instance(other)
                await fleet.wait_for_version("5")
                # All restart: the operator's files don't say that n3 votes and the torn one does not.
                await asyncio.gather(*(fleet.kill(n) for n in range(4)))
                await asyncio.gather(*(fleet.start_instance(n) for n in range(4)))
                await fleet.wait_for_version("5")
                assert (await fleet.wait_for(lambda status: status["votes"], 3))["newest"] == 5
                assert not (await fleet.status(full))["votes"]
            await fleet.wait_until_drained(12.0)
            assert fleet.violations(clients.accepted) == [] and len(clients.accepted) > 50

    run_with_timeout(scenario())


def test_concurrent_operators_and_rollback_of_a_harmful_version(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with cluster(4, bound=1.0, horizon=3.0, deadline_share=0.3) as fleet:
            await fleet.wait_for_version("1")
            first, second = await asyncio.gather(
                fleet.propose(0, OPEN, base=1), fleet.propose(3, CLOSED, base=1)
            )
            refused = [reply for reply in (first, second) if reply["refused"]]
            assert len(refused) == 1 and "the newest version is 2 (by test: a test)" in refused[0]["refused"]
            newest = (await fleet.propose(0, OPEN) if first["refused"] else first)["number"]
            file = tmp_path / "rules.json"
            file.write_text(json.dumps({"destinations": {"x": {}}}))
            command_line = ["rules", "--config", str(fleet.folder / "relay.toml")]

            async def command(*arguments: str) -> Any:
                return await asyncio.to_thread(CliRunner().invoke, group, [*command_line, *arguments])

            answer = await command("propose", str(file), "--cause", "a mistake")
            assert answer.exit_code == 1 and "destinations.x: a number or '*' is needed" in answer.output
            await fleet.wait_for_version(str(newest))
            async with traffic(fleet, 80.0) as clients:
                # The guard compares with at least 20 messages that were completed before the version.
                await wait_for_accepted(clients, 80)
                await asyncio.sleep(1.5)
                file.write_text(json.dumps({"destinations": {"1": {"endpoints": ["nobody"]}}}))
                answer = await command(
                    "propose",
                    str(file),
                    "--cause",
                    "harms",
                    "--guard",
                    "0.8",
                    "--least",
                    "20",
                    "--watch",
                    "5",
                )
                assert answer.exit_code == 0, answer.output
                status = await fleet.wait_for(lambda status: status["newest"] >= newest + 2, 0, 40.0)
                history = json.loads((await command("--json", "history")).output)["versions"]
                assert history[-1]["author"] == "guard" and history[-1]["of"] == newest
                assert "delivered" in history[-1]["cause"]
                await fleet.wait_for_version(str(status["newest"]))
                status_result = await command("status")
                assert status_result.exit_code == 0 and "n0" in status_result.output
                diff = await command("diff", str(newest), str(newest + 1))
                assert "destinations.1.endpoints: - -> nobody" in diff.output
                message_id = next(
                    call_id for _, call_id, label in reversed(fleet.labelled_calls()) if label == str(newest)
                )
                explained = await command("explain", message_id)
                assert explained.exit_code == 0 and "allowed" in explained.output
            await fleet.wait_until_drained(12.0)
            assert fleet.violations(clients.accepted) == []

    run_with_timeout(scenario())


def test_no_version_waits_for_instances_that_left() -> None:
    """Guards against a renewal after the leave notice: its grant blocked stricter versions for a horizon."""

    async def scenario() -> None:
        async with cluster(12, bound=1.0, horizon=10.0) as fleet:
            await fleet.wait_for_version("1")
            assert not (await fleet.propose(0, OPEN))["refused"]
            await fleet.wait_for_version("2")
            fleet.instances = 3
            await asyncio.gather(*(fleet.kill(n, signal.SIGTERM) for n in range(3, 12)))
            assert not (await fleet.propose(0, CLOSED))["refused"]
            assert await fleet.wait_for_version("3") < 5.0

    run_with_timeout(scenario())


def test_rules_file_is_proposed_when_it_changes_unless_it_is_malformed(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        file = tmp_path / "rules.json"
        async with cluster(3, bound=1.0, horizon=3.0, first=f'folder = "{tmp_path}"\n') as fleet:
            await fleet.wait_for_version("1")
            file.write_text(json.dumps(OPEN))
            await fleet.wait_for_version("2")
            file.write_text("{")
            await asyncio.sleep(2.2)
            assert {(await fleet.status(n))["newest"] for n in range(3)} == {2}
            assert "rules file unusable" in (fleet.folder / "i0.log").read_text()

    run_with_timeout(scenario())


@pytest.mark.parametrize(
    ("config", "message"),
    [
        ({"accord": {"voters": [0]}}, "needs peers.listen"),
        ({"accord": {"voters": [0]}, "peers": {"listen": "10.0.0.1:7000"}}, "peers.secret_file: is needed"),
        (
            {"accord": {"voters": [3]}, "peers": {"listen": "127.0.0.1:7000"}},
            "3 is not among fleet.instances = 1",
        ),
        ({"accord": {"voters": [0, 0]}}, "each is named once"),
        ({"accord": {"horizon_s": 3.0}}, "must be twice bound_s"),
        ({"accord": {"first": {"destinations": {"x": {}}}}}, "destinations.x: a number or"),
    ],
)
def test_invalid_settings_are_reported_by_their_field(config: dict[str, Any], message: str) -> None:
    with pytest.raises(OperatorError, match=message):
        decoded(config, "f")


def test_optional_subsystems_are_not_imported_by_default() -> None:
    import subprocess
    import sys

    code = (
        "import sys, message_relay.process, message_relay.composition\n"
        "own = ('message_relay.consensus', 'message_relay.gossip', 'message_relay.failover',\n"
        "       'message_relay.sharded_directory',\n"
        "       'pysyncobj', 'scipy', 'xxhash')\n"
        "print([m for m in sys.modules if m.startswith(own)])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
        == "[]\n"
    )
