"""Which zones can be used from which: verdicts by evidence, and how far traffic has come back. No I/O; the
clock is passed in, in seconds.

A pair is a zone of relays and a zone of endpoints. Bad news counts at once, as soon as the interval of what
was seen in the latest windows, or in all that count, lies under a bound: none good of seven calls is enough,
one bad of three is not. Good news counts in steps: a pair that was lost is tried by a small share once its
hold-off is over, and comes back by a ramp, each step of which needs the evidence of its own time. A hold-off
is some windows long, and twice as long after each relapse: a pair that flaps is tried ever more rarely.

    WELL --bad--> LOST --hold-off--> TRIAL (ramp) --last step--> WELL
                   ^----------bad, flaps + 1------'
    WELL --slow, or a part fails--> GREY --the whole span is well--> WELL (by the ramp)
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from .observations import KEPT, Aggregate, Matrix, Observations, Pair, Series, total

Z = 2.6  # of the interval: one verdict in a hundred is wrong at the bound itself
LOST_UNDER, GREY_UNDER = 0.5, 0.9
GREY_CALLS = 3  # that did not come good: one or two happen
SLOW = 4.0  # times the median of all other zones
SLOW_CALLS = 20  # on both sides, before medians are compared
RAMP = 0.02, 0.1, 0.3, 0.6, 1.0  # shares that use a pair which comes back, a step each
UNSEEN = 2  # steps of the ramp are taken without a call at the most: by then some instance is to have called
STEP_WINDOWS = 2  # of evidence a step needs at the least
ENOUGH, ENOUGH_MORE = 0.2, 0.1  # a step needs the interval of its calls above this, and so much more each
TOGETHER_STEPS = 2  # of the ramp at once: each relay keeps to what a partner can do cold, in any case
TOGETHER_WINDOWS, TOGETHER_CALLS = 3, 3  # calls of all destinations that a zone lost together, for a step
TOGETHER_GOOD = 0.8  # of them that came good: a few fail for reasons of their own
RECENT = 1, 3  # windows in which a fall is looked for: all of them would hide it behind what was good
STREAK = 4  # calls in a row, of all relays of a zone, without a good one: one in 10,000 at a tenth
SHUNNED_WINDOWS = 2  # in which no relay called, though it could have: two, since windows are not in step
SHUNNED_CALLS = 2  # that failed before that, of all relays of a zone: with one alone, chance would do
HOLD_WINDOWS = 2  # a hold-off at first: a step's evidence, and a window in which it may be late
GREY_SHARE = 0.1  # goes on, so that it is seen when it is well again
FLAPS_MOST = 6  # so that a hold-off is 64 times the first at the most
CALM = 8.0  # hold-offs without a relapse, and the flaps are forgotten


class State(Enum):
    WELL = "well"
    GREY = "grey"
    LOST = "lost"
    TRIAL = "trial"


def interval(good: int, tried: int, z: float = Z) -> tuple[float, float]:
    """Wilson's, of a share. (0, 1) of nothing."""
    if tried <= 0:
        return 0.0, 1.0
    share, z2 = good / tried, z * z
    middle = (share + z2 / (2 * tried)) / (1 + z2 / tried)
    half = z * math.sqrt(share * (1 - share) / tried + z2 / (4 * tried * tried)) / (1 + z2 / tried)
    return min(share, max(0.0, middle - half)), max(share, min(1.0, middle + half))


def streak(row: list[Aggregate]) -> int:
    """Calls since the last good one: relays that have found out by themselves call hardly any more."""
    found = 0
    for seen in row:
        if seen.good:
            break
        found += seen.tried
    return found


def shunned(row: list[Aggregate]) -> bool:
    """Each relay of the zone that has called there has left it by itself, after calls that failed: few
    relays find out with fewer calls than a streak, and then make none at all."""
    callers = total(row).relays
    latest = total(row[:SHUNNED_WINDOWS])
    failed = sum(latest.shunning.get(origin, 0) for origin in callers)
    return bool(callers) and callers <= latest.shunning.keys() and failed >= SHUNNED_CALLS


def _grey(seen: Aggregate) -> bool:
    return seen.tried - seen.good >= GREY_CALLS and interval(seen.good, seen.tried)[1] < GREY_UNDER


def _fall(row: list[Aggregate], into: list[Aggregate]) -> float:
    """The best that this pair may still be. One of which nothing comes good is as its target is for all:
    few calls would be long in saying so."""
    mine, whole = total(row), total(into)
    high = interval(mine.good, mine.tried)[1]
    if mine.tried and not mine.good:
        high = min(high, interval(whole.good, whole.tried)[1])
    return high


def _into(series: Series) -> dict[str, list[Aggregate]]:
    found: dict[str, list[Aggregate]] = {}
    for (_, target), row in series.items():
        sums = found.setdefault(target, [])
        for n, seen in enumerate(row):
            if n == len(sums):
                sums.append(Aggregate())
            sums[n] = total((sums[n], seen))
    return found


@dataclass
class ZoneHealth:
    """What is thought of one pair."""

    state: State = State.WELL
    since: float = 0.0  # of this state, or step of the ramp
    step: int = 0
    flaps: int = 0
    back: bool = False  # it was lost, and has not stood for long since
    ability: float = 1.0  # share of calls that come good, while it is used

    @property
    def share(self) -> float:
        """Of the relays that may use it now."""
        match self.state:
            case State.WELL:
                return 1.0
            case State.GREY:
                return GREY_SHARE
            case State.LOST:
                return 0.0
            case _:
                return RAMP[self.step]


class ZoneHealthJudge:
    """Of one destination."""

    def __init__(self, evidence: Observations, destination: int) -> None:
        self.evidence, self.destination = evidence, destination
        self.pairs: dict[Pair, ZoneHealth] = {}
        self.together: Matrix = {}

    def standing(self, pair: Pair) -> ZoneHealth:
        return self.pairs.get(pair, ZoneHealth())

    def hold_off(self, standing: ZoneHealth) -> float:
        return HOLD_WINDOWS * self.evidence.window_s * float(1 << min(standing.flaps, FLAPS_MOST))

    def lately(self, now: float, pair: Pair, series: Series) -> Aggregate:
        """Of a pair, since its step began: what came good before it was lost says nothing."""
        windows = min(TOGETHER_WINDOWS, self._windows(now, self.standing(pair)))
        return total(series.get(pair, [])[:windows])

    def _windows(self, now: float, standing: ZoneHealth) -> int:
        """Since its state or step began, those that count."""
        return min(KEPT, int((now - standing.since) / self.evidence.window_s))

    def resume(self, now: float, shares: dict[Pair, float]) -> None:
        """Begins where another decider stopped: by the shares of the plan in force."""
        for pair, share in shares.items():
            if share >= 1.0 or pair in self.pairs:
                continue
            if share <= 0.0:
                self.pairs[pair] = ZoneHealth(State.LOST, now, back=True)
            else:
                step = max((n for n, each in enumerate(RAMP) if each <= share + 1e-9), default=0)
                self.pairs[pair] = ZoneHealth(State.TRIAL, now, step, back=True)

    def look(self, now: float, series: Series, together: Matrix | None = None) -> list[Pair]:
        """Takes what is known now; the pairs whose share has changed. `together`: of pairs that most
        destinations lost, what was seen lately of all of them: what was lost together comes back together,
        for one destination alone has too few trial calls to say so."""
        self.together = together or {}
        matrix = {pair: total(row) for pair, row in series.items()}
        into = _into(series)
        changed = []
        for pair in sorted({*series, *self.pairs}):
            standing = self.pairs.setdefault(pair, ZoneHealth(since=now))
            before = standing.share
            self._judge(now, pair, standing, matrix, series.get(pair, []), into.get(pair[1], []))
            if standing.share != before:
                changed.append(pair)
            if standing == ZoneHealth(since=standing.since) and pair not in series:
                del self.pairs[pair]
        return changed

    def _judge(
        self,
        now: float,
        pair: Pair,
        standing: ZoneHealth,
        matrix: Matrix,
        row: list[Aggregate],
        into: list[Aggregate],
    ) -> None:
        windows = self._windows(now, standing)
        if standing.state is State.WELL and not standing.back:
            windows = KEPT  # it was used all the time
        seen = total(row[:windows])
        low, high = interval(seen.good, seen.tried)
        if standing.state is not State.LOST:
            if standing.state is not State.TRIAL:
                high = min(high, *(_fall(row[:n], into[:n]) for n in RECENT))
            if high < LOST_UNDER or streak(row[:windows]) >= STREAK or shunned(row[:windows]):
                self._lost(now, standing)
                return
            if seen.tried:
                standing.ability = seen.good / seen.tried
        bad = _grey(seen) or any(_grey(total(row[: min(n, windows)])) for n in RECENT)
        bad = bad or self._slow(pair, seen, matrix)
        match standing.state:
            case State.WELL:
                if bad:
                    self._to(now, standing, State.GREY)
                elif standing.back and now - standing.since > CALM * self.hold_off(standing):
                    standing.flaps, standing.back = 0, False
            case State.GREY:
                if windows >= KEPT and seen.good >= GREY_UNDER * seen.tried and not bad:
                    self._to(now, standing, State.TRIAL)
                    standing.step = RAMP.index(GREY_SHARE)
            case State.LOST:
                if now - standing.since >= self.hold_off(standing) or self._others_back(pair):
                    self._to(now, standing, State.TRIAL)
            case State.TRIAL:
                self._tried(now, pair, standing, seen, windows, low, bad)

    def _tried(
        self,
        now: float,
        pair: Pair,
        standing: ZoneHealth,
        seen: Aggregate,
        windows: int,
        low: float,
        bad: bool,
    ) -> None:
        if bad and seen.tried >= SLOW_CALLS:
            self._to(now, standing, State.GREY)
        elif windows >= STEP_WINDOWS and low > ENOUGH + ENOUGH_MORE * standing.step:
            self._climb(now, standing)
        elif windows >= STEP_WINDOWS and seen.good == seen.tried and self._others_back(pair):
            self._climb(now, standing, TOGETHER_STEPS)  # nothing of its own speaks against it
        elif windows >= KEPT and seen.good == seen.tried and (seen.tried or standing.step < UNSEEN):
            self._climb(now, standing)  # few calls or none, and nothing that speaks against it
        elif windows >= STEP_WINDOWS and not seen.tried and self._used(pair[1]):
            self._climb(now, standing)  # others have tried it

    def _used(self, zone: str) -> bool:
        return any(
            standing.state is State.WELL for (_, target), standing in self.pairs.items() if target == zone
        )

    def _others_back(self, pair: Pair) -> bool:
        seen = self.together.get(pair)
        return seen is not None and seen.tried >= TOGETHER_CALLS and seen.good >= TOGETHER_GOOD * seen.tried

    def _climb(self, now: float, standing: ZoneHealth, steps: int = 1) -> None:
        standing.step, standing.since = standing.step + steps, now
        if standing.step >= len(RAMP) - 1:
            self._to(now, standing, State.WELL)

    @staticmethod
    def _slow(pair: Pair, seen: Aggregate, matrix: Matrix) -> bool:
        """Ten times slower is grey, also where each call comes good. Of what is near against what is near
        elsewhere: a long link is no fault of the zone."""
        if pair[0] != pair[1] or sum(seen.sketch.values()) < SLOW_CALLS:
            return False
        others = total(each for other, each in matrix.items() if other[0] == other[1] != pair[1])
        if sum(others.sketch.values()) < SLOW_CALLS:
            return False
        return seen.quantile_ms(0.5) > SLOW * others.quantile_ms(0.5)

    def _lost(self, now: float, standing: ZoneHealth) -> None:
        # A first step that fails is the same outage still: only what had begun to come back has flapped.
        if standing.back and (standing.state is not State.TRIAL or standing.step > 0):
            standing.flaps = min(FLAPS_MOST, standing.flaps + 1)
        standing.back = True
        self._to(now, standing, State.LOST)

    @staticmethod
    def _to(now: float, standing: ZoneHealth, state: State) -> None:
        standing.state, standing.since, standing.step = state, now, 0

    # -- which side it is ------------------------------------------------------------------------------------

    def down(self, zone: str) -> bool:
        """No zone that has said something of it lately can use it: its partners are down, and come back
        cold."""
        told = [standing for (_, target), standing in self.pairs.items() if target == zone]
        return bool(told) and all(standing.state in (State.LOST, State.TRIAL) for standing in told)

    def cut_off(self, zone: str) -> bool:
        """Its relays reach no zone, while others reach some: it is they who are cut off."""
        mine = [standing for (source, _), standing in self.pairs.items() if source == zone]
        others = [standing for (source, _), standing in self.pairs.items() if source != zone]
        return (
            bool(mine)
            and all(standing.state in (State.LOST, State.TRIAL) for standing in mine)
            and any(standing.state is State.WELL for standing in others)
        )
