"""Terms that the formulas of several roles share."""

from __future__ import annotations

import math

from message_relay.consensus.lease_protocol import LeaseTerms
from message_relay.failover.observations import MAX_SAMPLES

from .rows import Calculation

DAY_S = 86_400.0
RENEWED_EARLY = 0.9  # mean share of a renewal interval: consensus/instance.py pauses 0.8 to 1.0 of it


def events_s(m: Calculation) -> float:
    """Return the events a second of one relay."""
    return m.size.fleet.events_s / m.size.fleet.relays


def changes_s(m: Calculation) -> float:
    return m.size.changes.a_day / DAY_S


def members(m: Calculation) -> float:
    return float(m.size.fleet.relays + m.size.control.machines)


def in_use(m: Calculation, every: bool = False) -> float:
    """Return the number of destinations in use at one relay; with `every`, if clients spread evenly."""
    return m.size.fleet.destinations * m.assume("in_use_most" if every else "in_use")


def renewals_s(m: Calculation) -> float:
    """Return the renewals a second from one relay to one voter."""
    return 1 / (LeaseTerms(bound_s=m.assume("bound_s")).renew_interval_s * RENEWED_EARLY)


def voter_renewals_s(m: Calculation) -> float:
    """Return the renewals a second that one voter receives."""
    return m.size.fleet.relays * renewals_s(m)


def shards_in_use(m: Calculation, every: bool = False) -> float:
    """Return the number of shards that hold the destinations in use, which a hash spreads."""
    shards = m.assume("shards")
    empty: float = (1 - 1 / shards) ** in_use(m, every)
    return shards * (1 - empty)


def relays_per_rack(m: Calculation) -> float:
    return m.assume("relays_a_machine") * m.assume("machines_a_rack")


def relays_per_zone(m: Calculation) -> float:
    return m.size.fleet.relays / m.size.fleet.zones


def call_interval_s(m: Calculation) -> float:
    """Return the time between two calls of a relay to the same destination, if clients spread evenly."""
    fleet = m.size.fleet
    return fleet.relays * fleet.destinations / fleet.events_s


def reported_destinations(m: Calculation) -> float:
    """Return the destinations in the reports of a relay for one window, limited by the number of samples."""
    return min(float(MAX_SAMPLES), called_destinations(m, m.assume("window_s")))


def stretch(m: Calculation) -> float:
    """Return the factor by which the periods of the hollow fleet were longer than the defaults."""
    return max(1.0, m.fact("hollow.stretch"))


def clients_per_server(m: Calculation) -> float:
    """Return the number of clients of one shard server."""
    return m.size.fleet.relays * m.assume("keepers_a_reader") / m.assume("keepers")


def called_destinations(m: Calculation, seconds: float) -> float:
    """Return the destinations that one relay calls within `seconds`, if clients spread evenly."""
    return m.size.fleet.destinations * -math.expm1(-seconds / call_interval_s(m))


def entry_bytes(m: Calculation) -> float:
    """Return the bytes of one endpoint in the list."""
    destinations = m.size.fleet.destinations
    return m.at("directory.list.json_bytes", destinations) / destinations
