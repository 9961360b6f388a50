"""Rate control: a token bucket for each destination, whose rate follows from answers and refusals alone.

A success that finds the bucket empty raises the rate, a refusal cuts it and throttles the destination for a
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

THROTTLE_MS, THROTTLE_MAX_MS = 4000.0, 16000.0  # first as long as a burst lasts; doubles while refused
THROTTLE_JITTER_MAX = 1.5  # at most so many times as long, so that relays don't resume in one moment
RETRY_MS = 120.0  # first backoff before a retry: about one round trip; doubles from attempt to attempt
RETRY_MAX_MS = 4000.0  # no backoff is longer: beyond it a message's latency objective is lost anyway
BURST_S, BURST = 1.0, 2.0  # size of the bucket: seconds of the rate, and at least so many calls
FULL_TOKEN = 1 - 1e-9  # tokens that suffice for a call: rounding must not cost it a tick
UNTHROTTLED_RATE = 0.35  # calls a second that one relay may always make, unless refused lately
UNTHROTTLED_FLEET_RATE = 14.0  # the same for all relays together
FAST_INCREASE = 0.5  # part of the rate gained with a success that found it the limit: not refused lately
SLOW_INCREASE = 0.1  # the same while throttled
RECOVERY_INCREASE = 0.25  # the same for one of many relays below LOW_PART: a limit may be back
LOW_PART = 0.75  # of a relay's equal part of the fleet's rate
MAX_PART = 1.25  # highest rate, in equal parts: the other relays use theirs, unseen
MAX_PART_OF_FEW = 9.0  # the same for few relays, divided by their number
CAUTIOUS_INCREASE = 0.03  # the same above the equal part, where the limit breaks if all relays did so
RATE_DECREASE = 0.7  # part of the rate that is kept after a refusal
ROUGH_RATE_ERROR = 1.5  # a rough listed rate may be this much too high
RESCAN_MS = 500.0  # a queue that waits for something is scanned again at least so often

FIRST_LATENCY_GAIN = 0.15  # least weight of a sample in a destination's own latency
FLEET_LATENCY_GAIN = 0.05  # weight of a sample in the latency over all destinations


class RateController:
    """Decides how fast each destination is called, and updates its state with the outcome of each call."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.default_latency = INITIAL_LATENCY_MS  # over all destinations: assumed for one not yet called

    @property
    def is_large_fleet(self) -> bool:
        """Whether there are so many relays that one of them sees few of the refusals."""
        return self.settings.relays * MAX_PART > MAX_PART_OF_FEW

    def rate_and_burst(
        self, now: float, destination: DestinationState, is_ejected: bool
    ) -> tuple[float, float]:
        """Calls a second and size of the bucket.

        The learned rate; for a destination that is out or warming up, this relay's part of what it can take
        cold, so that all relays that have noticed the outage stay within its budget together.
        """
        settings = self.settings
        total = destination.fleet_rate / (ROUGH_RATE_ERROR if settings.rates is Rates.ROUGH else 1.0)
        if is_ejected or (
            destination.failing_since is not None and is_closed_for_long(destination, now, THROTTLE_MS)
        ):
            initial = slow_start.initial_rate(settings, total)
            return initial / slow_start.estimate_senders(settings, now, destination), 1.0
        rate = destination.send_rate
        is_large_fleet = self.is_large_fleet
        equal_part = total / settings.relays if is_large_fleet else 0.0
        if now > destination.throttled_until:
            # Rare calls fit a limit without being throttled.
            rate = max(rate, min(UNTHROTTLED_RATE, UNTHROTTLED_FLEET_RATE / settings.relays), equal_part)
        elif is_large_fleet:  # time restores it: of many relays' calls too few are one's own to wait for
            left = (destination.throttled_until - now) / (THROTTLE_JITTER_MAX * destination.throttle_ms)
            rate = max(rate, equal_part * (1 - left))
        if now < destination.warming_since + settings.safety.warm_up_ms:
            initial = slow_start.initial_rate(settings, total)
            return min(rate, slow_start.warming_rate(settings, now, destination, initial)), 1.0
        return rate, max(BURST, rate * BURST_S)

    def next_send_times(
        self, now: float, destination: DestinationState, is_ejected: bool
    ) -> tuple[float, float]:
        """When it accepts another call, and when it accepts an urgent one, which may overdraw its tokens."""
        rate, burst = self.rate_and_burst(now, destination, is_ejected)
        refilled = destination.tokens + rate * (now - destination.tokens_updated_at) / 1000
        destination.tokens = min(burst, refilled)
        destination.tokens_updated_at = now
        if destination.time_slots is not None:  # its slots are its rate, also while it is out or warming up
            at = destination.time_slots.next_slot_at(now)
            return at, at
        if is_ejected:
            if (
                now > destination.next_trial_at + 2 * RESCAN_MS
            ):  # trials are not saved up while slots are busy
                destination.next_trial_at = now + 1000 / rate * self.rng.random()
            return destination.next_trial_at, destination.next_trial_at
        at = now + max(0.0, FULL_TOKEN - destination.tokens) / rate * 1000
        return at, at if burst == 1.0 else at - BURST / rate * 1000

    def schedule_trial(self, now: float, destination: DestinationState) -> None:
        """Spreads the next trial of a destination that is out: rarer the longer it lasts."""
        rate, _ = self.rate_and_burst(now, destination, True)
        destination.next_trial_at = now + 1000 / rate * self.rng.uniform(0.7, 1.3)

    def on_success(
        self, now: float, state: EndpointState, entry: PendingMessage, latency_ms: float, has_more: bool
    ) -> None:
        """Updates a destination after an answer; `has_more`: messages wait for it."""
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
        destination.timeout_multiplier = 1.0
        destination.throttle_ms /= 2
        destination.failure_score *= 1 - FAILURE_WEIGHT
        state.failures_by_class.pop(entry.message.class_index, None)
        if destination.is_ejected and destination.failure_score < EJECTION_THRESHOLD:
            slow_start.start_warm_up(self.settings, now, destination)
        destination.failing_since = None
        if destination.time_slots is not None:
            destination.time_slots.on_success(now)
        if has_more:  # tokens saved up meanwhile count: the rate is not its limit
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
        if not destination.has_listed_rate:  # its limit is found by answers and refusals alone
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
        if (
            event.retry_after_ms > 0
        ):  # Retry-After reaches many relays at once: the jittered backoff comes after it
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
        if is_closed:  # the first calls after it are spread over what it can take cold
            until = destination.retry_after_until
            gap_ms = 1000 / self.rate_and_burst(until, destination, True)[0]
            destination.next_trial_at = until + gap_ms * self.rng.random()

    def _throttle(self, now: float, destination: DestinationState) -> None:
        """Cuts the rate after a refusal, but not below a third of this relay's equal part."""
        equal_part = destination.fleet_rate / self.settings.relays
        rate = destination.send_rate
        destination.send_rate = max(equal_part / 3, min(rate * RATE_DECREASE, (rate * equal_part) ** 0.5))
        destination.throttle_ms = min(THROTTLE_MAX_MS, max(THROTTLE_MS, 2 * destination.throttle_ms))
        jitter = self.rng.uniform(0.5, THROTTLE_JITTER_MAX)
        destination.throttled_until = now + destination.throttle_ms * jitter
        destination.tokens = min(destination.tokens, self.rng.uniform(-0.5, 0.5))

    def on_load_report(self, destination: DestinationState, left: float, limit: float) -> None:
        """Follows what a destination reports: the share of its limit that is left, and the limit a second."""
        if limit <= 0:
            return
        equal_part = limit / self.settings.relays
        destination.send_rate = destination.send_rate * limit / destination.fleet_rate
        destination.fleet_rate = limit
        change = 1 + SLOW_INCREASE * (4 * left - 2)
        if change < 1 or destination.tokens < 1:
            destination.send_rate = min(limit, max(destination.send_rate * change, equal_part / 3))

    def rate_stable_until(self, now: float, destination: DestinationState) -> float:
        """Until when its rate does not rise without an event."""
        if now < destination.warming_since + self.settings.safety.warm_up_ms:
            return now + RESCAN_MS
        if now >= destination.throttled_until:
            return FOREVER
        if self.is_large_fleet:
            return min(destination.throttled_until, now + RESCAN_MS)
        return destination.throttled_until
