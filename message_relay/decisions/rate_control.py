"""What is believed of a destination by outcomes alone, and how much it is sent: pace, health, return."""

from __future__ import annotations

import random

from .events import AttemptCompleted
from .model import FOREVER, Outcome, Rates, Settings
from .pending import DestinationState, EndpointState, PendingMessage

EVIDENCE_TTL_MS = 10000.0  # older evidence counts no more: an answer or a failure of so long ago
THROTTLE_MS, THROTTLE_MAX_MS = (
    4000.0,
    16000.0,
)  # a refusal paces for so long: a clump's time; doubles while refused
THROTTLE_JITTER_MAX = 1.5  # at most so many times, so that not all are free in one moment
RETRY_MS = 120.0  # first pause before another try: about one round trip; doubles from try to try
RETRY_MAX_MS = 4000.0  # no pause is longer: beyond it a message's aim is lost anyway
TIMEOUT_DEVIATIONS = 10.0  # a time-out lies so many mean deviations above the mean: answers have a long tail
INITIAL_LATENCY_MS = 500.0, 250.0  # latency and its mean deviation, until destinations have answered
MIN_OVERDUE_MS = (
    100.0  # but no answer is overdue sooner, nor given up before twice that: it may be us who are late
)
OVERDUE_DEVIATIONS = 4.0  # an answer is overdue so many mean deviations above the mean
TIMEOUT_MULTIPLIER_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor
BURST_S, BURST = 1.0, 2.0  # calls saved up for a clump: seconds of the pace, and at least so many
FULL_TOKEN = 1 - 1e-9  # saved up for a call: rounding must not cost it a tick
UNTHROTTLED_RATE, UNTHROTTLED_FLEET_RATE = (
    0.35,
    14.0,
)  # calls a second unpaced, unless refused of late: of one relay, of all together
FAST_INCREASE, SLOW_INCREASE = (
    0.5,
    0.1,
)  # pace gained with each success that finds it bound: unrefused of late, or paced
LOW_PART, RECOVERY_INCREASE = (
    0.75,
    0.25,
)  # below so much of the equal part one of many gains more: a limit may be back
MAX_PART, MAX_PART_OF_FEW = (
    1.25,
    9.0,
)  # a pace's most: of the equal part (others use theirs, unseen); of few, FEW / relays
CAUTIOUS_INCREASE = (
    0.03  # pace gained with each success above the equal part, where all that did would break the limit
)
RATE_DECREASE = 0.7  # pace kept after a refusal above the limit
ROUGH_RATE_ERROR = 1.5  # a rough listed rate may be this much too high
FAILURE_WEIGHT = 0.3  # weight of one failure: two in a row make an outage
VOUCHED_FAILURE_WEIGHT, VOUCH_WINDOW_MS = (
    0.1,
    300.0,
)  # its weight so soon after an answer: chance breaks two in a row among many
EJECTION_THRESHOLD = 0.5  # blame above which a destination is taken as out
CLOSED_AFTER_MS = 2500.0  # told waits and refusals without a break longer than any span of a limit mean shut
OBSERVED_PART = 0.5  # part of the calls since an outage began that another relay made: so many may know of it
RESCAN_MS = 500.0  # a queue that waits for something is looked at again at least so often


def smoothed(mean: float, dev: float, took: float, gain: float) -> tuple[float, float]:
    return mean + gain * (took - mean), dev + gain * (abs(took - mean) - dev)


def endpoint_penalty(door: EndpointState, now: float, class_: int) -> float:
    """Guards against an endpoint that fails, or fails one class: others go first until that fades."""
    recent = [c for c, at in door.failures_by_class.items() if now - at < EVIDENCE_TTL_MS]
    return 8.0 * (class_ in recent) + 2.0 * len(recent)


def overdue_ms(lane: DestinationState) -> float:
    """After how long a call there should have been answered."""
    return max(
        MIN_OVERDUE_MS,
        (lane.latency_mean_ms + OVERDUE_DEVIATIONS * lane.latency_deviation_ms) * lane.timeout_multiplier,
    )


def is_suspected(lane: DestinationState, now: float) -> bool:
    """Out, or each endpoint owes an answer that is overdue, and none came since: hung, gone or slow."""
    if lane.is_ejected or not lane.in_flight:
        return lane.is_ejected
    if next(reversed(lane.in_flight.values())).sent_at < lane.last_success_at:
        return False
    overdue = now - overdue_ms(lane)
    owing: set[int] = set()
    for held in lane.in_flight.values():  # oldest first: mostly the first one answers it
        if held.sent_at >= overdue:
            break
        if held.in_flight_on is not None and held.sent_at >= lane.last_success_at:
            owing.add(held.in_flight_on.endpoint.id)
    return bool(owing) and owing.issuperset(lane.endpoints)


class RateController:
    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.default_latency = (
            INITIAL_LATENCY_MS  # latency over all destinations: what one not yet seen is taken for
        )

    @property
    def is_large_fleet(self) -> bool:
        """So many relays that one of them meets few of the refusals."""
        return self.settings.relays * MAX_PART > MAX_PART_OF_FEW

    def estimate_senders(self, now: float, lane: DestinationState) -> float:
        """How many relays may have met the outage: no more than there are, nor than calls it failed."""
        since = now if lane.failing_since is None else lane.failing_since
        since = max(
            min(since, lane.last_success_at), since - EVIDENCE_TTL_MS
        )  # it may have begun at the last answer
        return min(float(self.settings.relays), 1 + OBSERVED_PART * lane.fleet_rate * (now - since) / 1000)

    def rate_and_burst(self, now: float, lane: DestinationState, out: bool) -> tuple[float, float]:
        """Calls a second and in one go: the learned pace; for a destination that is out or cold, this relay's
        part of what it can take cold, so that all relays that know of the outage stay within the budget."""
        safety, total = (
            self.settings.safety,
            lane.fleet_rate / (ROUGH_RATE_ERROR if self.settings.rates is Rates.ROUGH else 1.0),
        )
        cold = max(safety.fall_multiple * safety.cold_share, 0.01) * total
        # Failed, or refused again, and no answer for long: shut, full or out, and back at any moment.
        bad = lane.failing_since is not None and now - lane.failing_since > CLOSED_AFTER_MS
        if out or bad and (lane.last_failure_at > lane.last_success_at or lane.throttle_ms > THROTTLE_MS):
            return cold / self.estimate_senders(now, lane), 1.0
        pace, even = lane.send_rate, total / self.settings.relays if self.is_large_fleet else 0.0
        if now > lane.throttled_until:
            pace = max(
                pace, min(UNTHROTTLED_RATE, UNTHROTTLED_FLEET_RATE / self.settings.relays), even
            )  # rare calls fit a limit unpaced
        elif (
            self.is_large_fleet
        ):  # time brings it back: of many relays' calls too few are one's own to wait for
            pace = max(
                pace, even * (1 - (lane.throttled_until - now) / (THROTTLE_JITTER_MAX * lane.throttle_ms))
            )
        if now < lane.warming_since + safety.cold_ms:
            warmth = (1 - safety.cold_share) * (now - lane.warming_since) / safety.cold_ms
            return min(pace, cold * (1 + warmth / max(safety.cold_share, 0.01)) / lane.estimated_senders), 1.0
        return pace, max(BURST, pace * BURST_S)

    def next_send_times(self, now: float, lane: DestinationState, out: bool) -> tuple[float, float]:
        """When this lane takes another call, and when it takes one that overdraws its pace."""
        pace, burst = self.rate_and_burst(now, lane, out)
        lane.tokens, lane.tokens_updated_at = (
            min(burst, lane.tokens + pace * (now - lane.tokens_updated_at) / 1000),
            now,
        )
        if lane.time_slots is not None:  # its slots are its pace, also while it is out and at its return
            at = lane.time_slots.next_slot_at(now)
            return at, at
        if out:
            if now > lane.next_trial_at + 2 * RESCAN_MS:  # turns are not saved up while slots are busy
                lane.next_trial_at = now + 1000 / pace * self.rng.random()
            return lane.next_trial_at, lane.next_trial_at
        at = now + max(0.0, FULL_TOKEN - lane.tokens) / pace * 1000
        return at, at if burst == 1.0 else at - BURST / pace * 1000

    def begin_warm_up(self, now: float, lane: DestinationState) -> None:
        """It is back: from here on the cold budget holds, shared by the relays that may know of it."""
        lane.estimated_senders = self.estimate_senders(now, lane)
        lane.is_ejected, lane.warming_since, lane.tokens, lane.failing_since = False, now, 0.0, None

    def on_success(
        self, now: float, door: EndpointState, held: PendingMessage, took: float, waiting: bool
    ) -> None:
        """`waiting`: there is more for this destination."""
        lane = door.destination
        self.default_latency = smoothed(*self.default_latency, took, 0.05)
        lane.response_count += 1
        lane.latency_mean_ms, lane.latency_deviation_ms = smoothed(
            lane.latency_mean_ms, lane.latency_deviation_ms, took, max(0.15, 1 / (lane.response_count + 1))
        )
        lane.last_success_at, lane.timeout_multiplier, lane.throttle_ms = now, 1.0, lane.throttle_ms / 2
        lane.failure_score *= 1 - FAILURE_WEIGHT
        door.failures_by_class.pop(held.message.class_, None)
        if lane.is_ejected and lane.failure_score < EJECTION_THRESHOLD:
            self.begin_warm_up(now, lane)
        lane.failing_since = None
        if lane.time_slots is not None:
            lane.time_slots.on_success(now)
        if waiting:
            self.next_send_times(
                now, lane, lane.is_ejected
            )  # what was saved up meanwhile counts: it is not bound by it
        if lane.tokens < 1:
            most, part = (
                max(MAX_PART, MAX_PART_OF_FEW / self.settings.relays),
                lane.send_rate * self.settings.relays / lane.fleet_rate,
            )
            low, high = (
                self.is_large_fleet and part < LOW_PART,
                self.is_large_fleet and part >= 1,
            )  # of the equal part
            gain = (
                CAUTIOUS_INCREASE
                if high
                else FAST_INCREASE
                if now > lane.throttled_until
                else RECOVERY_INCREASE
                if low
                else SLOW_INCREASE
            )
            pace = lane.send_rate * (1 + gain)
            if not lane.has_listed_rate:  # its limit is found by answers and refusals alone
                lane.fleet_rate = max(lane.fleet_rate, pace * self.settings.relays)
            lane.send_rate = min(lane.fleet_rate, pace, most * lane.fleet_rate / self.settings.relays)

    def on_failure(
        self, now: float, door: EndpointState, held: PendingMessage, event: AttemptCompleted
    ) -> None:
        lane, shut = door.destination, event.wait_ms > CLOSED_AFTER_MS
        lane.failing_since = held.sent_at if lane.failing_since is None else lane.failing_since
        lane.last_failure_had_no_effect = event.outcome.proves_no_effect
        if event.wait_ms > 0:  # told to many relays at once: the growing, jittered pause comes after it
            lane.retry_after_until = max(lane.retry_after_until, held.backoff_until + event.wait_ms)
        if event.outcome is Outcome.FULL:
            part = lane.fleet_rate / self.settings.relays
            lane.send_rate = max(
                part / 3, min(lane.send_rate * RATE_DECREASE, (lane.send_rate * part) ** 0.5)
            )
            lane.throttle_ms = min(THROTTLE_MAX_MS, max(THROTTLE_MS, 2 * lane.throttle_ms))
            lane.throttled_until = now + lane.throttle_ms * self.rng.uniform(0.5, THROTTLE_JITTER_MAX)
            lane.tokens = min(lane.tokens, self.rng.uniform(-0.5, 0.5))
            if not shut:
                return
        else:
            door.failures_by_class[held.message.class_] = lane.last_failure_at = now
        if event.outcome is Outcome.TIMEOUT:
            lane.timeout_multiplier = min(TIMEOUT_MULTIPLIER_MAX, lane.timeout_multiplier * 2)
        # A recent answer or an endpoint that has not failed vouches for a destination: without either, one
        # failure is an outage. Guards relays that call it too seldom to see two in a row.
        recent = now - VOUCH_WINDOW_MS
        vouched = (
            min(held.sent_at, recent) if event.outcome is Outcome.CONNECT_FAILED else now - EVIDENCE_TTL_MS
        )
        alone = lane.last_success_at <= vouched and all(
            other.failures_by_class for other in lane.endpoints.values()
        )
        weight = FAILURE_WEIGHT if lane.last_success_at < recent else VOUCHED_FAILURE_WEIGHT
        lane.failure_score += (1.0 - lane.failure_score) * (
            EJECTION_THRESHOLD + 0.05 if alone or shut else weight
        )
        if lane.failure_score > EJECTION_THRESHOLD and lane.endpoints:
            lane.next_trial_at = lane.next_trial_at if lane.is_ejected else now
            lane.is_ejected, lane.failure_score = True, min(lane.failure_score, 0.7)
        if lane.time_slots is not None:
            lane.time_slots.on_failure(now, lane.is_ejected)
        if shut:  # the first calls after it are spread over what it can take cold
            gap = 1000 / self.rate_and_burst(lane.retry_after_until, lane, True)[0]
            lane.next_trial_at = lane.retry_after_until + gap * self.rng.random()

    def on_load_report(self, lane: DestinationState, left: float, limit: float) -> None:
        if limit > 0:
            part, lane.send_rate, lane.fleet_rate = (
                limit / self.settings.relays,
                lane.send_rate * limit / lane.fleet_rate,
                limit,
            )
            change = 1 + SLOW_INCREASE * (4 * left - 2)
            if change < 1 or lane.tokens < 1:
                lane.send_rate = min(limit, max(lane.send_rate * change, part / 3))

    def rate_stable_until(self, now: float, lane: DestinationState) -> float:
        """Until when its pace does not rise without an event."""
        if now < lane.warming_since + self.settings.safety.cold_ms:
            return now + RESCAN_MS
        if now >= lane.throttled_until:
            return FOREVER
        return min(lane.throttled_until, now + RESCAN_MS) if self.is_large_fleet else lane.throttled_until
