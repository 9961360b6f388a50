"""Poll schedule: when the register is polled for the endpoint list, and how long a poll may wait there.

Pure decisions without I/O. One bound holds over any chain of calls that fail, are refused, time out or are
never answered: the relay has what the register could be asked for after at most `DISCOVERY_BOUND_MS`
(docs/design/endings.md). Hence a call is a long poll (a watch) only after one that was answered, the next one
does not wait long for a late answer, and pauses end within the bound.

Where each relay has an agent of its own, polling costs nobody anything. Where the fleet shares one register,
polls synchronise: relays start at the same moment, their watches end at the same moment, and refused calls
return within the same half second. An overloaded register then always answers the same few relays, and the
others learn of no new endpoint at all (docs/design/load-at-size.md). So there the fleet polls at a bounded
rate, and each relay draws its own jitter.
"""

from __future__ import annotations

import random

from ..core.backoff import MAX_JITTER, ExponentialBackoff

# The register's current list is known to the relay at most this long after the register could be reached.
DISCOVERY_BOUND_MS = 6000.0
# An answer that is not waited for is late after this: both ways on the network and processing. The next call
# is made then, beside the one that is late.
ANSWER_TIMEOUT_MS = 500.0
LATE_ANSWER_MS = (
    DISCOVERY_BOUND_MS  # a late answer counts for so long: then later calls have had their chance
)

# An agent of the relay's own. A watch there is renewed soon, in case it has fallen silent; pauses are short,
# since what the agent learns after an outage counts at once.
AGENT_WATCH_MS = 3000.0
AGENT_FIRST_PAUSE_MS = 50.0
AGENT_MAX_PAUSE_MS = 200.0

# A shared register. The first calls of a fleet that starts are spread over this time only: an endpoint that
# drains must receive nothing new after 250 ms. Those that are refused are spread by their pauses.
FIRST_CALL_SPREAD_MS = 150.0
REGISTER_QUEUE_MS = 2000.0  # a call waits at most this long for its turn there; longer ones are refused
WATCH_MS_PER_RELAY = 500.0  # a watch lasts half to all of this per relay: 2.8 calls a second of all relays
MIN_WATCH_MS = 2000.0  # for a small fleet: a watch that its agent has lost is renewed soon
MAX_WATCH_MS = 60000.0  # the longest that the protocol allows
FIRST_PAUSE_MS_PER_RELAY = 25.0  # after the first failed call
MAX_PAUSE_MS_PER_RELAY = 100.0
FIRST_PAUSE_FLOOR_MS = 50.0  # for a small fleet
MAX_PAUSE_FLOOR_MS = 500.0
# Pauses grow with the fleet up to this many relays: a larger fleet must be answered within the bound too.
BACKOFF_RELAYS_MAX = 40


class PollSchedule:
    """Schedule of one relay's polls for the endpoint list. All times are in milliseconds."""

    def __init__(self, relays: int, rng: random.Random, shared: bool = True) -> None:
        """`relays` is the number of relays that poll; `shared` says that they poll one register, and not an
        agent each. Raises ValueError if `relays` is below 1."""
        if relays < 1:
            raise ValueError(f"relays: {relays}, must be 1 or more")
        self.relays = relays
        self.rng = rng
        self.is_shared = shared
        self.answer_timeout_ms = ANSWER_TIMEOUT_MS + REGISTER_QUEUE_MS * shared
        self.is_reachable = False  # the last call was answered: only then may the next one be a watch
        self.backoff = self._make_backoff()

    def _make_backoff(self) -> ExponentialBackoff:
        if not self.is_shared:
            return ExponentialBackoff(AGENT_FIRST_PAUSE_MS, AGENT_MAX_PAUSE_MS, self.rng)
        relays = min(self.relays, BACKOFF_RELAYS_MAX)
        first = max(FIRST_PAUSE_FLOOR_MS, FIRST_PAUSE_MS_PER_RELAY * relays)
        longest = max(MAX_PAUSE_FLOOR_MS, MAX_PAUSE_MS_PER_RELAY * relays)
        # A call that times out, the jittered pause and the next answer together fit into the bound.
        within_bound = (DISCOVERY_BOUND_MS - self.answer_timeout_ms - ANSWER_TIMEOUT_MS) / MAX_JITTER
        return ExponentialBackoff(first, min(longest, within_bound), self.rng)

    def first_delay_ms(self) -> float:
        """Return the delay before a process's first call."""
        return self.rng.uniform(0.0, FIRST_CALL_SPREAD_MS if self.is_shared and self.relays > 1 else 0.0)

    def watch_duration_ms(self) -> float:
        """Return how long the next call may wait for a newer list; 0 asks for an immediate answer."""
        if not self.is_reachable:
            return 0.0
        if not self.is_shared:
            return self.rng.uniform(0.75, 1.0) * AGENT_WATCH_MS
        longest = min(MAX_WATCH_MS, WATCH_MS_PER_RELAY * self.relays)
        if longest <= MIN_WATCH_MS:
            return MIN_WATCH_MS
        return max(MIN_WATCH_MS, self.rng.uniform(0.5, 1.0) * longest)

    def call_timeout_ms(self, watch_ms: float) -> float:
        """Return after how long the answer of a call that waits `watch_ms` for a newer list is late."""
        return watch_ms + (ANSWER_TIMEOUT_MS if watch_ms else self.answer_timeout_ms)

    def on_answered(self) -> None:
        """Record an answer. The next call follows at once: a later one would start its watch later."""
        self.is_reachable = True
        self.backoff.reset()

    def reset(self) -> None:
        """Forget failures and answers: the register or agent is another one now."""
        self.is_reachable = False
        self.backoff.reset()

    def pause_after_failure_ms(self, is_refused: bool = False) -> float:
        """Record a failed call and return the pause before the next one, which grows and is jittered.

        A shared register that refuses a call is reachable, and a watch costs it less than repeated polls.
        """
        self.is_reachable = is_refused and self.is_shared
        return self.backoff.next_delay()
