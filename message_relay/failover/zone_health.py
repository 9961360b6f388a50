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

from .observations import RETAINED_WINDOWS, Aggregate, Observations, ZoneMatrix, ZonePair, ZoneSeries, summed

CONFIDENCE_Z = 2.6  # of the interval: one verdict in a hundred is wrong at the bound itself
LOST_BELOW, DEGRADED_BELOW = 0.5, 0.9
DEGRADED_FAILURES = 3  # that did not come good: one or two happen
SLOW_FACTOR = 4.0  # times the median of all other zones
MIN_CALLS_FOR_LATENCY = 20  # on both sides, before medians are compared
RECOVERY_RAMP = 0.02, 0.1, 0.3, 0.6, 1.0  # shares that use a pair which comes back, a step each
UNOBSERVED_STEPS = (
    2  # steps of the ramp are taken without a call at the most: by then some instance is to have called
)
STEP_WINDOWS = 2  # of evidence a step needs at the least
STEP_CONFIDENCE, STEP_CONFIDENCE_INCREMENT = (
    0.2,
    0.1,
)  # a step needs the interval of its calls above this, and so much more each
SHARED_RECOVERY_STEPS = 2  # of the ramp at once: each relay keeps to what a partner can do cold, in any case
SHARED_RECOVERY_WINDOWS, SHARED_RECOVERY_CALLS = (
    3,
    3,
)  # calls of all destinations that a zone lost together, for a step
SHARED_RECOVERY_SUCCESS = 0.8  # of them that came good: a few fail for reasons of their own
RECENT_WINDOWS = 1, 3  # windows in which a fall is looked for: all of them would hide it behind what was good
CONSECUTIVE_FAILURES = (
    4  # calls in a row, of all relays of a zone, without a good one: one in 10,000 at a tenth
)
AVOIDED_WINDOWS = 2  # in which no relay called, though it could have: two, since windows are not in step
AVOIDED_FAILURES = 2  # that failed before that, of all relays of a zone: with one alone, chance would do
HOLD_OFF_WINDOWS = 2  # a hold-off at first: a step's evidence, and a window in which it may be late
DEGRADED_SHARE = 0.1  # goes on, so that it is seen when it is well again
MAX_FLAPS = 6  # so that a hold-off is 64 times the first at the most
FLAP_RESET_HOLD_OFFS = 8.0  # hold-offs without a relapse, and the flaps are forgotten


class HealthState(Enum):
    HEALTHY = "well"
    DEGRADED = "grey"
    LOST = "lost"
    RECOVERING = "trial"


def success_interval(good: int, tried: int, z: float = CONFIDENCE_Z) -> tuple[float, float]:
    """Wilson's, of a share. (0, 1) of nothing."""
    if tried <= 0:
        return 0.0, 1.0
    share, z2 = good / tried, z * z
    middle = (share + z2 / (2 * tried)) / (1 + z2 / tried)
    half = z * math.sqrt(share * (1 - share) / tried + z2 / (4 * tried * tried)) / (1 + z2 / tried)
    return min(share, max(0.0, middle - half)), max(share, min(1.0, middle + half))


def consecutive_failures(row: list[Aggregate]) -> int:
    """Calls since the last good one: relays that have found out by themselves call hardly any more."""
    found = 0
    for seen in row:
        if seen.succeeded:
            break
        found += seen.attempted
    return found


def avoided_by_all(row: list[Aggregate]) -> bool:
    """Each relay of the zone that has called there has left it by itself, after calls that failed: few
    relays find out with fewer calls than a streak, and then make none at all."""
    callers = summed(row).relays
    latest = summed(row[:AVOIDED_WINDOWS])
    failed = sum(latest.avoiding_relays.get(origin, 0) for origin in callers)
    return bool(callers) and callers <= latest.avoiding_relays.keys() and failed >= AVOIDED_FAILURES


def _is_degraded(seen: Aggregate) -> bool:
    return (
        seen.attempted - seen.succeeded >= DEGRADED_FAILURES
        and success_interval(seen.succeeded, seen.attempted)[1] < DEGRADED_BELOW
    )


def _best_success_share(row: list[Aggregate], into: list[Aggregate]) -> float:
    """The best that this pair may still be. One of which nothing comes good is as its target is for all:
    few calls would be long in saying so."""
    mine, whole = summed(row), summed(into)
    high = success_interval(mine.succeeded, mine.attempted)[1]
    if mine.attempted and not mine.succeeded:
        high = min(high, success_interval(whole.succeeded, whole.attempted)[1])
    return high


def _series_by_target(series: ZoneSeries) -> dict[str, list[Aggregate]]:
    found: dict[str, list[Aggregate]] = {}
    for (_, target), row in series.items():
        sums = found.setdefault(target, [])
        for n, seen in enumerate(row):
            if n == len(sums):
                sums.append(Aggregate())
            sums[n] = summed((sums[n], seen))
    return found


@dataclass
class ZoneHealth:
    """What is thought of one pair."""

    state: HealthState = HealthState.HEALTHY
    since: float = 0.0  # of this state, or step of the ramp
    ramp_step: int = 0
    flaps: int = 0
    recently_lost: bool = False  # it was lost, and has not stood for long since
    success_share: float = 1.0  # share of calls that come good, while it is used

    @property
    def share(self) -> float:
        """Of the relays that may use it now."""
        match self.state:
            case HealthState.HEALTHY:
                return 1.0
            case HealthState.DEGRADED:
                return DEGRADED_SHARE
            case HealthState.LOST:
                return 0.0
            case _:
                return RECOVERY_RAMP[self.ramp_step]


class ZoneHealthJudge:
    """Of one destination."""

    def __init__(self, evidence: Observations, destination: int) -> None:
        self.observations, self.destination = evidence, destination
        self.pairs: dict[ZonePair, ZoneHealth] = {}
        self.shared_recovery: ZoneMatrix = {}

    def health(self, pair: ZonePair) -> ZoneHealth:
        return self.pairs.get(pair, ZoneHealth())

    def hold_off_s(self, standing: ZoneHealth) -> float:
        return HOLD_OFF_WINDOWS * self.observations.window_s * float(1 << min(standing.flaps, MAX_FLAPS))

    def recent(self, now: float, pair: ZonePair, series: ZoneSeries) -> Aggregate:
        """Of a pair, since its step began: what came good before it was lost says nothing."""
        windows = min(SHARED_RECOVERY_WINDOWS, self._windows_since(now, self.health(pair)))
        return summed(series.get(pair, [])[:windows])

    def _windows_since(self, now: float, standing: ZoneHealth) -> int:
        """Since its state or step began, those that count."""
        return min(RETAINED_WINDOWS, int((now - standing.since) / self.observations.window_s))

    def resume(self, now: float, shares: dict[ZonePair, float]) -> None:
        """Begins where another decider stopped: by the shares of the plan in force."""
        for pair, share in shares.items():
            if share >= 1.0 or pair in self.pairs:
                continue
            if share <= 0.0:
                self.pairs[pair] = ZoneHealth(HealthState.LOST, now, recently_lost=True)
            else:
                step = max((n for n, each in enumerate(RECOVERY_RAMP) if each <= share + 1e-9), default=0)
                self.pairs[pair] = ZoneHealth(HealthState.RECOVERING, now, step, recently_lost=True)

    def update(self, now: float, series: ZoneSeries, together: ZoneMatrix | None = None) -> list[ZonePair]:
        """Takes what is known now; the pairs whose share has changed. `together`: of pairs that most
        destinations lost, what was seen lately of all of them: what was lost together comes back together,
        for one destination alone has too few trial calls to say so."""
        self.shared_recovery = together or {}
        matrix = {pair: summed(row) for pair, row in series.items()}
        into = _series_by_target(series)
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
        pair: ZonePair,
        standing: ZoneHealth,
        matrix: ZoneMatrix,
        row: list[Aggregate],
        into: list[Aggregate],
    ) -> None:
        windows = self._windows_since(now, standing)
        if standing.state is HealthState.HEALTHY and not standing.recently_lost:
            windows = RETAINED_WINDOWS  # it was used all the time
        seen = summed(row[:windows])
        low, high = success_interval(seen.succeeded, seen.attempted)
        if standing.state is not HealthState.LOST:
            if standing.state is not HealthState.RECOVERING:
                high = min(high, *(_best_success_share(row[:n], into[:n]) for n in RECENT_WINDOWS))
            if (
                high < LOST_BELOW
                or consecutive_failures(row[:windows]) >= CONSECUTIVE_FAILURES
                or avoided_by_all(row[:windows])
            ):
                self._mark_lost(now, standing)
                return
            if seen.attempted:
                standing.success_share = seen.succeeded / seen.attempted
        bad = _is_degraded(seen) or any(_is_degraded(summed(row[: min(n, windows)])) for n in RECENT_WINDOWS)
        bad = bad or self._is_slow(pair, seen, matrix)
        match standing.state:
            case HealthState.HEALTHY:
                if bad:
                    self._enter(now, standing, HealthState.DEGRADED)
                elif standing.recently_lost and now - standing.since > FLAP_RESET_HOLD_OFFS * self.hold_off_s(
                    standing
                ):
                    standing.flaps, standing.recently_lost = 0, False
            case HealthState.DEGRADED:
                if (
                    windows >= RETAINED_WINDOWS
                    and seen.succeeded >= DEGRADED_BELOW * seen.attempted
                    and not bad
                ):
                    self._enter(now, standing, HealthState.RECOVERING)
                    standing.ramp_step = RECOVERY_RAMP.index(DEGRADED_SHARE)
            case HealthState.LOST:
                if now - standing.since >= self.hold_off_s(standing) or self._recovers_elsewhere(pair):
                    self._enter(now, standing, HealthState.RECOVERING)
            case HealthState.RECOVERING:
                self._judge_recovery(now, pair, standing, seen, windows, low, bad)

    def _judge_recovery(
        self,
        now: float,
        pair: ZonePair,
        standing: ZoneHealth,
        seen: Aggregate,
        windows: int,
        low: float,
        bad: bool,
    ) -> None:
        if bad and seen.attempted >= MIN_CALLS_FOR_LATENCY:
            self._enter(now, standing, HealthState.DEGRADED)
        elif (
            windows >= STEP_WINDOWS and low > STEP_CONFIDENCE + STEP_CONFIDENCE_INCREMENT * standing.ramp_step
        ):
            self._advance(now, standing)
        elif windows >= STEP_WINDOWS and seen.succeeded == seen.attempted and self._recovers_elsewhere(pair):
            self._advance(now, standing, SHARED_RECOVERY_STEPS)  # nothing of its own speaks against it
        elif (
            windows >= RETAINED_WINDOWS
            and seen.succeeded == seen.attempted
            and (seen.attempted or standing.ramp_step < UNOBSERVED_STEPS)
        ):
            self._advance(now, standing)  # few calls or none, and nothing that speaks against it
        elif windows >= STEP_WINDOWS and not seen.attempted and self._used_by_others(pair[1]):
            self._advance(now, standing)  # others have tried it

    def _used_by_others(self, zone: str) -> bool:
        return any(
            standing.state is HealthState.HEALTHY
            for (_, target), standing in self.pairs.items()
            if target == zone
        )

    def _recovers_elsewhere(self, pair: ZonePair) -> bool:
        seen = self.shared_recovery.get(pair)
        return (
            seen is not None
            and seen.attempted >= SHARED_RECOVERY_CALLS
            and seen.succeeded >= SHARED_RECOVERY_SUCCESS * seen.attempted
        )

    def _advance(self, now: float, standing: ZoneHealth, steps: int = 1) -> None:
        standing.ramp_step, standing.since = standing.ramp_step + steps, now
        if standing.ramp_step >= len(RECOVERY_RAMP) - 1:
            self._enter(now, standing, HealthState.HEALTHY)

    @staticmethod
    def _is_slow(pair: ZonePair, seen: Aggregate, matrix: ZoneMatrix) -> bool:
        """Ten times slower is grey, also where each call comes good. Of what is near against what is near
        elsewhere: a long link is no fault of the zone."""
        if pair[0] != pair[1] or sum(seen.latency_sketch.values()) < MIN_CALLS_FOR_LATENCY:
            return False
        others = summed(each for other, each in matrix.items() if other[0] == other[1] != pair[1])
        if sum(others.latency_sketch.values()) < MIN_CALLS_FOR_LATENCY:
            return False
        return seen.quantile_ms(0.5) > SLOW_FACTOR * others.quantile_ms(0.5)

    def _mark_lost(self, now: float, standing: ZoneHealth) -> None:
        # A first step that fails is the same outage still: only what had begun to come back has flapped.
        if standing.recently_lost and (
            standing.state is not HealthState.RECOVERING or standing.ramp_step > 0
        ):
            standing.flaps = min(MAX_FLAPS, standing.flaps + 1)
        standing.recently_lost = True
        self._enter(now, standing, HealthState.LOST)

    @staticmethod
    def _enter(now: float, standing: ZoneHealth, state: HealthState) -> None:
        standing.state, standing.since, standing.ramp_step = state, now, 0

    # -- which side it is ------------------------------------------------------------------------------------

    def is_down(self, zone: str) -> bool:
        """No zone that has said something of it lately can use it: its partners are down, and come back
        cold."""
        told = [standing for (_, target), standing in self.pairs.items() if target == zone]
        return bool(told) and all(
            standing.state in (HealthState.LOST, HealthState.RECOVERING) for standing in told
        )

    def is_cut_off(self, zone: str) -> bool:
        """Its relays reach no zone, while others reach some: it is they who are cut off."""
        mine = [standing for (source, _), standing in self.pairs.items() if source == zone]
        others = [standing for (source, _), standing in self.pairs.items() if source != zone]
        return (
            bool(mine)
            and all(standing.state in (HealthState.LOST, HealthState.RECOVERING) for standing in mine)
            and any(standing.state is HealthState.HEALTHY for standing in others)
        )
