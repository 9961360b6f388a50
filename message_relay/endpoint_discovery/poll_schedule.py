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

KNOWN_MS = 6000.0  # what discovery has counts as told so long after it could be asked for it
ANSWER_MS = 500.0  # an answer that waits for nothing takes no longer, on the way and in this process
AGENT_HOLD_MS = 3000.0  # a watch at an agent of one's own: one that has fallen silent is begun anew after it
AGENT_FIRST_MS, AGENT_MOST_MS = 50.0, 200.0  # pauses there: what it learns after an outage counts at once
FIRST_CALL_MS = 150.0  # a process's first call at a shared register comes within it: what drains gets nothing
# new after 250 ms. Those that are turned away then spread by pauses
QUEUE_MS = 2000.0  # a shared register lets a call wait so long for its turn; longer ones it turns away
HOLD_MS = 500.0  # for each relay: a watch lasts half to all of it, so that the fleet makes 2.8 calls a second
LEAST_HOLD_MS = 2000.0  # for a small fleet: a watch that its agent has lost is begun anew soon
MOST_HOLD_MS = 60000.0  # the longest that the protocol knows
FIRST_MS, MOST_MS = 25.0, 100.0  # for each relay: the first pause after a failed call, and the longest
LEAST_FIRST_MS, LEAST_MOST_MS = 50.0, 500.0  # for a small fleet
SPREAD = 40  # relays at most for which pauses grow: a larger fleet has to be answered within these too


class PollSchedule:
    """One relay's calls for the list. All times in ms."""

    def __init__(self, relays: int, rng: random.Random, shared: bool = True) -> None:
        """`relays`: how many ask; `shared`: one register, and not each an agent of its own. Raises ValueError
        if there is none."""
        if relays < 1:
            raise ValueError(f"relays: {relays}, must be 1 or more")
        self.relays, self.rng, self.shared = relays, rng, shared
        self.answer_ms = ANSWER_MS + QUEUE_MS * shared
        self.reached = False  # the latest call was answered: only then may the next one wait on the far side
        first, most = AGENT_FIRST_MS, AGENT_MOST_MS
        if shared:
            spread = min(relays, SPREAD)
            first, most = max(LEAST_FIRST_MS, FIRST_MS * spread), max(LEAST_MOST_MS, MOST_MS * spread)
            # A call given up, the pause and the next answer fit into the bound.
            most = min(most, (KNOWN_MS - self.answer_ms - ANSWER_MS) / MOST)
        self.pauses = ExponentialBackoff(first, most, rng)

    def first(self) -> float:
        """The pause before a process's first call."""
        return self.rng.uniform(0.0, FIRST_CALL_MS if self.shared and self.relays > 1 else 0.0)

    def hold(self) -> float:
        """How long the next call may wait for something newer; 0: it is to be answered at once."""
        if not self.reached:
            return 0.0
        if not self.shared:
            return self.rng.uniform(0.75, 1.0) * AGENT_HOLD_MS
        most = min(MOST_HOLD_MS, HOLD_MS * self.relays)
        if most <= LEAST_HOLD_MS:
            return LEAST_HOLD_MS
        return max(LEAST_HOLD_MS, self.rng.uniform(0.5, 1.0) * most)

    def patience(self, hold: float) -> float:
        """After how long a call with this hold is given up."""
        return hold + (ANSWER_MS if hold else self.answer_ms)

    def answered(self) -> None:
        """The next call comes at once: a later one would begin a new watch."""
        self.reached = True
        self.pauses.reset()

    def restart(self) -> None:
        """Another register or agent: what the earlier one did says nothing of it."""
        self.reached = False
        self.pauses.reset()

    def failed(self, refused: bool = False) -> float:
        """The pause before the next call: growing, and jittered, to spare a returning register. One that has
        refused is there, and a watch costs it less than to be asked again and again."""
        self.reached = refused and self.shared
        return self.pauses.next_delay()
