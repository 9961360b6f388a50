"""A full scan over all waiting messages: the oracle for the priority index and load shedding.

It selects the best message to send, and the message that costs least to shed, by examining every message.
"""

from __future__ import annotations

from typing import Any

from message_relay.decisions.destinations import DestinationState
from message_relay.decisions.dispatch import TRUSTED_FAILURE_SCORE
from message_relay.decisions.idempotency import can_reject_safely
from message_relay.decisions.latency import TIMEOUT_DEVIATIONS
from message_relay.decisions.load_shedding import EARLY_PART, EARLY_PENALTY
from message_relay.decisions.model import FOREVER, Effect, Settings
from message_relay.decisions.outlier_detection import EVIDENCE_TTL_MS, is_suspected
from message_relay.decisions.pending import PendingMessage
from message_relay.decisions.priority_index import EXACT_COMPARISONS, IndexEntry
from message_relay.decisions.scheduler import DeliveryScheduler


def waiting_messages(scheduler: DeliveryScheduler) -> dict[int, list[PendingMessage]]:
    """Returns the waiting messages by destination, without the use of any queue or index."""
    queues: dict[int, list[PendingMessage]] = {}
    for entry in scheduler.pending.by_id.values():
        if entry.in_flight_on is None:
            queues.setdefault(entry.message.destination, []).append(entry)
    return queues


def sendable_at(
    scheduler: DeliveryScheduler,
    now: float,
    entry: PendingMessage,
    destination: DestinationState,
    queues: dict[int, list[PendingMessage]],
) -> float:
    """Returns when a message may be sent to a destination, as far as is known now."""
    is_unhealthy = is_suspected(destination, now)
    slot_limit = max(1, scheduler.settings.max_concurrent_attempts // (4 if is_unhealthy else 2))
    if len(destination.in_flight) >= slot_limit and (is_unhealthy or len(queues) > 1):
        return FOREVER
    opens_at, urgent_at = scheduler.rate_controller.next_send_times(now, destination, is_unhealthy)
    key = entry.ordering_key
    same_key = [
        other
        for other in scheduler.pending.by_id.values()
        if other.ordering_key and other.ordering_key == key
    ]
    objective_at = entry.submitted_at + entry.message_class.latency_objective_ms
    is_urgent = entry.deadline_at < objective_at or len(same_key) > 1
    if same_key and same_key[0] is not entry:
        order_at = FOREVER
    else:
        order_at = scheduler.pending.key_paused_until.get(key, 0.0)
    send_at = max(
        entry.backoff_until,
        destination.retry_after_until,
        urgent_at if is_urgent else opens_at,
        order_at,
    )
    is_risky = is_unhealthy or destination.failure_score > TRUSTED_FAILURE_SCORE
    is_unsafe = entry.message_class.effect is Effect.UNSAFE
    if is_risky and not destination.last_failure_had_no_effect and is_unsafe:
        send_at = max(send_at, destination.last_failure_at + EVIDENCE_TTL_MS)
    return send_at


def ranked_by_gain(
    scheduler: DeliveryScheduler, now: float, queues: dict[int, list[PendingMessage]]
) -> list[tuple[float, PendingMessage, DestinationState]]:
    """Returns all messages that may be sent now, the best first."""
    candidates = []
    decay = scheduler.settings.decay
    for destination_id, queue in queues.items():
        for destination in scheduler.destinations.get(destination_id, {}).values():
            mean_ms, score = destination.latency_mean_ms, destination.failure_score
            timeout_ms = mean_ms + TIMEOUT_DEVIATIONS * destination.latency_deviation_ms
            slot_time_ms = mean_ms + score * timeout_ms / (1 - score)
            for entry in queue:
                if sendable_at(scheduler, now, entry, destination, queues) > now:
                    continue
                if scheduler.dispatcher.choose_endpoint(now, entry, destination) is None:
                    continue
                value = entry.value_at(now + mean_ms, decay)
                value_later = entry.value_at(now + mean_ms + 1000.0, decay)
                candidates.append(((2 * value - value_later) / slot_time_ms, entry, destination))
    return sorted(candidates, key=lambda candidate: -candidate[0])


def lowest_value(
    scheduler: DeliveryScheduler, now: float, queues: dict[int, list[PendingMessage]]
) -> tuple[float, float] | None:
    """Returns the lowest cost of ending a message, and the value of this message now."""
    costs = []
    for destination_id, queue in queues.items():
        rate = scheduler.drain_estimate.expected_rate(now, destination_id)
        drained_at = now + 1000 * len(queue) / rate
        costs += [
            (cost_of_loss(scheduler, now, drained_at, entry), entry.value_at(now, scheduler.settings.decay))
            for entry in queue
            if can_reject_safely(entry) and not is_resumed_without_attempt(entry)
        ]
    return min(costs, default=None)


def is_resumed_without_attempt(entry: PendingMessage) -> bool:
    """Returns whether an earlier process made no attempt: it gets an attempt before it may be shed."""
    return entry.message.age_ms is not None and not entry.attempts


def cost_of_loss(scheduler: DeliveryScheduler, now: float, drained_at: float, entry: PendingMessage) -> float:
    """Returns the cost of ending a message now."""
    is_early = now < entry.submitted_at + EARLY_PART * (entry.deadline_at - entry.submitted_at)
    penalty = EARLY_PENALTY * entry.priority_weight if is_early else 0.0
    return entry.value_at(drained_at, scheduler.settings.decay) + penalty


class VerifyingScheduler(DeliveryScheduler):
    """A scheduler that compares each of its choices with the full scan over the same state.

    One difference is allowed: if more than EXACT_COMPARISONS candidates lie within the width of an age band
    and of the time between two renewals of the bounds, the choice may be any of them. The rate of a warming
    destination rises continuously, and so does that of a throttled one in a large fleet. Such a destination
    is scanned every RESCAN_MS, and until then may accept more messages than are in the index.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.choices = self.evictions = self.tolerated = 0
        self._pop_best = self.index.pop_best
        self._find_lowest_value = self.load_shedder.lowest_value
        self.index.pop_best = self._verified_best  # type: ignore[method-assign]
        self.load_shedder.lowest_value = self._verified_lowest_value  # type: ignore[method-assign]

    def _verified_best(self, now: float) -> IndexEntry | None:
        chosen = self._pop_best(now)
        if chosen is not None and not self.dispatcher.is_still_sendable(now, chosen[2], chosen[3]):
            return chosen  # not sent: its queue is scanned again, and the next choice follows
        queues = waiting_messages(self)
        ranked = [
            candidate
            for candidate in ranked_by_gain(self, now, queues)
            if not self._may_be_unindexed(now, candidate[2], candidate[1])
        ]
        self.choices += 1
        if chosen is None:
            assert not ranked, f"sendable at {now} but not found by the index: {ranked[0]}"
            return None
        value = self.index.gain(now, chosen[2], chosen[3]) / chosen[0]
        better = [candidate for candidate in ranked if candidate[0] > value * (1 + 1e-9) + 1e-12]
        if len(better) >= EXACT_COMPARISONS:
            assert value > 0.85 * better[0][0], f"{value} was chosen, {better[0]} is best"
            self.tolerated += 1
        else:
            assert not better, f"{value} was chosen, {better[0]} is best"
        return chosen

    def _may_be_unindexed(self, now: float, destination: DestinationState, entry: PendingMessage) -> bool:
        queue = self.pending.queues[entry.message.destination]
        is_warming_up = now < destination.warming_since + self.settings.safety.warm_up_ms
        is_rising = self.rate_controller.is_large_fleet and now < destination.throttled_until
        is_scan_due = queue.destination_id in self.pending.scans_due
        return (is_warming_up or is_rising) and queue.next_scan_at > now and not is_scan_due

    def _verified_lowest_value(self, now: float) -> tuple[float, float, PendingMessage] | None:
        chosen = self._find_lowest_value(now)
        expected = lowest_value(self, now, waiting_messages(self))
        self.evictions += 1
        if chosen is None:
            assert expected is None or len(self.pending.queues) > EXACT_COMPARISONS
            return None
        assert expected is not None
        entry, destination_id = chosen[2], chosen[2].message.destination
        rate = self.drain_estimate.expected_rate(now, destination_id)
        drained_at = now + 1000 * len(self.pending.queues[destination_id]) / rate
        value = entry.value_at(now, self.settings.decay)
        actual = cost_of_loss(self, now, drained_at, entry), value
        if len(self.pending.queues) <= EXACT_COMPARISONS:
            assert actual <= expected, f"{actual} was shed, {expected} is lowest"
        return chosen


def watched(settings: Settings, **options: Any) -> VerifyingScheduler:
    """Returns a verifying scheduler with a fixed seed, unless another is given."""
    return VerifyingScheduler(settings, **{"seed": 5, **options})
