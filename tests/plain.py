"""The plain scan over everything that waits, kept as the oracle for the index: what is best to send and what
is worth least to keep, found by looking at every message. It decides nothing and changes nothing else."""

from __future__ import annotations

from typing import Any

from message_relay.decisions.expiry import BROKEN, EARLY
from message_relay.decisions.idempotency import can_reject_safely
from message_relay.decisions.model import FOREVER, Effect, Settings
from message_relay.decisions.pending import DestinationState, PendingMessage
from message_relay.decisions.priority_index import EXACT, Entry
from message_relay.decisions.rate_control import DEVIATIONS, FADE_MS, suspect
from message_relay.decisions.scheduler import TRUSTED, DeliveryScheduler


def waiting(relay: DeliveryScheduler) -> dict[int, list[PendingMessage]]:
    """By destination, from the messages held alone: nothing of the index is believed."""
    queues: dict[int, list[PendingMessage]] = {}
    for held in relay.board.held.values():
        if held.out is None:
            queues.setdefault(held.msg.destination, []).append(held)
    return queues


def opens(
    relay: DeliveryScheduler,
    now: float,
    held: PendingMessage,
    lane: DestinationState,
    queues: dict[int, list[PendingMessage]],
) -> float:
    out = suspect(lane, now)
    cap = max(1, relay.s.max_concurrent_attempts // (4 if out else 2))
    if len(lane.out) >= cap and (out or len(queues) > 1):
        return FOREVER
    room_at, overdraw_at = relay.paces.room_at(now, lane, out)
    line = [h for h in relay.board.held.values() if h.key and h.key == held.key]
    hurried = held.due < held.since + held.cls.latency_objective_ms or len(line) > 1
    turn = FOREVER if line and line[0] is not held else relay.board.key_rest.get(held.key, 0.0)
    at = max(held.ready, lane.wait_until, overdraw_at if hurried else room_at, turn)
    if (out or lane.blame > TRUSTED) and not lane.ran_nothing and held.cls.effect is Effect.UNSAFE:
        at = max(at, lane.failed_at + FADE_MS)
    return at


def best(
    relay: DeliveryScheduler, now: float, queues: dict[int, list[PendingMessage]]
) -> list[tuple[float, PendingMessage, DestinationState]]:
    """All that may be sent now, the best first."""
    found = []
    for dest, queue in queues.items():
        for lane in relay.lanes.get(dest, {}).values():
            cost = lane.mean + lane.blame * (lane.mean + DEVIATIONS * lane.dev) / (1 - lane.blame)
            for held in queue:
                if opens(relay, now, held, lane, queues) <= now and relay._door(now, held, lane):
                    soon = held.worth_at(now + lane.mean, relay.s.decay)
                    later = held.worth_at(now + lane.mean + 1000.0, relay.s.decay)
                    found.append(((2 * soon - later) / cost, held, lane))
    return sorted(found, key=lambda each: -each[0])


def poorest(
    relay: DeliveryScheduler, now: float, queues: dict[int, list[PendingMessage]]
) -> tuple[float, float] | None:
    found = []
    for dest, queue in queues.items():
        drained = now + 1000 * len(queue) / relay.endings.speed(now, dest)
        found += [
            (lost(relay, now, drained, held), held.worth_at(now, relay.s.decay))
            for held in queue
            if can_reject_safely(held) and not left_untried(held)
        ]
    return min(found, default=None)


def left_untried(held: PendingMessage) -> bool:
    """By an earlier process: it has its try before it makes room for others."""
    return held.msg.age_ms is not None and not held.tries


def lost(relay: DeliveryScheduler, now: float, drained: float, held: PendingMessage) -> float:
    early = now < held.since + EARLY * (held.due - held.since)
    return held.worth_at(drained, relay.s.decay) + (BROKEN * held.worth if early else 0.0)


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
        self.index.best, self._find = self._checked, self.index.best  # type: ignore[method-assign]
        self.endings.least, self._found = self._least, self.endings.least  # type: ignore[method-assign]

    def _checked(self, now: float) -> Entry | None:
        entry = self._find(now)
        if entry is not None and not self._still(now, entry[2], entry[3]):
            return entry  # it is not sent: its queue is looked at again, and the next one found
        queues = waiting(self)
        ranked = [each for each in best(self, now, queues) if not self._unseen(now, each[2], each[1])]
        self.choices += 1
        if entry is None:
            assert not ranked, f"may be sent at {now} and was not found: {ranked[0]}"
            return None
        value = self.index.worth(now, entry[2], entry[3]) / entry[0]
        better = [each for each in ranked if each[0] > value * (1 + 1e-9) + 1e-12]
        if len(better) >= EXACT:
            assert value > 0.85 * better[0][0], f"{value} was chosen, {better[0]} is best"
            self.spared += 1
        else:
            assert not better, f"{value} was chosen, {better[0]} is best"
        return entry

    def _unseen(self, now: float, lane: DestinationState, held: PendingMessage) -> bool:
        queue = self.board.queues[held.msg.destination]
        cold = now < lane.cold_since + self.s.safety.cold_ms
        rising = self.paces.many and now < lane.free_at
        return (cold or rising) and queue.look_at > now and queue.dest not in self.board.due

    def _least(self, now: float) -> tuple[float, float, PendingMessage] | None:
        least, plain = self._found(now), poorest(self, now, waiting(self))
        self.evictions += 1
        if least is None:
            assert plain is None or len(self.board.queues) > EXACT
            return None
        assert plain is not None
        held, dest = least[2], least[2].msg.destination
        drained = now + 1000 * len(self.board.queues[dest]) / self.endings.speed(now, dest)
        mine = lost(self, now, drained, held), held.worth_at(now, self.s.decay)
        if len(self.board.queues) <= EXACT:
            assert mine <= plain, f"{mine} was refused, {plain} is least"
        return least


def watched(settings: Settings, **more: Any) -> Watched:
    return Watched(settings, **{"seed": 5, **more})
