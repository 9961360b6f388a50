"""The plain scan over everything that waits, kept as the oracle for the index: what is best to send and what
is worth least to keep, found by looking at every message. It decides nothing and changes nothing else."""

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


def waiting(relay: DeliveryScheduler) -> dict[int, list[PendingMessage]]:
    """By destination, from the messages held alone: nothing of the index is believed."""
    queues: dict[int, list[PendingMessage]] = {}
    for held in relay.pending.by_id.values():
        if held.in_flight_on is None:
            queues.setdefault(held.message.destination, []).append(held)
    return queues


def opens(
    relay: DeliveryScheduler,
    now: float,
    held: PendingMessage,
    lane: DestinationState,
    queues: dict[int, list[PendingMessage]],
) -> float:
    out = is_suspected(lane, now)
    cap = max(1, relay.settings.max_concurrent_attempts // (4 if out else 2))
    if len(lane.in_flight) >= cap and (out or len(queues) > 1):
        return FOREVER
    room_at, overdraw_at = relay.rate_controller.next_send_times(now, lane, out)
    line = [h for h in relay.pending.by_id.values() if h.ordering_key and h.ordering_key == held.ordering_key]
    hurried = held.deadline_at < held.submitted_at + held.message_class.latency_objective_ms or len(line) > 1
    turn = (
        FOREVER
        if line and line[0] is not held
        else relay.pending.key_paused_until.get(held.ordering_key, 0.0)
    )
    at = max(held.backoff_until, lane.retry_after_until, overdraw_at if hurried else room_at, turn)
    if (
        (out or lane.failure_score > TRUSTED_FAILURE_SCORE)
        and not lane.last_failure_had_no_effect
        and held.message_class.effect is Effect.UNSAFE
    ):
        at = max(at, lane.last_failure_at + EVIDENCE_TTL_MS)
    return at


def best(
    relay: DeliveryScheduler, now: float, queues: dict[int, list[PendingMessage]]
) -> list[tuple[float, PendingMessage, DestinationState]]:
    """All that may be sent now, the best first."""
    found = []
    for dest, queue in queues.items():
        for lane in relay.destinations.get(dest, {}).values():
            cost = lane.latency_mean_ms + lane.failure_score * (
                lane.latency_mean_ms + TIMEOUT_DEVIATIONS * lane.latency_deviation_ms
            ) / (1 - lane.failure_score)
            for held in queue:
                if opens(relay, now, held, lane, queues) <= now and relay.dispatcher.choose_endpoint(
                    now, held, lane
                ):
                    soon = held.value_at(now + lane.latency_mean_ms, relay.settings.decay)
                    later = held.value_at(now + lane.latency_mean_ms + 1000.0, relay.settings.decay)
                    found.append(((2 * soon - later) / cost, held, lane))
    return sorted(found, key=lambda each: -each[0])


def poorest(
    relay: DeliveryScheduler, now: float, queues: dict[int, list[PendingMessage]]
) -> tuple[float, float] | None:
    found = []
    for dest, queue in queues.items():
        drained = now + 1000 * len(queue) / relay.drain_estimate.expected_rate(now, dest)
        found += [
            (lost(relay, now, drained, held), held.value_at(now, relay.settings.decay))
            for held in queue
            if can_reject_safely(held) and not left_untried(held)
        ]
    return min(found, default=None)


def left_untried(held: PendingMessage) -> bool:
    """By an earlier process: it has its try before it makes room for others."""
    return held.message.age_ms is not None and not held.attempts


def lost(relay: DeliveryScheduler, now: float, drained: float, held: PendingMessage) -> float:
    early = now < held.submitted_at + EARLY_PART * (held.deadline_at - held.submitted_at)
    return held.value_at(drained, relay.settings.decay) + (
        EARLY_PENALTY * held.priority_weight if early else 0.0
    )


class Watched(DeliveryScheduler):
    """A relay each of whose choices is held against the plain scan over the state in which it was made.

    The one difference allowed: where more than EXACT candidates lie within the width of a band and of the
    time between two renewals, the choice may be any of those. What a cold destination takes rises all the
    time, and so does a pace of many relays after a refusal; such a one is looked at every LOOK_MS, and until
    then may have more room than the index knows of.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.choices = self.evictions = self.spared = 0
        self.index.pop_best, self._find = self._checked, self.index.pop_best  # type: ignore[method-assign]
        self.load_shedder.lowest_value, self._found = self._least, self.load_shedder.lowest_value  # type: ignore[method-assign]

    def _checked(self, now: float) -> IndexEntry | None:
        entry = self._find(now)
        if entry is not None and not self.dispatcher.is_still_sendable(now, entry[2], entry[3]):
            return entry  # it is not sent: its queue is looked at again, and the next one found
        queues = waiting(self)
        ranked = [each for each in best(self, now, queues) if not self._unseen(now, each[2], each[1])]
        self.choices += 1
        if entry is None:
            assert not ranked, f"may be sent at {now} and was not found: {ranked[0]}"
            return None
        value = self.index.gain(now, entry[2], entry[3]) / entry[0]
        better = [each for each in ranked if each[0] > value * (1 + 1e-9) + 1e-12]
        if len(better) >= EXACT_COMPARISONS:
            assert value > 0.85 * better[0][0], f"{value} was chosen, {better[0]} is best"
            self.spared += 1
        else:
            assert not better, f"{value} was chosen, {better[0]} is best"
        return entry

    def _unseen(self, now: float, lane: DestinationState, held: PendingMessage) -> bool:
        queue = self.pending.queues[held.message.destination]
        cold = now < lane.warming_since + self.settings.safety.warm_up_ms
        rising = self.rate_controller.is_large_fleet and now < lane.throttled_until
        return (
            (cold or rising)
            and queue.next_scan_at > now
            and queue.destination_id not in self.pending.scans_due
        )

    def _least(self, now: float) -> tuple[float, float, PendingMessage] | None:
        least, plain = self._found(now), poorest(self, now, waiting(self))
        self.evictions += 1
        if least is None:
            assert plain is None or len(self.pending.queues) > EXACT_COMPARISONS
            return None
        assert plain is not None
        held, dest = least[2], least[2].message.destination
        drained = now + 1000 * len(self.pending.queues[dest]) / self.drain_estimate.expected_rate(now, dest)
        mine = lost(self, now, drained, held), held.value_at(now, self.settings.decay)
        if len(self.pending.queues) <= EXACT_COMPARISONS:
            assert mine <= plain, f"{mine} was refused, {plain} is least"
        return least


def watched(settings: Settings, **more: Any) -> Watched:
    return Watched(settings, **{"seed": 5, **more})
