"""Tests by counts that the cost of a change, message, second or record is independent of their total."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.capacity.directory import endpoint_json, full_list, process_response, run_in_service
from benchmarks.decisions import Load
from message_relay.composition import ComposedRelay
from message_relay.core.ports import EndpointRecord, EndpointUpdate
from message_relay.decisions.model import Listing
from message_relay.endpoint_discovery.source_merge import SourceMerge
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from .counting import Walked, Work, count_work, median_work

FEW, MANY = 1_000, 20_000  # destinations
RUNS = 9  # runs of each kind; the result is the median
MAX_STEP_RATIO = 1.25  # maximum ratio of steps at the two sizes: trees and hashes are not quite even
MAX_EXTRA_BYTES = 16_384  # maximum difference of bytes, without retained data; a set of MANY takes a megabyte


def assert_constant(few: Work, many: Work) -> None:
    assert many.steps <= MAX_STEP_RATIO * few.steps, (few, many)
    assert many.bytes <= few.bytes + MAX_EXTRA_BYTES, (few, many)


def work_at(size: int, work: Callable[[ComposedRelay, int], Work]) -> Work:
    """Run `work` after a full list of `size` destinations and the first maintenance."""
    results: list[Work] = []

    def measure(built: ComposedRelay) -> dict[str, float]:
        process_response(built, full_list(size))
        built.relay.run_maintenance()
        results.append(work(built, size))
        return {}

    asyncio.run(run_in_service(measure))
    return results[0]


def change_work(built: ComposedRelay, size: int) -> Work:
    bodies = [
        f'{{"generation":2,"reset":false,"instances":[{endpoint_json(n, state, port)}]}}'.encode()
        for n in range(100, 100 + RUNS)
        for state, port in (("draining", 8080), ("ready", 8081))
    ]
    return median_work(partial(process_response, built, body) for body in bodies)


def maintenance_work(built: ComposedRelay, size: int) -> Work:
    return median_work([built.relay.run_maintenance] * RUNS)


def test_change_of_one_endpoint_costs_the_same_with_1_000_and_20_000_listed() -> None:
    assert_constant(work_at(FEW, change_work), work_at(MANY, change_work))


def test_maintenance_costs_the_same_with_1_000_and_20_000_listed() -> None:
    assert_constant(work_at(FEW, maintenance_work), work_at(MANY, maintenance_work))


def test_changes_and_maintenance_do_not_iterate_over_the_complete_list() -> None:
    def check(built: ComposedRelay) -> dict[str, float]:
        relay, registry = built.relay, built.relay.scheduler.registry
        process_response(built, full_list(FEW))
        relay.run_maintenance()
        counted_maps: dict[str, Walked[Any, Any]] = {}
        for owner, name in (
            (relay.directory, "by_name"),
            (relay.directory, "by_number"),
            (relay.directory, "listed_counts"),
            (relay.messages, "known_destinations"),
            (registry, "destinations"),
            (registry, "endpoints"),
        ):
            counted_maps[name] = Walked(getattr(owner, name))
            setattr(owner, name, counted_maps[name])
        change_work(built, FEW)
        maintenance_work(built, FEW)
        assert {name: each.walks for name, each in counted_maps.items() if each.walks} == {}
        return {}

    asyncio.run(run_in_service(check))


def test_change_from_one_of_several_sources_costs_the_same_with_1_000_and_20_000_listed() -> None:
    def merge_work(size: int) -> Work:
        merge = SourceMerge(["a", "b"])
        records = tuple(EndpointRecord(f"x{n}", n, Listing.READY, ("h", 1)) for n in range(size))
        merge.merge(EndpointUpdate(True, records, source="a"), 0.0)
        return median_work(
            partial(
                merge.merge,
                EndpointUpdate(False, (EndpointRecord(f"x{n}", n, state, ("h", port)),), source="a"),
                1.0,
            )
            for n in range(RUNS)
            for state, port in ((Listing.DRAINING, 1), (Listing.READY, 2))
        )

    assert_constant(merge_work(FEW), merge_work(MANY))


def test_message_costs_the_same_for_1_000_and_20_000_destinations() -> None:
    """The number of pending messages is the same: it is another size."""

    def message(dests: int) -> Work:
        load = Load("open", 2_000, dests)
        load.run(100)
        return count_work(partial(load.run, 200))

    few, many = message(FEW), message(MANY)
    assert many.steps <= 1.5 * few.steps, (few, many)  # fewer messages of a destination are examined together


def test_start_costs_the_same_per_record_with_1_000_and_8_000_records() -> None:
    def start(records: int) -> float:
        with tempfile.TemporaryDirectory() as name:
            max_bytes = 6_000 * records + 10_000_000
            journal = Journal(Path(name), max_bytes)
            for n in range(records):
                journal.append_accepted(
                    JournalEntry(f"{n:016x}", "order", "t", 7, f"k{n:016x}", 1e6, 2e6, "", bytes(300))
                )
            journal.close()
            return count_work(lambda: Journal(Path(name), max_bytes).close()).steps / records

    assert start(8_000) <= 1.1 * start(1_000)
