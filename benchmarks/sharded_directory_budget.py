"""Measures the sharded directory's cost for a real relay, with servers of 360,000 destinations: memory, bytes
and processor time, when idle and during changes. See benchmarks/sharded_directory.py."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from .sharded_directory_cluster import Clients, ShardedCluster, entry, sharded_cluster

DESTS = 360_000
DAY_S, PLAN = 86_400.0, 7_000  # planned changes a day
WINDOW_S = 20.0  # duration of each measurement
STORM, STORM_S = 72_000, 30.0  # number of changes, and their duration
SUBMISSIONS_PER_S = 250.0  # messages/s while destinations come into use; nearly each needs another shard
HOLD, LEFT_MS = 4000, 30_000.0
SHARDS = 8192


async def resource_usage(cluster: ShardedCluster) -> dict[str, float]:
    """Returns the relay's resource usage since its start.

    The bytes on connections are those that the fault proxy counts: there is no other client.
    """
    report = await cluster.report(cluster.relays[0])
    shards = report.shards or {}
    counts = await cluster.net("count")
    datagrams = shards.get("peers", {})
    byte_count = counts.get("bytes", 0) + datagrams.get("sent_bytes", 0) + datagrams.get("received_bytes", 0)
    return {
        "at": time.monotonic(),
        "cpu": report.cpu_s,
        "rss": report.rss_mb,
        "bytes": float(byte_count),
        "lag": report.lag.most_ms,
    }


def between(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    elapsed_s = after["at"] - before["at"]
    return {
        "core %": round(100 * (after["cpu"] - before["cpu"]) / elapsed_s, 2),
        "bytes/s": round((after["bytes"] - before["bytes"]) / elapsed_s),
        "RSS MB": round(after["rss"], 1),
        "lag ms": after["lag"],
    }


async def measure_window(cluster: ShardedCluster, seconds: float = WINDOW_S) -> dict[str, float]:
    before = await resource_usage(cluster)
    await asyncio.sleep(seconds)
    return between(before, await resource_usage(cluster))


async def change_repeatedly(cluster: ShardedCluster, a_second: float) -> None:
    """Changes one randomly chosen destination at a time, until cancelled."""
    rng = random.Random(5)
    while True:
        await asyncio.sleep(rng.expovariate(a_second))
        cluster.register.change([entry(rng.randint(1, cluster.dests), cluster.at[rng.choice("ab")])])


async def measure_with_changes(cluster: ShardedCluster, a_second: float) -> dict[str, float]:
    task = asyncio.ensure_future(change_repeatedly(cluster, a_second))
    try:
        await asyncio.sleep(3.0)
        return await measure_window(cluster)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def bring_into_use(cluster: ShardedCluster, clients: Clients, dests: list[int]) -> float:
    """Submits a message to each destination; returns the seconds until all are delivered."""
    started_at = time.monotonic()
    for n, dest in enumerate(dests):
        await asyncio.sleep(max(0.0, started_at + n / SUBMISSIONS_PER_S - time.monotonic()))
        clients.submit(dest, cluster.relays[0], "status", LEFT_MS)
    await clients.wait_until_settled()
    await cluster.wait_until_drained(LEFT_MS / 1000 + 5.0)
    return time.monotonic() - started_at


async def measure_storm(cluster: ShardedCluster) -> dict[str, Any]:
    rng, started_at = random.Random(6), time.monotonic()
    before = await resource_usage(cluster)
    dests = rng.sample(range(1, cluster.dests + 1), min(STORM, cluster.dests))
    batch_count = 60
    for n in range(batch_count):
        cluster.register.change([entry(dest, cluster.at["b"]) for dest in dests[n::batch_count]])
        await asyncio.sleep(max(0.0, started_at + STORM_S * (n + 1) / batch_count - time.monotonic()))
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
        "keepers": [await cluster.role_status(n, "keeper") for n in range(cluster.shard_servers)],
    }


async def budget(sizes: list[int], known: int, parts: set[str], count: int = SHARDS) -> dict[str, Any]:
    """Runs the measurements named by `parts`: `without` (a relay without the sharded directory), `rows` (for
    each size) and `storm`. `sizes` are ascending numbers of destinations in use at the relay, of `known`."""
    results: dict[str, Any] = {"destinations": known, "shards": count}
    if "without" in parts:
        async with sharded_cluster(1, 1, on=False, dests=1, hold=HOLD) as cluster:
            await asyncio.sleep(2.0)
            clients = Clients(cluster)
            await bring_into_use(cluster, clients, [1] * 1000)
            clients.close()
            results["without"] = await measure_window(cluster)
    async with sharded_cluster(2, 1, dests=known, count=count, hold=HOLD, idle_s=3600.0) as cluster:
        await asyncio.sleep(2.0)
        results["keeper"] = {"RSS MB": round((await cluster.report(0)).rss_mb, 1)}
        if "without" in parts:
            results["none in use"] = await measure_window(cluster)
        dests = list(range(1, known + 1))
        random.Random(4).shuffle(dests)
        clients, used_count = Clients(cluster), 0
        for size in sizes:
            row: dict[str, Any] = {}
            row["into use s"] = round(await bring_into_use(cluster, clients, dests[used_count:size]), 1)
            used_count = size
            if "rows" in parts:
                await asyncio.sleep(3.0)
                row["at rest"] = await measure_window(cluster)
                row["plan"] = await measure_with_changes(cluster, PLAN / DAY_S)
                row["plan x 100"] = await measure_with_changes(cluster, 100 * PLAN / DAY_S)
            row["reader"] = await cluster.role_status(cluster.relays[0], "reader")
            results[f"{size} in use"] = row
        if "storm" in parts:
            results["storm"] = await measure_storm(cluster)
        results["keeper after"] = {
            "RSS MB": round((await cluster.report(0)).rss_mb, 1),
            "lag ms": (await cluster.report(0)).lag.most_ms,
        }
        results["broken"] = cluster.violations(clients.accepted)
        clients.close()
    return results
