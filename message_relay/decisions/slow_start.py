"""Slow start: the send rate to a destination while it is down, and while it warms up after an outage.

All relays that have noticed the outage share one budget, so that together they do not overload a destination
that has just recovered. A relay cannot observe the others: it estimates their number from the number of calls
that can have failed in the outage.
"""

from __future__ import annotations

from .destinations import DestinationState
from .model import Settings
from .outlier_detection import EVIDENCE_TTL_MS

OBSERVED_PART = 0.5  # part of the calls in an outage that other relays made: this many may have noticed it
MIN_INITIAL_SHARE = 0.01  # share of its rate that a destination can always take


def estimate_senders(settings: Settings, now: float, destination: DestinationState) -> float:
    """Returns how many relays may have noticed the outage: at most all, and no more than failed calls."""
    since = now if destination.failing_since is None else destination.failing_since
    # The outage may have begun right after the last success.
    since = max(min(since, destination.last_success_at), since - EVIDENCE_TTL_MS)
    calls = 1 + OBSERVED_PART * destination.fleet_rate * (now - since) / 1000
    return min(float(settings.relays), calls)


def initial_rate(settings: Settings, rate: float) -> float:
    """Returns the calls per second of all relays that a destination can take right after an outage."""
    safety = settings.safety
    return max(safety.overload_multiple * safety.warm_up_initial_share, MIN_INITIAL_SHARE) * rate


def warming_rate(settings: Settings, now: float, destination: DestinationState, initial: float) -> float:
    """Returns this relay's share of a warming destination's rate; `initial`: the rate at the start."""
    safety = settings.safety
    progress = (1 - safety.warm_up_initial_share) * (now - destination.warming_since) / safety.warm_up_ms
    growth = 1 + progress / max(safety.warm_up_initial_share, MIN_INITIAL_SHARE)
    return initial * growth / destination.estimated_senders


def start_warm_up(settings: Settings, now: float, destination: DestinationState) -> None:
    """Starts the warm-up of a recovered destination.

    From now on, the relays that may have noticed the outage share its budget.
    """
    destination.estimated_senders = estimate_senders(settings, now, destination)
    destination.is_ejected = False
    destination.warming_since = now
    destination.tokens = 0.0
    destination.failing_since = None
