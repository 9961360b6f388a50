"""Measures a fleet of hollow instances: the program's own gossip, rules and plans with real sockets, hundreds
in one process.

    python -m benchmarks.capacity.hollow [--instances 3000] [--processes 8] [--stretch 6] [--json]
        [--events rest,changes,frozen,return,zone,storm,deaths] [--rows docs/reports/hollow.jsonl]
    python -m benchmarks.capacity.hollow --fit --rows docs/reports/hollow.jsonl
        --into docs/reports/capacity.json

The fleet runs on loopback: hollow instances, 5 real voters, and 3 real relays that serve traffic behind the
fault proxy. All periods (of membership, the leases' bound and horizon, the window of observations) are the
defaults times `--stretch`. The interval at which an instance checks whether its rules have changed (20 times
a second) is not stretched. Each run adds a row to `--rows`. `--fit` turns the rows into slopes (the largest
size is predicted from the others) and facts. The figures of an instance are its datagrams (GossipNode.counts;
bytes without IP and UDP headers), and the processor time and memory of its process, less those of an empty
process, divided by the number of instances in it.
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

from emulator.capacity.slopes import Report, Sample, Slope, fit_slope

from .hollow_figures import Bins
from .hollow_fleet import HollowFleet, WorkerError, hollow_fleet, start_fleet

EVENTS = ("rest", "changes", "frozen", "return", "zone", "storm", "deaths")
REST_S = 15.0
CHANGES, STORM, STORM_S = 4, 20, 60.0
RETURN, ZONE, SUSPENDED_S = 200, 700, 10.0
RESTART_PERIODS = 2.0  # periods: the approximate delay until a supervisor restarts a crashed instance
RATES = 900.0, 895.0  # the standby of each is within the other: a stopped instance delays it by a lease
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
    bins = Bins()
    for key in keys:
        if key in rows:
            bins.merge(rows[key].counts)
    return bins


async def changes(fleet: HollowFleet, seconds: float) -> dict[str, float]:
    before = await fleet.counts()
    rows = [await fleet.change(RATES[n % 2], seconds) for n in range(CHANGES)]
    after = await fleet.counts()
    complete = [row for row in rows if row["acting"] == row["of"]]
    figures: dict[str, float] = {"changes": len(rows), "changes_whole": len(complete)}
    for name in ("sent", "sent_bytes", "asked", "asked_bytes"):  # includes the traffic at rest
        figures[f"change_{name}"] = (after["counts"][name] - before["counts"][name]) / fleet.up / len(rows)
    figures["change_cpu_ms"] = 1000 * (after["cpu_s"] - before["cpu_s"]) / fleet.up / len(rows)
    figures["changes_took_s"] = after["at"] - before["at"]
    figures["voter_refused_streams"] = after["voter"]["refused_streams"]
    return (
        figures
        | {f"change_{name}": statistics.median(row[name] for row in rows) for name in ("p50_s", "p99_s")}
        | {"change_most_s": max(row["most_s"] for row in rows)}
    )


async def storm(fleet: HollowFleet, seconds: float) -> dict[str, float]:
    """Propose twenty versions in a minute and measure when the instances act by each or a later one."""
    proposed = []
    started_at = time.monotonic()
    for n in range(STORM):
        await asyncio.sleep(max(0.0, started_at + n * STORM_S / STORM - time.monotonic()))
        proposed.append(await fleet.propose(RATES[n % 2]))
    proposals_s = time.monotonic() - started_at
    await fleet.all_act(seconds)
    rows = []
    for version, at in proposed:
        bins = await fleet.acting_times(version)
        rows.append((bins.quantile(0.5, at), bins.quantile(0.99, at), bins.quantile(1.0, at), len(bins)))
    return {
        "changes_20_took_s": proposals_s,
        "changes_20_p50_s": statistics.median(row[0] for row in rows),
        "changes_20_p99_s": max(row[1] for row in rows),
        "changes_20_most_s": max(row[2] for row in rows),
        "changes_20_acting_least": min(row[3] for row in rows),
    }


async def stop_and_return(
    fleet: HollowFleet, numbers: list[int], seconds: float, name: str
) -> dict[str, float]:
    """Stop these instances at once, wait until all others know them as dead, and start them again."""
    keys = [f"n{n}/{fleet.process_epochs[n]}" for n in numbers]
    await fleet.drain_observations()
    stopped_at = await fleet.stop(numbers)
    expected = fleet.up * len(numbers)
    deaths = Bins()
    while time.monotonic() < stopped_at + seconds and len(deaths) < expected:
        await asyncio.sleep(2.0)
        deaths.merge(merged((await fleet.drain_observations())["deaths"], keys).counts)
    figures = {f"{name}_dead_{key}": value for key, value in deaths.quartet(stopped_at).items()}
    figures |= {f"{name}_dead_known": len(deaths) / expected}
    return figures | await restart(fleet, numbers, seconds, name)


async def restart(fleet: HollowFleet, numbers: list[int], seconds: float, name: str) -> dict[str, float]:
    """Restart these instances at once and wait until they act by the rules and all others know them."""
    started_at = time.monotonic()
    await fleet.start(numbers, 1.0)
    keys = [f"n{n}/{fleet.process_epochs[n]}" for n in numbers]
    act_s = await fleet.all_act(seconds)
    acted_s = time.monotonic() - started_at
    lives = Bins()
    expected = len(numbers) * (fleet.up - 1)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and len(lives) < expected:
        await asyncio.sleep(1.0)
        lives.merge(merged((await fleet.drain_observations())["lives"], keys).counts)
    return {
        f"{name}_s": acted_s,
        f"{name}_all_act": float(not math.isnan(act_s)),
        f"{name}_known_p50_s": lives.quantile(0.5, started_at),
        f"{name}_known_p99_s": lives.quantile(0.99, started_at),
        f"{name}_known": min(1.0, len(lives) / expected),
    }


async def crash_and_restart(
    fleet: HollowFleet, numbers: list[int], seconds: float, name: str
) -> dict[str, float]:
    """Stop these instances at once and restart them before they are declared dead."""
    await fleet.stop(numbers)
    await asyncio.sleep(RESTART_PERIODS * fleet.stretch)
    await fleet.drain_observations()
    return {name: len(numbers)} | await restart(fleet, numbers, seconds, name)


async def returning(fleet: HollowFleet, seconds: float) -> dict[str, float]:
    numbers = random.Random(1).sample(fleet.numbers, min(RETURN, fleet.instances // 3))
    return await crash_and_restart(fleet, numbers, seconds, "return_200")


def zone_members(fleet: HollowFleet) -> list[int]:
    return [n for n in fleet.numbers if fleet.zone(n) == 0][:ZONE]


async def zone(fleet: HollowFleet, seconds: float) -> dict[str, float]:
    return await crash_and_restart(fleet, zone_members(fleet), seconds, "zone")


async def deaths(fleet: HollowFleet, seconds: float) -> dict[str, float]:
    return await stop_and_return(fleet, zone_members(fleet), 4 * seconds, "deaths")


async def frozen(fleet: HollowFleet, seconds: float) -> dict[str, float]:
    """Suspend one process of hollow instances for ten seconds, as long as a machine that swaps."""
    await fleet.drain_observations()
    wrong_before, worker = dict(fleet.wrong_deaths), fleet.workers[-1]
    suspended = {f"n{n}/{fleet.process_epochs[n]}" for n in worker.numbers}
    worker.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(SUSPENDED_S)
    worker.process.send_signal(signal.SIGCONT)
    resumed_at = time.monotonic()
    act_s = await fleet.all_act(seconds)
    deadline = resumed_at + max(0.0, seconds / 2)
    while time.monotonic() < deadline:
        await asyncio.sleep(2.0)
        await fleet.drain_observations()
    newly_wrong = {key for key in fleet.wrong_deaths if key not in wrong_before}
    return {
        "frozen": len(worker.numbers),
        "frozen_acts_s": act_s,
        "frozen_dead": len(newly_wrong & suspended),
        "frozen_wrong_deaths": len(newly_wrong - suspended),
    }


async def run_experiment(args: argparse.Namespace) -> dict[str, Any]:
    started_at = time.monotonic()
    row: dict[str, Any] = {
        "instances": args.instances,
        "processes": args.processes,
        "stretch": args.stretch,
        "machine": f"{os.cpu_count()} cores, Python {platform.python_version()}",
        "load": os.getloadavg()[0],
    }
    async with hollow_fleet(args.instances, args.processes, args.stretch, args.zone_of) as fleet:
        fleet.log(f"{args.instances}: real instances up after {time.monotonic() - started_at:.1f} s")
        fleet.serve()
        try:
            row |= await start_fleet(fleet, args.within or args.instances / 100, args.patience)
            # Logged only now: a reader of this line may stop the run, and the row must have these figures.
            fleet.log(f"  all know all after {row['start_known_s']:.1f} s")
            for event in args.events:
                if time.monotonic() - started_at > args.budget:
                    row.setdefault("not_played", []).append(event)
                    continue
                if event == "rest":
                    row |= await fleet.rest(REST_S)
                else:
                    run_event = {
                        "changes": changes,
                        "storm": storm,
                        "return": returning,
                        "zone": zone,
                        "frozen": frozen,
                        "deaths": deaths,
                    }[event]
                    try:
                        row |= await run_event(fleet, args.patience)
                    except WorkerError as error:
                        row[f"{event}_failed"] = str(error)
                fleet.log(f"  {event} done after {time.monotonic() - started_at:.1f} s")
            await fleet.drain_observations()
            row |= {
                "wrong_deaths": len(fleet.wrong_deaths),
                "wrong_deaths_heard": sum(fleet.wrong_deaths.values()),
                "suspected": len(fleet.suspected),
                "conflicts": fleet.conflicts,
            }
            if fleet.clients is not None:
                row["real_taken"] = len(fleet.clients.accepted)
                row["real_asked"] = len(fleet.clients.submitted)
            row["seconds"] = time.monotonic() - started_at
            row["whole"] = True
        finally:  # also after a time limit, and before the fleet is closed, which may fail
            write_row(args, row)
    return row


def write_row(args: argparse.Namespace, row: dict[str, Any]) -> None:
    row = {name: round(value, 6) if isinstance(value, float) else value for name, value in row.items()}
    if args.rows is not None:
        args.rows.parent.mkdir(parents=True, exist_ok=True)
        with open(args.rows, "a") as file:
            file.write(json.dumps(row) + "\n")
    print(json.dumps(row, indent=None if args.json else 1), flush=True)


# -- results for the page -------------------------------------------------------------------------------


def slopes(rows: list[dict[str, Any]]) -> list[Slope]:
    """Fit a slope for each cost at rest from rows of one stretch. The largest size is not part of the fit."""
    slopes_found = []
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
        slopes_found.append(
            fit_slope(
                f"hollow.{cost}",
                "instance",
                unit,
                samples[:-1],
                samples[-1],
                mechanism,
                f"periods {rows[0]['stretch']:g} times the defaults",
            )
        )
    return slopes_found


def facts(rows: list[dict[str, Any]]) -> dict[str, float]:
    """Return each figure of the largest fleet, from the latest row that has it."""
    largest = max(row["instances"] for row in rows)
    latest: dict[str, float] = {}
    for row in rows:
        if row["instances"] == largest:
            latest |= {
                f"hollow.{name}": float(value)
                for name, value in row.items()
                if isinstance(value, int | float) and math.isfinite(value)
            }
    return latest


def fit(rows_file: Path, into: Path) -> str:
    """Replace the hollow slopes and facts of a report, and keep all others."""
    rows = [json.loads(line) for line in rows_file.read_text().splitlines()]
    stretch = max(rows, key=lambda row: row["instances"])["stretch"]
    rows = [row for row in rows if row["stretch"] == stretch]
    before = Report("", 0.0, 0.0, 0, [])
    if into.exists():
        before = msgspec.json.decode(into.read_bytes(), type=Report)
    fitted_slopes = slopes(rows)
    other_slopes = [each for each in before.slopes if not each.name.startswith("hollow.")]
    other_facts = {name: value for name, value in before.facts.items() if not name.startswith("hollow.")}
    updated = msgspec.structs.replace(
        before,
        slopes=sorted(other_slopes + fitted_slopes, key=lambda each: each.name),
        facts=other_facts | facts(rows),
    )
    into.write_bytes(msgspec.json.format(msgspec.json.encode(updated), indent=1) + b"\n")
    return "\n".join(
        f"{each.name:32} base {each.base:12.5g} each {each.each:12.5g} exponent {each.exponent:5.2f}  at "
        f"{each.largest}: predicted {each.predicted:.5g}, measured {each.measured:.5g}"
        f"{'  OFF' if each.finding else ''}"
        for each in fitted_slopes
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--instances", type=int, default=3000)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--stretch", type=float, default=6.0)
    parser.add_argument("--zone-of", type=int, default=0, help="hollow instances in the zone that is lost")
    parser.add_argument(
        "--within", type=float, default=0.0, help="s over which instances start; default: 100 a second"
    )
    parser.add_argument(
        "--patience", type=float, default=60.0, help="s to wait before an event counts as failed"
    )
    parser.add_argument("--budget", type=float, default=1e9, help="s after which no further event starts")
    parser.add_argument("--events", type=lambda text: text.split(","), default=list(EVENTS))
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--rows", type=Path, help="the file to which a row is added")
    parser.add_argument("--fit", action="store_true")
    parser.add_argument("--into", type=Path, help="with --fit: the report to update")
    args = parser.parse_args()
    if set(args.events) - set(EVENTS):
        parser.error(f"--events: {', '.join(set(args.events) - set(EVENTS))}: none of {', '.join(EVENTS)}")
    if args.fit:
        if args.rows is None or args.into is None:
            parser.error("--fit: needs --rows and --into")
        print(fit(args.rows, args.into))
        return 0
    asyncio.run(run_experiment(args))
    return 0


if __name__ == "__main__":
    # A run stopped by a time limit still writes its row and leaves no process behind.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    sys.exit(main())
