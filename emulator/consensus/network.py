"""Simulated network: virtual time, processes that freeze or stop, and delayed, lost or doubled messages."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from message_relay.consensus.active_rules import ActiveRules
from message_relay.consensus.lease_grantor import LeaseGrantor
from message_relay.consensus.lease_holder import LeaseHolder
from message_relay.consensus.version_history import VersionHistory

Callback = Callable[[], None]
Link = tuple[str, str]  # source, target


@dataclass
class Relay:
    """One instance: its clock, its persistent state, and the state of its process."""

    name: str
    clock_rate: float
    clock_offset: float
    epoch: int = 0
    frozen_until: float = 0.0
    is_down: bool = False
    lease_holder: LeaseHolder | None = None
    lease_grantor: LeaseGrantor | None = None
    history: VersionHistory | None = None
    applied: int = 0  # number of commands of the log that were applied
    cleared_on_disk: int = 0
    checked_rules: ActiveRules | None = None  # of the previous call; used if the guard "byte" is removed

    def clock(self, now: float) -> float:
        """Return the time of this relay's clock."""
        return self.clock_offset + now * self.clock_rate

    def is_running(self, now: float) -> bool:
        """Whether the process is neither down nor frozen."""
        return not self.is_down and now >= self.frozen_until


class Network:
    """A queue of timed callbacks, and links with faults. All random numbers come from one generator."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.scheduled_count = 0
        self.queue: list[tuple[float, int, Callback]] = []
        self.cut_links: set[Link] = set()
        self.loss = rng.choice((0.0, 0.0, 0.1, 0.3))
        self.duplication = rng.choice((0.0, 0.1))
        self.max_extra_delay = rng.choice((0.02, 0.1, 0.4))

    def schedule(self, when: float, callback: Callback) -> None:
        """Schedule a callback; callbacks of the same time run in the order in which they were scheduled."""
        self.scheduled_count += 1
        heapq.heappush(self.queue, (when, self.scheduled_count, callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks before a time."""
        while self.queue and self.queue[0][0] < end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()

    def run_on(self, relay: Relay, epoch: int, callback: Callback) -> None:
        """Run a callback now, or once the relay is no longer frozen; never if that process has ended."""
        if relay.epoch != epoch or relay.is_down:
            return
        if self.now < relay.frozen_until:
            wake_at = relay.frozen_until + self.rng.uniform(0, 0.01)
            self.schedule(wake_at, lambda: self.run_on(relay, epoch, callback))
        else:
            callback()

    def send(self, source: str, target: Relay, callback: Callback) -> None:
        """Send a message: run the callback on the target once, twice or never."""
        if (source, target.name) in self.cut_links or self.rng.random() < self.loss:
            return
        epoch = target.epoch
        for _ in range(1 + (self.rng.random() < self.duplication)):
            delay = self.rng.uniform(0.001, 0.02)
            if self.rng.random() < 0.1:
                delay += self.rng.uniform(0, self.max_extra_delay)
            self.schedule(self.now + delay, lambda: self.run_on(target, epoch, callback))

    def cut(self, links: set[Link], seconds: float) -> None:
        """Cut links for a number of seconds."""
        self.cut_links |= links
        self.schedule(self.now + seconds, lambda: self.cut_links.difference_update(links))

    def is_cut(self, a: Relay, b: Relay) -> bool:
        """Whether the link between two relays is cut in at least one direction."""
        return (a.name, b.name) in self.cut_links or (b.name, a.name) in self.cut_links
