"""What the directory by interest costs a real relay beside keepers of 360,000 destinations: memory, bytes and
processor time, at rest and at changes. See benchmarks/sharded_directory.py."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from .sharded_directory_cluster import Clients, ShardsTown, entry, shards_town

DESTS = 360_000
DAY_S, PLAN = 86_400.0, 7_000  # changes
WINDOW_S = 20.0  # of each measurement
STORM, STORM_S = 72_000, 30.0  # changes, and within so long
HAND_IN = 250.0  # messages a second while destinations come into use: a shard for nearly each
HOLD, LEFT_MS = 4000, 30_000.0
SHARDS = 8192


async def taken(it: ShardsTown) -> dict[str, float]:
    """Of the relay, since its start. Bytes of connections are those of the net, in which there is no other
    reader."""
    told = await it.report(it.relays[0])
    shards = told.shards or {}
    counts = await it.net("count")
    datagrams = shards.get("peers", {})
    moved = counts.get("bytes", 0) + datagrams.get("sent_bytes", 0) + datagrams.get("received_bytes", 0)
    return {
        "at": time.monotonic(),
        "cpu": told.cpu_s,
        "rss": told.rss_mb,
        "bytes": float(moved),
        "lag": told.lag.most_ms,
    }


def between(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    took = after["at"] - before["at"]
    return {
        "core %": round(100 * (after["cpu"] - before["cpu"]) / took, 2),
        "bytes/s": round((after["bytes"] - before["bytes"]) / took),
        "RSS MB": round(after["rss"], 1),
        "lag ms": after["lag"],
    }


async def window(it: ShardsTown, seconds: float = WINDOW_S) -> dict[str, float]:
    before = await taken(it)
    await asyncio.sleep(seconds)
    return between(before, await taken(it))


async def changing(it: ShardsTown, a_second: float) -> None:
    """Each of one destination, any of them."""
    rng = random.Random(5)
    while True:
        await asyncio.sleep(rng.expovariate(a_second))
        it.register.change([entry(rng.randint(1, it.dests), it.at[rng.choice("ab")])])


async def with_changes(it: ShardsTown, a_second: float) -> dict[str, float]:
    work = asyncio.ensure_future(changing(it, a_second))
    try:
        await asyncio.sleep(3.0)
        return await window(it)
    finally:
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)


async def use(it: ShardsTown, clients: Clients, some: list[int]) -> float:
    """Hands in a message for each; how long until all have gone."""
    begun = time.monotonic()
    for n, dest in enumerate(some):
        await asyncio.sleep(max(0.0, begun + n / HAND_IN - time.monotonic()))
        clients.hand_in(dest, it.relays[0], "status", LEFT_MS)
    await clients.settled()
    await it.drained(LEFT_MS / 1000 + 5.0)
    return time.monotonic() - begun


async def stormed(it: ShardsTown) -> dict[str, Any]:
    rng, begun = random.Random(6), time.monotonic()
    before = await taken(it)
    dests = rng.sample(range(1, it.dests + 1), min(STORM, it.dests))
    pieces = 60
    for n in range(pieces):
        it.register.change([entry(dest, it.at["b"]) for dest in dests[n::pieces]])
        await asyncio.sleep(max(0.0, begun + STORM_S * (n + 1) / pieces - time.monotonic()))
    ended = time.monotonic()
    await it.followed(120.0)
    kept = time.monotonic() - ended
    async with asyncio.timeout(120.0):
        while (await it.role(it.relays[0], "reader"))["version"][1] < it.register.generation:
            await asyncio.sleep(0.05)
    return {
        "changes": len(dests),
        "within s": STORM_S,
        "keepers follow after s": round(kept, 1),
        "the relay follows after s": round(time.monotonic() - ended, 1),
        **between(before, await taken(it)),
        "reader": await it.role(it.relays[0], "reader"),
        "keepers": [await it.role(n, "keeper") for n in range(it.keepers)],
    }


async def budget(sizes: list[int], known: int, parts: set[str], count: int = SHARDS) -> dict[str, Any]:
    """Ascending sizes: destinations in use at the relay, of `known`. `parts`: `without` (a relay without it),
    `rows` (of each size), `storm`."""
    found: dict[str, Any] = {"destinations": known, "shards": count}
    if "without" in parts:
        async with shards_town(1, 1, on=False, dests=1, hold=HOLD) as it:
            await asyncio.sleep(2.0)
            clients = Clients(it)
            await use(it, clients, [1] * 1000)
            clients.close()
            found["without"] = await window(it)
    async with shards_town(2, 1, dests=known, count=count, hold=HOLD, idle_s=3600.0) as it:
        await asyncio.sleep(2.0)
        found["keeper"] = {"RSS MB": round((await it.report(0)).rss_mb, 1)}
        if "without" in parts:
            found["none in use"] = await window(it)
        dests = list(range(1, known + 1))
        random.Random(4).shuffle(dests)
        clients, before = Clients(it), 0
        for size in sizes:
            row: dict[str, Any] = {}
            row["into use s"] = round(await use(it, clients, dests[before:size]), 1)
            before = size
            if "rows" in parts:
                await asyncio.sleep(3.0)
                row["at rest"] = await window(it)
                row["plan"] = await with_changes(it, PLAN / DAY_S)
                row["plan x 100"] = await with_changes(it, 100 * PLAN / DAY_S)
            row["reader"] = await it.role(it.relays[0], "reader")
            found[f"{size} in use"] = row
        if "storm" in parts:
            found["storm"] = await stormed(it)
        found["keeper after"] = {
            "RSS MB": round((await it.report(0)).rss_mb, 1),
            "lag ms": (await it.report(0)).lag.most_ms,
        }
        found["broken"] = it.broken(clients.taken)
        clients.close()
    return found
