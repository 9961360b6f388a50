"""What this relay has observed of each endpoint and each destination.

These are records without behaviour: `rate_control`, `outlier_detection`, `slow_start` and `latency` read and
change them. Times are in milliseconds of the scheduler's clock, rates in calls a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .model import NEVER, Endpoint
from .rate_slots import TimeSlotShare

if TYPE_CHECKING:
    from .pending import PendingMessage


@dataclass(slots=True)
class EndpointState:
    """One endpoint: its calls in flight, recent failures and idle connections."""

    endpoint: Endpoint
    destination: DestinationState
    in_flight: int = 0
    failures_by_class: dict[int, float] = field(default_factory=dict)  # latest failure, until one succeeds
    idle_connections: list[float] = field(default_factory=list)  # when each was last used


@dataclass(slots=True, eq=False)
class DestinationState:
    """One destination, or one route of it where routes have limits of their own: rate, health, latency."""

    latency_mean_ms: float
    latency_deviation_ms: float  # mean absolute deviation
    fleet_rate: float  # of all relays together
    send_rate: float  # of this relay
    tokens: float  # of the token bucket; negative after urgent messages have overdrawn it
    tokens_updated_at: float
    endpoints: dict[int, EndpointState] = field(default_factory=dict)
    in_flight: dict[int, PendingMessage] = field(default_factory=dict)  # in the order in which they were sent
    response_count: int = 0
    last_success_at: float = NEVER
    timeout_multiplier: float = 1.0
    throttle_ms: float = 0.0  # how long the latest refusal throttles it
    throttled_until: float = NEVER
    retry_after_until: float = NEVER  # nothing is sent before
    failure_score: float = 0.0  # 0 healthy to 1
    is_ejected: bool = False
    last_failure_at: float = NEVER
    last_failure_had_no_effect: bool = False  # it is proved that the call did not run
    failing_since: float | None = None  # send of the first call that failed since the last success
    without_endpoints_since: float = NEVER
    warming_since: float = NEVER
    estimated_senders: float = 1.0  # relays that may have noticed the latest outage
    next_trial_at: float = 0.0  # of a half-open trial while it is ejected or suspected
    has_listed_rate: bool = True  # else `fleet_rate` is the highest rate that has not been refused
    time_slots: TimeSlotShare | None = None  # of an agreed rate that all instances keep together
