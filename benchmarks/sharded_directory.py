"""Runs the sharded directory on real processes through hard cases, and measures its cost for a relay.

    python -m benchmarks.sharded_directory [--json] [--plays killed,...] [--budget] [--sizes 1000,...]
            [--parts rows,...]

Cases (`--plays`): 3 servers and 3 relays connected by the fault proxy, with traffic to 60 of 400
destinations, ten of which move to another address every two seconds. `force`: the time from a move, as the
discovery agent announced it, to the last call by the previous entry. `broken`: messages that were lost,
duplicated or got two final outcomes, by the ledgers. `--budget` measures the cost: servers with 360,000
destinations and one real relay. Nothing else should run on the machine meanwhile.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .sharded_directory_budget import DESTS, SHARDS, budget
from .sharded_directory_cluster import Clients, ShardedCluster, entry, sharded_cluster, traffic

RATE = 120.0  # messages a second, of all clients
USED = list(range(1, 61))  # destinations with permanent traffic
MOVED, MOVE_S = 10, 2.0  # number of destinations that move at once, and the interval
DRAIN_S = 25.0  # longer than the longest deadline
BOUND_S = 12.0
Play = Callable[[], Awaitable[dict[str, Any]]]


async def move_destinations(cluster: ShardedCluster, seconds: float) -> None:
    rng, ends = random.Random(7), time.monotonic() + seconds
    while time.monotonic() < ends:
        cluster.move(*rng.sample(USED, MOVED))
        await asyncio.sleep(MOVE_S)


async def measure(cluster: ShardedCluster, clients: Clients) -> dict[str, Any]:
    """Collects the results from the ledgers and the status reports after a run."""
    await cluster.wait_until_drained(DRAIN_S)
    lateness = sorted(cluster.lateness_of_moves())
    readers = [await cluster.role_status(n, "reader") for n in cluster.relays]
    results: dict[str, Any] = {
        "handed in": len(clients.submitted),
        "taken": len(clients.accepted),
        "answers": clients.statuses,
        "broken": cluster.violations(clients.accepted),
        "failed": sum("failed" in states for states in cluster.final_states().values()),
        "stale refused": sum(reader["stale_refused"] for reader in readers),
        "ask failures": sum(reader["failures"] for reader in readers),
        "unreadable": sum(reader["unreadable"] for reader in readers),
    }
    if lateness:
        results |= {
            "moves": len(lateness),
            "force p50 s": round(lateness[len(lateness) // 2], 2),
            "force p99 s": round(lateness[int(0.99 * (len(lateness) - 1))], 2),
            "force most s": round(lateness[-1], 2),
        }
    return results


async def run_with_fault(
    fault: Callable[[ShardedCluster, Clients], Awaitable[None]], **fields: Any
) -> dict[str, Any]:
    """Runs traffic and moves, and injects a fault among them."""
    async with sharded_cluster(3, 3, **fields) as cluster:
        async with traffic(cluster, RATE, USED) as clients:
            await asyncio.sleep(1.0)
            moves = asyncio.ensure_future(move_destinations(cluster, 600.0))
            await asyncio.sleep(3.0)
            await fault(cluster, clients)
            moves.cancel()
            await asyncio.gather(moves, return_exceptions=True)
            await asyncio.sleep(BOUND_S)
        return await measure(cluster, clients)


async def calm() -> dict[str, Any]:
    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        await asyncio.sleep(12.0)

    return await run_with_fault(fault)


async def killed() -> dict[str, Any]:
    """A server is killed in the middle of a shard's response, which a slow link delivers at 2000 bytes/s."""

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        for relay in cluster.relays:
            await cluster.net("set", "n0", f"n{relay}", bytes_s=2000.0)
        for dest in range(61, 361):
            clients.submit(dest, cluster.relays[dest % 3])
        await asyncio.sleep(0.4)
        await cluster.kill(0)
        await asyncio.sleep(8.0)
        await cluster.net("heal")
        await cluster.start_instance(0)
        await asyncio.sleep(5.0)

    return await run_with_fault(fault)


async def frozen() -> dict[str, Any]:
    """A server is frozen for 20 s, and then a relay for 15 s."""

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        cluster.freeze(0)
        await asyncio.sleep(20.0)
        cluster.resume(0)
        await asyncio.sleep(3.0)
        cluster.freeze(cluster.relays[0])
        await asyncio.sleep(15.0)
        cluster.resume(cluster.relays[0])
        await asyncio.sleep(5.0)

    return await run_with_fault(fault)


async def behind() -> dict[str, Any]:
    """One server gets no changes, though its source confirms its list: it lacks all changes of the run and
    300 earlier ones. For a while it is the only reachable server."""

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        await asyncio.sleep(8.0)
        for dest in range(61, 161):
            clients.submit(dest, cluster.relays[dest % 3])
        others = ["n0", "n2"]
        for relay in cluster.relays:
            await cluster.net("set", f"n{relay}", others, cut=True)
            await cluster.net("set", others, f"n{relay}", cut=True)
        await asyncio.sleep(6.0)
        await cluster.net("heal")
        await asyncio.sleep(6.0)

    async with sharded_cluster(3, 3, stale_servers=(1,)) as cluster:
        for _ in range(30):
            cluster.move(*random.Random(3).sample(range(1, cluster.dests + 1), 10))
        cluster.moves.clear()  # without traffic so far, these moves don't count
        await cluster.wait_until_followed()
        async with traffic(cluster, RATE, USED) as clients:
            await asyncio.sleep(1.0)
            moves = asyncio.ensure_future(move_destinations(cluster, 600.0))
            await fault(cluster, clients)
            moves.cancel()
            await asyncio.gather(moves, return_exceptions=True)
            await asyncio.sleep(BOUND_S)
        return await measure(cluster, clients)


async def restarted() -> dict[str, Any]:
    """All servers are killed and restarted together, while messages arrive for shards that no relay has."""

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        await asyncio.gather(*(cluster.kill(n) for n in range(3)))
        for dest in range(61, 361):
            clients.submit(dest, cluster.relays[dest % 3])
        await asyncio.sleep(1.0)
        await asyncio.gather(*(cluster.start_instance(n) for n in range(3)))
        await asyncio.sleep(8.0)

    return await run_with_fault(fault)


async def one_way() -> dict[str, Any]:
    """Links from servers to relays are cut while the opposite direction works; then the other way round."""

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        relays = [f"n{n}" for n in cluster.relays]
        for sources, targets in ((["n0", "n1", "n2"], relays), (relays, ["n0", "n1", "n2"])):
            await cluster.net("set", sources, targets, cut=True)
            await asyncio.sleep(4.0)
            await cluster.net("heal")
            await asyncio.sleep(4.0)
        await cluster.net("set", "n0", relays, cut=True)
        await asyncio.sleep(15.0)
        await cluster.net("heal")
        await asyncio.sleep(4.0)

    return await run_with_fault(fault)


async def doubled() -> dict[str, Any]:
    """Datagrams are duplicated, delayed and reordered, and a third of them is lost; connections are slow with
    varying delay, and are sometimes reset in the middle of a transfer."""

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        await cluster.net("set", twice=0.5, late=0.2, loss=0.3, delay_ms=20.0, jitter_ms=150.0)
        for turn in range(8):
            for dest in range(61 + 40 * turn, 101 + 40 * turn):
                clients.submit(dest, cluster.relays[dest % 3])
            await asyncio.sleep(2.5)
            await cluster.net("reset")
        await cluster.net("heal")

    return await run_with_fault(fault)


async def unreadable() -> dict[str, Any]:
    """Malformed entries: an invalid port, no address, a negative rate, and an entry with only an id; then two
    known entries become malformed."""
    malformed = (
        entry(900, "127.0.0.1:99999"),
        entry(901, ""),
        entry(902, "127.0.0.1:9", weight=-1),
        {"instanceId": "x"},
    )

    async def fault(cluster: ShardedCluster, clients: Clients) -> None:
        cluster.register.change([entry(dest, "nowhere") for dest in (300, 301)])
        await cluster.wait_until_followed()
        for dest in (*range(295, 310), 900, 901, 902):
            clients.submit(dest, cluster.relays[0])
        await asyncio.sleep(8.0)

    return await run_with_fault(fault, malformed=malformed)


async def pending_messages() -> dict[str, Any]:
    """3 relays are killed with 500 pending messages in 400 shards whose servers are down; some of their
    destinations move meanwhile."""
    async with sharded_cluster(3, 3, dests=1200, count=4096) as cluster:
        await asyncio.gather(*(cluster.kill(n) for n in range(3)))
        clients = Clients(cluster)
        for n in range(500):
            clients.submit(1 + 2 * n, cluster.relays[n % 3], "order", 60_000.0)
        await clients.wait_until_settled()
        pending_before = len(clients.accepted)
        await asyncio.gather(*(cluster.kill(n) for n in cluster.relays))
        moved_destinations = [1 + 2 * n for n in range(0, 500, 10)]
        cluster.move(*moved_destinations)
        started_at = time.monotonic()
        await asyncio.gather(*(cluster.start_instance(n) for n in range(6)))
        await cluster.wait_until_drained(60.0)
        drain_s = time.monotonic() - started_at
        calls_to_old_place = sum(len(cluster.calls_to(dest, "a")) for dest in moved_destinations)
        results = await measure(cluster, clients)
        clients.close()
        return results | {
            "held": pending_before,
            "drained s": round(drain_s, 1),
            "delivered": len(cluster.effects()),
            "calls at places that were left": calls_to_old_place,
        }


async def waiting() -> dict[str, Any]:
    """Destinations move, some of them twice, while their messages wait for the shard."""
    async with sharded_cluster(3, 3) as cluster:
        await asyncio.gather(*(cluster.kill(n) for n in range(3)))
        clients = Clients(cluster)
        moved_destinations = list(range(100, 160))
        for dest in moved_destinations:
            clients.submit(dest, cluster.relays[dest % 3])
        await clients.wait_until_settled()
        cluster.move(*moved_destinations)
        cluster.move(*moved_destinations[:30])
        await asyncio.gather(*(cluster.start_instance(n) for n in range(3)))
        results = await measure(cluster, clients)
        calls_to_old_place = sum(
            len(cluster.calls_to(dest, "b" if cluster.current_places[dest] == "a" else "a"))
            for dest in moved_destinations
        )
        clients.close()
        return results | {
            "delivered": len(cluster.effects()),
            "calls at places that were left": calls_to_old_place,
        }


PLAYS: dict[str, Play] = {
    "calm": calm,
    "killed": killed,
    "frozen": frozen,
    "behind": behind,
    "restarted": restarted,
    "one_way": one_way,
    "doubled": doubled,
    "unreadable": unreadable,
    "held": pending_messages,
    "waiting": waiting,
}


def violations_of(name: str, results: dict[str, Any]) -> list[str]:
    violations = [f"{name}: {text}" for text in results["broken"]]
    if results.get("force most s", 0.0) > BOUND_S:
        violations.append(f"{name}: a call by an entry that was replaced {results['force most s']} s before")
    if results.get("calls at places that were left"):
        violations.append(f"{name}: calls to places that the destinations had left before")
    return violations


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.sharded_directory")
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--plays", default=",".join(PLAYS), help="names of the cases, separated by commas; empty: none"
    )
    parser.add_argument("--budget", action="store_true")
    parser.add_argument("--sizes", default="1000,10000", help="numbers of destinations in use, of 360,000")
    parser.add_argument(
        "--known", type=int, default=DESTS, help="number of destinations on the shard servers"
    )
    parser.add_argument(
        "--parts", default="without,rows,storm", help="parts of the budget, separated by commas"
    )
    parser.add_argument("--count", type=int, default=SHARDS, help="number of shards: a power of two")
    args = parser.parse_args()
    results: dict[str, Any] = {}
    violations: list[str] = []
    for name in (each for each in args.plays.split(",") if each):
        results[name] = asyncio.run(_run_play(PLAYS[name]))
        violations += violations_of(name, results[name])
        if not args.json:
            summary = ", ".join(f"{key} {value}" for key, value in results[name].items())
            print(f"{name}: {summary}", flush=True)
    if args.budget:
        results["budget"] = asyncio.run(
            budget(
                [int(each) for each in args.sizes.split(",")],
                args.known,
                set(args.parts.split(",")),
                args.count,
            )
        )
    if args.json or args.budget:
        print(json.dumps(results, indent=1))
    for text in violations:
        print(text, file=sys.stderr)
    return 1 if violations else 0


async def _run_play(play: Play) -> dict[str, Any]:
    started_at = time.monotonic()
    return await play() | {"took s": round(time.monotonic() - started_at, 1)}


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # stops the child processes on SIGTERM too
    sys.exit(main())
