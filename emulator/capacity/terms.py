"""Quantities that the formulas of several roles share."""

from __future__ import annotations

import math

from message_relay.consensus.lease_protocol import LeaseTerms
from message_relay.failover.observations import MAX_SAMPLES

from .rows import Reckoner

DAY_S = 86_400.0
RENEWED_EARLY = 0.9  # of a renewal's period, on average: consensus/instance.py pauses 0.8 to all of it


def rate(m: Reckoner) -> float:
    """Events a second of one relay."""
    return m.size.fleet.events_s / m.size.fleet.relays


def changes_s(m: Reckoner) -> float:
    return m.size.changes.a_day / DAY_S


def members(m: Reckoner) -> float:
    return float(m.size.fleet.relays + m.size.control.machines)


def in_use(m: Reckoner, every: bool = False) -> float:
    """Destinations that one relay needs."""
    return m.size.fleet.destinations * m.assume("in_use_most" if every else "in_use")


def renewals_s(m: Reckoner) -> float:
    """Of one relay to one voter."""
    return 1 / (LeaseTerms(bound_s=m.assume("bound_s")).renew_interval_s * RENEWED_EARLY)


def datagrams_s(m: Reckoner) -> float:
    """Renewals that one voter takes in."""
    return m.size.fleet.relays * renewals_s(m)


def shards_in_use(m: Reckoner, every: bool = False) -> float:
    """Of so many destinations in use, spread by a hash."""
    shards = m.assume("shards")
    empty: float = (1 - 1 / shards) ** in_use(m, every)
    return shards * (1 - empty)


def of_rack(m: Reckoner) -> float:
    return m.assume("relays_a_machine") * m.assume("machines_a_rack")


def of_zone(m: Reckoner) -> float:
    return m.size.fleet.relays / m.size.fleet.zones


def again_s(m: Reckoner) -> float:
    """From one call of a relay to a destination to its next one there, where clients spread evenly."""
    fleet = m.size.fleet
    return fleet.relays * fleet.destinations / fleet.events_s


def told_of(m: Reckoner) -> float:
    """Destinations that a relay's reports of one window name: no more than there are cells for."""
    return min(float(MAX_SAMPLES), needed(m, m.assume("window_s")))


def stretch(m: Reckoner) -> float:
    """How many times as long as usual the hollow fleet's periods were."""
    return max(1.0, m.fact("hollow.stretch"))


def listeners(m: Reckoner) -> float:
    """Readers that one keeper has."""
    return m.size.fleet.relays * m.assume("keepers_a_reader") / m.assume("keepers")


def needed(m: Reckoner, seconds: float) -> float:
    """Destinations that one relay calls in so long, where clients spread evenly."""
    return m.size.fleet.destinations * -math.expm1(-seconds / again_s(m))


def entry_bytes(m: Reckoner) -> float:
    """Of one endpoint in the list."""
    all_ = m.size.fleet.destinations
    return m.at("directory.list.json_bytes", all_) / all_
