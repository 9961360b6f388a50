"""Membership without I/O: words in any order, faults between members, and who a process says it is."""

from __future__ import annotations

import heapq
import random
import shutil
from collections.abc import Callable
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
    n: int, state: MemberState = MemberState.ALIVE, incarnation: int = 0, boot: int = 1, by: str = ""
) -> Claim:
    return Claim(
        f"n{n}", f"id{n}", boot, 1000 * boot + n, incarnation, state, "127.0.0.1", 7000 + n, "z", 7, by
    )


class Town:
    """Members with a clock set by hand, and faults between them."""

    def __init__(self, count: int, seed: int = 1, period: float = 1.0) -> None:
        self.rng, self.now, self.number = random.Random(seed), 0.0, 0
        self.period, self.heap = period, list[tuple[float, int, Callable[[], None]]]()
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.loss, self.frozen = 0.0, dict[int, float]()
        self.members = dict[int, Swim]()
        self.sent = self.bytes = 0
        self.due = dict[int, float]()
        for n in range(count):
            self.start(n)

    def start(self, n: int, boot: int = 1) -> None:
        me = claim(n, MemberState.JOINING, boot=boot)
        self.members[n] = Swim(
            me, (("127.0.0.1", 7000), ("127.0.0.1", 7001)), random.Random(n * 77 + boot), self.period
        )
        self.at(self.now + self.rng.random() * 0.1, lambda: self.tick(n, boot))

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, what))

    def tick(self, n: int, boot: int) -> None:
        it = self.members.get(n)
        if it is None or it.own_claim.process_epoch != boot or self.now < self.due.get(n, 0.0) - 1e-9:
            return
        wakes = self.frozen.get(n, 0.0)
        if self.now < wakes:
            self.due[n] = wakes
            self.at(wakes, lambda: self.tick(n, boot))
            return
        it.tick(self.now)
        self.flush(n, it)
        if it.newer_epoch_seen:
            boot = it.newer_epoch_seen + 1
            it.restart_as(boot)
        self.due[n] = float("inf")
        self.schedule(n, it)

    def schedule(self, n: int, it: Swim) -> None:
        when = max(self.now + 0.005, it.next_at())
        if when < self.due.get(n, float("inf")):
            self.due[n] = when
            self.at(when, lambda: self.tick(n, it.own_claim.process_epoch))

    def flush(self, n: int, it: Swim) -> None:
        outbox, it.outbox = it.outbox, []
        for (_, port), body in outbox:
            to, raw = port - 7000, seal_packet(Packet(it.own_claim.name, it.own_claim.nonce, body), b"")
            self.sent, self.bytes = self.sent + 1, self.bytes + len(raw)
            if not self.cut(n, to) and self.rng.random() >= self.loss:
                self.at(self.now + self.rng.uniform(0.001, 0.02), lambda to=to, raw=raw: self.take(to, raw))  # type: ignore[misc]

    def take(self, to: int, raw: bytes) -> None:
        it = self.members.get(to)
        if it is None:
            return
        if self.now < self.frozen.get(to, 0.0):
            self.at(self.frozen[to] + 0.001, lambda: self.take(to, raw))
            return
        packet = open_packet(raw, b"")
        it.receive(self.now, packet.sender, packet.nonce, packet.body)
        self.flush(to, it)
        self.schedule(to, it)

    def run(self, seconds: float) -> None:
        ends = self.now + seconds
        while self.heap and self.heap[0][0] <= ends:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = ends

    def states(self, of: int) -> dict[str, MemberState]:
        return {name: each.state for name, each in self.members[of].members.items()}


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
def test_words_in_any_order_and_twice_come_to_the_same(words: list[Claim], rng: random.Random) -> None:
    """A word on the dead whom nobody knew is no news; all others are known here before."""

    def after(told: list[Claim]) -> dict[str, tuple[int, int, int]]:
        it = Swim(claim(0), (), random.Random(1))
        it.receive(0.0, "n9", 1, Sync(False, (claim(1), claim(2))))
        for word in told:
            it.receive(0.0, "n9", 1, Sync(False, (word,)))
        return {name: each.precedence for name, each in it.members.items()}

    mixed = words * 2
    rng.shuffle(mixed)
    assert after(words) == after(mixed)


@pytest.mark.parametrize("count", [3, 40])
def test_all_know_all_within_seconds_and_one_that_is_killed_is_found_dead(count: int) -> None:
    town = Town(count)
    town.run(8.0)
    for n in range(count):
        assert set(town.states(n).values()) == {MemberState.ALIVE} and len(town.states(n)) == count - 1
    victim = count - 1
    del town.members[victim]
    town.run(45.0)
    assert {town.states(n)[f"n{victim}"] for n in town.members} == {MemberState.DEAD}
    town.start(victim, boot=2)
    town.run(10.0)
    assert {town.states(n)[f"n{victim}"] for n in town.members if n != victim} == {MemberState.ALIVE}


def test_traffic_of_a_member_does_not_grow_with_their_number() -> None:
    per_member = []
    for count in (10, 100):
        town = Town(count)
        town.run(90.0)  # until all news of the start has been told
        town.sent = town.bytes = 0
        town.run(20.0)
        per_member.append(town.bytes / 20.0 / count)
    assert per_member[1] < 3 * per_member[0] + 600 and per_member[1] < 1500  # bytes a second


def test_one_bad_link_and_loss_shut_nobody_out() -> None:
    town = Town(20, seed=3)
    town.run(8.0)
    town.loss = 0.1
    town.cut = lambda a, b: {a, b} == {4, 5} or (a, b) == (7, 8)
    town.run(60.0)
    for n in range(20):
        assert MemberState.DEAD not in town.states(n).values()


def test_one_that_was_frozen_blames_nobody_and_is_back() -> None:
    town = Town(10, seed=2)
    town.run(8.0)
    town.frozen[3] = town.now + 10.0
    town.run(9.9)
    assert {town.states(n)["n3"] for n in range(10) if n != 3} & {MemberState.SUSPECT, MemberState.DEAD}
    town.run(2.3)
    assert MemberState.DEAD not in town.states(3).values()
    town.run(25.0)
    assert {town.states(n)["n3"] for n in range(10) if n != 3} == {MemberState.ALIVE}


def test_two_halves_find_each_other_again() -> None:
    town = Town(8)
    town.run(8.0)
    town.cut = lambda a, b: (a < 4) != (b < 4)
    town.run(60.0)
    assert town.states(0)["n7"] is MemberState.DEAD and town.states(7)["n0"] is MemberState.DEAD
    town.cut = lambda a, b: False
    town.run(60.0)
    for n in range(8):
        assert set(town.states(n).values()) == {MemberState.ALIVE}


def test_a_second_process_of_a_folder_and_another_under_the_name_are_refused() -> None:
    town = Town(4)
    town.run(6.0)
    twin = msgspec.structs.replace(claim(3, MemberState.JOINING), nonce=1, port=7009)
    town.members[9] = Swim(twin, (("127.0.0.1", 7000),), random.Random(5))
    town.at(town.now, lambda: town.tick(9, 1))
    town.run(4.0)
    assert town.members[9].identity_conflict is not None and town.members[3].identity_conflict is None
    other = msgspec.structs.replace(claim(2, MemberState.JOINING), id="another", port=7008)
    town.members[8] = Swim(other, (("127.0.0.1", 7000),), random.Random(6))
    town.at(town.now, lambda: town.tick(8, 1))
    town.run(4.0)
    assert town.members[8].identity_conflict is not None and town.states(0)["n2"] is MemberState.ALIVE


def test_a_folder_that_went_back_in_time_joins_above_what_others_have_seen() -> None:
    town = Town(5)
    town.start(3, boot=7)
    town.run(8.0)
    del town.members[3]
    town.run(40.0)
    town.start(3, boot=4)
    town.run(8.0)
    assert town.members[3].own_claim.process_epoch == 8 and town.members[3].identity_conflict is None
    assert {town.states(n)["n3"] for n in (0, 1, 2, 4)} == {MemberState.ALIVE}


def test_a_folder_is_one_instances_and_a_copy_of_it_is_nobodys(tmp_path: Path) -> None:
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


def test_what_is_no_members_packet_is_not_read() -> None:
    secret = b"s" * 16
    raw = seal_packet(Packet("n1", 5, AppMessage("k", b"x")), secret)
    assert open_packet(raw, secret).body == AppMessage("k", b"x")
    for bad in (raw[:-1], b"", raw[1:], b"\x93\x00", raw + b"x", b"x" * (PACKET_BYTES + 1)):
        with pytest.raises(UnreadablePacketError):
            open_packet(bad, secret)
    with pytest.raises(UnreadablePacketError):
        open_packet(raw, b"t" * 16)
    for n in range(300):
        with pytest.raises(UnreadablePacketError):
            open_packet(random.Random(n).randbytes(n % 90), b"")
    assert isinstance(open_packet(seal_packet(Packet("n1", 5, Ping(1, "n2")), b""), b"").body, Ping)


@pytest.mark.parametrize(
    ("part", "said"),
    [
        ({"listen": "here"}, "listen: 'here' is not HOST:PORT"),
        ({"seeds": ("127.0.0.1:1",)}, "seeds need a place"),
        ({"listen": "127.0.0.1:0"}, "is not HOST:PORT"),
    ],
)
def test_a_faulty_part_is_told_by_its_field(part: dict[str, object], said: str) -> None:
    with pytest.raises(ValueError, match=said):
        GossipSettings(**part)  # type: ignore[arg-type]
