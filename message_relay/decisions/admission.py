"""Admission control: which submissions are rejected with Retry-After, and the tenants' quotas."""

from __future__ import annotations

from .drain_estimate import DrainEstimate
from .events import Message
from .load_shedding import LoadShedder
from .model import FOREVER, Settings
from .pending import PendingMessage

QUOTA_BURST_S = 2.0  # seconds of a tenant's quota that can be saved up,
QUOTA_MIN_BURST = 4.0  # and messages at least


def scheduling_weights(settings: Settings) -> list[float]:
    """Weights by class: the lowest class is served worst, and counts more by what the goal gives for that."""
    weights = [each.priority_weight for each in settings.classes]
    goal = settings.goal
    lowest = min(weights)
    next_lowest = min((weight for weight in weights if weight > lowest), default=lowest)
    # As if there were as many messages of each class.
    additional = sum(weights) * goal.worst_class / max(goal.total + goal.worst_window, 0.01)
    return [min(next_lowest, weight + additional) if weight == lowest else weight for weight in weights]


class Admission:
    """Decides on submissions, and weighs those that are accepted by class and quota."""

    def __init__(self, load_shedder: LoadShedder, drain_estimate: DrainEstimate) -> None:
        self.load_shedder = load_shedder
        self.drain_estimate = drain_estimate
        self.rate_controller = drain_estimate.rate_controller
        settings = self.rate_controller.settings
        self.class_weights = scheduling_weights(settings)
        # By tenant: messages left of the quota, and when that was. Full at first.
        self.quota_tokens = [(FOREVER, 0.0)] * len(settings.tenants)

    def rejection_delay_ms(self, now: float, message: Message, pending_count: int) -> float | None:
        """The Retry-After in milliseconds if a submission is to be rejected, else None.

        It is rejected where accepting it would cost more than it wins: what was accepted before has waited.
        `pending_count`: messages held, those included that this scheduler does not know yet.
        """
        if pending_count < self.load_shedder.threshold():
            return None
        entry = self.new_entry(now, message, self._quota_left(now, message))
        lowest = self.load_shedder.lowest_value(now)
        drained_at = self.drain_estimate.drained_at(now, message.destination, 1)
        won = entry.value_at(drained_at, self.rate_controller.settings.decay)
        if lowest is not None and won > lowest[0]:
            return None
        return self.drain_estimate.retry_after_ms(now, message.destination)

    def accept(self, now: float, message: Message) -> PendingMessage:
        """The state of an accepted message, which is charged to its tenant's quota."""
        left = self._quota_left(now, message)
        entry = self.new_entry(now, message, left)
        if message.uncertain_for_ms is not None:
            entry.first_uncertain_at = now - message.uncertain_for_ms
        entry.uncertain_endpoint = message.uncertain_endpoint
        if left < FOREVER:
            self.quota_tokens[message.tenant] = left - (left >= 1), now
        return entry

    def new_entry(self, now: float, message: Message, quota_left: float) -> PendingMessage:
        """The state of a message with its times and its weight."""
        settings = self.rate_controller.settings
        message_class = settings.classes[message.class_index]
        # An unmarked first submission is new however little time it has left: some clients just want it fast.
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
        """How many messages its tenant may still submit within its quota."""
        if message.tenant >= len(self.quota_tokens) or message.age_ms is not None:
            return FOREVER  # resumed messages would look like a surge
        settings = self.rate_controller.settings
        left, at = self.quota_tokens[message.tenant]
        quota = settings.tenants[message.tenant].quota_per_s / settings.relays
        return min(max(QUOTA_MIN_BURST, QUOTA_BURST_S * quota), left + quota * (now - at) / 1000)
