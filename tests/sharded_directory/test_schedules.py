"""Some dozens of the seeded schedules in virtual time that benchmarks/sharded_directory_schedules.py runs."""

from __future__ import annotations

import pytest

from benchmarks.sharded_directory_schedules import BOUND_S, Findings, Plan, Simulation, run_plan
from message_relay.sharded_directory import shard_server


def assert_sound(findings: Findings) -> None:
    assert not findings.has_violations, findings
    assert findings.late_s <= BOUND_S
    assert findings.calls > 100


@pytest.mark.parametrize("seed", range(1, 25))
def test_twelve_clients_and_three_servers(seed: int) -> None:
    assert_sound(
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
    assert_sound(run_plan(plan))


@pytest.mark.parametrize("seed", (201, 202))
def test_two_hundred_clients_and_eight_servers_that_restart_at_the_same_time(seed: int) -> None:
    findings = run_plan(Plan(seed, clients=200, seconds=40.0, restarts_all=True, call_interval_s=2.0))
    assert_sound(findings)
    assert findings.answers > 500


def test_recovered_servers_are_not_overloaded_and_urgent_requests_are_served_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The server is down while 150 clients come to need 60 shards each, then it returns with a quarter of
    the bytes per second: the load equals that of 600 clients.
    """
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
        for index, simulated in enumerate(simulation.clients.values()):
            for destination in simulated.rng.sample(range(6_000), 60):
                urgent = index % 10 == 0
                pending.append((simulated.name, destination, urgent))
                simulated.client.request(
                    simulation.now, destination, simulation.now + (21.0 if urgent else 300.0)
                )
            simulated.process()

    def check_resident() -> None:
        for request in list(pending):
            if simulation.clients[request[0]].client.is_resident(request[1]):
                pending.remove(request)
                waits[request[2]].append(simulation.now - 20.0)
        simulation.at(simulation.now + 0.1, check_resident)

    simulation.at(5.0, request_all)
    simulation.at(20.0, lambda: simulation.servers["n1"].start(simulation.now))
    simulation.at(20.05, check_resident)
    findings = simulation.run()
    assert not findings.has_violations, findings
    assert not pending
    assert findings.busy > 0
    assert simulation.servers["n1"].server.sent_bytes <= 1e6 * (max(map(max, waits.values())) + 2.0)
    assert findings.answers_s <= shard_server.RESPONSES_PER_S * (1 + shard_server.BURST_S)
    median = {kind: sorted(each)[len(each) // 2] for kind, each in waits.items()}
    assert median[True] < median[False] and max(waits[True]) < 10.0


@pytest.mark.parametrize("seed", (1015, 1193, 1337))
def test_recovered_server_is_tried_though_others_hang(seed: int) -> None:
    """Guards against repeated requests to the first hanging servers before a usable one is tried. In three of
    400 seeds calls were withheld for a second, though an up-to-date server had been available for 10 s.
    """
    assert_sound(run_plan(Plan(seed, clients=12)))
