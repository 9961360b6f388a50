"""Poll schedule: determines when the register is polled for the endpoint list, and how long a poll may wait.

Pure decisions without I/O. One bound holds over any chain of calls that fail, are refused, time out or are
never answered: once the register is reachable, the relay has its current list after at most
`DISCOVERY_BOUND_MS` (docs/design/endings.md). Hence a call is a long poll (a watch) only if the previous call
was answered, a late answer delays the next call only briefly, and pauses end within the bound.

If each relay has its own agent, polling is cheap. If the fleet shares one register, polls synchronise: relays
start at the same time, their watches end at the same time, and refused calls are repeated within the same
half second. An overloaded register then always answers the same few relays, and the others learn of no new
endpoint at all (docs/design/load-at-size.md). Therefore the fleet polls a shared register at a bounded rate,
and each relay uses its own jitter.
"""

from __future__ import annotations

import random

from ..core.backoff import MAX_JITTER, ExponentialBackoff

# Maximum time from the register being reachable to the relay having its current list.
DISCOVERY_BOUND_MS = 6000.0
# An immediate answer is late after this time, which covers the network round trip and processing. The next
# call is then made while the late one is still open.
ANSWER_TIMEOUT_MS = 500.0
# A late answer is accepted for this long; by then, later calls have had time to be answered.
LATE_ANSWER_MS = DISCOVERY_BOUND_MS

# Agent per relay. A watch is renewed soon, in case it has fallen silent. Pauses are short, so that the relay
# gets the agent's list soon after an outage.
AGENT_WATCH_MS = 3000.0
AGENT_FIRST_PAUSE_MS = 50.0
AGENT_MAX_PAUSE_MS = 200.0

# Shared register. The first calls of a starting fleet are spread over no more than this time, since a
# draining endpoint must receive no new message after 250 ms. Refused calls are spread by their pauses.
FIRST_CALL_SPREAD_MS = 150.0
REGISTER_QUEUE_MS = 2000.0  # maximum queueing time of a call at the register; beyond it, calls are refused
WATCH_MS_PER_RELAY = 500.0  # a watch lasts 50 to 100% of this per relay: 2.8 calls/s from the whole fleet
MIN_WATCH_MS = 2000.0  # for a small fleet: a watch that was lost by its agent is renewed soon
MAX_WATCH_MS = 60000.0  # maximum of the protocol
FIRST_PAUSE_MS_PER_RELAY = 25.0  # after the first failed call
MAX_PAUSE_MS_PER_RELAY = 100.0
FIRST_PAUSE_FLOOR_MS = 50.0  # for a small fleet
MAX_PAUSE_FLOOR_MS = 500.0
# Pauses grow with the fleet up to this many relays, since a larger fleet must meet the bound too.
BACKOFF_RELAYS_MAX = 40


class PollSchedule:
    """Schedule of one relay's polls for the endpoint list. All times are in milliseconds."""

    def __init__(self, relays: int, rng: random.Random, shared: bool = True) -> None:
        """`relays` is the number of relays that poll; `shared`: they poll one register instead of one agent
        each. Raises ValueError if `relays` is below 1."""
        if relays < 1:
            raise ValueError(f"relays: {relays}, must be 1 or more")
        self.relays = relays
        self.rng = rng
        self.is_shared = shared
        self.answer_timeout_ms = ANSWER_TIMEOUT_MS + REGISTER_QUEUE_MS * shared
        self.is_reachable = False  # the last call was answered, so the next one may be a watch
        self.backoff = self._make_backoff()

    def _make_backoff(self) -> ExponentialBackoff:
        if not self.is_shared:
            return ExponentialBackoff(AGENT_FIRST_PAUSE_MS, AGENT_MAX_PAUSE_MS, self.rng)
        relays = min(self.relays, BACKOFF_RELAYS_MAX)
        first = max(FIRST_PAUSE_FLOOR_MS, FIRST_PAUSE_MS_PER_RELAY * relays)
        longest = max(MAX_PAUSE_FLOOR_MS, MAX_PAUSE_MS_PER_RELAY * relays)
        # A call that times out, the jittered pause and the next answer must fit into the bound together.
        within_bound = (DISCOVERY_BOUND_MS - self.answer_timeout_ms - ANSWER_TIMEOUT_MS) / MAX_JITTER
        return ExponentialBackoff(first, min(longest, within_bound), self.rng)

    def first_delay_ms(self) -> float:
        """Return the delay before a process's first call."""
        return self.rng.uniform(0.0, FIRST_CALL_SPREAD_MS if self.is_shared and self.relays > 1 else 0.0)

    def watch_duration_ms(self) -> float:
        """Return how long the next call may wait for a newer list; 0 requests an immediate answer."""
        if not self.is_reachable:
            return 0.0
        if not self.is_shared:
            return self.rng.uniform(0.75, 1.0) * AGENT_WATCH_MS
        longest = min(MAX_WATCH_MS, WATCH_MS_PER_RELAY * self.relays)
        if longest <= MIN_WATCH_MS:
            return MIN_WATCH_MS
        return max(MIN_WATCH_MS, self.rng.uniform(0.5, 1.0) * longest)

    def call_timeout_ms(self, watch_ms: float) -> float:
        """Return the answer timeout of a call that waits up to `watch_ms` for a newer list."""
        return watch_ms + (ANSWER_TIMEOUT_MS if watch_ms else self.answer_timeout_ms)

    def on_answered(self) -> None:
        """Record an answer. The next call follows at once, since a pause would only delay its watch."""
        self.is_reachable = True
        self.backoff.reset()

    def reset(self) -> None:
        """Reset the state after a switch to another register or agent."""
        self.is_reachable = False
        self.backoff.reset()

    def pause_after_failure_ms(self, is_refused: bool = False) -> float:
        """Record a failed call and return the pause before the next one, which grows and has jitter.

        A shared register that refuses a call is reachable, and a watch is cheaper for it than repeated polls.
        """
        self.is_reachable = is_refused and self.is_shared
        return self.backoff.next_delay()
