"""Formulas for the load on a destination from all relays: calls, connections, trial calls, and the cold
budget that all senders share."""

from __future__ import annotations

import math

from . import budgets
from .rows import Calculation, Formula, Kind, Role, Unit, When
from .steps import ASSIGN, JOURNAL, KEEP_ALIVE, PLANNER, RATE_CONTROL
from .terms import call_interval_s


def calls_s(m: Calculation) -> float:
    return m.size.fleet.events_s / m.size.fleet.destinations


def senders(m: Calculation, seconds: float) -> float:
    """Return the number of relays that get an event for it within `seconds`, if clients spread evenly."""
    return m.size.fleet.relays * -math.expm1(-seconds / call_interval_s(m))


def open_at_once(m: Calculation) -> float:
    return senders(m, m.assume("idle_s"))


def warming_up_calls_s(m: Calculation) -> float:
    """Return the calls a second that it can accept right after its return."""
    return calls_s(m) * m.assume("headroom") * m.assume("cold_share")


def waiting(m: Calculation) -> float:
    """Return the events that are pending in all relays for a destination that was down."""
    return calls_s(m) * min(m.assume("outage_s"), m.assume("deadline_s"))


def first_calls_s(m: Calculation) -> float:
    """Return the time of the first call of each relay after an outage.

    No relay learns of the return from the call of another relay: each makes one call, and all of them share
    the cold budget.
    """
    return senders(m, m.assume("outage_s")) / warming_up_calls_s(m)


DESTINATION = [
    Formula(
        "destination.calls",
        Role.DESTINATION,
        When.HOUR,
        Kind.IN,
        "calls",
        Unit.EACH_S,
        calls_s,
        "events a second / destinations",
        RATE_CONTROL,
    ),
    Formula(
        "destination.senders",
        Role.DESTINATION,
        When.HOUR,
        Kind.STATE,
        "relays that call it within an hour",
        Unit.COUNT,
        lambda m: senders(m, 3600),
        "relays x (1 - e^-(hour / time between two calls))",
        RATE_CONTROL,
        step=ASSIGN,
    ),
    Formula(
        "destination.connections",
        Role.DESTINATION,
        When.HOUR,
        Kind.STATE,
        "connections open at once",
        Unit.COUNT,
        open_at_once,
        "relays x (1 - e^-(idle time / time between two calls))",
        KEEP_ALIVE,
        budgets.CONNECTIONS,
        ASSIGN,
    ),
    Formula(
        "destination.opened",
        Role.DESTINATION,
        When.HOUR,
        Kind.IN,
        "connections opened",
        Unit.EACH_S,
        lambda m: calls_s(m) * math.exp(-m.assume("idle_s") / call_interval_s(m)),
        "calls x share that finds none open",
        KEEP_ALIVE,
        step=ASSIGN,
    ),
    Formula(
        "destination.down",
        Role.DESTINATION,
        When.HOUR,
        Kind.STATE,
        "destinations that are down",
        Unit.COUNT,
        lambda m: m.size.fleet.destinations * m.size.fleet.down,
        "destinations x share down",
        RATE_CONTROL,
    ),
    Formula(
        "destination.returns",
        Role.DESTINATION,
        When.HOUR,
        Kind.STATE,
        "destinations that come back",
        Unit.EACH_S,
        lambda m: m.size.fleet.destinations * m.size.fleet.down / m.assume("outage_s"),
        "those down / an outage",
        RATE_CONTROL,
    ),
    Formula(
        "destination.waiting",
        Role.DESTINATION,
        When.BACK,
        Kind.STATE,
        "events that wait for its return",
        Unit.COUNT,
        waiting,
        "calls x an outage",
        RATE_CONTROL,
    ),
    Formula(
        "destination.cold",
        Role.DESTINATION,
        When.BACK,
        Kind.IN,
        "calls that it can take cold",
        Unit.EACH_S,
        warming_up_calls_s,
        "calls x headroom x cold share",
        RATE_CONTROL,
    ),
    Formula(
        "destination.holders",
        Role.DESTINATION,
        When.BACK,
        Kind.STATE,
        "relays that hold something for it",
        Unit.COUNT,
        lambda m: senders(m, m.assume("outage_s")),
        "relays x (1 - e^-(outage / time between two calls))",
        RATE_CONTROL,
        step=ASSIGN,
    ),
    Formula(
        "destination.turn",
        Role.DESTINATION,
        When.BACK,
        Kind.TIME,
        "one call of each of them on the one cold budget",
        Unit.SECONDS,
        first_calls_s,
        "relays that hold something / calls that it can take cold",
        RATE_CONTROL,
        budgets.DEADLINE,
        ASSIGN,
    ),
    Formula(
        "destination.turn_today",
        Role.DESTINATION,
        When.BACK,
        Kind.TIME,
        "one call of each of them on the one cold budget, for events of today",
        Unit.SECONDS,
        first_calls_s,
        "relays that hold something / calls that it can take cold",
        RATE_CONTROL,
        budgets.DEADLINE_TODAY,
        ASSIGN,
    ),
    Formula(
        "destination.warm",
        Role.DESTINATION,
        When.BACK,
        Kind.TIME,
        "until what waited is gone, warm",
        Unit.SECONDS,
        lambda m: waiting(m) / (calls_s(m) * (m.assume("headroom") - 1))
        if m.assume("headroom") > 1
        else math.inf,
        "events that wait / (calls x (headroom - 1))",
        RATE_CONTROL,
        budgets.DEADLINE,
    ),
    Formula(
        "destination.learned",
        Role.DESTINATION,
        When.BACK,
        Kind.OUT,
        "calls a relay made there during the outage, by its own share",
        Unit.COUNT,
        lambda m: m.assume("outage_s") / call_interval_s(m),
        "an outage / time between two calls",
        RATE_CONTROL,
        step=ASSIGN,
    ),
    Formula(
        "destination.zone",
        Role.DESTINATION,
        When.ZONE,
        Kind.STATE,
        "destinations whose endpoints go at once",
        Unit.COUNT,
        lambda m: m.assume("storm"),
        "entries that change at once",
        PLANNER,
    ),
    Formula(
        "destination.apart",
        Role.DESTINATION,
        When.APART,
        Kind.STATE,
        "events that wait for one in the other region",
        Unit.COUNT,
        lambda m: calls_s(m) * m.size.failures.regions_apart_s * (1 - 1 / m.size.fleet.regions),
        "calls x time apart x share from other regions",
        JOURNAL,
    ),
    Formula(
        "destination.drain",
        Role.DESTINATION,
        When.DRAIN,
        Kind.IN,
        "calls while a full backlog drains",
        Unit.EACH_S,
        lambda m: calls_s(m) * m.assume("headroom"),
        "calls x headroom",
        RATE_CONTROL,
    ),
]
