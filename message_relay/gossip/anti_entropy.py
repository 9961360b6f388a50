"""Anti-entropy: when and with whom a member exchanges all claims. No I/O; the clock is passed in, in seconds.

A joining member asks one seed at a time. Claims from a reply are not disseminated: all others know them. A
member that receives many new claims asks another member soon, so that a fleet that starts together knows all
members within a few rounds, and not by piggybacked claims, of which a packet holds a dozen. Dead members are
contacted occasionally for some time, and the seeds indefinitely, so that the two sides of a partition find
each other again.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from .wire import Address, Claim, MemberState

SYNC_PERIODS = 15.0  # between two full exchanges
SYNC_SOON_PERIODS = 1.0  # until the next exchange, after a reply with a full packet of new claims
SYNC_LATER_PERIODS = 4.0  # the same after a reply with fewer new claims
FULL_PACKET_CLAIMS = 8  # least number of claims in a full packet
JOIN_RETRY_S = 0.5  # until a joining member asks the next seed


class SyncSchedule:
    """Time of the next full exchange."""

    def __init__(self, seeds: Sequence[Address], rng: random.Random, period_s: float) -> None:
        self.seeds = seeds
        self.rng = rng
        self.period_s = period_s
        self.seed_number = rng.randrange(len(seeds)) if seeds else 0
        self.claims_learned = 0  # new claims from replies since the last exchange was started
        self.is_synced = not seeds  # a seed has replied, or there is none
        self.next_at = 0.0

    def restart(self) -> None:
        """Ask the seeds again: the member rejoins."""
        self.is_synced = not self.seeds
        self.next_at = 0.0

    def next_seed(self, now: float) -> Address:
        """Return the seed to ask now, each in turn."""
        self.next_at = now + JOIN_RETRY_S * self.rng.uniform(0.8, 1.2)
        seed = self.seeds[self.seed_number % len(self.seeds)]
        self.seed_number += 1
        return seed

    def on_started(self, now: float) -> None:
        """Schedule the exchange after the one that starts now."""
        self.next_at = now + SYNC_PERIODS * self.period_s * self.rng.uniform(0.8, 1.2)
        self.claims_learned = 0

    def on_reply(self, now: float) -> None:
        """Schedule the next exchange sooner if the replies held new claims."""
        if not self.claims_learned:
            return
        periods = SYNC_SOON_PERIODS if self.claims_learned >= FULL_PACKET_CLAIMS else SYNC_LATER_PERIODS
        self.next_at = min(self.next_at, now + periods * self.period_s * self.rng.uniform(0.5, 1.5))


def sync_targets(
    rng: random.Random, own_claim: Claim, members: Mapping[str, Claim], seeds: Sequence[Address]
) -> list[Address]:
    """Return a random present member, and a random one of the dead members and the unknown seeds."""
    targets = []
    present = [claim for claim in members.values() if not claim.has_departed]
    if present:
        targets.append(rng.choice(present).address)
    lost = [claim.address for claim in members.values() if claim.state is MemberState.DEAD]
    known = {claim.address for claim in present} | {own_claim.address}
    lost += [seed for seed in seeds if seed not in known]
    if lost:
        targets.append(rng.choice(lost))
    return targets
