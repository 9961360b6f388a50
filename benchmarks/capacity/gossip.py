"""What membership costs an instance, by how many there are: `Swim` in virtual time, its packets sealed.

`Fleet` drives it as `gossip/node.py` does, without sockets: what is sent is sealed and opened again, takes 1
to 20 ms, and is counted. Tests of scale count with it too (tests/scale/test_members.py).
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
START_S = 1.0  # in which all start: a fleet whose power comes back
JOIN_MOST_S = 60.0
REST_S, REST_FROM_S = 20.0, 2.0  # of rest that are counted, and the time before it
ZONES = 10
SLACK_S = 0.005  # as gossip/node.py has it: timers closer than that are one


def claim(n: int, state: MemberState = MemberState.JOINING, boot: int = 1) -> Claim:
    """As large as a real one: an identity of 16 letters, a nonce of 48 bits, an address of a machine's."""
    host = f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}"
    nonce = (n * 0x9E3779B97F4A7C15 + boot) & (1 << 48) - 1
    return Claim(
        f"n{n}",
        f"{n * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}",
        boot,
        nonce,
        0,
        state,
        host,
        FIRST_PORT + n,
        f"zone-{n % ZONES}",
        15,
    )


class Fleet:
    """Members with a clock set by hand."""

    def __init__(self, count: int, seed: int = 1, settled: bool = False) -> None:
        """`settled`: each knows all, and there is no news; otherwise they are to be started."""
        self.rng, self.now, self.number = random.Random(seed), 0.0, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[int, Swim] = {}
        self.at: dict[tuple[str, int], int] = {}
        self.due: dict[int, float] = {}
        self.sent, self.bytes = [0] * count, [0] * count  # by member
        self.lost: Callable[[int, int], bool] = lambda a, b: False
        if settled:
            words = [claim(n, MemberState.ALIVE) for n in range(count)]
            for n, word in enumerate(words):
                it = self._made(word)
                it.receive(0.0, "n0", 1, Sync(False, tuple(each for each in words if each is not word)))
                it.dissemination_queue.clear()
                it.sync.is_synced, it.sync.next_at = True, self.rng.uniform(0.0, 15.0)
                it.next_period_at = self.rng.uniform(0.0, 1.0)
                it.changes.clear()
                self._schedule(n, it)

    def _made(self, word: Claim) -> Swim:
        n = word.port - FIRST_PORT
        seeds = [(each.host, each.port) for each in map(claim, range(SEEDS))]
        others = tuple(at for at in seeds if at != (word.host, word.port))
        it = Swim(word, others, random.Random(n * 77 + word.process_epoch))
        self.members[n], self.at[word.host, word.port] = it, n
        return it

    def start(self, n: int, boot: int = 1) -> None:
        it = self._made(claim(n, boot=boot))
        self._tick(n, it)

    def _at(self, when: float, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, what))

    def _tick(self, n: int, it: Swim) -> None:
        if self.members.get(n) is not it or self.now < self.due.get(n, 0.0) - 1e-9:
            return
        it.tick(self.now)
        self.due[n] = float("inf")
        self._flush(n, it)
        self._schedule(n, it)

    def _schedule(self, n: int, it: Swim) -> None:
        when = max(self.now + SLACK_S, it.next_at())
        if when < self.due.get(n, float("inf")) - SLACK_S:
            self.due[n] = when
            self._at(when, lambda: self._tick(n, it))

    def _flush(self, n: int, it: Swim) -> None:
        outbox, it.outbox = it.outbox, []
        for to, body in outbox:
            raw = seal_packet(Packet(it.own_claim.name, it.own_claim.nonce, body), SECRET)
            self.sent[n] += 1
            self.bytes[n] += len(raw)
            other = self.at.get(to)
            if other is not None and not self.lost(n, other):
                self._at(
                    self.now + self.rng.uniform(0.001, 0.02),
                    partial(self._take, other, raw),
                )
        it.changes.clear()

    def _take(self, n: int, raw: bytes) -> None:
        it = self.members.get(n)
        if it is not None:
            packet = open_packet(raw, SECRET)
            it.receive(self.now, packet.sender, packet.nonce, packet.body)
            self._flush(n, it)
            self._schedule(n, it)

    def run(self, seconds: float) -> None:
        ends = self.now + seconds
        while self.heap and self.heap[0][0] <= ends:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = ends

    def knows_all(self) -> bool:
        count = len(self.members)
        return all(
            it.own_claim.state is MemberState.ALIVE
            and len(it.members) == count - 1
            and all(each.state is MemberState.ALIVE for each in it.members.values())
            for it in self.members.values()
        )

    def joined(self) -> float:
        """All start; the seconds until each knows each other one as alive."""
        for n in self.rng.sample(range(len(self.sent)), len(self.sent)):
            self._at(self.rng.uniform(0.0, START_S), lambda n=n: self.start(n))  # type: ignore[misc]
        while self.now < JOIN_MOST_S:
            self.run(1.0)
            if len(self.members) == len(self.sent) and self.knows_all():
                return self.now
        raise RuntimeError(f"{len(self.sent)} members did not know each other after {JOIN_MOST_S:g} s")


def start(size: int) -> Mapping[str, float]:
    fleet, began = Fleet(size), time.process_time()
    took = fleet.joined()
    cpu = time.process_time() - began
    return {
        "cpu_ms": 1000 * cpu / size,
        "bytes": sum(fleet.bytes) / size,
        "seed_bytes": sum(fleet.bytes[:SEEDS]) / SEEDS,
        "seconds": took,
    }


def members(size: int) -> Mapping[str, float]:
    fleet = Fleet(size, settled=True)
    fleet.run(REST_FROM_S)
    sent, of_all, began = sum(fleet.sent), sum(fleet.bytes), time.process_time()
    fleet.run(REST_S)
    cpu, seconds = time.process_time() - began, REST_S * size
    return {
        "memory_bytes": memory(size),
        "cpu_ms_s": 1000 * cpu / seconds,
        "datagrams_s": (sum(fleet.sent) - sent) / seconds,
        "bytes_s": (sum(fleet.bytes) - of_all) / seconds,
    }


def memory(size: int) -> float:
    """Of each member known, as one instance holds them: taken from packets."""
    it = Swim(claim(0), (), random.Random(1))
    words = [claim(n + 1, MemberState.ALIVE) for n in range(size)]
    packets = [
        seal_packet(Packet("n1", 1, Sync(False, tuple(words[n : n + 10]))), SECRET)
        for n in range(0, size, 10)
    ]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for raw in packets:
        it.receive(0.0, "n1", 1, open_packet(raw, SECRET).body)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / len(it.members)


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
