"""Latency of a destination: smoothed mean and deviation, and the timeouts derived from them."""

from __future__ import annotations

from .destinations import DestinationState

TIMEOUT_DEVIATIONS = 10.0  # a timeout is this many mean deviations above the mean: latency has a long tail
INITIAL_LATENCY_MS = 500.0, 250.0  # mean and mean deviation, until any destination has responded
MIN_OVERDUE_MS = 100.0  # no call is overdue sooner, or times out before twice this: the relay itself may lag
OVERDUE_DEVIATIONS = 4.0  # a call is overdue this many mean deviations above the mean
TIMEOUT_MULTIPLIER_MAX = 8.0  # timeouts double while calls time out, up to this factor: slow is not down


def smoothed(mean: float, deviation: float, sample: float, gain: float) -> tuple[float, float]:
    """Returns the exponentially weighted mean and mean deviation after one more sample of weight `gain`."""
    return mean + gain * (sample - mean), deviation + gain * (abs(sample - mean) - deviation)


def overdue_ms(destination: DestinationState) -> float:
    """Returns the duration after which an unanswered call to this destination is overdue."""
    return max(
        MIN_OVERDUE_MS,
        (destination.latency_mean_ms + OVERDUE_DEVIATIONS * destination.latency_deviation_ms)
        * destination.timeout_multiplier,
    )


def attempt_timeout_ms(destination: DestinationState) -> float:
    """Returns the timeout of an attempt, unless it is the last one or the deadline is near."""
    return max(
        2 * MIN_OVERDUE_MS,
        (destination.latency_mean_ms + TIMEOUT_DEVIATIONS * destination.latency_deviation_ms)
        * destination.timeout_multiplier,
    )


def slot_time_ms(destination: DestinationState) -> float:
    """Returns the expected slot time of one delivery, failed calls included.

    It directs scarce slots to destinations that respond.
    """
    mean, score = destination.latency_mean_ms, destination.failure_score
    return mean + score * (mean + TIMEOUT_DEVIATIONS * destination.latency_deviation_ms) / (1 - score)
