"""Slow start: how fast a destination is called while it is down, and while it warms up after an outage.

All relays that have noticed the outage share one budget, so that their calls together do not overload a
destination that has just come back. A relay can't see the others: it estimates how many there are by how many
calls the outage can have failed.
"""

from __future__ import annotations

from .destinations import DestinationState
from .model import Settings
from .outlier_detection import EVIDENCE_TTL_MS

OBSERVED_PART = 0.5  # part of the calls since an outage began that other relays made: so many may know of it
MIN_INITIAL_SHARE = 0.01  # of its rate a destination can always take


def estimate_senders(settings: Settings, now: float, destination: DestinationState) -> float:
    """How many relays may have noticed the outage: at most all, and no more than calls that it failed."""
    since = now if destination.failing_since is None else destination.failing_since
    # It may have begun at the last success.
    since = max(min(since, destination.last_success_at), since - EVIDENCE_TTL_MS)
    calls = 1 + OBSERVED_PART * destination.fleet_rate * (now - since) / 1000
    return min(float(settings.relays), calls)


def initial_rate(settings: Settings, rate: float) -> float:
    """Calls a second of all relays that a destination of this rate can take right after an outage."""
    safety = settings.safety
    return max(safety.overload_multiple * safety.warm_up_initial_share, MIN_INITIAL_SHARE) * rate


def warming_rate(settings: Settings, now: float, destination: DestinationState, initial: float) -> float:
    """This relay's part of what a warming destination can take; `initial`: what it took at first."""
    safety = settings.safety
    progress = (1 - safety.warm_up_initial_share) * (now - destination.warming_since) / safety.warm_up_ms
    growth = 1 + progress / max(safety.warm_up_initial_share, MIN_INITIAL_SHARE)
    return initial * growth / destination.estimated_senders


def start_warm_up(settings: Settings, now: float, destination: DestinationState) -> None:
    """The destination is back: from now on the relays that may have noticed the outage share its budget."""
    destination.estimated_senders = estimate_senders(settings, now, destination)
    destination.is_ejected = False
    destination.warming_since = now
    destination.tokens = 0.0
    destination.failing_since = None
