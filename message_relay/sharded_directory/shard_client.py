"""What a relay does to know the destinations that it needs. No I/O; the clock is passed in, in seconds.

    a message for a destination whose shard isn't here   want -> an Ask -> Answer -> updates, absent
    a digest that says something else than is here       an Ask for what changed since -> updates
    no digest for some time                              an Ask; of the next keeper where it fails
    a shard of which nothing was used for long           given up: its members are gone for the directory

The bound of 12 s is kept at `current`, which is asked before a first byte: see freshness.py. Which word
stands where keepers say different things: holding.py. What arrives unasked, twice or too late changes
nothing: each ask has a number. Pauses after failures grow and are jittered, so that a keeper that returns
isn't run over.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from math import isfinite

import msgspec

from ..core.backoff import ExponentialBackoff
from ..core.ports import EndpointUpdate
from .rendezvous_hash import ranked, shard_of
from .shard_cache import ShardCache
from .staleness import BEFORE, Freshness
from .wire import (
    NONE,
    Digest,
    FullShard,
    Layout,
    LayoutMismatch,
    Overloaded,
    Part,
    Same,
    ShardRequest,
    ShardResponse,
    Version,
    WantedShard,
    layout_sum,
    packed_bits,
)

OUT_MOST = 2  # asks at once, of different keepers: one that hangs does not stop the other
ROOM_S = 1.0  # of the bound: a call's first byte after the check, and clocks that run apart by 30 ms a minute
REFRESH = 2.0  # digests' time without a word, after which a keeper is asked: one of each keeper may be lost
REFRESH_LEAST = 1.2  # likewise, where so many keepers have to be tried that it has to begin sooner
TRY_S = 1.2  # two keepers that hang, asked at once: a second, and what it takes to notice
KEEP_S = 30.0  # at least so often the first two keepers are asked, which forget readers after 60 s: both tell
# digests, so that one whose source lags without knowing (a file that is copied late) is found out
BEHIND_S = 10.0  # a keeper whose source is silent for so long is asked last
BEHIND_PAUSE_S = 5.0  # and then for so long
PAUSE_S, PAUSE_MOST_S = 0.5, 4.0  # after failures: within the bound each keeper is tried again
RETURN_S = 2.0  # a keeper that is back gets its readers spread over so long
SLOW_S = 0.3  # an ask that is out for so long is no longer counted on
SHORT_S = 0.05  # between two asks of one keeper that have more to ask
WANTS_ASK = 64  # in one ask: past the shards of one answer
SUMS_ASK = 512  # compared in one ask: 6 KB
SUSPECT_S = 60.0  # at most so often everything is compared because sums differ under one version
BYTES_S, BYTES_BURST = 512e3, 2e6  # of answers: a thousand shards of 2.6 KB in 2 s; far above it is a fault
NO_DUE_MS = 1e9


class ReaderStatus(msgspec.Struct, frozen=True):
    shards: int
    endpoints: int
    waiting: int  # shards that are wanted
    version: Version
    age_s: float  # since all that is here was right, at the latest; large: never
    behind: bool  # older than the bound
    keepers: int  # that are reachable
    asks: int
    failures: int
    busy: int
    stale_refused: int  # answers and shards as of an older version than is known
    other_layout: int
    unreadable: int  # entries
    unasked: int  # answers that belong to no ask
    bytes_in: int


class Wanted:
    """A shard for which messages wait."""

    __slots__ = ("due", "destinations", "keeper")

    def __init__(self, due: float) -> None:
        self.due = due
        self.destinations: set[int] = set()  # as many as messages are held for, at most
        self.keeper: str | None = None  # who is asked for it just now


class Out:
    """An ask that is to be answered."""

    __slots__ = ("number", "sent_at", "holds", "sums", "wants")

    def __init__(
        self, number: int, sent_at: float, holds: int, sums: dict[int, int], wants: list[int]
    ) -> None:
        self.number, self.sent_at, self.holds = number, sent_at, holds
        self.sums, self.wants = sums, wants


class ServerState:
    """What a reader knows of one."""

    __slots__ = (
        "name",
        "rank",
        "out",
        "paused_until",
        "pauses",
        "failing",
        "behind_until",
        "news",
        "asked_at",
    )

    def __init__(self, name: str, rank: int, rng: random.Random) -> None:
        self.name, self.rank = name, rank
        self.out: Out | None = None
        self.paused_until = self.behind_until = self.asked_at = BEFORE
        self.pauses = ExponentialBackoff(PAUSE_S, PAUSE_MOST_S, rng)
        self.failing = False
        self.news = False  # it has more to tell


class ShardClient:
    def __init__(
        self,
        me: str,
        layout: Layout,
        rng: random.Random,
        bound_s: float = 12.0,
        idle_s: float = 300.0,
        digest_s: float = 3.0,
    ) -> None:
        self.me, self.layout, self.rng = me, layout, rng
        # Where all hang at once, all have to be tried within the bound, or calls wait for that.
        trying = ROOM_S + TRY_S * (len(layout.keepers) / 2 + 1)
        self.bound_s = bound_s
        self.refresh_s = min(REFRESH * digest_s, max(REFRESH_LEAST * digest_s, bound_s - trying))
        self.layout_sum = layout_sum(layout)
        names = ranked(me, (f"n{number}" for number in layout.keepers))
        self.keepers = {name: ServerState(name, rank, rng) for rank, name in enumerate(names)}
        self.here_now = set(names)  # among the peers' members
        self.fresh = Freshness(names, bound_s - ROOM_S)
        self.store = ShardCache(layout.shards, idle_s)
        self.wants: dict[int, Wanted] = {}
        self.queue: list[tuple[float, int]] = []  # (due, shard) of those to ask for, a heap
        self.late: set[int] = set()  # of these: such as are here, and not as they have to be
        self.compare: dict[int, None] = {}  # shards to compare by their sums, in order
        self.suspected_at = BEFORE
        self.asks: list[tuple[str, ShardRequest]] = []
        self.absent: list[int] = []
        self.number = 0
        self.due = BEFORE  # when tick has something to do
        self.tokens, self.tokens_at = BYTES_BURST, BEFORE
        self.failures = self.busy = self.stale_refused = self.other_layout = self.unasked = self.bytes_in = 0

    @property
    def updates(self) -> list[EndpointUpdate]:
        """For the directory; the caller takes them out after whatever it has called here, before any call is
        made: `current` speaks of what is in them. Also after `want` and `use`: a destination whose
        shard is here, but was in no use, is told then."""
        return self.store.updates

    # -- messages --------------------------------------------------------------------------------------------

    def request(self, now: float, destination: int, due: float) -> None:
        """A message for it is held, and it isn't `here`: an update or `absent` follows, perhaps at once."""
        shard = shard_of(destination, self.layout.shards)
        wanted = self.wants.get(shard)
        if wanted is None:
            if self._complete(now, shard):
                self.absent += self.store.use(now, (destination,), shard)
                return
            wanted = self.wants[shard] = Wanted(due)
            heapq.heappush(self.queue, (due, shard))
            if shard in self.store.held:
                self.late.add(shard)
        elif due < wanted.due and wanted.keeper is None:
            heapq.heappush(self.queue, (due, shard))
        wanted.due = min(wanted.due, due)
        wanted.destinations.add(destination)
        self.due = min(self.due, now)

    def touch(self, now: float, destination: int) -> None:
        """A message for it was taken, a call made."""
        if not self.store.touch(now, destination):
            shard = shard_of(destination, self.layout.shards)
            if shard in self.store.held:
                self.request(now, destination, now + NO_DUE_MS / 1e3)

    def is_resident(self, destination: int) -> bool:
        """Whether what there is of it is with the directory."""
        held = self.store.held.get(shard_of(destination, self.layout.shards))
        return held is not None and destination in held.used

    def contains(self, destination: int) -> bool:
        """Whether it is here, and there is such a destination."""
        held = self.store.held.get(shard_of(destination, self.layout.shards))
        return held is not None and destination in held.used and destination in held.present

    def is_current(self, now: float, destination: int) -> bool:
        """Whether a first byte may go out by what is known of it. Else an ask is on its way."""
        held = self.store.held.get(shard_of(destination, self.layout.shards))
        if held is None:
            return False
        if self.fresh.current(now, self.store.as_of(held)):
            return True
        self.due = min(self.due, now)
        return False

    def _complete(self, now: float, shard: int) -> bool:
        """Whether what it says of a destination for the first time may be told."""
        return self.store.settled(shard) and self.fresh.current(now, self.store.as_of(self.store.held[shard]))

    # -- keepers ---------------------------------------------------------------------------------------------

    def reachable(self, now: float, keepers: Iterable[str]) -> None:
        """Who is among the peers' members now."""
        found = {name for name in keepers if name in self.keepers}
        for name in found - self.here_now:
            keeper = self.keepers[name]
            if keeper.failing:
                keeper.paused_until = min(keeper.paused_until, now + RETURN_S * self.rng.random())
        self.here_now = found
        self.due = min(self.due, now)

    def answered(self, now: float, keeper: str, word: ShardResponse | Overloaded | LayoutMismatch) -> None:
        """How an ask ended. One that wasn't asked, or is not waited for any more, is passed over."""
        told = self.keepers.get(keeper)
        if told is None or told.out is None or told.out.number != word.number:
            self.unasked += 1
            return
        out = self._ended(told)
        self.due = min(self.due, now)
        if isinstance(word, Overloaded):
            self.busy += 1
            told.news = True  # whatever it was asked for is still to be asked
            after = word.after_ms / 1e3
            told.paused_until = now + (min(max(after, SHORT_S), PAUSE_MOST_S) if isfinite(after) else PAUSE_S)
        elif isinstance(word, LayoutMismatch):
            self.other_layout += not word.loading
            self._fails(now, told, out)
        else:
            self._answer(now, told, out, word)

    def failed(self, now: float, keeper: str) -> None:
        """An ask has had no answer in time, or could not be made."""
        told = self.keepers.get(keeper)
        if told is not None and told.out is not None:
            self._fails(now, told, self._ended(told))
            self.due = min(self.due, now)

    def _ended(self, keeper: ServerState) -> Out:
        out = keeper.out
        assert out is not None
        keeper.out = None
        for shard in out.wants:
            wanted = self.wants.get(shard)
            if wanted is not None and wanted.keeper == keeper.name:
                wanted.keeper = None
                heapq.heappush(self.queue, (wanted.due, shard))
        return out

    def _fails(self, now: float, keeper: ServerState, out: Out) -> None:
        self.failures += 1
        keeper.failing, keeper.news = True, False
        keeper.paused_until = now + keeper.pauses.next_delay()
        self.fresh.failed(keeper.name, out.sent_at)

    def _answer(self, now: float, keeper: ServerState, out: Out, answer: ShardResponse) -> None:
        keeper.failing, keeper.news = False, False
        keeper.pauses.reset()
        age = max(0.0, answer.source_age_ms / 1e3) if isfinite(answer.source_age_ms) else 1e9
        self.fresh.answered(keeper.name, out.sent_at, answer.boot, answer.clock_ms)
        store = self.store
        self.fresh.says(keeper.name, out.sent_at, answer.version, age, answer.version >= store.base)
        if age > BEHIND_S or answer.version < store.base:
            keeper.behind_until = now + BEHIND_PAUSE_S
        taken = sum([self._part(now, keeper, out, answer.version, part) for part in answer.parts])
        if answer.version < store.base:
            self.stale_refused += 1
        elif answer.complete:
            store.confirm_all(answer.version, out.holds)
        else:
            older = store.older(answer.since)
            self.compare.update(dict.fromkeys(older))
            if not older:
                store.rebase()
            if answer.reached > store.base:
                store.confirm_all(answer.reached, out.holds)
            keeper.news = True
            keeper.paused_until = now + (SHORT_S if taken else PAUSE_S)
        if out.sums:
            if not taken:  # not again at once: a keeper that is behind can't say
                self.compare = {shard: None for shard in self.compare if shard not in out.sums}
            if not self.compare:
                store.rebase()
        if out.wants and not any(shard in store.held or shard not in self.wants for shard in out.wants):
            keeper.paused_until = now + keeper.pauses.next_delay()  # it gave none: not again at once
        self._arrived(now)

    def _part(self, now: float, keeper: ServerState, out: Out, version: Version, part: Part) -> bool:
        """Whether it was taken: older never replaces newer."""
        store, shard = self.store, part.shard
        held = store.held.get(shard)
        if held is None:
            if not isinstance(part, FullShard) or shard not in out.wants or shard not in self.wants:
                return False
            if version < store.top:
                self.stale_refused += 1
                return False
            if keeper.behind_until > now and self._others(now, keeper):
                return False
            self._got(now, store.add(now, shard, part.rows, version))
            self.late.add(shard)
        elif version < store.as_of(held):
            self.stale_refused += 1
            return False
        elif isinstance(part, Same):
            if out.sums.get(shard) != held.sum:
                return False
            store.confirm(shard, version)
        elif isinstance(part, FullShard):
            self._got(now, store.replace(shard, part.rows, version))
        else:
            self._got(now, store.change(shard, part.rows, version))
        self.compare.pop(shard, None)
        return True

    def _others(self, now: float, keeper: ServerState) -> bool:
        """Whether another one may know more than this, which is behind."""
        return any(
            not each.failing and each.behind_until <= now and each.name in self.here_now
            for each in self.keepers.values()
            if each is not keeper
        )

    def _got(self, now: float, size: int) -> None:
        self.bytes_in += size
        self.tokens -= size

    def _arrived(self, now: float) -> None:
        """Messages go on whose shards are here now."""
        for shard in [shard for shard in self.late if self._complete(now, shard)]:
            self.late.discard(shard)
            wanted = self.wants.pop(shard)
            self.absent += self.store.use(now, wanted.destinations, shard)

    def digest(self, now: float, keeper: str, digest: Digest) -> None:
        """A keeper tells what a reader should have by now."""
        told = self.keepers.get(keeper)
        if told is None:
            return
        if digest.layout_sum != self.layout_sum:
            self.other_layout += 1
            return
        store = self.store
        at = self.fresh.dated(now, keeper, digest.boot, digest.clock_ms)
        if at is None:
            return  # of another process, which was not asked yet: the next ask dates it
        age = max(0.0, digest.source_age_ms / 1e3) if isfinite(digest.source_age_ms) else 1e9
        self.fresh.says(keeper, at, digest.version, age, digest.version >= store.base)
        if age > BEHIND_S:
            told.behind_until = now + BEHIND_PAUSE_S
        if digest.version < store.base:
            self.stale_refused += 1
            return
        same_set = digest.set_sum == store.set_sum
        if same_set and digest.sum == store.sum:
            store.confirm_all(digest.version, store.bits)
            self.compare.clear()
            self._arrived(now)
        elif digest.version > store.base:
            told.news = True
        elif same_set:
            self._suspect(now)
            told.news = bool(self.compare)
        elif now - told.asked_at >= self.refresh_s and told.rank == 0:
            told.news = True  # it does not know what is held here
        self.due = min(self.due, now)

    def _suspect(self, now: float) -> None:
        """Under one version two different things: an entry was lost, or a source wrote its list anew."""
        if now - self.suspected_at >= SUSPECT_S:
            self.suspected_at = now
            self.compare = dict.fromkeys(self.store.held)

    # -- asking ----------------------------------------------------------------------------------------------

    def tick(self, now: float, in_use: Callable[[int], bool]) -> None:
        """What is due. `in_use`: messages of it are held, calls are out, or something learned counts."""
        if self.store.sweep(now, in_use, self.wants.__contains__):
            self.compare = {shard: None for shard in self.compare if shard in self.store.held}
        self._arrived(now)
        self.tokens = min(BYTES_BURST, self.tokens + max(0.0, now - self.tokens_at) * BYTES_S)
        self.tokens_at = now
        self.due = now + 1.0
        # Of those that fail the one that was left alone the longest: else the first few, whose time runs out
        # again and again, keep the last from being tried, and that may be the one that is back.
        order = sorted(
            self.keepers.values(),
            key=lambda each: (
                each.failing,
                each.behind_until > now,
                each.name not in self.here_now,
                each.asked_at if each.failing else BEFORE,
                each.rank,
            ),
        )
        for place, keeper in enumerate(order):
            if sum(each.out is not None for each in order) >= OUT_MOST:
                return
            if keeper.out is not None:
                continue
            wants = (place < 2 or order[1].failing) and self._wants_open()
            if not self._reason(now, keeper, place, wants):
                continue
            if keeper.paused_until > now:
                self.due = min(self.due, keeper.paused_until)
                continue
            self._ask(now, keeper, self._taken() if wants else [])

    def _wants_open(self) -> bool:
        """Whether there are shards to ask for. What the heap has of others is dropped."""
        while self.queue:
            wanted = self.wants.get(self.queue[0][1])
            if wanted is not None and wanted.keeper is None and self.queue[0][1] not in self.store.held:
                return self.tokens > 0.0
            heapq.heappop(self.queue)
        return False

    def _taken(self) -> list[int]:
        """Some of them, earliest end first."""
        found: dict[int, None] = {}
        while len(found) < WANTS_ASK and self._wants_open():
            found[heapq.heappop(self.queue)[1]] = None
        return list(found)

    def _reason(self, now: float, keeper: ServerState, place: int, wants: bool) -> bool:
        if wants or keeper.news:
            return True
        if not self.store.held:
            return False
        if keeper.rank < 2 and keeper.failing:
            return True  # when its pause is over: whether it is back
        if place == 0 and self.compare:
            return True
        idle = all(each.out is None for each in self.keepers.values())
        if place < 2 and now - keeper.asked_at >= KEEP_S and idle:
            return True
        old = now - self.fresh.confirmed(self.store.base) >= self.refresh_s
        tried = now - self.fresh.tried[keeper.name][0]
        if old and tried >= self.refresh_s:
            return all(
                each.failing or now - each.out.sent_at >= SLOW_S  # else its answer may do
                for each in self.keepers.values()
                if each.out is not None
            )
        return bool(self.late) and place < 2 and tried >= PAUSE_S

    def _ask(self, now: float, keeper: ServerState, wants: list[int]) -> None:
        store = self.store
        self.number += 1
        sums = {shard: store.held[shard].sum for shard in list(self.compare)[:SUMS_ASK]}
        for shard in wants:
            self.wants[shard].keeper = keeper.name
        ahead = store.ahead()
        keeper.out = Out(self.number, now, store.bits, sums, wants)
        keeper.asked_at, keeper.news = now, False
        self.asks.append(
            (
                keeper.name,
                ShardRequest(
                    number=self.number,
                    layout=self.layout,
                    version=store.base if store.held else store.top,
                    holds=packed_bits(store.bits, self.layout.shards),
                    wants=tuple(WantedShard(shard, self._due_ms(now, shard)) for shard in wants),
                    sums=tuple(sums.items()),
                    ahead=store.mark if ahead else NONE,
                    further=packed_bits(ahead, self.layout.shards) if ahead else b"",
                ),
            )
        )

    def _due_ms(self, now: float, shard: int) -> float:
        return min(NO_DUE_MS, max(0.0, self.wants[shard].due - now) * 1e3)

    def next_at(self) -> float:
        """When tick has something to do."""
        return self.due

    def status(self, now: float) -> ReaderStatus:
        store = self.store
        at = self.fresh.confirmed(store.base)
        return ReaderStatus(
            shards=len(store.held),
            endpoints=store.endpoints,
            waiting=len(self.wants),
            version=store.base,
            age_s=min(1e9, now - at),
            behind=bool(store.held) and not self.fresh.current(now, store.base),
            keepers=len(self.here_now),
            asks=self.number,
            failures=self.failures,
            busy=self.busy,
            stale_refused=self.stale_refused,
            other_layout=self.other_layout,
            unreadable=store.unreadable,
            unasked=self.unasked,
            bytes_in=self.bytes_in,
        )
