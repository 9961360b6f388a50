"""What the directory by interest costs a real relay beside servers of 360,000 destinations: memory, bytes and
processor time, at rest and at changes. See benchmarks/sharded_directory.py."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from .sharded_directory_cluster import Clients, ShardedCluster, entry, sharded_cluster

DESTS = 360_000
DAY_S, PLAN = 86_400.0, 7_000  # changes
WINDOW_S = 20.0  # of each measurement
STORM, STORM_S = 72_000, 30.0  # changes, and within so long
HAND_IN = 250.0  # messages a second while destinations come into use: a shard for nearly each
HOLD, LEFT_MS = 4000, 30_000.0
SHARDS = 8192


async def resource_usage(cluster: ShardedCluster) -> dict[str, float]:
    """Of the relay, since its start.

    Bytes of connections are those of the net, in which there is no other client.
    """
    report = await cluster.report(cluster.relays[0])
    shards = report.shards or {}
    counts = await cluster.net("count")
    datagrams = shards.get("peers", {})
    moved = counts.get("bytes", 0) + datagrams.get("sent_bytes", 0) + datagrams.get("received_bytes", 0)
    return {
        "at": time.monotonic(),
        "cpu": report.cpu_s,
        "rss": report.rss_mb,
        "bytes": float(moved),
        "lag": report.lag.most_ms,
    }


def between(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    took = after["at"] - before["at"]
    return {
        "core %": round(100 * (after["cpu"] - before["cpu"]) / took, 2),
        "bytes/s": round((after["bytes"] - before["bytes"]) / took),
        "RSS MB": round(after["rss"], 1),
        "lag ms": after["lag"],
    }


async def window(cluster: ShardedCluster, seconds: float = WINDOW_S) -> dict[str, float]:
    before = await resource_usage(cluster)
    await asyncio.sleep(seconds)
    return between(before, await resource_usage(cluster))


async def changing(cluster: ShardedCluster, a_second: float) -> None:
    """Each of one destination, any of them."""
    rng = random.Random(5)
    while True:
        await asyncio.sleep(rng.expovariate(a_second))
        cluster.register.change([entry(rng.randint(1, cluster.dests), cluster.at[rng.choice("ab")])])


async def with_changes(cluster: ShardedCluster, a_second: float) -> dict[str, float]:
    work = asyncio.ensure_future(changing(cluster, a_second))
    try:
        await asyncio.sleep(3.0)
        return await window(cluster)
    finally:
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)


async def use(cluster: ShardedCluster, clients: Clients, some: list[int]) -> float:
    """Hands in a message for each; how long until all have gone."""
    started_at = time.monotonic()
    for n, dest in enumerate(some):
        await asyncio.sleep(max(0.0, started_at + n / HAND_IN - time.monotonic()))
        clients.submit(dest, cluster.relays[0], "status", LEFT_MS)
    await clients.wait_until_settled()
    await cluster.drained(LEFT_MS / 1000 + 5.0)
    return time.monotonic() - started_at


async def stormed(cluster: ShardedCluster) -> dict[str, Any]:
    rng, started_at = random.Random(6), time.monotonic()
    before = await resource_usage(cluster)
    dests = rng.sample(range(1, cluster.dests + 1), min(STORM, cluster.dests))
    pieces = 60
    for n in range(pieces):
        cluster.register.change([entry(dest, cluster.at["b"]) for dest in dests[n::pieces]])
        await asyncio.sleep(max(0.0, started_at + STORM_S * (n + 1) / pieces - time.monotonic()))
    changed_at = time.monotonic()
    await cluster.wait_until_followed(120.0)
    servers_followed_s = time.monotonic() - changed_at
    async with asyncio.timeout(120.0):
        while (await cluster.role_status(cluster.relays[0], "reader"))["version"][
            1
        ] < cluster.register.generation:
            await asyncio.sleep(0.05)
    return {
        "changes": len(dests),
        "within s": STORM_S,
        "keepers follow after s": round(servers_followed_s, 1),
        "the relay follows after s": round(time.monotonic() - changed_at, 1),
        **between(before, await resource_usage(cluster)),
        "reader": await cluster.role_status(cluster.relays[0], "reader"),
        "keepers": [await cluster.role_status(n, "keeper") for n in range(cluster.keepers)],
    }


async def budget(sizes: list[int], known: int, parts: set[str], count: int = SHARDS) -> dict[str, Any]:
    """Ascending sizes: destinations in use at the relay, of `known`. `parts`: `without` (a relay without it),
    `rows` (of each size), `storm`."""
    found: dict[str, Any] = {"destinations": known, "shards": count}
    if "without" in parts:
        async with sharded_cluster(1, 1, on=False, dests=1, hold=HOLD) as cluster:
            await asyncio.sleep(2.0)
            clients = Clients(cluster)
            await use(cluster, clients, [1] * 1000)
            clients.close()
            found["without"] = await window(cluster)
    async with sharded_cluster(2, 1, dests=known, count=count, hold=HOLD, idle_s=3600.0) as cluster:
        await asyncio.sleep(2.0)
        found["keeper"] = {"RSS MB": round((await cluster.report(0)).rss_mb, 1)}
        if "without" in parts:
            found["none in use"] = await window(cluster)
        dests = list(range(1, known + 1))
        random.Random(4).shuffle(dests)
        clients, before = Clients(cluster), 0
        for size in sizes:
            row: dict[str, Any] = {}
            row["into use s"] = round(await use(cluster, clients, dests[before:size]), 1)
            before = size
            if "rows" in parts:
                await asyncio.sleep(3.0)
                row["at rest"] = await window(cluster)
                row["plan"] = await with_changes(cluster, PLAN / DAY_S)
                row["plan x 100"] = await with_changes(cluster, 100 * PLAN / DAY_S)
            row["reader"] = await cluster.role_status(cluster.relays[0], "reader")
            found[f"{size} in use"] = row
        if "storm" in parts:
            found["storm"] = await stormed(cluster)
        found["keeper after"] = {
            "RSS MB": round((await cluster.report(0)).rss_mb, 1),
            "lag ms": (await cluster.report(0)).lag.most_ms,
        }
        found["broken"] = cluster.broken(clients.accepted)
        clients.close()
    return found
