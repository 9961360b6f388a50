"""Hollow instances: the program's own peers, rules and plans with real sockets, hundreds to a process.

    python -m benchmarks.capacity.hollow [--instances 3000] [--processes 8] [--stretch 6] [--json]
        [--events rest,changes,frozen,return,zone,storm,deaths] [--rows docs/reports/hollow.jsonl]
    python -m benchmarks.capacity.hollow --fit --rows docs/reports/hollow.jsonl
        --into docs/reports/capacity.json

A fleet of hollow ones on loopback, 5 real voters and 3 real relays that take traffic, these behind the fault
net. All periods (membership's, the leases' bound and horizon, the evidence's window) are the defaults times
`--stretch`; how often an instance looks whether its rules have changed (20 times a second) is not stretched.
Each play adds a row to `--rows`; `--fit` makes of them slopes (the largest size is predicted by the others)
and facts. Of each instance: datagrams (peers.node.Node.counts; bytes without their IP and UDP headers),
processor time and memory of its process less an empty one, divided by the instances in it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import platform
import random
import signal
import statistics
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from emulator.capacity.slopes import Report, Sample, Slope, fitted

from .hollow_figures import Bins
from .hollow_fleet import Broken, HollowFleet, begun, hollow_fleet

EVENTS = ("rest", "changes", "frozen", "return", "zone", "storm", "deaths")
REST_S = 15.0
CHANGES, STORM, STORM_S = 4, 20, 60.0
RETURN, ZONE, FROZEN_S = 200, 700, 10.0
BACK_S = 2.0  # periods: a supervisor starts one that crashed about so long after
RATES = 900.0, 895.0  # the standby of each lies within the other: one that ends holds it up for a lease
UNITS = {
    "bytes_s": "bytes/s",
    "bytes_in_s": "bytes/s",
    "datagrams_s": "datagrams/s",
    "datagrams_in_s": "datagrams/s",
    "cpu_share": "cores",
    "memory_bytes": "bytes",
    "voter_datagrams_in_s": "datagrams/s",
    "voter_bytes_in_s": "bytes/s",
    "voter_bytes_s": "bytes/s",
    "voter_cpu_share": "cores",
    "voter_memory_bytes": "bytes",
    "change_p99_s": "s",
}
MECHANISMS = {
    "voter": "message_relay/consensus/lease_grantor.py",
    "change": "message_relay/consensus/instance.py",
}
MECHANISM = "message_relay/gossip/swim.py"


def merged(rows: dict[str, Bins], keys: Sequence[str]) -> Bins:
    found = Bins()
    for key in keys:
        if key in rows:
            found.merge(rows[key].counts)
    return found


async def changes(them: HollowFleet, seconds: float) -> dict[str, float]:
    before = await them.counts()
    rows = [await them.change(RATES[n % 2], seconds) for n in range(CHANGES)]
    after = await them.counts()
    whole = [row for row in rows if row["acting"] == row["of"]]
    told: dict[str, float] = {"changes": len(rows), "changes_whole": len(whole)}
    for name in ("sent", "sent_bytes", "asked", "asked_bytes"):  # what goes at rest included
        told[f"change_{name}"] = (after["counts"][name] - before["counts"][name]) / them.up / len(rows)
    told["change_cpu_ms"] = 1000 * (after["cpu_s"] - before["cpu_s"]) / them.up / len(rows)
    told["changes_took_s"] = after["at"] - before["at"]
    told["voter_refused_streams"] = after["voter"]["refused_streams"]
    return (
        told
        | {f"change_{name}": statistics.median(row[name] for row in rows) for name in ("p50_s", "p99_s")}
        | {"change_most_s": max(row["most_s"] for row in rows)}
    )


async def storm(them: HollowFleet, seconds: float) -> dict[str, float]:
    """Twenty versions in a minute: of each, when the hollow ones act by it or a later one."""
    proposed = []
    begun_at = time.monotonic()
    for n in range(STORM):
        await asyncio.sleep(max(0.0, begun_at + n * STORM_S / STORM - time.monotonic()))
        proposed.append(await them.propose(RATES[n % 2]))
    took = time.monotonic() - begun_at
    await them.all_act(seconds)
    rows = []
    for version, at in proposed:
        bins = await them.acted(version)
        rows.append((bins.quantile(0.5, at), bins.quantile(0.99, at), bins.quantile(1.0, at), len(bins)))
    return {
        "changes_20_took_s": took,
        "changes_20_p50_s": statistics.median(row[0] for row in rows),
        "changes_20_p99_s": max(row[1] for row in rows),
        "changes_20_most_s": max(row[2] for row in rows),
        "changes_20_acting_least": min(row[3] for row in rows),
    }


async def away(them: HollowFleet, numbers: list[int], seconds: float, name: str) -> dict[str, float]:
    """These end at once, are known as dead by all, and come back."""
    keys = [f"n{n}/{them.boots[n]}" for n in numbers]
    await them.heard()
    at = await them.end(numbers)
    want = them.up * len(numbers)
    deaths = Bins()
    while time.monotonic() < at + seconds and len(deaths) < want:
        await asyncio.sleep(2.0)
        deaths.merge(merged((await them.heard())["deaths"], keys).counts)
    told = {f"{name}_dead_{key}": value for key, value in deaths.quartet(at).items()}
    told |= {f"{name}_dead_known": len(deaths) / want}
    return told | await back(them, numbers, seconds, name)


async def back(them: HollowFleet, numbers: list[int], seconds: float, name: str) -> dict[str, float]:
    """These begin again at once: until they act by the rules, and until all have heard of them."""
    at = time.monotonic()
    await them.start(numbers, 1.0)
    keys = [f"n{n}/{them.boots[n]}" for n in numbers]
    acts = await them.all_act(seconds)
    acted = time.monotonic() - at
    lives = Bins()
    want = len(numbers) * (them.up - 1)
    ends = time.monotonic() + seconds
    while time.monotonic() < ends and len(lives) < want:
        await asyncio.sleep(1.0)
        lives.merge(merged((await them.heard())["lives"], keys).counts)
    return {
        f"{name}_s": acted,
        f"{name}_all_act": float(not math.isnan(acts)),
        f"{name}_known_p50_s": lives.quantile(0.5, at),
        f"{name}_known_p99_s": lives.quantile(0.99, at),
        f"{name}_known": min(1.0, len(lives) / want),
    }


async def crashed(them: HollowFleet, numbers: list[int], seconds: float, name: str) -> dict[str, float]:
    """These end at once and come back before they are held for dead."""
    await them.end(numbers)
    await asyncio.sleep(BACK_S * them.stretch)
    await them.heard()
    return {name: len(numbers)} | await back(them, numbers, seconds, name)


async def returning(them: HollowFleet, seconds: float) -> dict[str, float]:
    numbers = random.Random(1).sample(them.numbers, min(RETURN, them.instances // 3))
    return await crashed(them, numbers, seconds, "return_200")


def of_zone(them: HollowFleet) -> list[int]:
    return [n for n in them.numbers if them.zone(n) == 0][:ZONE]


async def zone(them: HollowFleet, seconds: float) -> dict[str, float]:
    return await crashed(them, of_zone(them), seconds, "zone")


async def deaths(them: HollowFleet, seconds: float) -> dict[str, float]:
    return await away(them, of_zone(them), 4 * seconds, "deaths")


async def frozen(them: HollowFleet, seconds: float) -> dict[str, float]:
    """One process of hollow ones stands still for ten seconds, as long as a machine that swaps."""
    await them.heard()
    wrong, worker = dict(them.wrong), them.workers[-1]
    mine = {f"n{n}/{them.boots[n]}" for n in worker.numbers}
    worker.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    worker.process.send_signal(signal.SIGCONT)
    at = time.monotonic()
    acts = await them.all_act(seconds)
    until = at + max(0.0, seconds / 2)
    while time.monotonic() < until:
        await asyncio.sleep(2.0)
        await them.heard()
    new = {key for key in them.wrong if key not in wrong}
    return {
        "frozen": len(worker.numbers),
        "frozen_acts_s": acts,
        "frozen_dead": len(new & mine),
        "frozen_wrong_deaths": len(new - mine),
    }


async def play(args: argparse.Namespace) -> dict[str, Any]:
    began = time.monotonic()
    row: dict[str, Any] = {
        "instances": args.instances,
        "processes": args.processes,
        "stretch": args.stretch,
        "machine": f"{os.cpu_count()} cores, Python {platform.python_version()}",
        "load": os.getloadavg()[0],
    }
    async with hollow_fleet(args.instances, args.processes, args.stretch, args.zone_of) as them:
        them.say(f"{args.instances}: real ones up after {time.monotonic() - began:.1f} s")
        them.serve()
        try:
            row |= await begun(them, args.within or args.instances / 100, args.patience)
            # Only now, since whoever reads this line may end the play: the row has these figures by then.
            them.say(f"  all know all after {row['start_known_s']:.1f} s")
            for event in args.events:
                if time.monotonic() - began > args.budget:
                    row.setdefault("not_played", []).append(event)
                    continue
                if event == "rest":
                    row |= await them.rest(REST_S)
                else:
                    happens = {
                        "changes": changes,
                        "storm": storm,
                        "return": returning,
                        "zone": zone,
                        "frozen": frozen,
                        "deaths": deaths,
                    }[event]
                    try:
                        row |= await happens(them, args.patience)
                    except Broken as error:
                        row[f"{event}_failed"] = str(error)
                them.say(f"  {event} done after {time.monotonic() - began:.1f} s")
            await them.heard()
            row |= {
                "wrong_deaths": len(them.wrong),
                "wrong_deaths_heard": sum(them.wrong.values()),
                "suspected": len(them.suspected),
                "conflicts": them.conflicts,
            }
            if them.clients is not None:
                row["real_taken"] = len(them.clients.taken)
                row["real_asked"] = len(them.clients.asked)
            row["seconds"] = time.monotonic() - began
            row["whole"] = True
        finally:  # also of a play that is ended by its time limit, and before the end of all, which may fail
            keep(args, row)
    return row


def keep(args: argparse.Namespace, row: dict[str, Any]) -> None:
    row = {name: round(value, 6) if isinstance(value, float) else value for name, value in row.items()}
    if args.rows is not None:
        args.rows.parent.mkdir(parents=True, exist_ok=True)
        with open(args.rows, "a") as file:
            file.write(json.dumps(row) + "\n")
    print(json.dumps(row, indent=None if args.json else 1), flush=True)


# -- what the page takes -----------------------------------------------------------------------------------


def slopes(rows: list[dict[str, Any]]) -> list[Slope]:
    """Of each cost at rest: by the rows of one stretch, the largest size in no fit."""
    found = []
    sizes = sorted({row["instances"] for row in rows if "bytes_s" in row})
    for cost, unit in UNITS.items():
        samples = []
        for size in sizes:
            values = [
                row[cost]
                for row in rows
                if row["instances"] == size and cost in row and math.isfinite(row[cost])
            ]
            if values:
                samples.append(Sample(size, statistics.median(values), min(values), max(values)))
        if len(samples) < 5:
            continue
        mechanism = MECHANISMS.get(cost.partition("_")[0], MECHANISM)
        found.append(
            fitted(
                f"hollow.{cost}",
                "instance",
                unit,
                samples[:-1],
                samples[-1],
                mechanism,
                f"periods {rows[0]['stretch']:g} times the defaults",
            )
        )
    return found


def facts(rows: list[dict[str, Any]]) -> dict[str, float]:
    """Of the largest fleet: each figure as its latest row has it."""
    most = max(row["instances"] for row in rows)
    found: dict[str, float] = {}
    for row in rows:
        if row["instances"] == most:
            found |= {
                f"hollow.{name}": float(value)
                for name, value in row.items()
                if isinstance(value, int | float) and math.isfinite(value)
            }
    return found


def fit(rows_file: Path, into: Path) -> str:
    """Writes slopes and facts into a report that has others'."""
    rows = [json.loads(line) for line in rows_file.read_text().splitlines()]
    stretch = max(rows, key=lambda row: row["instances"])["stretch"]
    rows = [row for row in rows if row["stretch"] == stretch]
    before = Report("", 0.0, 0.0, 0, [])
    if into.exists():
        before = msgspec.json.decode(into.read_bytes(), type=Report)
    new = slopes(rows)
    kept = [each for each in before.slopes if not each.name.startswith("hollow.")]
    known = {name: value for name, value in before.facts.items() if not name.startswith("hollow.")}
    told = msgspec.structs.replace(
        before, slopes=sorted(kept + new, key=lambda each: each.name), facts=known | facts(rows)
    )
    into.write_bytes(msgspec.json.format(msgspec.json.encode(told), indent=1) + b"\n")
    return "\n".join(
        f"{each.name:32} base {each.base:12.5g} each {each.each:12.5g} exponent {each.exponent:5.2f}  at "
        f"{each.largest}: predicted {each.predicted:.5g}, measured {each.measured:.5g}"
        f"{'  OFF' if each.finding else ''}"
        for each in new
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=3000)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--stretch", type=float, default=6.0)
    parser.add_argument("--zone-of", type=int, default=0, help="hollow ones in the zone that is lost")
    parser.add_argument("--within", type=float, default=0.0, help="s over which they begin; 100 a second")
    parser.add_argument("--patience", type=float, default=60.0, help="s until something counts as not come")
    parser.add_argument("--budget", type=float, default=1e9, help="s after which no further event begins")
    parser.add_argument("--events", type=lambda text: text.split(","), default=list(EVENTS))
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--rows", type=Path, help="a row is added to it")
    parser.add_argument("--fit", action="store_true")
    parser.add_argument("--into", type=Path, help="with --fit: the report")
    args = parser.parse_args()
    if set(args.events) - set(EVENTS):
        parser.error(f"--events: {', '.join(set(args.events) - set(EVENTS))}: none of {', '.join(EVENTS)}")
    if args.fit:
        if args.rows is None or args.into is None:
            parser.error("--fit: needs --rows and --into")
        print(fit(args.rows, args.into))
        return 0
    asyncio.run(play(args))
    return 0


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # a time limit leaves its row, and no process
    sys.exit(main())
