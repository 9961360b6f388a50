"""Agreed rules on real processes: how soon a version holds, what faults do to its bound, and what it costs.

    python -m benchmarks.consensus [--json] [--members 3,15,40] [--changes 12] [--faulted 30] [--towns 1]
                                [--seed 1]

`activate_s`: from the proposal to the moment at which an instance acts by the version, over all instances and
changes that forbid each other. `baseline_s`: the same number of instances told by SIGHUP, one of them
frozen for 3 s: from the first to the last that has read it; `frozen_s`: agreed rules with the same
instance frozen, from the first call by the new version to the last by a contrary one (0: there was none).

`--faulted`: so many seconds of faults for each of `--towns` fleets of 15, side by side, with traffic and
contrary proposals: processes killed, frozen and started again, links cut both ways, one way, flapping,
slow and lossy, all restarted at once. By the partners' ledgers: `contradiction_s_worst`, a call that a
version forbids after the first call by that version (a call's time is that of its last byte at the
partner), and messages lost or doubled.

`service_ratio`: delivered by an instance that lost the majority to one that did not, within the horizon.
`cpu_ratio`: processor time a delivered message, with peers and rules and without."""

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

SETS: list[dict[str, Any]] = [
    {"destinations": {"1": {"rate": 900}}},
    {"destinations": {"1": {"rate": 300}}},
    {"destinations": {"1": {"endpoints": ["p1"]}}},
    {"destinations": {"1": {"closed": True}}},
    {"classes": {"pay": {"closed": True}}},
    {},
]
READ = re.compile(r"^(\S+ \S+) .*config reloaded", re.MULTILINE)


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


async def activated(it: ClusterHarness, changes: int, rng: random.Random) -> list[float]:
    """Of each instance and change; polled each 10 ms or so."""
    found: list[float] = []
    for n in range(changes):
        begun = time.monotonic()
        number = (await it.propose(rng.randrange(it.voters), SETS[n % 2]))["number"]
        waiting = set(range(it.instances))
        while waiting and time.monotonic() < begun + 30:
            for each in list(waiting):
                with contextlib.suppress(StatusError):
                    if (await it.status(each))["acts by"] == str(number):
                        found.append(time.monotonic() - begun)
                        waiting.discard(each)
    return found


async def size_row(members: int, changes: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    async with cluster(members, voters=3 if members < 15 else 5, bound=2.0, horizon=6.0) as it:
        await it.wait_for_version("1")
        times = await activated(it, changes, rng)
        before = await traffic(it)
        await asyncio.sleep(5.0)
        after = await traffic(it)
        return {
            "members": members,
            "activate_s_p50": quantile(times, 0.5),
            "activate_s_p99": quantile(times, 0.99),
            "bytes_member_s": round((after - before) / 5.0 / members),
        }


async def traffic(it: ClusterHarness) -> int:
    told = await asyncio.gather(*(it.status(n) for n in range(it.instances)))
    return sum(each["traffic"].get("sent_bytes", 0) for each in told)


async def baseline(members: int) -> float:
    """By SIGHUP to each, one of them frozen: s from the first to the last that has read it."""
    async with cluster(members, agreed=False) as it:
        it.freeze(members - 1)
        for n in range(members):
            it.tell(it.name(n), signal.SIGHUP)
        await asyncio.sleep(3.0)
        it.resume(members - 1)
        await asyncio.sleep(1.0)
        times = []
        for n in range(members):
            found = READ.findall((it.folder / f"i{n}.log").read_text())
            times += [datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f").timestamp() for text in found]
        return round(max(times) - min(times), 3) if len(times) == members else float("nan")


async def frozen(members: int) -> float:
    """The same with agreed rules: s by which a contrary call came after the first by the new version."""
    async with cluster(members, bound=2.0, horizon=6.0) as it:
        await it.wait_for_version("1")
        clients = Clients(it.port, members, deadline_share=0.5)
        work = asyncio.ensure_future(clients.run(100.0, 600.0))
        await asyncio.sleep(1.0)
        it.freeze(members - 1)
        number = (await it.propose(0, SETS[2]))["number"]
        await asyncio.sleep(3.0)
        it.resume(members - 1)
        await it.wait_for_version(str(number))
        await asyncio.sleep(1.0)
        await ended(work, clients)
        return contradiction(it, await versions(it))[0]


async def ended(work: asyncio.Future[Any], clients: Clients) -> None:
    await clients.stop(work)
    clients.close()


async def versions(it: ClusterHarness) -> dict[int, Rules]:
    found: dict[int, Rules] = {}
    for n in range(it.voters):
        with contextlib.suppress(StatusError, KeyError):
            for each in (await it.rules(n, "history"))["versions"]:
                if each["number"] not in found and each["stage"] in ("current", "past"):
                    told = await it.rules(n, "version", number=each["number"])
                    found[each["number"]] = decode_rules(msgspec.json.encode(told["rules"]))
    return found


def contradiction(it: ClusterHarness, known: dict[int, Rules]) -> tuple[float, int]:
    """The worst, in s, over all calls in the ledger, and how many calls there are. Versions that are too
    old to be known any more are not judged."""
    share, first, worst = LeaseTerms().standby_share, dict[int, float](), 0.0
    calls = it.labelled_calls()
    for at, _, label in calls:
        numbers, _, tier = label.partition("/")
        named = [int(number) for number in numbers.split("+") if number.isdecimal()]
        if not named or any(number not in known for number in named):
            continue
        rules = intersect_all(known[number] for number in named)
        rules = standby_rules(rules, share) if tier else rules
        if len(named) == 1 and not tier:
            first.setdefault(named[0], at)
        newest = max(first, default=0)
        if newest > max(named) and not is_subset(rules, known[newest]):
            worst = max(worst, (at - first[newest]) / 1000)
    return round(worst, 3), len(calls)


async def faults(it: ClusterHarness, seconds: float, rng: random.Random) -> dict[str, int]:
    """Puts faults between and into the processes for so long, and takes all away."""
    done: dict[str, int] = {}
    ends = time.monotonic() + seconds
    names = [f"n{n}" for n in range(it.instances)]
    while time.monotonic() < ends:
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
        done[kind] = done.get(kind, 0) + 1
        n = rng.randrange(it.instances)
        some = rng.sample(range(it.instances), rng.randrange(1, it.instances // 2 + 1))
        with contextlib.suppress(StatusError, TimeoutError):
            match kind:
                case "freeze":
                    it.freeze(n)
                    await asyncio.sleep(rng.choice((0.5, 3.0)))
                    it.resume(n)
                case "kill":
                    those = range(it.instances) if rng.random() < 0.1 else [n]
                    await asyncio.gather(*(it.kill(each) for each in those))
                    await asyncio.gather(*(it.start_instance(each) for each in those))
                case "cut":
                    await it.cut(some)
                case "one way":
                    await it.net("set", [names[each] for each in some], "*", cut=True)
                case "flap":
                    await it.net("set", names[n], "*", flap_ms=300)
                case "slow":
                    await it.net("set", "*", names[n], delay_ms=100, jitter_ms=300)
                case "lossy":
                    await it.net("set", "*", "*", loss=0.2, twice=0.1, late=0.2)
                case "heal":
                    await it.net("heal")
                case _:
                    await asyncio.wait_for(it.propose(n, rng.choice(SETS)), 1.0)
        await asyncio.sleep(rng.uniform(0.1, 1.0))
    await it.net("heal")
    for n in range(it.instances):
        it.resume(n)
    return done


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
    ) as it:
        await it.wait_for_version("1")
        clients = Clients(it.port, instances, deadline_share=0.5, rng=random.Random(seed))
        work = asyncio.ensure_future(clients.run(60.0, seconds + 600.0))
        begun = time.monotonic()
        done = await faults(it, seconds, rng)
        length = time.monotonic() - begun
        number = 0
        while not number:  # once it has a leader again
            with contextlib.suppress(StatusError):
                number = (await it.propose(1, {}))["number"]
            await asyncio.sleep(0.2)
        together = await it.wait_for_version(str(number), seconds=60.0)
        await ended(work, clients)
        await it.drained(20.0)
        worst, calls = contradiction(it, await versions(it))
        broken = it.broken(clients.taken)
        for text in broken[:5]:
            print(text, file=sys.stderr)
        return {
            "faulted_s": round(length, 1),
            "faults": done,
            "contradiction_s_worst": worst,
            "calls": calls,
            "taken": len(clients.taken),
            "broken": len(broken),
            "together_again_s": round(together, 2),
        }


async def grown() -> dict[str, Any]:
    """3 to 30 to 5 instances under traffic: how soon a version holds at each size, and what was lost."""
    async with cluster(3, bound=2.0, horizon=6.0, deadline_share=0.5) as it:
        await it.wait_for_version("1")
        clients = Clients(it.port, 3, deadline_share=0.5)
        work = asyncio.ensure_future(clients.run(60.0, 600.0))
        row: dict[str, Any] = {}
        for size, leaving in ((30, []), (5, list(range(5, 30)))):
            for first in range(it.instances, size, 9):
                await asyncio.gather(*(it.start_instance(n) for n in range(first, min(size, first + 9))))
            it.instances = size
            await asyncio.gather(*(it.kill(n, signal.SIGTERM) for n in leaving))
            number = (await it.propose(0, SETS[size == 5]))["number"]
            row[f"activate_s_{size}"] = round(await it.wait_for_version(str(number)), 3)
        await ended(work, clients)
        await it.drained(20.0)
        row["contradiction_s_worst"], row["calls"] = contradiction(it, await versions(it))
        row["broken"] = len(it.broken(clients.taken))
        return row


async def service_ratio() -> float:
    async with cluster(4, voters=3, bound=2.0, horizon=30.0) as it:
        await it.wait_for_version("1")
        await it.propose(0, {"destinations": {"1": {"rate": 400}}})
        await it.wait_for_version("2")
        await it.cut([3])
        await it.wait_for(lambda told: told["tier"] == "standby", 3, 5.0)
        lost = await delivered(it, 3, 8.0)
        other = await delivered(it, 1, 8.0)
        return round(lost / max(1, other), 3)


async def delivered(it: ClusterHarness, n: int, seconds: float) -> int:
    clients = Clients(it.port + n, 1, deadline_share=0.5)
    before = len(it.effects())
    await clients.run(40.0, seconds)
    await asyncio.sleep(1.0)
    clients.close()
    return len(it.effects()) - before


async def cpu(agreed: bool) -> float:
    """ms of processor time a delivered message, over 4 instances at 100 messages a second each."""
    async with cluster(4, agreed=agreed, block=90 + agreed) as it:
        if agreed:
            await it.wait_for_version("1")
        clients = Clients(it.port, 4)
        await clients.run(400.0, 2.0)
        before, effects = used(it), len(it.effects())
        await clients.run(400.0, 8.0)
        await asyncio.sleep(0.5)
        clients.close()
        return 1000 * (used(it) - before) / max(1, len(it.effects()) - effects)


def used(it: ClusterHarness) -> float:
    """Processor seconds of all instances."""
    total = 0
    for n in range(it.instances):
        with open(f"/proc/{it.processes[it.name(n)].pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / os.sysconf("SC_CLK_TCK")


async def measured(args: argparse.Namespace) -> dict[str, Any]:
    told: dict[str, Any] = {"bound_s": 2.0}
    if args.members:
        told["sizes"] = [await size_row(int(n), args.changes, args.seed) for n in args.members.split(",")]
        told["baseline_s"], told["frozen_s"] = await baseline(15), await frozen(15)
        told["3 to 30 to 5"] = await grown()
        told["service_ratio"] = await service_ratio()
        ratios = []
        for _ in range(5):
            # Side by side: what else the machine does is then the same for both.
            with_, without = await asyncio.gather(cpu(True), cpu(False))
            ratios.append(with_ / without)
        told["cpu_ratio"] = [round(ratio, 3) for ratio in sorted(ratios)]
    if args.faulted:
        rows = await asyncio.gather(
            *(faulted(15, args.faulted, args.seed + n, 100 + n) for n in range(args.towns))
        )
        told["faulted"] = rows
        told["faulted_s"] = round(sum(row["faulted_s"] for row in rows), 1)
        told["contradiction_s_worst"] = max(row["contradiction_s_worst"] for row in rows)
        told["broken"] = sum(row["broken"] for row in rows)
    return told


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.consensus")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--members", default="3,15,40")
    parser.add_argument("--changes", type=int, default=12)
    parser.add_argument("--faulted", type=float, default=30.0)
    parser.add_argument("--towns", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    told = asyncio.run(measured(args))
    print(json.dumps(told) if args.json else json.dumps(told, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
