"""When to ask discovery for the list, and how long a call may wait there: decided without I/O.

One bound holds over any chain of calls that fail, are refused, given up or never answered: what discovery
has, and could be asked for, is known `KNOWN_MS` later (docs/design/endings.md). So a call waits on the far
side only after one that was answered, what is silent is given up soon, and pauses end within the bound.

Where each relay has an agent of its own, a call costs nobody anything. Where the fleet shares one register,
what one relay does harmlessly forty do together: they start in the same moment, their watches end in the same
moment, and those that are turned away come again in the same half second. A register that can answer each of
them once in some seconds then answers always the same few, and the others learn of no new endpoint at all
(docs/design/load-at-size.md). So there the fleet asks at a bounded rate, each relay by its own chance."""

from __future__ import annotations

import random

from ..core.backoff import MOST, ExponentialBackoff

DISCOVERY_BOUND_MS = 6000.0  # what discovery has counts as told so long after it could be asked for it
ANSWER_TIMEOUT_MS = 500.0  # an answer that waits for nothing takes no longer, on the way and in this process
AGENT_WATCH_MS = 3000.0  # a watch at an agent of one's own: one that has fallen silent is begun anew after it
AGENT_FIRST_PAUSE_MS, AGENT_MAX_PAUSE_MS = (
    50.0,
    200.0,
)  # pauses there: what it learns after an outage counts at once
FIRST_CALL_SPREAD_MS = (
    150.0  # a process's first call at a shared register comes within it: what drains gets nothing
)
# new after 250 ms. Those that are turned away then spread by pauses
REGISTER_QUEUE_MS = (
    2000.0  # a shared register lets a call wait so long for its turn; longer ones it turns away
)
WATCH_MS_PER_RELAY = (
    500.0  # for each relay: a watch lasts half to all of it, so that the fleet makes 2.8 calls a second
)
MIN_WATCH_MS = 2000.0  # for a small fleet: a watch that its agent has lost is begun anew soon
MAX_WATCH_MS = 60000.0  # the longest that the protocol knows
FIRST_PAUSE_MS_PER_RELAY, MAX_PAUSE_MS_PER_RELAY = (
    25.0,
    100.0,
)  # for each relay: the first pause after a failed call, and the longest
FIRST_PAUSE_FLOOR_MS, MAX_PAUSE_FLOOR_MS = 50.0, 500.0  # for a small fleet
BACKOFF_RELAYS_MAX = (
    40  # relays at most for which pauses grow: a larger fleet has to be answered within these too
)


class PollSchedule:
    """One relay's calls for the list. All times in ms."""

    def __init__(self, relays: int, rng: random.Random, shared: bool = True) -> None:
        """`relays`: how many ask; `shared`: one register, and not each an agent of its own. Raises ValueError
        if there is none."""
        if relays < 1:
            raise ValueError(f"relays: {relays}, must be 1 or more")
        self.relays, self.rng, self.is_shared = relays, rng, shared
        self.answer_timeout_ms = ANSWER_TIMEOUT_MS + REGISTER_QUEUE_MS * shared
        self.is_reachable = (
            False  # the latest call was answered: only then may the next one wait on the far side
        )
        first, most = AGENT_FIRST_PAUSE_MS, AGENT_MAX_PAUSE_MS
        if shared:
            spread = min(relays, BACKOFF_RELAYS_MAX)
            first, most = (
                max(FIRST_PAUSE_FLOOR_MS, FIRST_PAUSE_MS_PER_RELAY * spread),
                max(MAX_PAUSE_FLOOR_MS, MAX_PAUSE_MS_PER_RELAY * spread),
            )
            # A call given up, the pause and the next answer fit into the bound.
            most = min(most, (DISCOVERY_BOUND_MS - self.answer_timeout_ms - ANSWER_TIMEOUT_MS) / MOST)
        self.backoff = ExponentialBackoff(first, most, rng)

    def first_delay_ms(self) -> float:
        """The pause before a process's first call."""
        return self.rng.uniform(0.0, FIRST_CALL_SPREAD_MS if self.is_shared and self.relays > 1 else 0.0)

    def watch_duration_ms(self) -> float:
        """How long the next call may wait for something newer; 0: it is to be answered at once."""
        if not self.is_reachable:
            return 0.0
        if not self.is_shared:
            return self.rng.uniform(0.75, 1.0) * AGENT_WATCH_MS
        most = min(MAX_WATCH_MS, WATCH_MS_PER_RELAY * self.relays)
        if most <= MIN_WATCH_MS:
            return MIN_WATCH_MS
        return max(MIN_WATCH_MS, self.rng.uniform(0.5, 1.0) * most)

    def call_timeout_ms(self, watch_ms: float) -> float:
        """After how long a call with this hold is given up."""
        return watch_ms + (ANSWER_TIMEOUT_MS if watch_ms else self.answer_timeout_ms)

    def on_answered(self) -> None:
        """The next call comes at once: a later one would begin a new watch."""
        self.is_reachable = True
        self.backoff.reset()

    def reset(self) -> None:
        """Another register or agent: what the earlier one did says nothing of it."""
        self.is_reachable = False
        self.backoff.reset()

    def pause_after_failure_ms(self, is_refused: bool = False) -> float:
        """The pause before the next call: growing, and jittered, to spare a returning register. One that has
        refused is there, and a watch costs it less than to be asked again and again."""
        self.is_reachable = is_refused and self.is_shared
        return self.backoff.next_delay()
