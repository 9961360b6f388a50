"""One change, one message, one second and one record cost the same however much there is: by counts."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.capacity.directory import answer, in_service, item, take
from benchmarks.decisions import Load
from message_relay.composition import ComposedRelay
from message_relay.core.ports import EndpointRecord, EndpointUpdate
from message_relay.decisions.model import Listing
from message_relay.endpoint_discovery.source_merge import SourceMerge
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from .counting import Walked, Work, counted, usual

FEW, MANY = 1_000, 20_000  # destinations
TIMES = 9  # of each, the median counts
MORE = 1.25  # the steps at the larger size, over those at the smaller: trees and hashes are not wholly even
BYTES = 16_384  # the same of one such piece of work, apart from what it keeps; a set of MANY takes a megabyte


def flat(few: Work, many: Work) -> None:
    assert many.steps <= MORE * few.steps, (few, many)
    assert many.bytes <= few.bytes + BYTES, (few, many)


def at(size: int, work: Callable[[ComposedRelay, int], Work]) -> Work:
    """With a list of so many destinations taken whole, and its first second over."""
    found: list[Work] = []

    def there(built: ComposedRelay) -> dict[str, float]:
        take(built, answer(size))
        built.relay.run_maintenance()
        found.append(work(built, size))
        return {}

    asyncio.run(in_service(there))
    return found[0]


def changes(built: ComposedRelay, size: int) -> Work:
    bodies = [
        f'{{"generation":2,"reset":false,"instances":[{item(n, what, port)}]}}'.encode()
        for n in range(100, 100 + TIMES)
        for what, port in (("draining", 8080), ("ready", 8081))
    ]
    return usual(partial(take, built, body) for body in bodies)


def seconds(built: ComposedRelay, size: int) -> Work:
    return usual([built.relay.run_maintenance] * TIMES)


def test_a_change_of_one_endpoint_costs_the_same_beside_1_000_and_20_000() -> None:
    flat(at(FEW, changes), at(MANY, changes))


def test_the_look_of_each_second_costs_the_same_beside_1_000_and_20_000() -> None:
    flat(at(FEW, seconds), at(MANY, seconds))


def test_no_change_and_no_second_goes_through_all_that_is_listed() -> None:
    def there(built: ComposedRelay) -> dict[str, float]:
        host, members = built.relay, built.relay.scheduler.registry
        take(built, answer(FEW))
        host.run_maintenance()
        maps: dict[str, Walked[Any, Any]] = {}
        for owner, name in (
            (host.directory, "by_name"),
            (host.directory, "by_number"),
            (host.directory, "listed_counts"),
            (host.messages, "known_destinations"),
            (members, "destinations"),
            (members, "endpoints"),
        ):
            maps[name] = Walked(getattr(owner, name))
            setattr(owner, name, maps[name])
        changes(built, FEW)
        seconds(built, FEW)
        assert {name: each.walks for name, each in maps.items() if each.walks} == {}
        return {}

    asyncio.run(in_service(there))


def test_a_change_told_by_one_of_several_sources_costs_the_same_beside_1_000_and_20_000() -> None:
    def told(size: int) -> Work:
        merge = SourceMerge(["a", "b"])
        members = tuple(EndpointRecord(f"x{n}", n, Listing.READY, ("h", 1)) for n in range(size))
        merge.merge(EndpointUpdate(True, members, source="a"), 0.0)
        return usual(
            partial(
                merge.merge,
                EndpointUpdate(False, (EndpointRecord(f"x{n}", n, what, ("h", port)),), source="a"),
                1.0,
            )
            for n in range(TIMES)
            for what, port in ((Listing.DRAINING, 1), (Listing.READY, 2))
        )

    flat(told(FEW), told(MANY))


def test_a_message_costs_the_same_for_1_000_and_20_000_destinations() -> None:
    """With as many held: what waits is another size."""

    def message(dests: int) -> Work:
        load = Load("open", 2_000, dests)
        load.run(100)
        return counted(partial(load.run, 200))

    few, many = message(FEW), message(MANY)
    assert many.steps <= 1.5 * few.steps, (few, many)  # fewer of a destination are looked at together


def test_a_start_costs_the_same_for_each_of_1_000_and_8_000_records() -> None:
    def start(records: int) -> float:
        with tempfile.TemporaryDirectory() as name:
            room = 6_000 * records + 10_000_000
            journal = Journal(Path(name), room)
            for n in range(records):
                journal.append_accepted(
                    JournalEntry(f"{n:016x}", "order", "t", 7, f"k{n:016x}", 1e6, 2e6, "", bytes(300))
                )
            journal.close()
            return counted(lambda: Journal(Path(name), room).close()).steps / records

    assert start(8_000) <= 1.1 * start(1_000)
