"""Admission control: rejects submissions under overload, and weights messages by class and tenant quota."""

from __future__ import annotations

from .drain_estimate import DrainEstimate
from .events import Message
from .load_shedding import LoadShedder
from .model import FOREVER, Settings
from .pending import PendingMessage

QUOTA_BURST_S = 2.0  # a tenant can accumulate this many seconds of its quota,
QUOTA_MIN_BURST = 4.0  # and at least this many messages


def scheduling_weights(settings: Settings) -> list[float]:
    """Returns the scheduling weight of each class.

    The class of lowest weight is served worst. Its weight is raised according to the goal's weight for the
    worst class.
    """
    weights = [message_class.priority_weight for message_class in settings.classes]
    goal = settings.goal
    lowest = min(weights)
    next_lowest = min((weight for weight in weights if weight > lowest), default=lowest)
    # Assumes the same number of messages in each class.
    additional = sum(weights) * goal.worst_class / max(goal.total + goal.worst_window, 0.01)
    return [min(next_lowest, weight + additional) if weight == lowest else weight for weight in weights]


class Admission:
    """Decides which submissions are accepted, and weights accepted messages by class and quota."""

    def __init__(self, load_shedder: LoadShedder, drain_estimate: DrainEstimate) -> None:
        self.load_shedder = load_shedder
        self.drain_estimate = drain_estimate
        self.rate_controller = drain_estimate.rate_controller
        settings = self.rate_controller.settings
        self.class_weights = scheduling_weights(settings)
        # For each tenant: messages left of its quota, and the time of that value. Full at the start.
        self.quota_tokens = [(FOREVER, 0.0)] * len(settings.tenants)

    def rejection_delay_ms(self, now: float, message: Message, pending_count: int) -> float | None:
        """Returns the Retry-After in milliseconds if a submission must be rejected, else None.

        A submission is rejected unless its expected value exceeds the cost of shedding the cheapest pending
        message, since accepted messages have waited already. `pending_count` includes accepted messages that
        this scheduler does not know yet.
        """
        if pending_count < self.load_shedder.threshold():
            return None
        entry = self.new_entry(now, message, self._quota_left(now, message))
        cheapest = self.load_shedder.lowest_value(now)
        drained_at = self.drain_estimate.drained_at(now, message.destination, 1)
        expected_value = entry.value_at(drained_at, self.rate_controller.settings.decay)
        if cheapest is not None and expected_value > cheapest[0]:
            return None
        return self.drain_estimate.retry_after_ms(now, message.destination)

    def accept(self, now: float, message: Message) -> PendingMessage:
        """Returns the state of an accepted message, and charges it to its tenant's quota."""
        quota_left = self._quota_left(now, message)
        entry = self.new_entry(now, message, quota_left)
        if message.uncertain_for_ms is not None:
            entry.first_uncertain_at = now - message.uncertain_for_ms
        entry.uncertain_endpoint = message.uncertain_endpoint
        if quota_left < FOREVER:
            self.quota_tokens[message.tenant] = quota_left - (quota_left >= 1), now
        return entry

    def new_entry(self, now: float, message: Message, quota_left: float) -> PendingMessage:
        """Returns the state of a message with its times and its weight."""
        settings = self.rate_controller.settings
        message_class = settings.classes[message.class_index]
        # A submission not marked as a repeat is new however little time remains: some clients set short
        # deadlines.
        is_repeat = message.is_repeat or message.from_dead_relay or not settings.marks_repeats
        if is_repeat:
            submitted_at = now + message.remaining_ms - message_class.deadline_ms
        else:
            submitted_at = now - (message.age_ms or 0.0)
        weight = self.class_weights[message.class_index] * (
            1.0 if quota_left >= 1 else settings.over_quota_weight
        )
        deadline_at = now + message.remaining_ms
        return PendingMessage(
            message, message_class, submitted_at, deadline_at, weight, now, message.attempts
        )

    def _quota_left(self, now: float, message: Message) -> float:
        """Returns how many messages the tenant may still submit within its quota."""
        if message.tenant >= len(self.quota_tokens) or message.age_ms is not None:
            return FOREVER  # resumed messages are not charged: they would look like a surge
        settings = self.rate_controller.settings
        tokens, updated_at = self.quota_tokens[message.tenant]
        quota = settings.tenants[message.tenant].quota_per_s / settings.relays
        return min(max(QUOTA_MIN_BURST, QUOTA_BURST_S * quota), tokens + quota * (now - updated_at) / 1000)
