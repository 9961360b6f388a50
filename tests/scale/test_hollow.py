"""Tests a small hollow fleet, built like the fleets of thousands in benchmarks/capacity/hollow.py."""

from __future__ import annotations

import asyncio
import json
import math
import random
import sys
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from benchmarks.capacity.hollow import facts, fit, slopes
from benchmarks.capacity.hollow_figures import Bins, bins_of, rates
from benchmarks.capacity.hollow_fleet import FIRST, HollowFleet, hollow_fleet, start_fleet
from benchmarks.cluster_harness import ClusterHarness
from emulator.capacity.slopes import Report
from message_relay.gossip import node as gossip_node
from message_relay.gossip.identity import Identity
from message_relay.gossip.settings import GossipSettings
from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import AppMessage, Claim, MemberState, Packet, open_packet, seal_packet

INSTANCES, PROCESSES, STRETCH = 30, 2, 0.5
PATIENCE_S = 60.0  # timeout; nothing in these tests takes a tenth of it


async def run_fleet() -> None:
    async with hollow_fleet(INSTANCES, PROCESSES, STRETCH, voters=3, relays=0, zones=("a", "b")) as hollow:
        times = await start_fleet(hollow, 1.0, PATIENCE_S)
        assert not any(map(math.isnan, times.values())), times
        first_change = await hollow.change(900.0, PATIENCE_S)
        assert first_change["acting"] == INSTANCES
        stopped = hollow.numbers[::3]
        await hollow.drain_observations()
        await hollow.stop(stopped)
        second_change = await hollow.change(895.0, PATIENCE_S)
        assert second_change["acting"] == second_change["of"] == INSTANCES - len(stopped)
        assert not math.isnan(await hollow.all_known(PATIENCE_S)), "the dead are known as dead"
        await hollow.start(stopped, 0.5)
        assert not math.isnan(await hollow.all_known(PATIENCE_S)), "and known as back"
        assert not math.isnan(await hollow.all_act(PATIENCE_S)), "who came back acts by the rules"
        await hollow.drain_observations()
        assert set(hollow.expected) == {f"n{n}/1" for n in stopped}
        counts = await hollow.counts()
        assert counts["counts"]["sent"] > 0 and counts["counts"]["received_bytes"] > 0
        assert counts["counts"]["asked"] >= INSTANCES  # each has requested a version at least once
        assert counts["rss"] > 0 and counts["cpu_s"] > 0
        assert counts["descriptors"] < 20 * INSTANCES


def test_small_hollow_fleet_agrees_on_rules_and_survives_the_stop_of_a_third() -> None:
    asyncio.run(asyncio.wait_for(run_fleet(), 5 * PATIENCE_S))


async def row_of_stopped_run(rows: Path) -> dict[str, float]:
    """Stop a run during the rest event and return its row."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.capacity.hollow",
        "--instances",
        "10",
        "--processes",
        "1",
        "--stretch",
        "0.5",
        "--events",
        "rest",
        "--rows",
        str(rows),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    async with asyncio.timeout(2 * PATIENCE_S):
        while b"all know all" not in await process.stderr.readline():
            assert process.returncode is None
        process.terminate()
        await process.communicate()
    row: dict[str, float] = json.loads(rows.read_text())
    return row


def test_run_stopped_by_a_time_limit_writes_a_partial_row(tmp_path: Path) -> None:
    row = asyncio.run(row_of_stopped_run(tmp_path / "rows"))
    assert row["instances"] == 10 and row["start_s"] > 0 and "bytes_s" not in row and "whole" not in row


def test_bins_keep_order_and_number_of_times() -> None:
    bins = bins_of([0.01, 0.02, 1.0, 9.99])
    assert len(bins) == 4 and bins.quantile(0.5) == pytest.approx(0.05)
    assert bins.quantile(1.0, since=9.0) == pytest.approx(1.0)
    other = Bins()
    other.merge({str(n): count for n, count in bins.counts.items()})  # as JSON has it
    assert other.counts == bins.counts
    assert math.isnan(Bins().quantile(0.99))


def test_rates_are_per_instance_and_second() -> None:
    assert rates(Counter(sent=10), Counter(sent=110), 10.0, 5) == {"sent": 2.0}


def test_instances_are_spread_over_zones_and_one_zone_may_be_larger() -> None:
    harness = ClusterHarness(Path("."), 8, 1.0, False, partners=("a", "b", "c", "d", "e"))
    fleet = HollowFleet(harness, 3000, 8, 1.0, zone_of=700)
    counts = Counter(fleet.zone(n) for n in fleet.numbers)
    assert counts[0] == 700 and min(counts.values()) > 500 and len(counts) == 5
    even = HollowFleet(harness, 100, 8, 1.0)
    assert Counter(even.zone(FIRST + n) for n in range(100)) == dict.fromkeys(range(5), 20)


def node(tmp_path: Path, port: int = 7400) -> gossip_node.GossipNode:
    identity = Identity("n0", "id0", 1, 0, 0)
    return gossip_node.GossipNode(GossipSettings(listen=f"127.0.0.1:{port}"), identity, tmp_path, 0, "z", 0)


def test_application_datagram_does_not_walk_over_members(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Renewals come 12,600 times a second to a voter of 3,500 relays: they must not look up what is due
    next in membership, a walk over all suspicions."""
    gossip, received = node(tmp_path), list[tuple[str, bytes]]()
    gossip.datagram_handlers["renew"] = lambda sender, raw: received.append((sender, raw))
    monkeypatch.setattr(gossip.swim, "next_at", lambda: pytest.fail("next_at was called"))
    gossip.datagram_received(seal_packet(Packet("n1", 5, AppMessage("renew", b"x")), b""), ("127.0.0.1", 1))
    assert received == [("n1", b"x")] and gossip.counts["received"] == 1


def test_joining_member_requests_from_one_seed_at_a_time_in_turn() -> None:
    """Each seed replies with all that it knows: when 3,000 members joined at once and asked all five, each
    got 210 packets five times over."""
    seeds = tuple(("127.0.0.1", 7400 + n) for n in range(5))
    own_claim = Claim("n9", "id9", 1, 9, 0, MemberState.JOINING, "127.0.0.1", 7409)
    swim, requested = Swim(own_claim, seeds, random.Random(1)), list[tuple[str, int]]()
    for turn in range(10):
        swim.tick(1.0 * turn)
        out, swim.outbox = swim.outbox, []
        assert len(out) == 1
        requested.append(out[0][0])
    assert sorted(requested) == sorted(2 * seeds) and len(set(requested[:5])) == 5


def test_message_to_many_members_is_sealed_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    gossip, sent = node(tmp_path), list[bytes]()
    for n in range(1, 6):
        gossip.swim.members[f"n{n}"] = Claim(
            f"n{n}", f"id{n}", 1, n, 0, MemberState.ALIVE, "127.0.0.1", 7400 + n
        )
    seals = 0

    def counting_seal(packet: Packet, secret: bytes) -> bytes:
        nonlocal seals
        seals += 1
        return seal_packet(packet, secret)

    monkeypatch.setattr(gossip_node, "seal_packet", counting_seal)
    monkeypatch.setattr(gossip, "_send", lambda to, raw: sent.append(raw))
    for n in range(1, 6):
        gossip.send_datagram(f"n{n}", "renew", b"one")
    gossip.send_datagram("n1", "renew", b"two")
    gossip.send_datagram("n2", "grant", b"two")
    assert seals == 3 and len(sent) == 7 and len(set(sent)) == 3
    bodies = [open_packet(raw, b"").body for raw in sent]
    assert bodies[-2:] == [AppMessage("renew", b"two"), AppMessage("grant", b"two")]


def rows() -> list[dict[str, float]]:
    return [
        {
            "instances": n,
            "stretch": 10.0,
            "bytes_s": 100.0 + n,
            "memory_bytes": 1000.0 * n,
            "return_200_s": 5.0 + n / 1000,
        }
        for n in (188, 375, 750, 1500, 3000)
    ]


def test_largest_fleet_is_not_fitted_and_its_figures_are_facts() -> None:
    by_name = {each.name: each for each in slopes(rows())}
    assert set(by_name) == {"hollow.bytes_s", "hollow.memory_bytes"}
    slope = by_name["hollow.bytes_s"]
    assert [each.size for each in slope.samples] == [188, 375, 750, 1500] and slope.largest == 3000
    assert slope.predicted == pytest.approx(3100.0) and slope.measured == 3100.0
    assert facts(rows())["hollow.return_200_s"] == 8.0


def test_fit_ignores_rows_of_another_stretch_and_keeps_other_slopes(tmp_path: Path) -> None:
    all_rows = [*rows(), {"instances": 30, "stretch": 1.0, "bytes_s": 1e9}]
    (tmp_path / "rows").write_text("".join(json.dumps(row) + "\n" for row in all_rows))
    other = msgspec.structs.replace(slopes(rows())[0], name="store.start")
    before = Report("m", 1.0, 2.0, 3, [other], {"x": 1.0})
    (tmp_path / "report").write_bytes(msgspec.json.encode(before))
    fit(tmp_path / "rows", tmp_path / "report")
    after: Report = msgspec.json.decode((tmp_path / "report").read_bytes(), type=Report)
    assert {each.name for each in after.slopes} == {"store.start", "hollow.bytes_s", "hollow.memory_bytes"}
    assert after.facts["x"] == 1.0 and after.facts["hollow.instances"] == 3000 and after.machine == "m"
