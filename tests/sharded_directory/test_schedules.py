"""Seeded schedules in virtual time: benchmarks/sharded_directory_schedules.py plays thousands, these are
some dozens."""

from __future__ import annotations

import pytest

from benchmarks.sharded_directory_schedules import BOUND_S, Findings, Plan, Simulation, run_plan
from message_relay.sharded_directory import shard_server


def sound(found: Findings) -> None:
    assert not found.has_violations, found
    assert found.late_s <= BOUND_S
    assert found.calls > 100


@pytest.mark.parametrize("seed", range(1, 25))
def test_twelve_clients_and_three_servers(seed: int) -> None:
    sound(
        run_plan(
            Plan(seed, clients=12, servers=3, destinations=120, shard_count=16, seconds=45.0, fault_count=9)
        )
    )


@pytest.mark.parametrize("seed", range(101, 109))
def test_two_servers_with_most_digests_lost(seed: int) -> None:
    plan = Plan(
        seed,
        clients=8,
        servers=2,
        destinations=60,
        shard_count=8,
        seconds=60.0,
        fault_count=8,
        digest_loss=0.9,
    )
    sound(run_plan(plan))


@pytest.mark.parametrize("seed", (201, 202))
def test_two_hundred_clients_and_eight_servers_that_restart_together(seed: int) -> None:
    found = run_plan(Plan(seed, clients=200, seconds=40.0, restarts_all=True, call_interval_s=2.0))
    sound(found)
    assert found.answers > 500


def test_recovered_servers_are_not_overloaded_and_urgent_requests_come_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All servers are away, 150 clients come to need 60 shards each, then one server returns alone, with a
    quarter of the bytes a second, so that they press on it as 600 would."""
    monkeypatch.setattr(shard_server, "BYTES_S", 1e6)
    plan = Plan(
        7,
        clients=150,
        servers=1,
        destinations=6_000,
        shard_count=128,
        destinations_per_client=1,
        seconds=60.0,
        fault_count=0,
        call_interval_s=1e9,
        change_interval_s=1e9,
        restarts_all=False,
        digest_loss=0.0,
    )
    simulation = Simulation(plan)
    simulation.servers["n1"].stop()
    waits: dict[bool, list[float]] = {True: [], False: []}
    pending: list[tuple[str, int, bool]] = []

    def request_all() -> None:
        for place, side in enumerate(simulation.clients.values()):
            for each in side.rng.sample(range(6_000), 60):
                urgent = place % 10 == 0
                pending.append((side.name, each, urgent))
                side.client.request(simulation.now, each, simulation.now + (21.0 if urgent else 300.0))
            side.process()

    def check_resident() -> None:
        for one in list(pending):
            if simulation.clients[one[0]].client.is_resident(one[1]):
                pending.remove(one)
                waits[one[2]].append(simulation.now - 20.0)
        simulation.at(simulation.now + 0.1, check_resident)

    simulation.at(5.0, request_all)
    simulation.at(20.0, lambda: simulation.servers["n1"].start(simulation.now))
    simulation.at(20.05, check_resident)
    found = simulation.run()
    assert not found.has_violations, found
    assert not pending
    assert found.busy > 0
    assert simulation.servers["n1"].server.sent_bytes <= 1e6 * (max(map(max, waits.values())) + 2.0)
    assert found.answers_s <= shard_server.RESPONSES_PER_S * (1 + shard_server.BURST_S)
    median = {kind: sorted(each)[len(each) // 2] for kind, each in waits.items()}
    assert median[True] < median[False] and max(waits[True]) < 10.0


@pytest.mark.parametrize("seed", (1015, 1193, 1337))
def test_recovered_server_is_tried_though_others_hang(seed: int) -> None:
    """Three of 400 in which calls were held back for a second, though a server that knew all had been there
    for 10 s: the first of those that hang were asked again and again before it."""
    sound(run_plan(Plan(seed, clients=12)))
