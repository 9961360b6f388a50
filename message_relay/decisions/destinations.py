"""State of each endpoint and destination, as observed by this relay.

The records have no behaviour: `rate_control`, `outlier_detection`, `slow_start` and `latency` read and update
them. Times are in milliseconds of the scheduler's clock, rates in calls per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .delivered_rate import DeliveredRate
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
    failures_by_class: dict[int, float] = field(default_factory=dict)  # latest failure, removed by a success
    idle_connections: list[float] = field(default_factory=list)  # time of last use of each connection


@dataclass(slots=True, eq=False)
class DestinationState:
    """Rate, health and latency of a destination, or of one of its routes if routes have separate limits."""

    latency_mean_ms: float
    latency_deviation_ms: float  # mean absolute deviation
    fleet_rate: float  # calls per second of all relays together
    send_rate: float  # calls per second of this relay
    tokens: float  # in the token bucket; negative after urgent messages have overdrawn it
    tokens_updated_at: float
    endpoints: dict[int, EndpointState] = field(default_factory=dict)
    in_flight: dict[int, PendingMessage] = field(default_factory=dict)  # in the order of sending
    response_count: int = 0
    last_success_at: float = NEVER
    timeout_multiplier: float = 1.0
    throttle_ms: float = 0.0  # duration of the throttling that follows the latest refusal
    throttled_until: float = NEVER
    retry_after_until: float = NEVER  # nothing is sent before this time
    failure_score: float = 0.0  # from 0 (healthy) to 1
    is_ejected: bool = False
    last_failure_at: float = NEVER
    last_failure_had_no_effect: bool = False  # whether the endpoint provably did not execute the call
    failing_since: float | None = None  # send time of the first failed call after the last success
    without_endpoints_since: float = NEVER
    warming_since: float = NEVER
    estimated_senders: float = 1.0  # number of relays that may have noticed the latest outage
    next_trial_at: float = 0.0  # time of the next half-open trial while ejected or suspected
    has_listed_rate: bool = True  # if False, `fleet_rate` is the highest rate that was tried
    delivered: DeliveredRate = field(default_factory=DeliveredRate)
    time_slots: TimeSlotShare | None = None  # set if all instances keep an agreed rate together
