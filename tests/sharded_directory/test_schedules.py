"""Seeded schedules in virtual time: benchmarks/sharded_directory_schedules.py plays thousands, these are
some dozens."""

from __future__ import annotations

import pytest

from benchmarks.sharded_directory_schedules import BOUND_S, Found, Plan, World, played
from message_relay.sharded_directory import shard_server


def sound(found: Found) -> None:
    assert not found.bad, found
    assert found.late_s <= BOUND_S
    assert found.calls > 100


@pytest.mark.parametrize("seed", range(1, 25))
def test_twelve_clients_and_three_servers(seed: int) -> None:
    sound(played(Plan(seed, readers=12, keepers=3, destinations=120, shards=16, seconds=45.0, faults=9)))


@pytest.mark.parametrize("seed", range(101, 109))
def test_two_servers_with_most_digests_lost(seed: int) -> None:
    plan = Plan(seed, readers=8, keepers=2, destinations=60, shards=8, seconds=60.0, faults=8, loss=0.9)
    sound(played(plan))


@pytest.mark.parametrize("seed", (201, 202))
def test_two_hundred_clients_and_eight_servers_that_restart_together(seed: int) -> None:
    found = played(Plan(seed, readers=200, seconds=40.0, all_restart=True, call_s=2.0))
    sound(found)
    assert found.answers > 500


def test_recovered_servers_are_not_overloaded_and_urgent_requests_come_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All keepers are away, 150 readers come to need 60 shards each, then one keeper returns alone, with a
    quarter of the bytes a second, so that they press on it as 600 would."""
    monkeypatch.setattr(shard_server, "BYTES_S", 1e6)
    plan = Plan(
        7,
        readers=150,
        keepers=1,
        destinations=6_000,
        shards=128,
        used=1,
        seconds=60.0,
        faults=0,
        call_s=1e9,
        change_s=1e9,
        all_restart=False,
        loss=0.0,
    )
    world = World(plan)
    world.keepers["n1"].stop()
    waits: dict[bool, list[float]] = {True: [], False: []}
    wanted: list[tuple[str, int, bool]] = []

    def need() -> None:
        for place, side in enumerate(world.readers.values()):
            for each in side.rng.sample(range(6_000), 60):
                urgent = place % 10 == 0
                wanted.append((side.name, each, urgent))
                side.reader.request(world.now, each, world.now + (21.0 if urgent else 300.0))
            side.drain()

    def look() -> None:
        for one in list(wanted):
            if world.readers[one[0]].reader.is_resident(one[1]):
                wanted.remove(one)
                waits[one[2]].append(world.now - 20.0)
        world.at(world.now + 0.1, look)

    world.at(5.0, need)
    world.at(20.0, lambda: world.keepers["n1"].start(world.now))
    world.at(20.05, look)
    found = world.play()
    assert not found.bad, found
    assert not wanted
    assert found.busy > 0
    assert world.keepers["n1"].keeper.sent_bytes <= 1e6 * (max(map(max, waits.values())) + 2.0)
    assert found.answers_s <= shard_server.RESPONSES_PER_S * (1 + shard_server.BURST_S)
    median = {kind: sorted(each)[len(each) // 2] for kind, each in waits.items()}
    assert median[True] < median[False] and max(waits[True]) < 10.0


@pytest.mark.parametrize("seed", (1015, 1193, 1337))
def test_recovered_server_is_tried_though_others_hang(seed: int) -> None:
    """Three of 400 in which calls were held back for a second, though a keeper that knew all had been there
    for 10 s: the first of those that hang were asked again and again before it."""
    sound(played(Plan(seed, readers=12)))
