"""Tests which costs grow with the number of members and relays, by counts of bytes, messages and steps, never
by time.

The laws are those that benchmarks/capacity/ measures. At rest, the traffic of a member does not depend on the
number of members. While a fleet joins, it is proportional to that number, because each member has to learn of
every other one. A renewal, a packet and a turn take a constant number of steps and do not iterate over
members.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Iterator
from types import FrameType
from typing import Any

import msgspec
import pytest

from benchmarks.capacity import consensus, gossip
from benchmarks.capacity.observations import add_reports, packets
from message_relay.consensus.lease_grantor import FULL_CHECKS_PER_LEASE, LeaseGrantor, RelayLease
from message_relay.consensus.lease_protocol import LeaseRenewal
from message_relay.consensus.rules import ANY, DestinationRule, Rules
from message_relay.consensus.rules_codec import encode_rules
from message_relay.consensus.version_history import Propose
from message_relay.failover.observations import ObservationReport, Observations
from message_relay.gossip.dissemination_queue import DisseminationQueue
from message_relay.gossip.member_table import SLICES, MemberTable, slice_index
from message_relay.gossip.rate_limited_replies import BURST_INTERVAL_S, BURST_PACKETS, CONCURRENT_REPLIES_MAX
from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import (
    AppMessage,
    Body,
    Claim,
    MemberState,
    Packet,
    Ping,
    Sync,
    open_packet,
    seal_packet,
)

SMALL, LARGE = 50, 3500


class Walked(dict[str, Any]):
    """A dictionary that counts iterations over it: a trace function misses those in C, as in `sorted`."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.walks = 0

    def __iter__(self) -> Iterator[str]:
        self.walks += 1
        return super().__iter__()

    def keys(self) -> Any:
        self.walks += 1
        return super().keys()

    def values(self) -> Any:
        self.walks += 1
        return super().values()

    def items(self) -> Any:
        self.walks += 1
        return super().items()


def steps(action: Callable[[], object]) -> int:
    """Return the number of interpreter instructions that a call takes, in all functions."""
    count, before = 0, sys.gettrace()

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


# -- traffic of a member -----------------------------------------------------------------------------------


def test_traffic_at_rest_is_independent_of_the_number_of_members() -> None:
    """Checks the law of peers.members: constant. Over four sizes, each twice the one before, the maximum is
    within a tenth of the minimum."""
    datagrams, sizes = [], []
    for count in (50, 100, 200, 400):
        fleet = gossip.Fleet(count, settled=True)
        fleet.run(1.0)
        sent, bytes_before = sum(fleet.sent), sum(fleet.bytes)
        fleet.run(15.0)  # one full exchange for each member
        datagrams.append((sum(fleet.sent) - sent) / count / 15.0)
        sizes.append((sum(fleet.bytes) - bytes_before) / count / 15.0)
    assert max(datagrams) < 1.1 * min(datagrams) and max(datagrams) < 2.5
    assert max(sizes) < 1.1 * min(sizes) and max(sizes) < 150.0  # bytes a second


def test_traffic_of_a_join_is_proportional_to_the_number_of_members() -> None:
    """Checks the law of peers.start: linear. Each learns of every other one; a claim has about 80 bytes."""
    for count in (25, 50, 100, 200):
        fleet = gossip.Fleet(count)
        assert fleet.join_all() < 40.0
        assert sum(fleet.bytes) / count < 6000.0 + 450.0 * count
        # The traffic is evenly shared, and a seed sends no more than its bursts.
        assert max(fleet.bytes) < BURST_PACKETS * 1400 * (fleet.now / BURST_INTERVAL_S)


def test_one_change_syncs_only_the_differing_slice() -> None:
    """One member of 800 restarts: the reply to a member that has not learned of it."""
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(800)]
    one, other = (Swim(claims[n], (), random.Random(n)) for n in (0, 1))
    for swim in (one, other):
        swim.receive(
            0.0, "n2", 1, Sync(False, tuple(each for each in claims if each.name != swim.own_claim.name))
        )
        swim.dissemination_queue.clear()
    assert not first_replies(other, one._sync_request())
    one.receive(0.0, "n2", 1, Ping(1, "nobody", (gossip.claim(7, MemberState.ALIVE, process_epoch=2),)))
    one.outbox.clear()
    replies = first_replies(one, other._sync_request(), 1.0)
    names = {claim.name for body in replies for claim in body.claims}
    assert "n7" in names and len(names) < 3 * 800 / SLICES
    for body in replies:
        other.receive(0.0, "n0", 1, body)
    assert (
        other.members["n7"].process_epoch == 2
        and not first_replies(one, other._sync_request())
        and not first_replies(other, one._sync_request())
    )


def first_replies(swim: Swim, request: Sync, now: float = 0.0) -> list[Sync]:
    """Return the replies of the first burst."""
    swim.outbox.clear()
    swim.receive(now, request.claims[0].name, 1, request)
    replies = [body for _, body in swim.outbox if isinstance(body, Sync) and not body.wants_reply]
    swim.outbox.clear()
    return replies


def test_builds_without_slice_checksums_are_compatible() -> None:
    """An old build requests with one checksum, gets all unless it is equal, and skips unknown fields."""
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(100)]
    swim = Swim(claims[0], (), random.Random(1))
    swim.receive(0.0, "n2", 1, Sync(False, tuple(claims[1:])))
    old = Swim(claims[1], (), random.Random(1))
    old.receive(0.0, "n2", 1, Sync(False, (claims[0], *claims[2:])))
    same = old.member_table.checksum(old.own_claim)
    assert not first_replies(swim, Sync(True, (claims[1],), same))
    assert {
        each.name for body in first_replies(swim, Sync(True, (claims[1],), same ^ 1)) for each in body.claims
    } == {each.name for each in claims}

    class Before(msgspec.Struct, frozen=True, array_like=True, tag="s"):
        want: bool
        claims: tuple[Claim, ...]
        same: int = 0

    raw = msgspec.msgpack.encode(swim._sync_request())
    assert msgspec.msgpack.decode(raw, type=Before) == Before(
        True, (swim.own_claim,), swim.member_table.checksum(swim.own_claim)
    )
    raw = msgspec.msgpack.encode(Before(True, (swim.own_claim,), 5))
    assert msgspec.msgpack.decode(raw, type=Sync) == Sync(True, (swim.own_claim,), 5)


def test_malformed_slice_checksums_are_answered_with_all_claims() -> None:
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(30)]
    swim = Swim(claims[0], (), random.Random(1))
    swim.receive(0.0, "n2", 1, Sync(False, tuple(claims[1:])))
    replies = first_replies(
        swim, Sync(True, (claims[1],), swim.member_table.checksum(swim.own_claim) ^ 1, b"xyz")
    )
    assert {each.name for body in replies for each in body.claims} == {each.name for each in claims}


def test_equal_changes_of_two_members_change_their_slice_checksum() -> None:
    """Guards against a checksum in place of a digest: those are linear, and two members that go from joining
    to alive left the sum as it was. A fleet of 100 never came to know each other's states."""
    table = MemberTable()
    names = [n for n in range(1000) if slice_index(f"n{n}") == 5]
    own_claim = gossip.claim(10_000)
    for n in names:
        table.put(0.0, gossip.claim(n, MemberState.JOINING))
    before = table.slice_checksums(own_claim)
    for one, other in zip(names[::2], names[1::2], strict=False):
        table.put(0.0, gossip.claim(one, MemberState.ALIVE))
        table.put(0.0, gossip.claim(other, MemberState.ALIVE))
        assert table.slice_checksums(own_claim) != before
        before = table.slice_checksums(own_claim)


def test_seed_answers_many_requests_in_bursts() -> None:
    """All are answered, few in full, and no burst has more packets than a socket buffer holds."""
    swim = Swim(gossip.claim(0, MemberState.ALIVE), (), random.Random(1))
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(1, 2000)]
    swim.receive(0.0, "n2", 1, Sync(False, tuple(claims)))
    swim.dissemination_queue.clear()
    swim.next_period_at = swim.sync.next_at = 1e9
    sent_at_once = []
    for n in range(300):
        new = gossip.claim(5000 + n)
        swim.receive(0.0, new.name, 1, Sync(True, (new,)))
        sent_at_once.append(len(swim.outbox))
        swim.outbox.clear()
    assert (
        max(sent_at_once) <= BURST_PACKETS
        and sum(sent_at_once) == BURST_PACKETS + 300 - CONCURRENT_REPLIES_MAX
        and len(swim.rate_limited_replies.in_progress) == CONCURRENT_REPLIES_MAX
    )
    replies: dict[tuple[str, int], set[str]] = {}
    now = 0.0
    while swim.rate_limited_replies.in_progress:
        now = swim.next_at()
        swim.tick(now)
        assert len(swim.outbox) <= BURST_PACKETS
        for to, body in swim.outbox:
            assert isinstance(body, Sync)
            replies.setdefault(to, set()).update(claim.name for claim in body.claims)
        swim.outbox.clear()
    assert len(replies) == CONCURRENT_REPLIES_MAX and all(
        len(names) >= 1999 - BURST_PACKETS * 25 for names in replies.values()
    )
    assert now <= CONCURRENT_REPLIES_MAX * (2300 / 12 / BURST_PACKETS + 2) * BURST_INTERVAL_S


# -- steps of a renewal ------------------------------------------------------------------------------------


def voter(count: int) -> tuple[LeaseGrantor, int]:
    """Return a voter whose relays have all renewed and act by the newest version."""
    grantor, _ = consensus.voter(count)
    newest = grantor.history.newest.number
    consensus.renew_all(grantor, 1.0, 1, count, (newest,))
    grantor.leases = Walked(grantor.leases)
    return grantor, newest


def propose_stricter(grantor: LeaseGrantor, rate: float) -> None:
    """Propose a version that forbids what the previous one allows."""
    raw = encode_rules(Rules({ANY: DestinationRule(rate=rate)}))
    assert not grantor.history.apply(Propose(grantor.history.newest.number, raw, "test", "", 0.0)).refused


def renewal_call(grantor: LeaseGrantor, now: float, seq: int, acts: tuple[int, ...]) -> Callable[[], object]:
    raw = consensus.encode_renewal(7, seq, acts, seq)
    return lambda: consensus.handle_renewal(grantor, now, raw)


def test_renewal_costs_the_same_steps_at_50_and_at_3500_relays() -> None:
    step_counts = []
    for count in (SMALL, LARGE):
        grantor, newest = voter(count)
        consensus.handle_renewal(
            grantor, 1.4, consensus.encode_renewal(7, 5, (newest,), 1)
        )  # fills the caches of versions
        step_counts.append(steps(renewal_call(grantor, 1.5, 6, (newest,))))
        assert isinstance(grantor.leases, Walked) and not grantor.leases.walks
    assert step_counts[0] == step_counts[1]


def test_renewal_costs_the_same_while_an_unreachable_relay_blocks_a_version() -> None:
    """Guards against a check of all relays in each renewal: 12,000 times a second, 3 ms each."""
    step_counts = []
    for count in (SMALL, LARGE):
        grantor, newest = voter(count)
        propose_stricter(grantor, 1.0)
        assert not grantor.clear_current_version(2.0) and isinstance(grantor.leases, Walked)
        consensus.handle_renewal(grantor, 2.0, consensus.encode_renewal(7, 5, (newest, newest + 1), 5))
        grantor.leases.walks = 0
        step_counts.append(steps(renewal_call(grantor, 2.01, 6, (newest, newest + 1))))
        assert (
            grantor.leases.walks == 0
            and len(grantor.blocking_relays) == count - 1
            and "n7" not in grantor.blockers
        )
        # All renew four times within a lease: the number of full checks is bounded for that time.
        for n in range(4):
            consensus.renew_all(
                grantor,
                2.1 + n * grantor.terms.renew_interval_s,
                10 + n,
                count - 1,
                (newest, newest + 1),
                10 + n,
            )
        assert (
            grantor.blocking_relays == [f"n{count - 1}"] and grantor.leases.walks <= FULL_CHECKS_PER_LEASE + 2
        )
    assert step_counts[0] == step_counts[1]


def test_last_blocking_renewal_clears_a_version_at_once() -> None:
    """Cached results between full checks must not make a version wait for the next full check."""
    grantor, newest = voter(3)
    propose_stricter(grantor, 1.0)
    assert not grantor.clear_current_version(2.0)
    for n in range(3):
        grantor.on_renewal(2.01, f"n{n}", LeaseRenewal(1, n, 5, consensus.FIRST, (newest, newest + 1), 5))
        assert grantor.clear_current_version(2.01) is (n == 2)
    # A relay that returns to another version blocks again, also before the next full check.
    newest += 1
    propose_stricter(grantor, 0.5)
    for n in range(2):
        grantor.on_renewal(2.02, f"n{n}", LeaseRenewal(1, n, 6, consensus.FIRST, (newest, newest + 1), 6))
    grantor.leases["n0"].active_versions = (newest,)
    grantor.on_renewal(2.03, "n2", LeaseRenewal(1, 2, 6, consensus.FIRST, (newest, newest + 1), 6))
    assert not grantor.clear_current_version(2.03) and grantor.blocking_relays == ["n0"]


# -- steps of membership -----------------------------------------------------------------------------------


def settled_member(count: int) -> Swim:
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(count)]
    swim = Swim(claims[0], (), random.Random(1))
    swim.receive(0.0, "n1", 1, Sync(False, tuple(claims[1:])))
    swim.dissemination_queue.clear()
    swim.outbox.clear()
    swim.changes.clear()
    swim.sync.next_at = 1e9  # a full exchange iterates over all members, once in 15 periods
    swim.member_table.members = Walked(swim.member_table.members)
    swim.tick(1.0)  # the probe order is shuffled
    swim.outbox.clear()
    assert isinstance(swim.member_table.members, Walked)
    swim.member_table.members.walks = 0
    return swim


def receive_call(swim: Swim, now: float, body: Body) -> Callable[[], object]:
    """Return the handling of one datagram, as in gossip/node.py."""
    raw = seal_packet(Packet("n1", 1, body), gossip.SECRET)

    def receive() -> None:
        packet = open_packet(raw, gossip.SECRET)
        swim.receive(now, packet.sender, packet.nonce, packet.body)
        swim.next_at()

    return receive


def tick_call(swim: Swim, now: float) -> Callable[[], object]:
    def tick() -> None:
        swim.tick(now)
        swim.next_at()

    return tick


def ping(swim: Swim) -> Ping:
    return Ping(5, swim.own_claim.name, (gossip.claim(9, MemberState.ALIVE),))


CASES: dict[str, Callable[[Swim], Callable[[], object]]] = {
    "ping": lambda it: receive_call(it, 1.1, ping(it)),
    "datagram": lambda it: receive_call(it, 1.1, AppMessage("renew", b"x" * 60)),
    "suspect": lambda it: receive_call(it, 1.1, Ping(5, "n0", (suspect(9),))),
    "turn": lambda it: tick_call(it, 1.1),
    "period": lambda it: tick_call(it, 2.1),
}


def suspect(n: int) -> Claim:
    return msgspec.structs.replace(gossip.claim(n, MemberState.SUSPECT), suspected_by="n3")


@pytest.mark.parametrize("case", CASES)
def test_packet_and_tick_cost_the_same_steps_at_50_and_at_3500_members(case: str) -> None:
    step_counts = []
    for count in (SMALL, LARGE):
        swim = settled_member(count)
        step_counts.append(steps(CASES[case](swim)))
        assert isinstance(swim.member_table.members, Walked) and not swim.member_table.members.walks
    # The duration of a suspicion includes a logarithm.
    assert abs(step_counts[0] - step_counts[1]) <= 0.02 * step_counts[0]


def test_indirect_probe_does_not_walk_over_all_members() -> None:
    step_counts = []
    for count in (SMALL, LARGE):
        swim = settled_member(count)
        assert swim.probe is not None
        probe = swim.probe
        step_counts.append(
            min(steps(lambda swim=swim, probe=probe: swim._probe_indirectly(probe)) for _ in range(5))  # type: ignore[misc]
        )
        assert (
            isinstance(swim.member_table.members, Walked)
            and not swim.member_table.members.walks
            and probe.helpers == 3
        )
    assert step_counts[1] <= 1.5 * step_counts[0]  # the number of random draws depends on the helpers


def test_packet_costs_the_same_steps_with_7_and_with_700_suspects() -> None:
    """Covers the loss of a zone with 700 instances at once."""
    step_counts = []
    for count in (7, 700):
        swim = settled_member(LARGE)
        for n in range(1000, 1000 + count):
            swim.receive(1.0, "n1", 1, Ping(1, "n0", (suspect(n),)))
        swim.dissemination_queue.clear()
        swim.outbox.clear()
        step_counts.append(steps(receive_call(swim, 1.1, AppMessage("renew", b"x" * 60))))
        assert len(swim.suspicions) == count
    assert step_counts[0] == step_counts[1]


def test_piggybacked_claims_cost_does_not_depend_on_the_queue_length() -> None:
    step_counts = []
    for count in (SMALL, LARGE):
        swim = settled_member(LARGE)
        for n in range(1, count):
            swim.dissemination_queue.add(f"n{n}")
        swim.dissemination_queue.send_counts = names = Walked(swim.dissemination_queue.send_counts)
        step_counts.append(steps(lambda swim=swim: swim._piggybacked_claims("n1")))  # type: ignore[misc]
        assert (
            isinstance(swim.member_table.members, Walked)
            and not swim.member_table.members.walks
            and not names.walks
        )
    assert step_counts[1] <= 1.1 * step_counts[0]


def test_queued_members_are_sent_least_sent_first_up_to_the_limit() -> None:
    queue, rng, send_counts = DisseminationQueue(), random.Random(3), dict[str, int]()
    for n in range(100):
        queue.add(f"n{n}")
    while queue:
        batch = queue.least_sent(7)
        assert len({queue.send_counts[name] for name in batch}) <= 2
        for name in batch:
            assert queue.send_counts[name] == send_counts.get(name, 0)
            send_counts[name] = send_counts.get(name, 0) + 1
            queue.mark_sent(name, 6)
        if rng.random() < 0.02 and send_counts:
            again = rng.choice(sorted(send_counts))
            queue.add(again)
            send_counts[again] = 0
    assert set(send_counts.values()) == {6} and queue.least_sent(5) == []


# -- observations ------------------------------------------------------------------------------------------


def test_report_costs_the_controller_the_same_steps_at_50_and_at_3500_relays() -> None:
    step_counts = []
    for count in (SMALL, LARGE):
        observations = Observations()
        for n in range(count):
            observations.add(1.0, ObservationReport(f"n{n}", 1, 1, 0, "zone-0", 0.0, 0.0))
        observations.reports = Walked(observations.reports)  # type: ignore[assignment]
        raws = packets([ObservationReport("n7", 1, 2, 0, "zone-0", 0.0, 0.0)])
        add_reports(observations, 1.4, raws)  # the first use loads modules
        step_counts.append(
            steps(lambda observations=observations, raws=raws: add_reports(observations, 1.5, raws))  # type: ignore[misc]
        )
        assert isinstance(observations.reports, Walked) and not observations.reports.walks
    assert step_counts[0] == step_counts[1]


def test_forwarded_reports_are_the_latest_of_different_relays() -> None:
    """Compares with a simple model: sort all reports and take the first of each relay."""
    rng, observations = random.Random(4), Observations()
    for _ in range(500):
        age = rng.choice((0.0, 0.5, 1.0, rng.uniform(0.0, 9.0)))
        observations.add(
            10.0,
            ObservationReport(f"n{rng.randrange(60)}", 1, rng.randrange(20), rng.randrange(3), "a", age, 0.0),
        )
    expected: dict[str, ObservationReport] = {}
    for report, reported_at in sorted(
        observations.reports.values(), key=lambda item: (-item[1], item[0].name)
    ):
        if len(expected) < 16 and report.relay not in expected:
            expected[report.relay] = msgspec.structs.replace(report, age_s=max(0.0, 11.0 - reported_at))
    assert observations.latest_reports(11.0, 16) == list(expected.values()) and len(expected) == 16


def test_counters_detect_steps_and_iterations() -> None:
    """Checks the counters: steps count an iteration in Python, and the container counts one in C."""
    records = Walked({f"n{n}": RelayLease(1, 1) for n in range(LARGE)})
    few = Walked({f"n{n}": RelayLease(1, 1) for n in range(SMALL)})
    assert steps(lambda: [each.epoch for each in records.values()]) > 50 * steps(
        lambda: [each.epoch for each in few.values()]
    )
    records.walks = 0
    sorted(records), list(records.items()), {**records}
    assert records.walks >= 3
