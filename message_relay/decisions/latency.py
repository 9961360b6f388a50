"""Latency of a destination: smoothed mean and deviation, and the time-outs that follow from them."""

from __future__ import annotations

from .destinations import DestinationState

TIMEOUT_DEVIATIONS = 10.0  # a time-out is so many mean deviations above the mean: latency has a long tail
INITIAL_LATENCY_MS = 500.0, 250.0  # mean and mean deviation, until any destination has answered
MIN_OVERDUE_MS = 100.0  # no call is overdue sooner, nor timed out before twice that: this relay may be late
OVERDUE_DEVIATIONS = 4.0  # a call is overdue so many mean deviations above the mean
TIMEOUT_MULTIPLIER_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor


def smoothed(mean: float, deviation: float, sample: float, gain: float) -> tuple[float, float]:
    """The exponentially weighted mean and mean deviation with one more sample of weight `gain`."""
    return mean + gain * (sample - mean), deviation + gain * (abs(sample - mean) - deviation)


def overdue_ms(destination: DestinationState) -> float:
    """After how long a call to this destination should have been answered."""
    return max(
        MIN_OVERDUE_MS,
        (destination.latency_mean_ms + OVERDUE_DEVIATIONS * destination.latency_deviation_ms)
        * destination.timeout_multiplier,
    )


def attempt_timeout_ms(destination: DestinationState) -> float:
    """How long an attempt may take, unless it is the last one or the deadline is near."""
    return max(
        2 * MIN_OVERDUE_MS,
        (destination.latency_mean_ms + TIMEOUT_DEVIATIONS * destination.latency_deviation_ms)
        * destination.timeout_multiplier,
    )


def slot_time_ms(destination: DestinationState) -> float:
    """Slot time for one delivery, failed calls included: scarce slots go to destinations that answer."""
    mean, score = destination.latency_mean_ms, destination.failure_score
    return mean + score * (mean + TIMEOUT_DEVIATIONS * destination.latency_deviation_ms) / (1 - score)
