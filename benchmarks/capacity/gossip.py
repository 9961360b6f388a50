"""Measures the cost of membership for an instance by the number of members: `Swim` in virtual time, with
sealed packets.

`Fleet` drives it as `gossip/node.py` does, without sockets: each packet is counted, sealed and opened again,
and takes 1 to 20 ms. The scale tests use it too (tests/scale/test_members.py).
"""

from __future__ import annotations

import heapq
import random
import time
import tracemalloc
from collections.abc import Callable, Mapping
from functools import partial

from message_relay.gossip.swim import Swim
from message_relay.gossip.wire import Claim, MemberState, Packet, Sync, open_packet, seal_packet

from .form import Measure

SECRET = b"0123456789abcdef"
FIRST_PORT = 10_000
SEEDS = 3
START_S = 1.0  # within which all members start, as in a fleet after a power failure
JOIN_MOST_S = 60.0
REST_S, REST_FROM_S = 20.0, 2.0  # measured time at rest, and the time before it
ZONES = 10
SLACK_S = 0.005  # as in gossip/node.py: timers closer together than this are merged


def claim(n: int, state: MemberState = MemberState.JOINING, process_epoch: int = 1) -> Claim:
    """Return a claim of realistic size: an identity of 16 letters, a nonce of 48 bits, a host address."""
    host = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
    nonce = (n * 0x9E3779B97F4A7C15 + process_epoch) & (1 << 48) - 1
    return Claim(
        f"n{n}",
        f"{n * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}",
        process_epoch,
        nonce,
        0,
        state,
        host,
        FIRST_PORT + n,
        f"zone-{n % ZONES}",
        15,
    )


class Fleet:
    """Members that share a virtual clock."""

    def __init__(self, count: int, seed: int = 1, settled: bool = False) -> None:
        """If `settled`, each member knows all others and has no queued claims; otherwise start them first."""
        self.rng, self.now, self.number = random.Random(seed), 0.0, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[int, Swim] = {}
        self.number_by_address: dict[tuple[str, int], int] = {}
        self.next_tick_at: dict[int, float] = {}
        self.sent, self.bytes = [0] * count, [0] * count  # counts for each member
        self.is_lost: Callable[[int, int], bool] = lambda a, b: False
        if settled:
            claims = [claim(n, MemberState.ALIVE) for n in range(count)]
            for n, own_claim in enumerate(claims):
                swim = self._create_member(own_claim)
                swim.receive(
                    0.0, "n0", 1, Sync(False, tuple(other for other in claims if other is not own_claim))
                )
                swim.dissemination_queue.clear()
                swim.sync.is_synced, swim.sync.next_at = True, self.rng.uniform(0.0, 15.0)
                swim.next_period_at = self.rng.uniform(0.0, 1.0)
                swim.changes.clear()
                self._schedule(n, swim)

    def _create_member(self, own_claim: Claim) -> Swim:
        n = own_claim.port - FIRST_PORT
        seeds = [(seed_claim.host, seed_claim.port) for seed_claim in map(claim, range(SEEDS))]
        others = tuple(seed for seed in seeds if seed != (own_claim.host, own_claim.port))
        swim = Swim(own_claim, others, random.Random(n * 77 + own_claim.process_epoch))
        self.members[n], self.number_by_address[own_claim.host, own_claim.port] = swim, n
        return swim

    def start(self, n: int, process_epoch: int = 1) -> None:
        swim = self._create_member(claim(n, process_epoch=process_epoch))
        self._tick(n, swim)

    def _call_at(self, when: float, action: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, action))

    def _tick(self, n: int, swim: Swim) -> None:
        if self.members.get(n) is not swim or self.now < self.next_tick_at.get(n, 0.0) - 1e-9:
            return
        swim.tick(self.now)
        self.next_tick_at[n] = float("inf")
        self._flush(n, swim)
        self._schedule(n, swim)

    def _schedule(self, n: int, swim: Swim) -> None:
        when = max(self.now + SLACK_S, swim.next_at())
        if when < self.next_tick_at.get(n, float("inf")) - SLACK_S:
            self.next_tick_at[n] = when
            self._call_at(when, lambda: self._tick(n, swim))

    def _flush(self, n: int, swim: Swim) -> None:
        outbox, swim.outbox = swim.outbox, []
        for to, body in outbox:
            raw = seal_packet(Packet(swim.own_claim.name, swim.own_claim.nonce, body), SECRET)
            self.sent[n] += 1
            self.bytes[n] += len(raw)
            other = self.number_by_address.get(to)
            if other is not None and not self.is_lost(n, other):
                self._call_at(
                    self.now + self.rng.uniform(0.001, 0.02),
                    partial(self._receive, other, raw),
                )
        swim.changes.clear()

    def _receive(self, n: int, raw: bytes) -> None:
        swim = self.members.get(n)
        if swim is not None:
            packet = open_packet(raw, SECRET)
            swim.receive(self.now, packet.sender, packet.nonce, packet.body)
            self._flush(n, swim)
            self._schedule(n, swim)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = end

    def is_fully_informed(self) -> bool:
        count = len(self.members)
        return all(
            swim.own_claim.state is MemberState.ALIVE
            and len(swim.members) == count - 1
            and all(member.state is MemberState.ALIVE for member in swim.members.values())
            for swim in self.members.values()
        )

    def join_all(self) -> float:
        """Start all members. Returns the seconds until each knows every other one as alive."""
        for n in self.rng.sample(range(len(self.sent)), len(self.sent)):
            self._call_at(self.rng.uniform(0.0, START_S), lambda n=n: self.start(n))  # type: ignore[misc]
        while self.now < JOIN_MOST_S:
            self.run(1.0)
            if len(self.members) == len(self.sent) and self.is_fully_informed():
                return self.now
        raise RuntimeError(f"{len(self.sent)} members did not know each other after {JOIN_MOST_S:g} s")


def start(size: int) -> Mapping[str, float]:
    fleet, started_at = Fleet(size), time.process_time()
    join_s = fleet.join_all()
    cpu = time.process_time() - started_at
    return {
        "cpu_ms": 1000 * cpu / size,
        "bytes": sum(fleet.bytes) / size,
        "seed_bytes": sum(fleet.bytes[:SEEDS]) / SEEDS,
        "seconds": join_s,
    }


def members(size: int) -> Mapping[str, float]:
    fleet = Fleet(size, settled=True)
    fleet.run(REST_FROM_S)
    sent, bytes_before, started_at = sum(fleet.sent), sum(fleet.bytes), time.process_time()
    fleet.run(REST_S)
    cpu, seconds = time.process_time() - started_at, REST_S * size
    return {
        "memory_bytes": memory(size),
        "cpu_ms_s": 1000 * cpu / seconds,
        "datagrams_s": (sum(fleet.sent) - sent) / seconds,
        "bytes_s": (sum(fleet.bytes) - bytes_before) / seconds,
    }


def memory(size: int) -> float:
    """Return the bytes that one instance holds for each known member, decoded from packets."""
    swim = Swim(claim(0), (), random.Random(1))
    claims = [claim(n + 1, MemberState.ALIVE) for n in range(size)]
    packets = [
        seal_packet(Packet("n1", 1, Sync(False, tuple(claims[n : n + 10]))), SECRET)
        for n in range(0, size, 10)
    ]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for raw in packets:
        swim.receive(0.0, "n1", 1, open_packet(raw, SECRET).body)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(swim.members)


MEASURES = (
    Measure(
        "peers.members",
        "member",
        (50, 100, 200, 400),
        800,
        {"bytes_s": "bytes/s", "datagrams_s": "datagrams/s", "cpu_ms_s": "ms/s", "memory_bytes": "bytes"},
        members,
        "message_relay/gossip/swim.py",
        "of one member, at rest, with a period of 1 s: there is no news; memory: of each member known; "
        "virtual time: processor time holds the driver's, and no system call",
    ),
    Measure(
        "peers.start",
        "member",
        (25, 50, 100, 200),
        400,
        {"cpu_ms": "ms", "bytes": "bytes", "seed_bytes": "bytes", "seconds": "s"},
        start,
        "message_relay/gossip/member_table.py",
        "of one member, and of a seed, until each knows all: they start within 1 s; virtual time, no sockets",
    ),
)
