"""The directory by interest in virtual time: keepers and readers as they are, with links, sources and
processes that fail by a seed. What may never be is counted, and how late the last call by an older entry was.

    python -m benchmarks.sharded_directory_schedules --seeds 1000 [--readers 200] [--json]

A call is *late* by the time since which a keeper that has the newer entry could be reached by its reader
without a break: alive, not frozen, both ways of the link open. Asks go over TCP (late, or not at all where a
way is cut); digests are datagrams (lost, doubled, out of order). Each row's rate is the generation that it is
from, so that the directory itself tells how old it is.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any

from message_relay.core.directory import EndpointDirectory
from message_relay.core.ports import EndpointUpdate
from message_relay.decisions.model import DestinationKind, Effect, MessageClass, Settings
from message_relay.sharded_directory.response_builder import MAX_RESPONSE_BYTES
from message_relay.sharded_directory.shard_client import ShardClient
from message_relay.sharded_directory.shard_server import (
    BURST_S,
    BYTES_S,
    RESPONSES_PER_S,
    ShardServer,
)
from message_relay.sharded_directory.wire import (
    DRAINING,
    GONE,
    Digest,
    Layout,
    LayoutMismatch,
    Overloaded,
    Row,
    ShardRequest,
    ShardResponse,
)

BOUND_S = 12.0
STUCK_S = 10.0  # a keeper that knows all could be reached for so long: calls go, wanted shards are here
POLL_S = 2.0  # of a keeper at its source
PATIENCE_S = 1.0  # of an ask
SETTINGS = Settings(
    classes=(MessageClass("order", Effect.KEYED, 4000.0, 16000.0, 2.0, 0.5, 4000.0),),
    kinds=(DestinationKind("k"),),
    max_concurrent_attempts=8,
    max_pending_messages=40,
    max_attempts=5,
)


@dataclass
class Plan:
    """What is played; drawn from the seed where it isn't given."""

    seed: int
    readers: int = 200
    keepers: int = 8
    destinations: int = 800
    shards: int = 128
    used: int = 12  # destinations of a reader
    seconds: float = 50.0
    call_s: float = 1.0  # between two calls of a reader
    change_s: float = 0.7  # between two changes
    faults: int | None = None
    all_restart: bool | None = None  # all keepers at once, in the middle
    frozen_s: float = 25.0  # a process, at most
    loss: float | None = None  # of digests


@dataclass
class Found:
    """What came of it."""

    seed: int
    calls: int = 0
    blocked: int = 0  # calls that `current` held back
    late_s: float = 0.0  # the last call by an older entry, at its latest
    late_calls: int = 0  # past the bound
    older: int = 0  # entries that went back in the directory
    returned: int = 0  # entries that were replaced before something that the directory had already
    stuck: int = 0  # calls held back, and shards not here, though a keeper that knows all was there for long
    wait_s: float = 0.0  # for a wanted shard, while such a keeper was there
    wrong_absent: int = 0  # "no such destination" of one that there was within the bound
    unmet: int = 0  # readers that differ from the truth after a quiet end
    answers: int = 0
    busy: int = 0
    stale_refused: int = 0
    answers_s: float = 0.0  # the most in a second at one keeper
    bytes_s: float = 0.0
    reader_bytes_s: float = 0.0  # mean, of asks and answers as they are packed
    notes: list[str] = field(default_factory=list)

    @property
    def bad(self) -> bool:
        wrong = (self.late_calls, self.older, self.returned, self.stuck, self.wrong_absent, self.unmet)
        return bool(
            any(wrong)
            or self.answers_s > RESPONSES_PER_S * (1 + BURST_S) + 1
            or self.bytes_s > BYTES_S * (1 + BURST_S) + 2 * MAX_RESPONSE_BYTES
        )


class Truth:
    """The source: all rows, and every change that there was."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self.rng, self.plan = rng, plan
        self.rows: dict[str, Row] = {}
        self.log: list[tuple[int, list[Row], list[tuple[str, int]]]] = []
        self.history: dict[str, list[int]] = defaultdict(list)  # generations at which a name changed
        self.there: dict[int, list[tuple[float, int]]] = defaultdict(list)  # destination: (since, endpoints)
        self.times = [0.0]
        self.generation = 0
        for number in range(plan.destinations):
            for each in range(1 + (number % 5 == 0)):
                self._set(0.0, Row(f"e{number}.{each}", number, 0, "h", 1 + number, None, "z", 0.0))

    def _set(self, now: float, row: Row) -> None:
        before = self.rows.pop(row.name, None)
        if row.listing != GONE:
            self.rows[row.name] = row
        self.history[row.name].append(self.generation)
        for one, by in ((before, -1), (row if row.listing != GONE else None, 1)):
            if one is not None:
                there = self.there[one.destination]
                there.append((now, (there[-1][1] if there else 0) + by))

    def change(self, now: float, many: int = 1) -> None:
        self.generation += 1
        self.times.append(now)
        rows, lives = [], []
        for _ in range(many):
            name = f"e{self.rng.randrange(self.plan.destinations)}.{self.rng.randrange(2)}"
            known = self.rows.get(name)
            chance = self.rng.random()
            mark = float(self.generation)
            if known is None or chance < 0.4:  # new, or at another place
                at = self.rng.randrange(self.plan.destinations) if known is None else known.destination
                row = Row(name, at, 0, "h", self.rng.randrange(1, 65536), None, "z", mark)
            elif chance < 0.6:  # to another destination
                at = self.rng.randrange(self.plan.destinations)
                row = Row(name, at, 0, "h", 7, None, "z", mark)
            elif chance < 0.8:
                row = Row(name, known.destination, DRAINING, "h", known.port, None, "z", mark)
            else:
                row = Row(name, known.destination, GONE, "h", known.port, None, "z", mark)
                lives.append((name, GONE))
                self._set(now, row)
                continue
            rows.append(row)
            self._set(now, row)
        # As some sources do: rows first, lives after. One that is told twice in a generation is left out.
        last = {row.name: row for row in rows}
        gone = [(name, life) for name, life in lives if name not in self.rows]
        self.log.append((self.generation, [row for name, row in last.items() if name in self.rows], gone))

    def replaced(self, name: str, mark: int) -> int | None:
        """At which generation what had this mark was replaced."""
        known = self.history[name]
        place = bisect_right(known, mark)
        return known[place] if place < len(known) else None

    def was_there(self, destination: int, since: float) -> bool:
        """At each moment since then."""
        there = self.there[destination]
        place = bisect_right(there, (since, 1 << 30))
        return bool(place) and there[place - 1][1] > 0 and all(count > 0 for _, count in there[place:])


class KeeperSide:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.up_since: float | None = None  # None: dead
        self.frozen_until = 0.0
        self.source_cut_until = 0.0
        self.life = 0
        self.keeper: ShardServer
        self.gens: list[int] = []  # what it had in this life, and when
        self.times: list[float] = []
        self.seconds: Counter[int] = Counter()
        self.bytes: Counter[int] = Counter()
        self.start(0.0)

    def start(self, now: float) -> None:
        self.life += 1
        rng = random.Random(f"{self.world.plan.seed} {self.name} {self.life}")
        self.keeper = ShardServer(self.world.layout, 1, rng)
        self.up_since, self.frozen_until = now, 0.0
        self.gens, self.times = [], []
        self.world.at(now + (0.0 if now == 0.0 else rng.uniform(0.2, 1.0)), lambda: self.poll(self.life))

    def stop(self) -> None:
        self.up_since = None

    def poll(self, life: int) -> None:
        world, now = self.world, self.world.now
        if life != self.life or self.up_since is None:
            return
        if self.frozen_until > now:
            world.at(self.frozen_until, lambda: self.poll(life))
            return
        truth = world.truth
        if self.source_cut_until <= now:
            if not self.keeper.is_loaded:
                load = self.keeper.start_list(now, (1, truth.generation))
                load.add(truth.rows.values())
                assert load.seal(now)
                while not load.step():
                    pass
                assert load.is_committed
            elif self.keeper.table.generation < truth.generation:
                for generation, rows, lives in truth.log[self.keeper.table.generation :]:
                    assert self.keeper.apply_changes(now, generation, rows, lives)
            self.keeper.confirm_source(now)
            if not self.gens or self.gens[-1] < truth.generation:
                self.gens.append(truth.generation)
                self.times.append(now)
        world.at(now + POLL_S * world.rng.uniform(0.7, 1.1), lambda: self.poll(life))

    def had(self, generation: int) -> float | None:
        """Since when it has this or a later one."""
        place = bisect_left(self.gens, generation)
        return self.times[place] if place < len(self.gens) else None

    def asked(self, reader: str, raw: ShardRequest) -> ShardResponse | Overloaded | LayoutMismatch:
        word = self.keeper.handle_request(self.world.now, reader, raw)
        if isinstance(word, ShardResponse):
            self.seconds[int(self.world.now)] += 1
        return word

    def fresh_since(self, now: float) -> float | None:
        """Since when it was up and had a source that it reaches."""
        if self.up_since is None or self.frozen_until > now or self.source_cut_until > now or not self.gens:
            return None
        return max(self.up_since, self.frozen_until, self.source_cut_until + 1.1 * POLL_S, self.times[0])


class ReaderSide:
    def __init__(self, world: World, name: str, rng: random.Random) -> None:
        self.world, self.name, self.rng = world, name, rng
        plan = world.plan
        self.reader = ShardClient(name, world.layout, rng, idle_s=15.0)
        self.directory = EndpointDirectory(SETTINGS, ("z",))
        self.used = rng.sample(range(plan.destinations), plan.used)
        self.frozen_until = 0.0
        self.queue: list[Callable[[], None]] = []  # what came while it was frozen
        self.marks: dict[str, int] = {}  # the latest that the directory had of a name
        self.evidence = 0  # the latest of any name
        self.wanted: dict[int, float] = {}
        self.ticking = -1.0
        self.bytes = 0

    def do(self, work: Callable[[], None]) -> None:
        """Something comes in for it: once it wakes."""
        if self.frozen_until > self.world.now:
            self.queue.append(work)
        else:
            work()
            self.drain()

    def wake(self) -> None:
        if self.frozen_until > self.world.now:
            return
        for _ in range(3):  # what it held goes on at once, before anything that came meanwhile is read
            self.call()
        work, self.queue = self.queue, []
        self.rng.shuffle(work)
        for each in work:
            each()
        self.drain()

    def drain(self) -> None:
        world, reader, now = self.world, self.reader, self.world.now
        if reader.next_tick_at() <= now:
            reader.tick(now, lambda destination: False)
        for update in reader.updates:
            self.check(update)
        reader.updates.clear()
        for destination in reader.missing_destinations:
            self.wanted.pop(destination, None)
            there = world.truth.was_there(destination, now - BOUND_S)
            if there and world.could(self, now, BOUND_S):
                world.found.wrong_absent += 1
                world.note(f"{now:.1f} {self.name}: {destination} is said not to be")
        reader.missing_destinations.clear()
        for destination in [each for each in self.wanted if reader.is_resident(each)]:
            del self.wanted[destination]
        for keeper, ask in reader.outgoing:
            world.carry(self, keeper, ask)
        reader.outgoing.clear()
        due = max(reader.next_tick_at(), now + 0.02)
        if not now < self.ticking <= due:
            self.ticking = due
            world.at(due, lambda: self.do(lambda: None))

    def check(self, update: EndpointUpdate) -> None:
        world, directory = self.world, self.directory
        evidence = self.evidence
        for member in update.endpoints:
            mark = int(member.rate)
            if mark < self.marks.get(member.name, 0):
                world.found.older += 1
                world.note(f"{self.name}: {member.name} of {mark}, had {self.marks[member.name]}")
            elif member.name not in directory.by_name:
                replaced = world.truth.replaced(member.name, mark)
                if replaced is not None and replaced <= evidence:
                    world.found.returned += 1
                    world.note(
                        f"{self.name}: {member.name} of {mark}, replaced at {replaced}; had {evidence}"
                    )
            self.marks[member.name] = max(mark, self.marks.get(member.name, 0))
            self.evidence = max(self.evidence, mark)
        directory.apply(update)

    def call(self) -> None:
        """One message: it goes, is held back, or waits for its shard."""
        world, reader, now = self.world, self.reader, self.world.now
        if self.rng.random() < 0.05:
            self.used[self.rng.randrange(len(self.used))] = self.rng.randrange(world.plan.destinations + 5)
        destination = self.rng.choice(self.used)
        world.found.calls += 1
        if not reader.is_resident(destination):
            self.wanted.setdefault(destination, now)
            reader.request(now, destination, now + self.rng.choice((1.0, 5.0, 30.0)))
            return
        reader.touch(now, destination)
        if not reader.is_current(now, destination):
            world.found.blocked += 1
            if world.could(self, now, STUCK_S):
                world.found.stuck += 1
                world.note(f"{now:.1f} {self.name}: held back for {destination}: {reader.status(now)}")
            return
        for known in list(self.directory.by_name.values()):
            if known.endpoint.destination == destination and known.is_ready:
                self.late(known.name, int(known.endpoint.rate))

    def late(self, name: str, mark: int) -> None:
        world, now = self.world, self.world.now
        replaced = world.truth.replaced(name, mark)
        if replaced is None:
            return
        for keeper in world.keepers.values():
            had = keeper.had(replaced)
            since = world.open_since(self, keeper, now)
            if had is None or since is None:
                continue
            late = now - max(had, since)
            world.found.late_s = max(world.found.late_s, late)
            if late > BOUND_S:
                world.found.late_calls += 1
                world.note(f"{now:.1f} {self.name}: {name} of {mark}, not {replaced}, {late:.1f} s late")
                break


class World:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed)
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.found = Found(plan.seed)
        self.layout = Layout(plan.shards, tuple(range(1, plan.keepers + 1)))
        self.truth = Truth(plan, self.rng)
        self.loss = self.rng.choice((0.0, 0.1, 0.5)) if plan.loss is None else plan.loss
        self.cuts: dict[tuple[str, str], list[float]] = {}  # (reader, keeper): each way is cut until then
        self.keepers = {f"n{i}": KeeperSide(self, f"n{i}") for i in range(1, plan.keepers + 1)}
        self.readers = {
            name: ReaderSide(self, name, random.Random(f"{plan.seed} {name}"))
            for name in (f"n{100 + i}" for i in range(plan.readers))
        }
        self.quiet = False

    def at(self, when: float, work: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, work))

    def note(self, text: str) -> None:
        if len(self.found.notes) < 5:
            self.found.notes.append(text)

    # -- the network -----------------------------------------------------------------------------------------

    def open(self, reader: str, keeper: str, way: int) -> bool:
        cut = self.cuts.get((reader, keeper))
        return cut is None or cut[way] <= self.now

    def carry(self, side: ReaderSide, name: str, ask: ShardRequest) -> None:
        """An ask, over a connection."""
        sent, keeper, ended = self.now, self.keepers[name], [False]

        def end() -> None:
            if not ended[0]:
                ended[0] = True
                side.do(lambda: side.reader.on_request_failed(self.now, name))

        def arrive() -> None:
            if keeper.up_since is None or not self.open(side.name, name, 0):
                return
            if keeper.frozen_until > self.now:
                self.at(keeper.frozen_until + 0.01, arrive)
                return
            word = keeper.asked(side.name, ask)
            side.bytes += 600
            if isinstance(word, ShardResponse):
                size = sum(64 * len(getattr(part, "rows", ())) for part in word.parts)
                keeper.bytes[int(self.now)] += size
                side.bytes += size + 60
            self.at(self.now + self.rng.uniform(0.001, 0.2), lambda: back(word))
            if self.rng.random() < 0.05:  # doubled, and out of order
                self.at(self.now + self.rng.uniform(0.001, 6.0), lambda: twice(word))

        def back(word: ShardResponse | Overloaded | LayoutMismatch) -> None:
            if not self.open(side.name, name, 1) or ended[0] or self.now - sent > PATIENCE_S:
                return
            ended[0] = True
            side.do(lambda: side.reader.on_response(self.now, name, word))

        def twice(word: ShardResponse | Overloaded | LayoutMismatch) -> None:
            side.do(lambda: side.reader.on_response(self.now, name, word))

        self.at(sent + self.rng.uniform(0.001, 0.1), arrive)
        self.at(sent + PATIENCE_S, end)

    def digests(self, keeper: KeeperSide) -> None:
        if keeper.up_since is not None and keeper.frozen_until <= self.now:
            for reader, digest in keeper.keeper.due_digests(self.now):
                self._throw(keeper, reader, digest)
        self.at(self.now + 0.1, lambda: self.digests(keeper))

    def _throw(self, keeper: KeeperSide, reader: str, digest: Digest) -> None:
        side = self.readers[reader]

        def arrive() -> None:
            if self.open(reader, keeper.name, 1):
                side.do(lambda: side.reader.on_digest(self.now, keeper.name, digest))

        if self.rng.random() >= self.loss:
            self.at(self.now + self.rng.uniform(0.001, 0.05), arrive)
        if self.rng.random() < 0.1:
            self.at(self.now + self.rng.uniform(0.001, 10.0), arrive)

    def open_since(self, side: ReaderSide, keeper: KeeperSide, now: float) -> float | None:
        """Since when an ask would have been answered; None: it would not."""
        if keeper.up_since is None or keeper.frozen_until > now:
            return None
        cut = max(self.cuts.get((side.name, keeper.name), [0.0]))
        return None if cut > now else max(keeper.up_since, keeper.frozen_until, cut)

    def could(self, side: ReaderSide, now: float, long: float) -> bool:
        """Whether a keeper that knows all could be reached for so long, by a reader that ran."""
        if now - side.frozen_until < long:
            return False
        for keeper in self.keepers.values():
            fresh, since = keeper.fresh_since(now), self.open_since(side, keeper, now)
            if fresh is not None and since is not None and now - max(fresh, since) >= long:
                return True
        return False

    # -- faults ----------------------------------------------------------------------------------------------

    def fault(self) -> None:
        rng, now = self.rng, self.now
        length = rng.uniform(2.0, self.plan.frozen_s)
        until = min(now + length, self.end_of_faults)
        some = rng.sample(sorted(self.readers), max(1, len(self.readers) // rng.choice((2, 5, 20))))
        keeper = rng.choice(list(self.keepers.values()))
        kind = rng.choice(("kill", "freeze keeper", "cut", "one way", "source", "freeze readers", "most"))
        if kind == "kill":
            keeper.stop()
            self.at(until, lambda: self.back(keeper))
        elif kind == "freeze keeper":
            keeper.frozen_until = until
        elif kind in ("cut", "one way"):
            way = rng.randrange(2)
            for name in some:
                for other in rng.sample(sorted(self.keepers), max(1, len(self.keepers) - rng.randrange(3))):
                    cut = self.cuts.setdefault((name, other), [0.0, 0.0])
                    for side in (0, 1) if kind == "cut" else (way,):
                        cut[side] = max(cut[side], until)
        elif kind == "source":
            keeper.source_cut_until = until
        elif kind == "freeze readers":
            for name in some:
                side_ = self.readers[name]
                side_.frozen_until = max(side_.frozen_until, until)
                self.at(until + 0.001, side_.wake)
        else:  # all but one lose their source, or die
            left = rng.choice(list(self.keepers))
            dies = rng.random() < 0.5
            for name, each in self.keepers.items():
                if name != left:
                    if dies and each.up_since is not None:
                        each.stop()
                        self.at(until + rng.random(), lambda each=each: self.back(each))  # type: ignore[misc]
                    else:
                        each.source_cut_until = until

    def back(self, keeper: KeeperSide) -> None:
        if keeper.up_since is None:
            keeper.start(self.now)

    def restart_all(self) -> None:
        for keeper in self.keepers.values():
            keeper.stop()
            keeper.start(self.now)

    # -- a play ----------------------------------------------------------------------------------------------

    def play(self) -> Found:
        plan, rng = self.plan, self.rng
        self.end_of_faults = plan.seconds * 0.75
        when = 0.0
        while when < self.end_of_faults:
            when += rng.expovariate(1.0 / plan.change_s)
            many = 1 if rng.random() < 0.95 else rng.randrange(2, plan.destinations // 2)
            self.at(when, lambda many=many: self.truth.change(self.now, many))  # type: ignore[misc]
        for _ in range(rng.randrange(3, 16) if plan.faults is None else plan.faults):
            self.at(rng.uniform(2.0, self.end_of_faults), self.fault)
        if plan.all_restart if plan.all_restart is not None else rng.random() < 0.3:
            self.at(rng.uniform(5.0, self.end_of_faults), self.restart_all)
        for keeper in self.keepers.values():
            self.digests(keeper)
        for side in self.readers.values():
            self.at(rng.uniform(0.0, 3.0), lambda side=side: self.calls(side))  # type: ignore[misc]
        while self.heap and self.heap[0][0] <= plan.seconds:
            self.now, _, work = heapq.heappop(self.heap)
            work()
        return self.result()

    def calls(self, side: ReaderSide) -> None:
        if side.frozen_until <= self.now:
            side.do(side.call)
            for destination, since in side.wanted.items():
                if self.now - since >= STUCK_S and self.could(side, self.now, STUCK_S):
                    self.found.stuck += 1
                    self.note(f"{self.now:.1f} {side.name}: waits for {destination} since {since:.1f}")
        self.at(self.now + self.plan.call_s * side.rng.uniform(0.5, 1.5), lambda: self.calls(side))

    def result(self) -> Found:
        found = self.found
        for side in self.readers.values():
            found.stale_refused += side.reader.stale_rejected
            self._compare(side)
        for keeper in self.keepers.values():
            found.answers += sum(keeper.seconds.values())
            found.busy += keeper.keeper.overloaded
            found.answers_s = max([found.answers_s, *keeper.seconds.values()])
            found.bytes_s = max([found.bytes_s, *keeper.bytes.values()])
        total = sum(side.bytes for side in self.readers.values())
        found.reader_bytes_s = total / len(self.readers) / self.now
        return found

    def _compare(self, side: ReaderSide) -> None:
        """After the quiet end the directory has of each destination in use what there is."""
        for destination in set(side.used):
            if side.reader.is_resident(destination):
                has = {
                    (known.name, int(known.endpoint.rate))
                    for known in side.directory.by_name.values()
                    if known.endpoint.destination == destination
                }
                is_ = {
                    (row.name, int(row.rate))
                    for row in self.truth.rows.values()
                    if row.destination == destination
                }
                if has != is_:
                    self.found.unmet += 1
                    self.note(f"{side.name}: {destination} is {sorted(is_)}, has {sorted(has)}")


def played(plan: Plan) -> Found:
    return World(plan).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--readers", type=int, default=200)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    plans = [Plan(seed, readers=told.readers) for seed in range(told.first, told.first + told.seeds)]
    with ProcessPoolExecutor(told.processes) as pool:
        found = list(pool.map(played, plans, chunksize=4))
    total: dict[str, Any] = {"schedules": len(found), "readers": told.readers}
    for name in (
        "calls",
        "blocked",
        "late_calls",
        "older",
        "returned",
        "stuck",
        "wrong_absent",
        "unmet",
        "answers",
        "busy",
        "stale_refused",
    ):
        total[name] = sum(getattr(each, name) for each in found)
    late = sorted(each.late_s for each in found)
    total["late_s"] = {"p50": late[len(late) // 2], "p99": late[len(late) * 99 // 100], "most": late[-1]}
    total["answers_s"] = max(each.answers_s for each in found)
    total["bytes_s"] = max(each.bytes_s for each in found)
    total["reader_bytes_s"] = sum(each.reader_bytes_s for each in found) / len(found)
    total["bad"] = [asdict(each) for each in found if each.bad][:10]
    if told.json:
        print(json.dumps(total))
    else:
        for name, value in total.items():
            print(f"{name:16} {value}")
    raise SystemExit(1 if total["bad"] else 0)


if __name__ == "__main__":
    main()
