"""What grows with the number of members and relays, and what does not: by counts of bytes, messages and
steps, and never by time.

The laws, as benchmarks/capacity/ measures them: at rest a member sends the same whatever their number; while
a fleet joins it sends in proportion to it, as it has to learn of each; a renewal, a packet and a turn cost
the same number of steps, and walk over no members.
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
from benchmarks.capacity.observations import packets
from benchmarks.capacity.observations import taken as reported
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
    """Counts who walks over it: a step in C, as of `sorted`, is seen by no monitor."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
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


def steps(what: Callable[[], object]) -> int:
    """Instructions of the interpreter that this takes, in whatever function."""
    count, before = 0, sys.gettrace()

    def one(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return one

    sys.settrace(one)
    try:
        what()
    finally:
        sys.settrace(before)
    return count


# -- what a member sends -----------------------------------------------------------------------------------


def test_traffic_at_rest_is_independent_of_the_number_of_members() -> None:
    """Flat: the law of peers.members. Of four sizes an octave apart the most is within a tenth of the
    least."""
    datagrams, sizes = [], []
    for count in (50, 100, 200, 400):
        fleet = gossip.Fleet(count, settled=True)
        fleet.run(1.0)
        sent, of_all = sum(fleet.sent), sum(fleet.bytes)
        fleet.run(15.0)  # one exchange of all that is known, of each
        datagrams.append((sum(fleet.sent) - sent) / count / 15.0)
        sizes.append((sum(fleet.bytes) - of_all) / count / 15.0)
    assert max(datagrams) < 1.1 * min(datagrams) and max(datagrams) < 2.5
    assert max(sizes) < 1.1 * min(sizes) and max(sizes) < 150.0  # bytes a second


def test_traffic_of_a_join_is_proportional_to_the_number_of_members() -> None:
    """Linear: the law of peers.start. Each has to learn of each; a claim has some 80 bytes."""
    for count in (25, 50, 100, 200):
        fleet = gossip.Fleet(count)
        assert fleet.joined() < 40.0
        assert sum(fleet.bytes) / count < 6000.0 + 450.0 * count
        # Evenly shared, and a seed sends no more than its bursts.
        assert max(fleet.bytes) < BURST_PACKETS * 1400 * (fleet.now / BURST_INTERVAL_S)


def test_one_change_is_synced_by_what_differs_and_not_by_all() -> None:
    """One member of 800 restarts: the reply to a member that has not learned of it."""
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(800)]
    one, other = (Swim(claims[n], (), random.Random(n)) for n in (0, 1))
    for it in (one, other):
        it.receive(
            0.0, "n2", 1, Sync(False, tuple(each for each in claims if each.name != it.own_claim.name))
        )
        it.dissemination_queue.clear()
    assert not first_replies(other, one._sync_request())
    one.receive(0.0, "n2", 1, Ping(1, "nobody", (gossip.claim(7, MemberState.ALIVE, boot=2),)))
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


def first_replies(it: Swim, request: Sync, now: float = 0.0) -> list[Sync]:
    """Return the replies of the first burst."""
    it.outbox.clear()
    it.receive(now, request.claims[0].name, 1, request)
    found = [body for _, body in it.outbox if isinstance(body, Sync) and not body.wants_reply]
    it.outbox.clear()
    return found


def test_builds_without_slice_checksums_are_compatible() -> None:
    """An old build requests with one checksum, gets all unless it is equal, and skips unknown fields."""
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(100)]
    it = Swim(claims[0], (), random.Random(1))
    it.receive(0.0, "n2", 1, Sync(False, tuple(claims[1:])))
    old = Swim(claims[1], (), random.Random(1))
    old.receive(0.0, "n2", 1, Sync(False, (claims[0], *claims[2:])))
    same = old.member_table.checksum(old.own_claim)
    assert not first_replies(it, Sync(True, (claims[1],), same))
    assert {
        each.name for body in first_replies(it, Sync(True, (claims[1],), same ^ 1)) for each in body.claims
    } == {each.name for each in claims}

    class Before(msgspec.Struct, frozen=True, array_like=True, tag="s"):
        want: bool
        claims: tuple[Claim, ...]
        same: int = 0

    raw = msgspec.msgpack.encode(it._sync_request())
    assert msgspec.msgpack.decode(raw, type=Before) == Before(
        True, (it.own_claim,), it.member_table.checksum(it.own_claim)
    )
    raw = msgspec.msgpack.encode(Before(True, (it.own_claim,), 5))
    assert msgspec.msgpack.decode(raw, type=Sync) == Sync(True, (it.own_claim,), 5)


def test_malformed_slice_checksums_are_answered_with_all() -> None:
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(30)]
    it = Swim(claims[0], (), random.Random(1))
    it.receive(0.0, "n2", 1, Sync(False, tuple(claims[1:])))
    replies = first_replies(it, Sync(True, (claims[1],), it.member_table.checksum(it.own_claim) ^ 1, b"xyz"))
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
    it = Swim(gossip.claim(0, MemberState.ALIVE), (), random.Random(1))
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(1, 2000)]
    it.receive(0.0, "n2", 1, Sync(False, tuple(claims)))
    it.dissemination_queue.clear()
    it.next_period_at = it.sync.next_at = 1e9
    sent_at_once = []
    for n in range(300):
        new = gossip.claim(5000 + n)
        it.receive(0.0, new.name, 1, Sync(True, (new,)))
        sent_at_once.append(len(it.outbox))
        it.outbox.clear()
    assert (
        max(sent_at_once) <= BURST_PACKETS
        and sum(sent_at_once) == BURST_PACKETS + 300 - CONCURRENT_REPLIES_MAX
        and len(it.rate_limited_replies.in_progress) == CONCURRENT_REPLIES_MAX
    )
    replies: dict[tuple[str, int], set[str]] = {}
    now = 0.0
    while it.rate_limited_replies.in_progress:
        now = it.next_at()
        it.tick(now)
        assert len(it.outbox) <= BURST_PACKETS
        for to, body in it.outbox:
            assert isinstance(body, Sync)
            replies.setdefault(to, set()).update(claim.name for claim in body.claims)
        it.outbox.clear()
    assert len(replies) == CONCURRENT_REPLIES_MAX and all(
        len(names) >= 1999 - BURST_PACKETS * 25 for names in replies.values()
    )
    assert now <= CONCURRENT_REPLIES_MAX * (2300 / 12 / BURST_PACKETS + 2) * BURST_INTERVAL_S


# -- steps of a renewal ------------------------------------------------------------------------------------


def voter(count: int) -> tuple[LeaseGrantor, int]:
    """All relays have renewed and act by the newest version."""
    it, _ = consensus.voter(count)
    newest = it.history.newest.number
    consensus.round_of(it, 1.0, 1, count, (newest,))
    it.leases = Walked(it.leases)
    return it, newest


def proposed(it: LeaseGrantor, rate: float) -> None:
    """A version that forbids what the one before it allows."""
    raw = encode_rules(Rules({ANY: DestinationRule(rate=rate)}))
    assert not it.history.apply(Propose(it.history.newest.number, raw, "test", "", 0.0)).refused


def renewed(it: LeaseGrantor, now: float, seq: int, acts: tuple[int, ...]) -> Callable[[], object]:
    raw = consensus.asked(7, seq, acts, seq)
    return lambda: consensus.answered(it, now, raw)


def test_a_renewal_costs_the_same_steps_at_50_and_at_3500_relays() -> None:
    found = []
    for count in (SMALL, LARGE):
        it, newest = voter(count)
        consensus.answered(
            it, 1.4, consensus.asked(7, 5, (newest,), 1)
        )  # what is computed of versions is computed
        found.append(steps(renewed(it, 1.5, 6, (newest,))))
        assert isinstance(it.leases, Walked) and not it.leases.walks
    assert found[0] == found[1]


def test_a_renewal_costs_the_same_while_a_version_waits_for_one_that_is_cut_off() -> None:
    """Guards against a look at all relays in each renewal: 12,000 times a second, 3 ms each."""
    found = []
    for count in (SMALL, LARGE):
        it, newest = voter(count)
        proposed(it, 1.0)
        assert not it.clear_current_version(2.0) and isinstance(it.leases, Walked)
        consensus.answered(it, 2.0, consensus.asked(7, 5, (newest, newest + 1), 5))
        it.leases.walks = 0
        found.append(steps(renewed(it, 2.01, 6, (newest, newest + 1))))
        assert it.leases.walks == 0 and len(it.blocking_relays) == count - 1 and "n7" not in it.blockers
        # All renew, four times in the time of a lease: the looks at all are as many as that time has.
        for n in range(4):
            consensus.round_of(
                it, 2.1 + n * it.terms.renew_interval_s, 10 + n, count - 1, (newest, newest + 1), 10 + n
            )
        assert it.blocking_relays == [f"n{count - 1}"] and it.leases.walks <= FULL_CHECKS_PER_LEASE + 2
    assert found[0] == found[1]


def test_the_last_one_that_renews_lets_a_version_be_cleared_at_once() -> None:
    """What is looked up in between must not make a version wait for the next look."""
    it, newest = voter(3)
    proposed(it, 1.0)
    assert not it.clear_current_version(2.0)
    for n in range(3):
        it.on_renewal(2.01, f"n{n}", LeaseRenewal(1, n, 5, consensus.FIRST, (newest, newest + 1), 5))
        assert it.clear_current_version(2.01) is (n == 2)
    # One that begins to hold something else again is waited for, before the next look too.
    newest += 1
    proposed(it, 0.5)
    for n in range(2):
        it.on_renewal(2.02, f"n{n}", LeaseRenewal(1, n, 6, consensus.FIRST, (newest, newest + 1), 6))
    it.leases["n0"].active_versions = (newest,)
    it.on_renewal(2.03, "n2", LeaseRenewal(1, 2, 6, consensus.FIRST, (newest, newest + 1), 6))
    assert not it.clear_current_version(2.03) and it.blocking_relays == ["n0"]


# -- steps of membership -----------------------------------------------------------------------------------


def settled_member(count: int) -> Swim:
    claims = [gossip.claim(n, MemberState.ALIVE) for n in range(count)]
    it = Swim(claims[0], (), random.Random(1))
    it.receive(0.0, "n1", 1, Sync(False, tuple(claims[1:])))
    it.dissemination_queue.clear()
    it.outbox.clear()
    it.changes.clear()
    it.sync.next_at = 1e9  # an exchange looks at all, once in 15 periods
    it.member_table.members = Walked(it.member_table.members)
    it.tick(1.0)  # the probe order is shuffled
    it.outbox.clear()
    assert isinstance(it.member_table.members, Walked)
    it.member_table.members.walks = 0
    return it


def receiving(it: Swim, now: float, body: Body) -> Callable[[], object]:
    """Return the handling of one datagram, as in gossip/node.py."""
    raw = seal_packet(Packet("n1", 1, body), gossip.SECRET)

    def what() -> None:
        packet = open_packet(raw, gossip.SECRET)
        it.receive(now, packet.sender, packet.nonce, packet.body)
        it.next_at()

    return what


def ticking(it: Swim, now: float) -> Callable[[], object]:
    def what() -> None:
        it.tick(now)
        it.next_at()

    return what


def ping(it: Swim) -> Ping:
    return Ping(5, it.own_claim.name, (gossip.claim(9, MemberState.ALIVE),))


CASES: dict[str, Callable[[Swim], Callable[[], object]]] = {
    "ping": lambda it: receiving(it, 1.1, ping(it)),
    "datagram": lambda it: receiving(it, 1.1, AppMessage("renew", b"x" * 60)),
    "suspect": lambda it: receiving(it, 1.1, Ping(5, "n0", (suspect(9),))),
    "turn": lambda it: ticking(it, 1.1),
    "period": lambda it: ticking(it, 2.1),
}


def suspect(n: int) -> Claim:
    return msgspec.structs.replace(gossip.claim(n, MemberState.SUSPECT), suspected_by="n3")


@pytest.mark.parametrize("case", CASES)
def test_packet_and_tick_cost_the_same_steps_at_50_and_at_3500_members(case: str) -> None:
    found = []
    for count in (SMALL, LARGE):
        it = settled_member(count)
        found.append(steps(CASES[case](it)))
        assert isinstance(it.member_table.members, Walked) and not it.member_table.members.walks
    assert abs(found[0] - found[1]) <= 0.02 * found[0]  # a suspicion's time has a logarithm in it


def test_indirect_probe_does_not_walk_over_all_members() -> None:
    found = []
    for count in (SMALL, LARGE):
        it = settled_member(count)
        assert it.probe is not None
        probe = it.probe
        found.append(min(steps(lambda it=it, probe=probe: it._probe_indirectly(probe)) for _ in range(5)))  # type: ignore[misc]
        assert (
            isinstance(it.member_table.members, Walked)
            and not it.member_table.members.walks
            and probe.helpers == 3
        )
    assert found[1] <= 1.5 * found[0]  # which three it is decides how often is drawn


def test_packet_costs_the_same_with_7_suspects_and_with_700() -> None:
    """A zone's seven hundred are lost at once."""
    found = []
    for count in (7, 700):
        it = settled_member(LARGE)
        for n in range(1000, 1000 + count):
            it.receive(1.0, "n1", 1, Ping(1, "n0", (suspect(n),)))
        it.dissemination_queue.clear()
        it.outbox.clear()
        found.append(steps(receiving(it, 1.1, AppMessage("renew", b"x" * 60))))
        assert len(it.suspicions) == count
    assert found[0] == found[1]


def test_piggybacked_claims_cost_what_a_packet_holds_and_not_what_is_queued() -> None:
    found = []
    for count in (SMALL, LARGE):
        it = settled_member(LARGE)
        for n in range(1, count):
            it.dissemination_queue.add(f"n{n}")
        it.dissemination_queue.send_counts = names = Walked(it.dissemination_queue.send_counts)
        found.append(steps(lambda it=it: it._piggybacked_claims("n1")))  # type: ignore[misc]
        assert (
            isinstance(it.member_table.members, Walked)
            and not it.member_table.members.walks
            and not names.walks
        )
    assert found[1] <= 1.1 * found[0]


def test_queued_members_are_sent_least_sent_first_up_to_the_limit() -> None:
    queue, rng, send_counts = DisseminationQueue(), random.Random(3), dict[str, int]()
    for n in range(100):
        queue.add(f"n{n}")
    while queue:
        some = queue.least_sent(7)
        assert len({queue.send_counts[name] for name in some}) <= 2
        for name in some:
            assert queue.send_counts[name] == send_counts.get(name, 0)
            send_counts[name] = send_counts.get(name, 0) + 1
            queue.mark_sent(name, 6)
        if rng.random() < 0.02 and send_counts:
            again = rng.choice(sorted(send_counts))
            queue.add(again)
            send_counts[again] = 0
    assert set(send_counts.values()) == {6} and queue.least_sent(5) == []


# -- evidence ----------------------------------------------------------------------------------------------


def test_a_report_costs_a_decider_the_same_steps_at_50_and_at_3500_relays() -> None:
    found = []
    for count in (SMALL, LARGE):
        it = Observations()
        for n in range(count):
            it.add(1.0, ObservationReport(f"n{n}", 1, 1, 0, "zone-0", 0.0, 0.0))
        it.reports = Walked(it.reports)  # type: ignore[assignment]
        raws = packets([ObservationReport("n7", 1, 2, 0, "zone-0", 0.0, 0.0)])
        reported(it, 1.4, raws)  # what is loaded at the first use is loaded
        found.append(steps(lambda it=it, raws=raws: reported(it, 1.5, raws)))  # type: ignore[misc]
        assert isinstance(it.reports, Walked) and not it.reports.walks
    assert found[0] == found[1]


def test_what_is_passed_on_is_the_youngest_of_different_relays() -> None:
    """Against a plain way: all sorted, and the first of each relay."""
    rng, it = random.Random(4), Observations()
    for _ in range(500):
        age = rng.choice((0.0, 0.5, 1.0, rng.uniform(0.0, 9.0)))
        it.add(
            10.0,
            ObservationReport(f"n{rng.randrange(60)}", 1, rng.randrange(20), rng.randrange(3), "a", age, 0.0),
        )
    found: dict[str, ObservationReport] = {}
    for report, ended in sorted(it.reports.values(), key=lambda item: (-item[1], item[0].name)):
        if len(found) < 16 and report.relay not in found:
            found[report.relay] = msgspec.structs.replace(report, age_s=max(0.0, 11.0 - ended))
    assert it.latest_reports(11.0, 16) == list(found.values()) and len(found) == 16


def test_steps_and_walks_are_seen() -> None:
    """The counters count: a walk in Python by its steps, one in C by the container."""
    records = Walked({f"n{n}": RelayLease(1, 1) for n in range(LARGE)})
    few = Walked({f"n{n}": RelayLease(1, 1) for n in range(SMALL)})
    assert steps(lambda: [each.epoch for each in records.values()]) > 50 * steps(
        lambda: [each.epoch for each in few.values()]
    )
    records.walks = 0
    sorted(records), list(records.items()), {**records}
    assert records.walks >= 3
