"""Simulates many relays in zones through faults, in virtual time: plans, relays alone, and a static switch.

    python -m benchmarks.failover_fleet [--json] [--relays 200] [--seeds 5] [--processes 4]
    python -m benchmarks.failover_fleet --chart FILE.svg    plots the calls to each zone's partners

All three modes get the same traffic and the same faults; ratios are taken seed by seed and printed as median,
minimum and maximum. The capacity of each zone's partners is 1.4 times the demand of its own relays, refused
calls count against it, and a cold partner fails when it is loaded beyond twice its capacity. `worst` is the
service in the worst ten seconds."""

from __future__ import annotations

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from statistics import median
from typing import Any

from emulator.experiment import decoded
from emulator.zones import Cut, Mode, Outage, Place, Zoned
from message_relay.failover.settings import ClassSettings, FailoverSettings, ZoneSettings

EAST, WEST = ZoneSettings("east"), ZoneSettings("west")
PART = FailoverSettings(
    zones={"a": EAST, "b": EAST, "c": WEST}, classes={"pay": ClassSettings(5.0, "region")}, window_s=1.0
)
DESTINATIONS, EACH = 6, 3.0  # messages a second of one relay
SECONDS = 40.0
MODES: tuple[Mode, ...] = ("alone", "static", "plans")
CASES: dict[str, dict[str, Any]] = {
    "no fault": {},
    "a zone is down for 8 s": {"outages": (Outage("a", 10.0, 18.0),)},
    "a zone is down for 20 s": {"outages": (Outage("a", 8.0, 28.0),)},
    "the same, whoever decides dies twice": {"outages": (Outage("a", 8.0, 28.0),), "dies_s": (10.5, 13.5)},
    "half of two zones is down for 20 s": {
        "outages": (Outage("a", 8.0, 28.0, share=0.5), Outage("b", 8.0, 28.0, share=0.5))
    },
    "a way within a zone is cut for 20 s": {"cuts": (Cut("a", "a", 8.0, 28.0),)},
    "a zone flaps every 2 s": {"outages": tuple(Outage("a", at, at + 2.0) for at in range(10, 38, 4))},
}


def fleet(relays: int, seed: int, place: Place) -> Zoned:
    """Returns a simulation that is ready to run."""
    rate = EACH * relays
    capacity = {"per_s": 1.4 * rate / DESTINATIONS / 3, "counts_refused": True, "wait_ms": [200.0, 900.0]}
    partner = {"rate": capacity, "cold": {"share": 0.18, "fall_multiple": 2.0}}
    experiment = decoded(
        {
            "name": "zones",
            "traffic": {"rate": rate, "seconds": SECONDS, "warm_s": 5.0},
            "fleet": {"relays": relays, "slots": 8, "hold": 60},
            "partners": [partner] * DESTINATIONS,
        },
        "benchmark",
    )
    return Zoned(experiment, seed, place)


def world_of(case: str, mode: Mode, seed: int, relays: int) -> Zoned:
    return fleet(relays, seed, Place(PART, mode, **CASES[case]))


def play(case: str, mode: Mode, seed: int, relays: int) -> dict[str, float]:
    world = world_of(case, mode, seed, relays)
    record, moves = world.run(), world.moves
    return record.figures() | {
        "broken": float(record.breaks + len(moves.outside)),
        "near": moves.near_share,
        "versions": float(len(moves.versions)),
    }


def chart(path: str, relays: int) -> None:
    """Plots calls per second to the partners of each zone with the first seed, relays alone and by plans."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    case = "a zone is down for 20 s"
    figure, rows = pyplot.subplots(2, 1, sharex=True, sharey=True, figsize=(8, 5))
    modes: tuple[Mode, Mode] = ("alone", "plans")
    for axes, mode in zip(rows, modes, strict=True):
        world = world_of(case, mode, 1, relays)
        record = world.run()
        limit = sum(partner.can(0.0) for partner in world.partners) / len(world.zones)
        for n, zone in enumerate(world.zones):
            counts = [0] * int(SECONDS)
            for place in range(n + 1, len(world.partners) + 1, len(world.zones)):
                for at in record.calls.get(place, []):
                    if at < SECONDS * 1000:
                        counts[int(at / 1000)] += 1
            axes.step(range(int(SECONDS)), counts, where="post", label=f"zone {zone}")
        axes.axhline(limit, linestyle=":", color="grey", label="agreed")
        axes.axvspan(8, 28, color="grey", alpha=0.12)
        axes.set_title(f"{mode}: zone a is down from 8 to 28 s", fontsize=9)
        axes.set_ylabel("calls a second")
    rows[1].set_xlabel("seconds")
    rows[0].legend(fontsize=7, ncols=4)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def spread(values: list[float]) -> list[float]:
    return [round(median(values), 3), round(min(values), 3), round(max(values), 3)]


def measured(case: str, relays: int, seeds: int, pool: ProcessPoolExecutor) -> dict[str, Any]:
    jobs = [(mode, seed) for mode in MODES for seed in range(1, seeds + 1)]
    pending_results = [pool.submit(play, case, mode, seed, relays) for mode, seed in jobs]
    figures: dict[tuple[str, int], dict[str, float]] = {
        (mode, seed): pending.result() for (mode, seed), pending in zip(jobs, pending_results, strict=True)
    }
    row: dict[str, Any] = {"broken": sum(run_figures["broken"] for run_figures in figures.values())}
    for name, figure in (("worth", "service"), ("worst", "worst_10s")):
        for base in ("alone", "static"):
            row[f"{name}_ratio_{base}"] = spread(
                [figures["plans", n][figure] / figures[base, n][figure] for n in range(1, seeds + 1)]
            )
    for figure in ("over_1s", "over_cold", "falls", "near", "versions"):
        row[figure] = {
            mode: spread([figures[mode, n][figure] for n in range(1, seeds + 1)]) for mode in MODES
        }
    return row


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0] if __doc__ else None)
    parser.add_argument("--json", action="store_true")
    for name, default in (("relays", 200), ("seeds", 5), ("processes", 4)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--chart", default="")
    args = parser.parse_args()
    if args.chart:
        chart(args.chart, args.relays)
        return
    with ProcessPoolExecutor(args.processes) as pool:
        rows = {case: measured(case, args.relays, args.seeds, pool) for case in CASES}
    if args.json:
        print(json.dumps({"relays": args.relays, "seeds": args.seeds, "cases": rows}, indent=1))
        return
    for case, row in rows.items():
        print(case)
        for name, value in row.items():
            print(f"  {name:20} {value}")


if __name__ == "__main__":
    main()
