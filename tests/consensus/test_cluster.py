"""Real processes that agree on rules, with faults between them; the partner's ledger says what was done."""

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


def run_with_timeout(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 100.0))


@contextlib.asynccontextmanager
async def traffic(it: ClusterHarness, rate: float = 40.0) -> Any:
    """Traffic to all that goes on meanwhile; afterwards nothing is lost or doubled."""
    clients = Clients(it.port, it.instances, deadline_share=0.3)
    work = asyncio.ensure_future(clients.run(rate, 600.0))
    try:
        yield clients
    finally:
        await clients.stop(work)
        clients.close()


async def leader_number(it: ClusterHarness) -> int:
    told = await it.wait_for(lambda told: bool(told["leader"]), 0)
    return int(told["leader"][1:])


def calls_after(it: ClusterHarness, after: float) -> list[tuple[float, str, str]]:
    """Calls that were made after this moment (Unix ms)."""
    return [line for line in it.labelled_calls() if line[0] > after]


def test_frozen_leader_makes_no_call_by_old_rules_when_it_resumes() -> None:
    """The leader is frozen while its version is agreed on by others; what it may do when it wakes is asked
    right before the first byte, so that not one call goes out by the old rules."""

    async def work() -> None:
        async with cluster(4, bound=1.0, horizon=3.0, deadline_share=0.3) as it:
            await it.wait_for_version("1")
            async with traffic(it) as clients:
                first = await leader_number(it)
                others = [n for n in range(4) if n != first]
                it.freeze(first)
                await it.wait_for(
                    lambda told: told["leader"] not in ("", f"n{first}"), next(iter(others))
                )
                answer = await it.propose(others[-1], CLOSED)
                assert not answer["refused"]
                await it.wait_for_version("2", others)
                closed = max(at for at, _, _ in it.labelled_calls()) + 200.0
                it.resume(first)
                await it.wait_for_version("2", [first])
                await asyncio.sleep(0.5)
            await it.drained(12.0)
            assert not calls_after(it, closed), calls_after(it, closed)
            assert it.broken(clients.taken) == [] and len(clients.taken) > 50

    run_with_timeout(work())


def test_partitions_with_and_without_a_majority_and_in_one_direction() -> None:
    async def work() -> None:
        async with cluster(5, bound=1.0, horizon=4.0, deadline_share=0.3) as it:
            await it.wait_for_version("1")
            async with traffic(it) as clients:
                await it.cut([0, 3])
                told = await it.wait_for(lambda told: told["tier"] == "standby", 3, 3.0)
                assert told["acts by"] == "1/standby"
                assert not (await it.propose(1, OPEN))["refused"]
                await it.wait_for_version("2", [1, 2, 4])
                small = await it.propose(0, OPEN)
                assert small["refused"]  # it reaches no majority
                assert (await it.status(3))["acts by"] in ("1/standby", "floor")
                await it.net("heal")
                await it.wait_for_version("2")
                # n4 is heard by nobody, and hears all: it may not go on with what it can't renew.
                await it.net("set", "n4", "*", cut=True)
                await it.wait_for(lambda told: told["tier"] != "lease", 4, 5.0)
                assert not (await it.propose(0, {"destinations": {"1": {"rate": 400}}}))["refused"]
                await it.net("heal")
                await it.wait_for_version("3")
            await it.drained(12.0)
            assert it.broken(clients.taken) == [] and len(clients.taken) > 50

    run_with_timeout(work())


def test_restart_of_all_with_one_outdated_state_folder() -> None:
    async def work() -> None:
        async with cluster(5, voters=5, bound=1.0, horizon=3.0, deadline_share=0.3) as it:
            await it.wait_for_version("1")
            it.save_state_folder(2)
            await it.kill(2)
            await it.start_instance(2)  # a boot that the others have seen
            await it.wait_for(lambda told: told["votes"], 2)
            assert not (await it.propose(0, OPEN))["refused"]
            await it.wait_for_version("2")
            await asyncio.gather(*(it.kill(n) for n in range(5)))
            it.restore_state_folder(2)
            await asyncio.gather(*(it.start_instance(n) for n in range(5)))
            await it.wait_for_version("2")  # none acts on an older version than before
            told = await it.wait_for(lambda told: bool(told["mute"]), 2)
            assert "older than one seen" in told["mute"] and not told["votes"]
            # A copy of a folder is refused at the start.
            await it.kill(4)
            place = it.folder / "state" / "4"
            place.rename(it.folder / "moved")
            shutil.copytree(it.folder / "moved", place)
            await it.start_instance(4, wait=False)
            assert await it.processes["i4"].wait() == 2
            assert "was copied or moved" in (it.folder / "i4.log").read_text()

    run_with_timeout(work())


def test_full_disk_at_a_vote_torn_log_and_replaced_voter() -> None:
    async def work() -> None:
        async with cluster(4, bound=1.0, horizon=2.5, deadline_share=0.3) as it:
            await it.wait_for_version("1")
            async with traffic(it) as clients:
                first = await leader_number(it)
                full, other = [n for n in range(3) if n != first]
                it.full_disk(full)
                it.freeze(first)  # the other two elect one, for which both have to write a vote down
                told = await it.wait_for(lambda told: "disk has failed" in told["mute"], full)
                assert not told["votes"]
                assert (await it.propose(other, OPEN))["refused"]  # no vote was given without being written
                it.full_disk(full, False)
                await it.wait_for(
                    lambda told: told["votes"] and told["leader"] not in ("", f"n{first}"), other
                )
                told = await it.propose(other, OPEN)  # unless the one that had no answer was taken after all
                assert not told["refused"] or "the newest version is 2" in told["refused"]
                it.resume(first)
                await it.wait_for_version("2")
                # Its journal is torn: it votes no more, and an instance that did not takes its place.
                await it.kill(full)
                journal = it.folder / "state" / str(full) / "peers" / "raft.journal"
                raw = journal.read_bytes()
                journal.write_bytes(raw[:60] + b"\xff" * 8 + raw[68:])
                await it.start_instance(full)
                told = await it.wait_for(lambda told: bool(told["mute"]), full)
                assert "its log can't be read: its journal" in told["mute"] and not told["votes"]
                # It may have led: the others notice its silence first, and choose who takes it out.
                await it.wait_for(lambda told: told["leader"] not in ("", f"n{full}"), other)
                assert not (await it.rules(other, "voters", remove=full, author="test"))["refused"]
                await it.wait_for_version("3")
                assert (await it.status(full))["mute"] == "" and not journal.exists()
                said = await it.rules(other, "voters", add=3, author="test")
                assert "they changed" in said["refused"]
                await asyncio.sleep(2.7)
                assert not (await it.rules(other, "voters", add=3, author="test"))["refused"]
                await it.wait_for_version("4")
                await it.wait_for(lambda told: told["votes"], 3)
                # Who is in its place counts: without one of the two old ones the majority is with it.
                await it.kill(other)
                told = await it.wait_for(lambda told: told["leader"] not in ("", f"n{other}"), first)
                assert not (await it.propose(first, CLOSED))["refused"]
                await it.start_instance(other)
                await it.wait_for_version("5")
                # All start anew: that n3 votes and the torn one does not stands in no file of the operator's.
                await asyncio.gather(*(it.kill(n) for n in range(4)))
                await asyncio.gather(*(it.start_instance(n) for n in range(4)))
                await it.wait_for_version("5")
                assert (await it.wait_for(lambda told: told["votes"], 3))["newest"] == 5
                assert not (await it.status(full))["votes"]
            await it.drained(12.0)
            assert it.broken(clients.taken) == [] and len(clients.taken) > 50

    run_with_timeout(work())


def test_concurrent_operators_and_rollback_of_a_harmful_version(tmp_path: Path) -> None:
    async def work() -> None:
        async with cluster(4, bound=1.0, horizon=3.0, deadline_share=0.3) as it:
            await it.wait_for_version("1")
            first, second = await asyncio.gather(it.propose(0, OPEN, base=1), it.propose(3, CLOSED, base=1))
            refused = [each for each in (first, second) if each["refused"]]
            assert len(refused) == 1 and "the newest version is 2 (by test: a test)" in refused[0]["refused"]
            newest = (await it.propose(0, OPEN) if first["refused"] else first)["number"]
            file = tmp_path / "rules.json"
            file.write_text(json.dumps({"destinations": {"x": {}}}))
            words = ["rules", "--config", str(it.folder / "relay.toml")]

            async def command(*more: str) -> Any:
                return await asyncio.to_thread(CliRunner().invoke, group, [*words, *more])

            said = await command("propose", str(file), "--cause", "a mistake")
            assert said.exit_code == 1 and "destinations.x: a number or '*' is needed" in said.output
            await it.wait_for_version(str(newest))
            async with traffic(it, 80.0) as clients:
                await asyncio.sleep(1.5)
                file.write_text(json.dumps({"destinations": {"1": {"endpoints": ["nobody"]}}}))
                said = await command(
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
                assert said.exit_code == 0, said.output
                told = await it.wait_for(lambda told: told["newest"] >= newest + 2, 0, 40.0)
                history = json.loads((await command("--json", "history")).output)["versions"]
                assert history[-1]["author"] == "guard" and history[-1]["of"] == newest
                assert "delivered" in history[-1]["cause"]
                await it.wait_for_version(str(told["newest"]))
                shown = await command("status")
                assert shown.exit_code == 0 and "n0" in shown.output
                diff = await command("diff", str(newest), str(newest + 1))
                assert "destinations.1.endpoints: - -> nobody" in diff.output
                ident = next(
                    ident for _, ident, label in reversed(it.labelled_calls()) if label == str(newest)
                )
                explained = await command("explain", ident)
                assert explained.exit_code == 0 and "allowed" in explained.output
            await it.drained(12.0)
            assert it.broken(clients.taken) == []

    run_with_timeout(work())


def test_no_version_waits_for_instances_that_left() -> None:
    """A renewal after the word that it leaves would be granted, and each contrary version wait a horizon."""

    async def work() -> None:
        async with cluster(12, bound=1.0, horizon=10.0) as it:
            await it.wait_for_version("1")
            assert not (await it.propose(0, OPEN))["refused"]
            await it.wait_for_version("2")
            it.instances = 3
            await asyncio.gather(*(it.kill(n, signal.SIGTERM) for n in range(3, 12)))
            assert not (await it.propose(0, CLOSED))["refused"]
            assert await it.wait_for_version("3") < 5.0

    run_with_timeout(work())


def test_rules_file_is_proposed_when_it_changes_unless_it_is_malformed(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        file = tmp_path / "rules.json"
        async with cluster(3, bound=1.0, horizon=3.0, first=f'folder = "{tmp_path}"\n') as it:
            await it.wait_for_version("1")
            file.write_text(json.dumps(OPEN))
            await it.wait_for_version("2")
            file.write_text("{")
            await asyncio.sleep(2.2)
            assert {(await it.status(n))["newest"] for n in range(3)} == {2}
            assert "rules file unusable" in (it.folder / "i0.log").read_text()

    run_with_timeout(work())


@pytest.mark.parametrize(
    ("told", "said"),
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
def test_invalid_settings_are_reported_by_their_field(told: dict[str, Any], said: str) -> None:
    with pytest.raises(OperatorError, match=said):
        decoded(told, "f")


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
