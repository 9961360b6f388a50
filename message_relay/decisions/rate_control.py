"""Rate control: a token bucket for each destination, whose rate is learned from successes and refusals alone.

A success while the bucket is empty raises the rate, a refusal cuts it and throttles the destination for a
while. A destination that is ejected, suspected or warming up gets the rate of `slow_start` instead.
"""

from __future__ import annotations

import random

from . import slow_start
from .destinations import DestinationState, EndpointState
from .events import AttemptCompleted
from .latency import INITIAL_LATENCY_MS, TIMEOUT_MULTIPLIER_MAX, smoothed
from .model import FOREVER, Outcome, Rates, Settings
from .outlier_detection import (
    CLOSED_AFTER_MS,
    EJECTION_THRESHOLD,
    FAILURE_WEIGHT,
    add_failure,
    is_closed_for_long,
)
from .pending import PendingMessage

THROTTLE_MS, THROTTLE_MAX_MS = 4000.0, 16000.0  # first as long as a burst lasts; doubles with refusals
THROTTLE_JITTER_MAX = 1.5  # highest jitter factor, so that relays do not resume at the same moment
RETRY_MS = 120.0  # first backoff before a retry: about one round trip; doubles with each attempt
RETRY_MAX_MS = 4000.0  # longest backoff: beyond it a message misses its latency objective anyway
INITIAL_RATE = 0.5  # calls per second of each relay if the destination has no listed rate, until a refusal
BURST_S, BURST = 1.0, 2.0  # size of the bucket: seconds of the rate, and at least this many calls
FULL_TOKEN = 1 - 1e-9  # tokens that suffice for a call: a rounding error must not delay it by a tick
UNTHROTTLED_RATE = 0.35  # calls per second that one relay may always make, unless refused recently
UNTHROTTLED_FLEET_RATE = 14.0  # the same for all relays together
FAST_INCREASE = 0.5  # part of the rate gained by a success while it is the limit, if not refused recently
SLOW_INCREASE = 0.1  # the same while throttled
RECOVERY_INCREASE = 0.25  # the same for a relay of a large fleet below LOW_PART: a limit may be restored
LOW_PART = 0.75  # of a relay's equal share of the fleet's rate
MAX_PART = 1.25  # highest rate, in equal shares: the other relays use theirs, which this one cannot observe
MAX_PART_OF_FEW = 9.0  # the same for few relays, divided by their number
CAUTIOUS_INCREASE = 0.03  # increase above the equal share, where the limit is exceeded if all relays do so
RATE_DECREASE = 0.7  # part of the rate that remains after a refusal
ROUGH_RATE_ERROR = 1.5  # factor by which a rough listed rate may be too high
RESCAN_MS = 500.0  # longest interval between scans of a queue whose send rate rises with time

FIRST_LATENCY_GAIN = 0.15  # lowest weight of a sample in a destination's own latency
FLEET_LATENCY_GAIN = 0.05  # weight of a sample in the latency over all destinations


class RateController:
    """Decides how fast each destination is called, and updates its state with the outcome of each call."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.default_latency = INITIAL_LATENCY_MS  # over all destinations; assumed for new ones

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is so large that one relay observes few of the refusals."""
        return self.settings.relays * MAX_PART > MAX_PART_OF_FEW

    def rate_and_burst(
        self, now: float, destination: DestinationState, is_ejected: bool
    ) -> tuple[float, float]:
        """Returns the calls per second and the size of the bucket.

        The rate is the learned one. For a destination that is ejected, suspected or warming up, it is this
        relay's share of what a cold destination can take, so that all relays that have noticed the outage
        stay within its budget together.
        """
        settings = self.settings
        total = destination.fleet_rate / (ROUGH_RATE_ERROR if settings.rates is Rates.ROUGH else 1.0)
        initial = slow_start.initial_rate(settings, self._warm_rate(destination, total))
        if is_ejected or (
            destination.failing_since is not None and is_closed_for_long(destination, now, THROTTLE_MS)
        ):
            return initial / slow_start.estimate_senders(settings, now, destination), 1.0
        rate = destination.send_rate
        is_large_fleet = self.is_large_fleet
        equal_share = total / settings.relays if is_large_fleet else 0.0
        if now > destination.throttled_until:
            # Rare calls stay within a limit without throttling.
            rate = max(rate, min(UNTHROTTLED_RATE, UNTHROTTLED_FLEET_RATE / settings.relays), equal_share)
        elif is_large_fleet:  # the rate recovers with time: successes of one relay are too few to wait for
            remaining = (destination.throttled_until - now) / (THROTTLE_JITTER_MAX * destination.throttle_ms)
            rate = max(rate, equal_share * (1 - remaining))
        if now < destination.warming_since + settings.safety.warm_up_ms:
            return min(rate, slow_start.warming_rate(settings, now, destination, initial)), 1.0
        return rate, max(BURST, rate * BURST_S)

    def _warm_rate(self, destination: DestinationState, total: float) -> float:
        """Returns the calls per second of all relays that a destination can surely take when it is warm.

        Without a listed rate `total` is only the highest rate that was tried, so what was delivered counts.
        """
        if destination.has_listed_rate:
            return total
        delivered = max(INITIAL_RATE, destination.delivered.highest) * self.settings.relays
        return min(total, delivered)

    def next_send_times(
        self, now: float, destination: DestinationState, is_ejected: bool
    ) -> tuple[float, float]:
        """Returns when a destination accepts another call, and an urgent one, which may overdraw tokens."""
        rate, burst = self.rate_and_burst(now, destination, is_ejected)
        refilled = destination.tokens + rate * (now - destination.tokens_updated_at) / 1000
        destination.tokens = min(burst, refilled)
        destination.tokens_updated_at = now
        if destination.time_slots is not None:  # its slots are its rate, also during an outage or warm-up
            send_at = destination.time_slots.next_slot_at(now)
            return send_at, send_at
        if is_ejected:
            if now > destination.next_trial_at + 2 * RESCAN_MS:  # trials do not add up while slots are busy
                destination.next_trial_at = now + 1000 / rate * self.rng.random()
            return destination.next_trial_at, destination.next_trial_at
        send_at = now + max(0.0, FULL_TOKEN - destination.tokens) / rate * 1000
        return send_at, send_at if burst == 1.0 else send_at - BURST / rate * 1000

    def schedule_trial(self, now: float, destination: DestinationState) -> None:
        """Schedules the next half-open trial, with jitter: trials get rarer the longer the outage lasts."""
        rate, _ = self.rate_and_burst(now, destination, True)
        destination.next_trial_at = now + 1000 / rate * self.rng.uniform(0.7, 1.3)

    def on_success(
        self, now: float, state: EndpointState, entry: PendingMessage, latency_ms: float, has_more: bool
    ) -> None:
        """Updates a destination after a success; `has_more`: whether messages wait for it."""
        destination = state.destination
        self.default_latency = smoothed(*self.default_latency, latency_ms, FLEET_LATENCY_GAIN)
        destination.response_count += 1
        destination.latency_mean_ms, destination.latency_deviation_ms = smoothed(
            destination.latency_mean_ms,
            destination.latency_deviation_ms,
            latency_ms,
            max(FIRST_LATENCY_GAIN, 1 / (destination.response_count + 1)),
        )
        destination.last_success_at = now
        destination.delivered.record_success(now, is_throttled=now < destination.throttled_until)
        destination.timeout_multiplier = 1.0
        destination.throttle_ms /= 2
        destination.failure_score *= 1 - FAILURE_WEIGHT
        state.failures_by_class.pop(entry.message.class_index, None)
        if destination.is_ejected and destination.failure_score < EJECTION_THRESHOLD:
            slow_start.start_warm_up(self.settings, now, destination)
        destination.failing_since = None
        if destination.time_slots is not None:
            destination.time_slots.on_success(now)
        if has_more:  # if tokens have accumulated meanwhile, the rate is not the limit
            self.next_send_times(now, destination, destination.is_ejected)
        if destination.tokens < 1:
            self._increase_rate(now, destination)

    def _increase_rate(self, now: float, destination: DestinationState) -> None:
        relays = self.settings.relays
        max_part = max(MAX_PART, MAX_PART_OF_FEW / relays)
        part = destination.send_rate * relays / destination.fleet_rate
        is_large_fleet = self.is_large_fleet
        if is_large_fleet and part >= 1:
            gain = CAUTIOUS_INCREASE
        elif now > destination.throttled_until:
            gain = FAST_INCREASE
        elif is_large_fleet and part < LOW_PART:
            gain = RECOVERY_INCREASE
        else:
            gain = SLOW_INCREASE
        rate = destination.send_rate * (1 + gain)
        is_warming_up = now < destination.warming_since + self.settings.safety.warm_up_ms
        # Without a listed rate the limit is learned, but not while the rate of slow start is the limit.
        if not destination.has_listed_rate and not is_warming_up:
            destination.fleet_rate = max(destination.fleet_rate, rate * relays)
        fleet_rate = destination.fleet_rate
        destination.send_rate = min(fleet_rate, rate, max_part * fleet_rate / relays)

    def on_failure(
        self, now: float, state: EndpointState, entry: PendingMessage, event: AttemptCompleted
    ) -> None:
        """Updates a destination after a call that failed or was refused."""
        destination = state.destination
        is_closed = event.retry_after_ms > CLOSED_AFTER_MS
        if destination.failing_since is None:
            destination.failing_since = entry.sent_at
        destination.last_failure_had_no_effect = event.outcome.proves_no_effect
        if event.retry_after_ms > 0:  # many relays get it at once, so the jittered backoff is added to it
            until = entry.backoff_until + event.retry_after_ms
            destination.retry_after_until = max(destination.retry_after_until, until)
        if event.outcome is Outcome.FULL:
            self._throttle(now, destination)
            if not is_closed:
                return
        else:
            state.failures_by_class[entry.message.class_index] = now
            destination.last_failure_at = now
        if event.outcome is Outcome.TIMEOUT:
            doubled = destination.timeout_multiplier * 2
            destination.timeout_multiplier = min(TIMEOUT_MULTIPLIER_MAX, doubled)
        add_failure(now, destination, entry.sent_at, event.outcome, is_closed)
        if destination.time_slots is not None:
            destination.time_slots.on_failure(now, destination.is_ejected)
        if is_closed:  # the first calls after it are spread over the rate of a cold destination
            until = destination.retry_after_until
            gap_ms = 1000 / self.rate_and_burst(until, destination, True)[0]
            destination.next_trial_at = until + gap_ms * self.rng.random()

    def _throttle(self, now: float, destination: DestinationState) -> None:
        """Cuts the rate after a refusal, but not below a third of this relay's equal share."""
        equal_share = destination.fleet_rate / self.settings.relays
        rate = destination.send_rate
        destination.send_rate = max(equal_share / 3, min(rate * RATE_DECREASE, (rate * equal_share) ** 0.5))
        destination.throttle_ms = min(THROTTLE_MAX_MS, max(THROTTLE_MS, 2 * destination.throttle_ms))
        jitter = self.rng.uniform(0.5, THROTTLE_JITTER_MAX)
        destination.throttled_until = now + destination.throttle_ms * jitter
        destination.tokens = min(destination.tokens, self.rng.uniform(-0.5, 0.5))

    def on_load_report(self, destination: DestinationState, left: float, limit: float) -> None:
        """Applies a load report: the share of the limit that is left, and the limit in calls per second."""
        if limit <= 0:
            return
        equal_share = limit / self.settings.relays
        destination.send_rate = destination.send_rate * limit / destination.fleet_rate
        destination.fleet_rate = limit
        change = 1 + SLOW_INCREASE * (4 * left - 2)
        if change < 1 or destination.tokens < 1:
            destination.send_rate = min(limit, max(destination.send_rate * change, equal_share / 3))

    def rate_stable_until(self, now: float, destination: DestinationState) -> float:
        """Returns until when the rate of a destination does not rise without an event."""
        if now < destination.warming_since + self.settings.safety.warm_up_ms:
            return now + RESCAN_MS
        if now >= destination.throttled_until:
            return FOREVER
        if self.is_large_fleet:
            return min(destination.throttled_until, now + RESCAN_MS)
        return destination.throttled_until
