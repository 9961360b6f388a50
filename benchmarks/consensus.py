"""Measures consensus on real processes: activation time of a version, contradictions under faults, and cost.

    python -m benchmarks.consensus [--json] [--members 3,15,40] [--changes 12] [--faulted 30] [--towns 1]
                                [--seed 1]

`activate_s`: seconds from the proposal until an instance acts by the version, over all instances and over
changes that exclude each other. `baseline_s`: the same number of instances reload their configuration on
SIGHUP, one of them frozen for 3 s; seconds from the first to the last reload. `frozen_s`: consensus with the
same instance frozen; seconds from the first call under the new version to the last contradicting call (0 if
there is none).

`--faulted`: seconds of faults for each of `--towns` clusters of 15 instances that run in parallel, with
traffic and contradicting proposals. Processes are killed, frozen and restarted, links are cut in both
directions or one, flap, are slow and lossy, and all instances restart at once. From the partners' ledgers:
`contradiction_s_worst`, the longest time from the first call under a version to a call that it forbids (a
call's time is that of its last byte at the partner), and the number of messages lost or duplicated.

`service_ratio`: messages delivered by an instance that lost the majority, divided by those of an instance
that did not, within the horizon. `cpu_ratio`: processor time for each delivered message with gossip and
consensus, divided by that without."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import re
import signal
import sys
import time
from datetime import datetime
from typing import Any

import msgspec

from message_relay.consensus.lease_protocol import LeaseTerms
from message_relay.consensus.rules import Rules
from message_relay.consensus.rules_codec import decode_rules
from message_relay.consensus.rules_intersection import intersect_all, is_subset, standby_rules
from message_relay.fleet.status import StatusError

from .cluster_harness import ClusterHarness, cluster
from .processes import Clients
from .report import quantile

RULE_SETS: list[dict[str, Any]] = [
    {"destinations": {"1": {"rate": 900}}},
    {"destinations": {"1": {"rate": 300}}},
    {"destinations": {"1": {"endpoints": ["p1"]}}},
    {"destinations": {"1": {"closed": True}}},
    {"classes": {"pay": {"closed": True}}},
    {},
]
RELOADED = re.compile(r"^(\S+ \S+) .*config reloaded", re.MULTILINE)


async def activation_times(harness: ClusterHarness, changes: int, rng: random.Random) -> list[float]:
    """Returns the activation time of each instance and change; polls about every 10 ms."""
    durations: list[float] = []
    for n in range(changes):
        started_at = time.monotonic()
        number = (await harness.propose(rng.randrange(harness.voters), RULE_SETS[n % 2]))["number"]
        waiting = set(range(harness.instances))
        while waiting and time.monotonic() < started_at + 30:
            for each in list(waiting):
                with contextlib.suppress(StatusError):
                    if (await harness.status(each))["acts by"] == str(number):
                        durations.append(time.monotonic() - started_at)
                        waiting.discard(each)
    return durations


async def size_row(members: int, changes: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    async with cluster(members, voters=3 if members < 15 else 5, bound=2.0, horizon=6.0) as harness:
        await harness.wait_for_version("1")
        times = await activation_times(harness, changes, rng)
        before = await traffic(harness)
        await asyncio.sleep(5.0)
        after = await traffic(harness)
        return {
            "members": members,
            "activate_s_p50": quantile(times, 0.5),
            "activate_s_p99": quantile(times, 0.99),
            "bytes_member_s": round((after - before) / 5.0 / members),
        }


async def traffic(harness: ClusterHarness) -> int:
    statuses = await asyncio.gather(*(harness.status(n) for n in range(harness.instances)))
    return sum(status["traffic"].get("sent_bytes", 0) for status in statuses)


async def baseline(members: int) -> float:
    """Sends SIGHUP to each instance, one of them frozen; returns s from the first to the last reload."""
    async with cluster(members, agreed=False) as harness:
        harness.freeze(members - 1)
        for n in range(members):
            harness.send_signal(harness.name(n), signal.SIGHUP)
        await asyncio.sleep(3.0)
        harness.resume(members - 1)
        await asyncio.sleep(1.0)
        times = []
        for n in range(members):
            matches = RELOADED.findall((harness.folder / f"i{n}.log").read_text())
            times += [datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f").timestamp() for text in matches]
        return round(max(times) - min(times), 3) if len(times) == members else float("nan")


async def frozen(members: int) -> float:
    """Does the same with consensus; returns s from the first call under the new version to the last
    contradicting one."""
    async with cluster(members, bound=2.0, horizon=6.0) as harness:
        await harness.wait_for_version("1")
        clients = Clients(harness.port, members, deadline_share=0.5)
        work = asyncio.ensure_future(clients.run(100.0, 600.0))
        await asyncio.sleep(1.0)
        harness.freeze(members - 1)
        number = (await harness.propose(0, RULE_SETS[2]))["number"]
        await asyncio.sleep(3.0)
        harness.resume(members - 1)
        await harness.wait_for_version(str(number))
        await asyncio.sleep(1.0)
        await stop_clients(work, clients)
        return contradiction(harness, await versions(harness))[0]


async def stop_clients(work: asyncio.Future[Any], clients: Clients) -> None:
    await clients.stop(work)
    clients.close()


async def versions(harness: ClusterHarness) -> dict[int, Rules]:
    rules_by_number: dict[int, Rules] = {}
    for n in range(harness.voters):
        with contextlib.suppress(StatusError, KeyError):
            for version in (await harness.rules(n, "history"))["versions"]:
                if version["number"] not in rules_by_number and version["stage"] in ("current", "past"):
                    reply = await harness.rules(n, "version", number=version["number"])
                    rules_by_number[version["number"]] = decode_rules(msgspec.json.encode(reply["rules"]))
    return rules_by_number


def contradiction(harness: ClusterHarness, known: dict[int, Rules]) -> tuple[float, int]:
    """Returns the worst contradiction in the ledger, in s, and the number of calls.

    Calls under versions that are no longer in the history are skipped.
    """
    share, first_calls, worst = LeaseTerms().standby_share, dict[int, float](), 0.0
    calls = harness.labelled_calls()
    for called_at, _, label in calls:
        numbers, _, tier = label.partition("/")
        named = [int(number) for number in numbers.split("+") if number.isdecimal()]
        if not named or any(number not in known for number in named):
            continue
        rules = intersect_all(known[number] for number in named)
        rules = standby_rules(rules, share) if tier else rules
        if len(named) == 1 and not tier:
            first_calls.setdefault(named[0], called_at)
        newest = max(first_calls, default=0)
        if newest > max(named) and not is_subset(rules, known[newest]):
            worst = max(worst, (called_at - first_calls[newest]) / 1000)
    return round(worst, 3), len(calls)


async def faults(harness: ClusterHarness, seconds: float, rng: random.Random) -> dict[str, int]:
    """Injects faults into processes and links for so long, then heals all; returns their number by kind."""
    counts: dict[str, int] = {}
    ends_at = time.monotonic() + seconds
    names = [f"n{n}" for n in range(harness.instances)]
    while time.monotonic() < ends_at:
        kind = rng.choice(
            (
                "freeze",
                "kill",
                "cut",
                "one way",
                "flap",
                "slow",
                "lossy",
                "heal",
                "heal",
                "heal",
                "propose",
                "propose",
            )
        )
        counts[kind] = counts.get(kind, 0) + 1
        n = rng.randrange(harness.instances)
        subset = rng.sample(range(harness.instances), rng.randrange(1, harness.instances // 2 + 1))
        with contextlib.suppress(StatusError, TimeoutError):
            match kind:
                case "freeze":
                    harness.freeze(n)
                    await asyncio.sleep(rng.choice((0.5, 3.0)))
                    harness.resume(n)
                case "kill":
                    victims = range(harness.instances) if rng.random() < 0.1 else [n]
                    await asyncio.gather(*(harness.kill(member) for member in victims))
                    await asyncio.gather(*(harness.start_instance(member) for member in victims))
                case "cut":
                    await harness.cut(subset)
                case "one way":
                    await harness.net("set", [names[member] for member in subset], "*", cut=True)
                case "flap":
                    await harness.net("set", names[n], "*", flap_ms=300)
                case "slow":
                    await harness.net("set", "*", names[n], delay_ms=100, jitter_ms=300)
                case "lossy":
                    await harness.net("set", "*", "*", loss=0.2, twice=0.1, late=0.2)
                case "heal":
                    await harness.net("heal")
                case _:
                    await asyncio.wait_for(harness.propose(n, rng.choice(RULE_SETS)), 1.0)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
    await harness.net("heal")
    for n in range(harness.instances):
        harness.resume(n)
    return counts


async def faulted(instances: int, seconds: float, seed: int, block: int) -> dict[str, Any]:
    rng = random.Random(seed)
    rates = {n: str(1 + rng.uniform(-0.02, 0.02)) for n in range(instances)}
    async with cluster(
        instances,
        voters=5,
        bound=2.0,
        horizon=6.0,
        deadline_share=0.5,
        block=block,
        net_seed=seed,
        clock_rates=rates,
    ) as harness:
        await harness.wait_for_version("1")
        clients = Clients(harness.port, instances, deadline_share=0.5, rng=random.Random(seed))
        work = asyncio.ensure_future(clients.run(60.0, seconds + 600.0))
        started_at = time.monotonic()
        counts = await faults(harness, seconds, rng)
        length = time.monotonic() - started_at
        number = 0
        while not number:  # retried until the cluster has a leader again
            with contextlib.suppress(StatusError):
                number = (await harness.propose(1, {}))["number"]
            await asyncio.sleep(0.2)
        rejoined_s = await harness.wait_for_version(str(number), seconds=60.0)
        await stop_clients(work, clients)
        await harness.wait_until_drained(20.0)
        worst, calls = contradiction(harness, await versions(harness))
        violations = harness.violations(clients.accepted)
        for violation in violations[:5]:
            print(violation, file=sys.stderr)
        return {
            "faulted_s": round(length, 1),
            "faults": counts,
            "contradiction_s_worst": worst,
            "calls": calls,
            "taken": len(clients.accepted),
            "broken": len(violations),
            "together_again_s": round(rejoined_s, 2),
        }


async def resized() -> dict[str, Any]:
    """Resizes from 3 to 30 to 5 instances under traffic; measures activation at each size, and violations."""
    async with cluster(3, bound=2.0, horizon=6.0, deadline_share=0.5) as harness:
        await harness.wait_for_version("1")
        clients = Clients(harness.port, 3, deadline_share=0.5)
        work = asyncio.ensure_future(clients.run(60.0, 600.0))
        row: dict[str, Any] = {}
        for size, leaving in ((30, []), (5, list(range(5, 30)))):
            for first in range(harness.instances, size, 9):
                await asyncio.gather(*(harness.start_instance(n) for n in range(first, min(size, first + 9))))
            harness.instances = size
            await asyncio.gather(*(harness.kill(n, signal.SIGTERM) for n in leaving))
            number = (await harness.propose(0, RULE_SETS[size == 5]))["number"]
            row[f"activate_s_{size}"] = round(await harness.wait_for_version(str(number)), 3)
        await stop_clients(work, clients)
        await harness.wait_until_drained(20.0)
        row["contradiction_s_worst"], row["calls"] = contradiction(harness, await versions(harness))
        row["broken"] = len(harness.violations(clients.accepted))
        return row


async def service_ratio() -> float:
    async with cluster(4, voters=3, bound=2.0, horizon=30.0) as harness:
        await harness.wait_for_version("1")
        await harness.propose(0, {"destinations": {"1": {"rate": 400}}})
        await harness.wait_for_version("2")
        await harness.cut([3])
        await harness.wait_for(lambda status: status["tier"] == "standby", 3, 5.0)
        without_majority = await delivered(harness, 3, 8.0)
        with_majority = await delivered(harness, 1, 8.0)
        return round(without_majority / max(1, with_majority), 3)


async def delivered(harness: ClusterHarness, n: int, seconds: float) -> int:
    clients = Clients(harness.port + n, 1, deadline_share=0.5)
    before = len(harness.effects())
    await clients.run(40.0, seconds)
    await asyncio.sleep(1.0)
    clients.close()
    return len(harness.effects()) - before


async def cpu(agreed: bool) -> float:
    """Returns ms of processor time for each delivered message, over 4 instances at 100 messages/s each."""
    async with cluster(4, agreed=agreed, block=90 + agreed) as harness:
        if agreed:
            await harness.wait_for_version("1")
        clients = Clients(harness.port, 4)
        await clients.run(400.0, 2.0)
        before, effects = cpu_seconds(harness), len(harness.effects())
        await clients.run(400.0, 8.0)
        await asyncio.sleep(0.5)
        clients.close()
        return 1000 * (cpu_seconds(harness) - before) / max(1, len(harness.effects()) - effects)


def cpu_seconds(harness: ClusterHarness) -> float:
    """Returns the processor time of all instances, in seconds."""
    total = 0
    for n in range(harness.instances):
        with open(f"/proc/{harness.processes[harness.name(n)].pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / os.sysconf("SC_CLK_TCK")


async def measured(args: argparse.Namespace) -> dict[str, Any]:
    results: dict[str, Any] = {"bound_s": 2.0}
    if args.members:
        results["sizes"] = [await size_row(int(n), args.changes, args.seed) for n in args.members.split(",")]
        results["baseline_s"], results["frozen_s"] = await baseline(15), await frozen(15)
        results["3 to 30 to 5"] = await resized()
        results["service_ratio"] = await service_ratio()
        ratios = []
        for _ in range(5):
            # In parallel, so that other load on the machine affects both equally.
            with_, without = await asyncio.gather(cpu(True), cpu(False))
            ratios.append(with_ / without)
        results["cpu_ratio"] = [round(ratio, 3) for ratio in sorted(ratios)]
    if args.faulted:
        rows = await asyncio.gather(
            *(faulted(15, args.faulted, args.seed + n, 100 + n) for n in range(args.towns))
        )
        results["faulted"] = rows
        results["faulted_s"] = round(sum(row["faulted_s"] for row in rows), 1)
        results["contradiction_s_worst"] = max(row["contradiction_s_worst"] for row in rows)
        results["broken"] = sum(row["broken"] for row in rows)
    return results


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.consensus")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--members", default="3,15,40")
    parser.add_argument("--changes", type=int, default=12)
    parser.add_argument("--faulted", type=float, default=30.0)
    parser.add_argument("--towns", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results = asyncio.run(measured(args))
    print(json.dumps(results) if args.json else json.dumps(results, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
