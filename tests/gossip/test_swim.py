"""SWIM without I/O: claims in any order, faults between members, identities and datagrams."""

from __future__ import annotations

import heapq
import random
import shutil
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from message_relay.gossip.identity import IdentityError, claim_identity, raise_process_epoch
from message_relay.gossip.settings import GossipSettings
from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import (
    PACKET_BYTES,
    AppMessage,
    Claim,
    MemberState,
    Packet,
    Ping,
    Sync,
    UnreadablePacketError,
    open_packet,
    seal_packet,
)


def claim(
    n: int,
    state: MemberState = MemberState.ALIVE,
    incarnation: int = 0,
    epoch: int = 1,
    suspected_by: str = "",
) -> Claim:
    return Claim(
        f"n{n}",
        f"id{n}",
        epoch,
        1000 * epoch + n,
        incarnation,
        state,
        "127.0.0.1",
        7000 + n,
        "z",
        7,
        suspected_by,
    )


class SimulatedNetwork:
    """Members in virtual time, and faults between them."""

    def __init__(self, count: int, seed: int = 1, period: float = 1.0) -> None:
        self.rng, self.now, self.event_number = random.Random(seed), 0.0, 0
        self.period, self.heap = period, list[tuple[float, int, Callable[[], None]]]()
        self.is_cut: Callable[[int, int], bool] = lambda a, b: False
        self.loss, self.frozen = 0.0, dict[int, float]()
        self.members = dict[int, Swim]()
        self.sent = self.bytes = 0
        self.due = dict[int, float]()
        for n in range(count):
            self.start(n)

    def start(self, n: int, epoch: int = 1) -> None:
        own_claim = claim(n, MemberState.JOINING, epoch=epoch)
        self.members[n] = Swim(
            own_claim, (("127.0.0.1", 7000), ("127.0.0.1", 7001)), random.Random(n * 77 + epoch), self.period
        )
        self.call_at(self.now + self.rng.random() * 0.1, lambda: self.tick(n, epoch))

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.heap, (when, self.event_number, action))

    def tick(self, n: int, epoch: int) -> None:
        member = self.members.get(n)
        if (
            member is None
            or member.own_claim.process_epoch != epoch
            or self.now < self.due.get(n, 0.0) - 1e-9
        ):
            return
        wakes_at = self.frozen.get(n, 0.0)
        if self.now < wakes_at:
            self.due[n] = wakes_at
            self.call_at(wakes_at, lambda: self.tick(n, epoch))
            return
        member.tick(self.now)
        self.flush(n, member)
        if member.newer_epoch_seen:
            epoch = member.newer_epoch_seen + 1
            member.restart_as(epoch)
        self.due[n] = float("inf")
        self.schedule(n, member)

    def schedule(self, n: int, member: Swim) -> None:
        when = max(self.now + 0.005, member.next_at())
        if when < self.due.get(n, float("inf")):
            self.due[n] = when
            self.call_at(when, lambda: self.tick(n, member.own_claim.process_epoch))

    def flush(self, n: int, member: Swim) -> None:
        outbox, member.outbox = member.outbox, []
        for (_, port), body in outbox:
            to = port - 7000
            raw = seal_packet(Packet(member.own_claim.name, member.own_claim.nonce, body), b"")
            self.sent, self.bytes = self.sent + 1, self.bytes + len(raw)
            if not self.is_cut(n, to) and self.rng.random() >= self.loss:
                arrives_at = self.now + self.rng.uniform(0.001, 0.02)
                self.call_at(arrives_at, partial(self.deliver, to, raw))

    def deliver(self, to: int, raw: bytes) -> None:
        member = self.members.get(to)
        if member is None:
            return
        if self.now < self.frozen.get(to, 0.0):
            self.call_at(self.frozen[to] + 0.001, lambda: self.deliver(to, raw))
            return
        packet = open_packet(raw, b"")
        member.receive(self.now, packet.sender, packet.nonce, packet.body)
        self.flush(to, member)
        self.schedule(to, member)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = end

    def states(self, observer: int) -> dict[str, MemberState]:
        return {name: each.state for name, each in self.members[observer].members.items()}


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.builds(
            claim,
            st.integers(1, 2),
            st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT]),
            st.integers(0, 2),
            st.integers(1, 2),
            st.sampled_from(["n3", "n4"]),
        ),
        max_size=8,
    ),
    st.randoms(),
)
def test_claims_converge_in_any_order_and_with_duplicates(claims: list[Claim], rng: random.Random) -> None:
    """Claims about unknown gone members are ignored, so all members are known at the start."""

    def after(received: list[Claim]) -> dict[str, tuple[int, int, int]]:
        member = Swim(claim(0), (), random.Random(1))
        member.receive(0.0, "n9", 1, Sync(False, (claim(1), claim(2))))
        for each in received:
            member.receive(0.0, "n9", 1, Sync(False, (each,)))
        return {name: each.precedence for name, each in member.members.items()}

    mixed = claims * 2
    rng.shuffle(mixed)
    assert after(claims) == after(mixed)


@pytest.mark.parametrize("count", [3, 40])
def test_members_join_within_seconds_and_a_killed_member_is_found_dead(count: int) -> None:
    network = SimulatedNetwork(count)
    network.run(8.0)
    for n in range(count):
        assert set(network.states(n).values()) == {MemberState.ALIVE} and len(network.states(n)) == count - 1
    victim = count - 1
    del network.members[victim]
    network.run(45.0)
    assert {network.states(n)[f"n{victim}"] for n in network.members} == {MemberState.DEAD}
    network.start(victim, epoch=2)
    network.run(10.0)
    assert {network.states(n)[f"n{victim}"] for n in network.members if n != victim} == {MemberState.ALIVE}


def test_traffic_of_a_member_does_not_grow_with_the_fleet() -> None:
    per_member = []
    for count in (10, 100):
        network = SimulatedNetwork(count)
        network.run(90.0)  # until all news of the start has been disseminated
        network.sent = network.bytes = 0
        network.run(20.0)
        per_member.append(network.bytes / 20.0 / count)
    assert per_member[1] < 3 * per_member[0] + 600 and per_member[1] < 1500  # bytes a second


def test_bad_link_and_packet_loss_exclude_nobody() -> None:
    network = SimulatedNetwork(20, seed=3)
    network.run(8.0)
    network.loss = 0.1
    network.is_cut = lambda a, b: {a, b} == {4, 5} or (a, b) == (7, 8)
    network.run(60.0)
    for n in range(20):
        assert MemberState.DEAD not in network.states(n).values()


def test_frozen_member_excludes_nobody_and_returns() -> None:
    network = SimulatedNetwork(10, seed=2)
    network.run(8.0)
    network.frozen[3] = network.now + 10.0
    network.run(9.9)
    assert {network.states(n)["n3"] for n in range(10) if n != 3} & {MemberState.SUSPECT, MemberState.DEAD}
    network.run(2.3)
    assert MemberState.DEAD not in network.states(3).values()
    network.run(25.0)
    assert {network.states(n)["n3"] for n in range(10) if n != 3} == {MemberState.ALIVE}


def test_partition_heals() -> None:
    network = SimulatedNetwork(8)
    network.run(8.0)
    network.is_cut = lambda a, b: (a < 4) != (b < 4)
    network.run(60.0)
    assert network.states(0)["n7"] is MemberState.DEAD and network.states(7)["n0"] is MemberState.DEAD
    network.is_cut = lambda a, b: False
    network.run(60.0)
    for n in range(8):
        assert set(network.states(n).values()) == {MemberState.ALIVE}


def test_duplicate_process_and_duplicate_name_are_rejected() -> None:
    network = SimulatedNetwork(4)
    network.run(6.0)
    twin = msgspec.structs.replace(claim(3, MemberState.JOINING), nonce=1, port=7009)
    network.members[9] = Swim(twin, (("127.0.0.1", 7000),), random.Random(5))
    network.call_at(network.now, lambda: network.tick(9, 1))
    network.run(4.0)
    assert network.members[9].identity_conflict is not None and network.members[3].identity_conflict is None
    other = msgspec.structs.replace(claim(2, MemberState.JOINING), id="another", port=7008)
    network.members[8] = Swim(other, (("127.0.0.1", 7000),), random.Random(6))
    network.call_at(network.now, lambda: network.tick(8, 1))
    network.run(4.0)
    assert network.members[8].identity_conflict is not None and network.states(0)["n2"] is MemberState.ALIVE


def test_restored_folder_joins_above_the_epoch_that_others_have_seen() -> None:
    network = SimulatedNetwork(5)
    network.start(3, epoch=7)
    network.run(8.0)
    del network.members[3]
    network.run(40.0)
    network.start(3, epoch=4)
    network.run(8.0)
    assert network.members[3].own_claim.process_epoch == 8 and network.members[3].identity_conflict is None
    assert {network.states(n)["n3"] for n in (0, 1, 2, 4)} == {MemberState.ALIVE}


def test_copied_state_folder_is_rejected(tmp_path: Path) -> None:
    folder = tmp_path / "state"
    first = claim_identity(folder, "n1")
    again = claim_identity(folder, "n1")
    assert (first.id, first.process_epoch, again.process_epoch) == (again.id, 1, 2)
    shutil.copytree(folder, tmp_path / "copy")
    with pytest.raises(IdentityError, match="was copied or moved: it belongs to 'n1'"):
        claim_identity(tmp_path / "copy", "n1")
    shutil.rmtree(folder)
    shutil.copytree(tmp_path / "copy", folder)  # ext4 gives it the same inode number again
    with pytest.raises(IdentityError, match="was copied or moved: it belongs to 'n1'"):
        claim_identity(folder, "n1")
    shutil.rmtree(folder)
    first, again = claim_identity(folder, "n1"), claim_identity(folder, "n1")
    with pytest.raises(IdentityError, match="is 'n1''s, and this instance is 'n2'"):
        claim_identity(folder, "n2")
    assert (
        raise_process_epoch(folder, again, 9).process_epoch == 10
        and claim_identity(folder, "n1").process_epoch == 11
    )
    (folder / "identity.json").write_text("{")
    with pytest.raises(IdentityError, match="can't be read"):
        claim_identity(folder, "n1")


def test_invalid_datagrams_are_unreadable() -> None:
    secret = b"s" * 16
    raw = seal_packet(Packet("n1", 5, AppMessage("k", b"x")), secret)
    assert open_packet(raw, secret).body == AppMessage("k", b"x")
    for invalid in (raw[:-1], b"", raw[1:], b"\x93\x00", raw + b"x", b"x" * (PACKET_BYTES + 1)):
        with pytest.raises(UnreadablePacketError):
            open_packet(invalid, secret)
    with pytest.raises(UnreadablePacketError):
        open_packet(raw, b"t" * 16)
    for n in range(300):
        with pytest.raises(UnreadablePacketError):
            open_packet(random.Random(n).randbytes(n % 90), b"")
    assert isinstance(open_packet(seal_packet(Packet("n1", 5, Ping(1, "n2")), b""), b"").body, Ping)


@pytest.mark.parametrize(
    ("section", "message"),
    [
        ({"listen": "here"}, "listen: 'here' is not HOST:PORT"),
        ({"seeds": ("127.0.0.1:1",)}, "seeds need a place"),
        ({"listen": "127.0.0.1:0"}, "is not HOST:PORT"),
    ],
)
def test_invalid_settings_name_their_field(section: dict[str, object], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        GossipSettings(**section)  # type: ignore[arg-type]
