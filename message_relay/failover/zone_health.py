"""Zone health: judges which zones of endpoints are usable from which zones of relays.

No I/O; the clock is passed in, in seconds. A pair is a zone of relays and a zone of endpoints. Failures
take effect at once: a pair is lost as soon as the confidence interval of its success share, over the latest
windows or over all retained ones, lies below a bound. Seven calls without a success suffice, one failure in
three calls does not. Recovery is gradual: after its hold-off a lost pair gets a small share of the traffic
and climbs a ramp. Each step needs evidence that is newer than the step before. The hold-off doubles with each
relapse, so that a flapping pair is tried less and less often.

    HEALTHY --failures--> LOST --hold-off--> RECOVERING (ramp) --last step--> HEALTHY
                           ^--------failures, flaps + 1------'
    HEALTHY --slow, or some calls fail--> DEGRADED --all windows well--> HEALTHY (by the ramp)
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from .observations import RETAINED_WINDOWS, Aggregate, Observations, ZoneMatrix, ZonePair, ZoneSeries, summed

CONFIDENCE_Z = 2.6  # of the interval: at the bound itself, one judgement in a hundred is wrong
LOST_BELOW = 0.5  # a pair whose success share is surely below it is lost
DEGRADED_BELOW = 0.9  # a pair whose success share is surely below it is degraded
DEGRADED_FAILURES = 3  # minimum of failed calls: one or two happen by chance
SLOW_FACTOR = 4.0  # times the median latency of all other zones
MIN_CALLS_FOR_LATENCY = 20  # minimum on both sides for a comparison of medians
RECOVERY_RAMP = 0.02, 0.1, 0.3, 0.6, 1.0  # share of the relays that use a recovering pair, by step
UNOBSERVED_STEPS = 2  # maximum of steps without any call: after them some relay should have made a call
STEP_WINDOWS = 2  # minimum of windows of evidence for a step
STEP_CONFIDENCE = 0.2  # the lower end of the interval must be above it for a step
STEP_CONFIDENCE_INCREMENT = 0.1  # added to STEP_CONFIDENCE for each step of the ramp
SHARED_RECOVERY_STEPS = 2  # steps at once; each relay also applies the slow start of a destination
SHARED_RECOVERY_WINDOWS = 3  # windows counted over all destinations that lost a pair together
SHARED_RECOVERY_CALLS = 3  # minimum of calls, over all these destinations, for a step
SHARED_RECOVERY_SUCCESS = 0.8  # share of these calls that must succeed: a few fail for other reasons
RECENT_WINDOWS = 1, 3  # spans checked for a drop, which older successes would hide over all windows
CONSECUTIVE_FAILURES = 4  # of all relays of a zone: a chance of 1 in 10,000 if a tenth of the calls fail
AVOIDED_WINDOWS = 2  # without a call despite demand: two, since the windows of relays are not aligned
AVOIDED_FAILURES = 2  # minimum of failed calls of all relays of a zone: a single one may be chance
HOLD_OFF_WINDOWS = 2  # the first hold-off covers the evidence of a step, and a window for late reports
DEGRADED_SHARE = 0.1  # share of the relays that use a degraded pair, so that its recovery is observed
MAX_FLAPS = 6  # bounds a hold-off to 64 times the first
FLAP_RESET_HOLD_OFFS = 8.0  # flaps are reset after this many hold-offs without a relapse


class HealthState(Enum):
    """Health state of one pair. `zone status` shows the values."""

    HEALTHY = "well"
    DEGRADED = "grey"
    LOST = "lost"
    RECOVERING = "trial"


UNUSABLE = (HealthState.LOST, HealthState.RECOVERING)  # states in which the target zone may be down


def success_interval(succeeded: int, attempted: int, z: float = CONFIDENCE_Z) -> tuple[float, float]:
    """Wilson score interval of a success share; (0, 1) without attempts."""
    if attempted <= 0:
        return 0.0, 1.0
    share = succeeded / attempted
    z2 = z * z
    middle = (share + z2 / (2 * attempted)) / (1 + z2 / attempted)
    half = (
        z
        * math.sqrt(share * (1 - share) / attempted + z2 / (4 * attempted * attempted))
        / (1 + z2 / attempted)
    )
    return min(share, max(0.0, middle - half)), max(share, min(1.0, middle + half))


def consecutive_failures(row: list[Aggregate]) -> int:
    """Attempts since the last window with a success.

    Covers outages with few calls: relays that have noticed the outage make hardly any calls.
    """
    attempts = 0
    for window in row:
        if window.succeeded:
            break
        attempts += window.attempted
    return attempts


def avoided_by_all(row: list[Aggregate]) -> bool:
    """Whether all relays that made calls to the target now avoid it after failures.

    Covers outages with few relays, which notice it in fewer calls than `CONSECUTIVE_FAILURES` and then make
    no more calls.
    """
    callers = summed(row).relays
    latest = summed(row[:AVOIDED_WINDOWS])
    failed = sum(latest.avoiding_relays.get(relay, 0) for relay in callers)
    return bool(callers) and callers <= latest.avoiding_relays.keys() and failed >= AVOIDED_FAILURES


def _is_degraded(window: Aggregate) -> bool:
    failed = window.attempted - window.succeeded
    if failed < DEGRADED_FAILURES:
        return False
    return success_interval(window.succeeded, window.attempted)[1] < DEGRADED_BELOW


def _best_success_share(row: list[Aggregate], by_target: list[Aggregate]) -> float:
    """Upper bound of the success share of a pair.

    For a pair without any success the calls of all relays to its target count too: its own calls may be too
    few to show the loss soon.
    """
    own = summed(row)
    high = success_interval(own.succeeded, own.attempted)[1]
    if own.attempted and not own.succeeded:
        everyone = summed(by_target)
        high = min(high, success_interval(everyone.succeeded, everyone.attempted)[1])
    return high


def _series_by_target(series: ZoneSeries) -> dict[str, list[Aggregate]]:
    """Maps each zone of endpoints to the observations of relays in all zones, by window."""
    by_target: dict[str, list[Aggregate]] = {}
    for (_, target), row in series.items():
        sums = by_target.setdefault(target, [])
        for index, window in enumerate(row):
            if index == len(sums):
                sums.append(Aggregate())
            sums[index] = summed((sums[index], window))
    return by_target


@dataclass
class ZoneHealth:
    """Health of one pair, with its position on the recovery ramp."""

    state: HealthState = HealthState.HEALTHY
    since: float = 0.0  # start of this state, or of this step of the ramp (s)
    ramp_step: int = 0
    flaps: int = 0
    recently_lost: bool = False  # lost, and since then not healthy for long enough
    success_share: float = 1.0  # of its calls while it is in use

    @property
    def share(self) -> float:
        """Share of the source zone's relays that may use the pair."""
        match self.state:
            case HealthState.HEALTHY:
                return 1.0
            case HealthState.DEGRADED:
                return DEGRADED_SHARE
            case HealthState.LOST:
                return 0.0
            case _:
                return RECOVERY_RAMP[self.ramp_step]


@dataclass(frozen=True)
class _Evidence:
    """Observations of a pair in the windows that count for its present state."""

    pair: ZonePair
    windows: int
    observed: Aggregate

    @property
    def lowest_share(self) -> float:
        """Lower end of the confidence interval of the success share."""
        return success_interval(self.observed.succeeded, self.observed.attempted)[0]

    @property
    def all_windows_well(self) -> bool:
        """Whether enough calls succeeded over all retained windows."""
        if self.windows < RETAINED_WINDOWS:
            return False
        return self.observed.succeeded >= DEGRADED_BELOW * self.observed.attempted


class ZoneHealthJudge:
    """Judges the health of all pairs of one destination from observations."""

    def __init__(self, observations: Observations, destination: int) -> None:
        self.observations = observations
        self.destination = destination
        self.pairs: dict[ZonePair, ZoneHealth] = {}
        self.shared_recovery: ZoneMatrix = {}

    def health(self, pair: ZonePair) -> ZoneHealth:
        """Health of a pair; healthy if nothing is known about it."""
        return self.pairs.get(pair, ZoneHealth())

    def hold_off_s(self, health: ZoneHealth) -> float:
        """Time in which a lost pair is not tried; it doubles with each flap."""
        return HOLD_OFF_WINDOWS * self.observations.window_s * float(1 << min(health.flaps, MAX_FLAPS))

    def recent(self, now: float, pair: ZonePair, series: ZoneSeries) -> Aggregate:
        """Recent observations of a pair since its step began: successes before its loss prove nothing."""
        windows = min(SHARED_RECOVERY_WINDOWS, self._windows_since(now, self.health(pair)))
        return summed(series.get(pair, [])[:windows])

    def _windows_since(self, now: float, health: ZoneHealth) -> int:
        """Retained windows since the state or step began."""
        return min(RETAINED_WINDOWS, int((now - health.since) / self.observations.window_s))

    def resume(self, now: float, shares: dict[ZonePair, float]) -> None:
        """Restores the state of an earlier controller from the shares of the plan in force."""
        for pair, share in shares.items():
            if share >= 1.0 or pair in self.pairs:
                continue
            if share <= 0.0:
                self.pairs[pair] = ZoneHealth(HealthState.LOST, now, recently_lost=True)
            else:
                step = max(
                    (n for n, ramp_share in enumerate(RECOVERY_RAMP) if ramp_share <= share + 1e-9), default=0
                )
                self.pairs[pair] = ZoneHealth(HealthState.RECOVERING, now, step, recently_lost=True)

    def update(
        self, now: float, series: ZoneSeries, shared_recovery: ZoneMatrix | None = None
    ) -> list[ZonePair]:
        """Updates the health of all pairs from the observations; returns the pairs whose share has changed.

        `shared_recovery` has the recent observations, over all destinations, of pairs that most of them lost.
        Pairs that were lost together recover together, since a single destination has too few trial calls to
        prove the recovery.
        """
        self.shared_recovery = shared_recovery or {}
        matrix = {pair: summed(row) for pair, row in series.items()}
        by_target = _series_by_target(series)
        changed = []
        for pair in sorted({*series, *self.pairs}):
            health = self.pairs.setdefault(pair, ZoneHealth(since=now))
            before = health.share
            self._judge(now, pair, health, matrix, series.get(pair, []), by_target.get(pair[1], []))
            if health.share != before:
                changed.append(pair)
            if health == ZoneHealth(since=health.since) and pair not in series:
                del self.pairs[pair]
        return changed

    def _judge(
        self,
        now: float,
        pair: ZonePair,
        health: ZoneHealth,
        matrix: ZoneMatrix,
        row: list[Aggregate],
        by_target: list[Aggregate],
    ) -> None:
        windows = self._windows_since(now, health)
        if health.state is HealthState.HEALTHY and not health.recently_lost:
            windows = RETAINED_WINDOWS  # it was in use all the time
        evidence = _Evidence(pair, windows, summed(row[:windows]))
        if health.state is not HealthState.LOST:
            if _is_lost(health, evidence, row, by_target):
                self._mark_lost(now, health)
                return
            if evidence.observed.attempted:
                health.success_share = evidence.observed.succeeded / evidence.observed.attempted
        degraded = _is_degraded(evidence.observed)
        degraded = degraded or any(_is_degraded(summed(row[: min(n, windows)])) for n in RECENT_WINDOWS)
        degraded = degraded or _is_slow(pair, evidence.observed, matrix)
        self._transition(now, health, evidence, degraded)

    def _transition(self, now: float, health: ZoneHealth, evidence: _Evidence, degraded: bool) -> None:
        """Applies the state transition of a pair that is not newly lost."""
        match health.state:
            case HealthState.HEALTHY if degraded:
                _enter(now, health, HealthState.DEGRADED)
            case HealthState.HEALTHY:
                calm_s = FLAP_RESET_HOLD_OFFS * self.hold_off_s(health)
                if health.recently_lost and now - health.since > calm_s:
                    health.flaps = 0
                    health.recently_lost = False
            case HealthState.DEGRADED:
                if evidence.all_windows_well and not degraded:
                    _enter(now, health, HealthState.RECOVERING)
                    health.ramp_step = RECOVERY_RAMP.index(DEGRADED_SHARE)
            case HealthState.LOST:
                if now - health.since >= self.hold_off_s(health) or self._recovers_elsewhere(evidence.pair):
                    _enter(now, health, HealthState.RECOVERING)
            case HealthState.RECOVERING:
                self._judge_recovery(now, health, evidence, degraded)

    def _judge_recovery(self, now: float, health: ZoneHealth, evidence: _Evidence, degraded: bool) -> None:
        """Moves a recovering pair along the ramp, or to DEGRADED."""
        observed = evidence.observed
        if degraded and observed.attempted >= MIN_CALLS_FOR_LATENCY:
            _enter(now, health, HealthState.DEGRADED)
            return
        steps = self._steps_allowed(health, evidence)
        if steps:
            _advance(now, health, steps)

    def _steps_allowed(self, health: ZoneHealth, evidence: _Evidence) -> int:
        """Number of ramp steps that the evidence allows."""
        observed = evidence.observed
        none_failed = observed.succeeded == observed.attempted
        if evidence.windows < STEP_WINDOWS:
            return 0
        if evidence.lowest_share > STEP_CONFIDENCE + STEP_CONFIDENCE_INCREMENT * health.ramp_step:
            return 1
        if none_failed and self._recovers_elsewhere(evidence.pair):
            return SHARED_RECOVERY_STEPS
        few_calls_allowed = bool(observed.attempted) or health.ramp_step < UNOBSERVED_STEPS
        if evidence.windows >= RETAINED_WINDOWS and none_failed and few_calls_allowed:
            return 1
        if not observed.attempted and self._used_by_others(evidence.pair[1]):
            return 1
        return 0

    def _used_by_others(self, zone: str) -> bool:
        return any(
            health.state is HealthState.HEALTHY
            for (_, target), health in self.pairs.items()
            if target == zone
        )

    def _recovers_elsewhere(self, pair: ZonePair) -> bool:
        """Whether the calls of all destinations that lost this pair succeed again, summed up."""
        observed = self.shared_recovery.get(pair)
        if observed is None or observed.attempted < SHARED_RECOVERY_CALLS:
            return False
        return observed.succeeded >= SHARED_RECOVERY_SUCCESS * observed.attempted

    @staticmethod
    def _mark_lost(now: float, health: ZoneHealth) -> None:
        # A failure on the first step belongs to the same outage: only a pair that had left it has flapped.
        had_started_recovery = health.state is not HealthState.RECOVERING or health.ramp_step > 0
        if health.recently_lost and had_started_recovery:
            health.flaps = min(MAX_FLAPS, health.flaps + 1)
        health.recently_lost = True
        _enter(now, health, HealthState.LOST)

    # -- target down or source cut off -----------------------------------------------------------------------

    def is_down(self, zone: str) -> bool:
        """Whether no zone with recent observations of this one can use it.

        Its endpoints are down then, and will need a slow start.
        """
        pairs = [health for (_, target), health in self.pairs.items() if target == zone]
        return bool(pairs) and all(health.state in UNUSABLE for health in pairs)

    def is_cut_off(self, zone: str) -> bool:
        """Whether the relays of this zone are cut off: they reach no zone, while other relays reach some."""
        own = [health for (source, _), health in self.pairs.items() if source == zone]
        others = [health for (source, _), health in self.pairs.items() if source != zone]
        reaches_none = bool(own) and all(health.state in UNUSABLE for health in own)
        return reaches_none and any(health.state is HealthState.HEALTHY for health in others)


def _is_lost(
    health: ZoneHealth, evidence: _Evidence, row: list[Aggregate], by_target: list[Aggregate]
) -> bool:
    observed = evidence.observed
    high = success_interval(observed.succeeded, observed.attempted)[1]
    if health.state is not HealthState.RECOVERING:
        high = min(high, *(_best_success_share(row[:n], by_target[:n]) for n in RECENT_WINDOWS))
    if high < LOST_BELOW:
        return True
    counted = row[: evidence.windows]
    return consecutive_failures(counted) >= CONSECUTIVE_FAILURES or avoided_by_all(counted)


def _is_slow(pair: ZonePair, observed: Aggregate, matrix: ZoneMatrix) -> bool:
    """Whether a zone is much slower than others although its calls succeed.

    Compares only calls within a zone: the latency of a long link is no fault of the zone.
    """
    if pair[0] != pair[1] or sum(observed.latency_sketch.values()) < MIN_CALLS_FOR_LATENCY:
        return False
    others = summed(aggregate for other, aggregate in matrix.items() if other[0] == other[1] != pair[1])
    if sum(others.latency_sketch.values()) < MIN_CALLS_FOR_LATENCY:
        return False
    return observed.quantile_ms(0.5) > SLOW_FACTOR * others.quantile_ms(0.5)


def _advance(now: float, health: ZoneHealth, steps: int) -> None:
    health.ramp_step += steps
    health.since = now
    if health.ramp_step >= len(RECOVERY_RAMP) - 1:
        _enter(now, health, HealthState.HEALTHY)


def _enter(now: float, health: ZoneHealth, state: HealthState) -> None:
    health.state = state
    health.since = now
    health.ramp_step = 0
