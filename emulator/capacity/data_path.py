"""Formulas for the data path of a relay: accepting, storing and delivering events."""

from __future__ import annotations

import math

from message_relay.consensus.lease_protocol import LeaseTerms

from . import budgets
from .rows import Calculation, Formula, Kind, Role, Unit, When
from .steps import (
    ASSIGN,
    BACKLOG,
    EXPIRY,
    JOURNAL,
    KEEP_ALIVE,
    MESSAGE_LIFECYCLE,
    PLANNER,
    RECOVERY,
)
from .terms import call_interval_s, called_destinations, events_s, in_use, relays_per_rack, relays_per_zone

MEASURED_BODY = 300  # bytes of a body in all measures of benchmarks/capacity/store.py
HORIZON_S = LeaseTerms().horizon_s  # as in deploy/relay.toml
SCHEDULER, PENDING = "message_relay/decisions/scheduler.py", "message_relay/decisions/pending.py"


def backlog(m: Calculation) -> float:
    return m.size.fleet.backlog / m.size.fleet.relays


def pending_events(m: Calculation) -> float:
    """Return the pending events of a relay by Little's law: those in flight, and those that wait for
    destinations that are down, for half an outage on average."""
    waits = min(m.assume("deadline_s"), m.assume("outage_s") / 2)
    return events_s(m) * (m.assume("latency_s") + m.size.fleet.down * waits)


def core_share(m: Calculation, relays: float, waiting: float) -> float:
    """Return the share of a core with `relays` relays left and `waiting` messages pending."""
    return m.size.fleet.events_s / relays * m.at("relay.message.cpu_ms", waiting)


def remaining_relays(m: Calculation, lost: float) -> float:
    return max(1.0, m.size.fleet.relays - lost)


def new_connection_share(m: Calculation) -> float:
    """Return the share of calls that find no open connection."""
    return math.exp(-m.assume("idle_s") / call_interval_s(m))


def extra_body_bytes(m: Calculation, count: float) -> float:
    """Return the extra bytes of `count` bodies over the measured body size; negative if they are smaller."""
    return count * (m.assume("body_bytes") - MEASURED_BODY)


def pending_memory(m: Calculation, count: float) -> float:
    return max(
        0.0,
        m.at("decisions.held.memory_bytes", count)
        + m.at("store.start.memory_bytes", count)
        + extra_body_bytes(m, count),
    )


def drain_s(m: Calculation, spare: float) -> float:
    """Return the time to drain the backlog with this share of the ordinary rate to spare."""
    return backlog(m) / (events_s(m) * spare) if spare > 0 else math.inf


def processor_spare(m: Calculation) -> float:
    core, cost = m.assume("process_core"), m.at("relay.message.cpu_ms", backlog(m))
    return core / cost / events_s(m) - 1 if cost else math.inf


def expired_share(m: Calculation, deadline_s: float) -> float:
    """Return the share of the backlog that is older than the deadline when it begins to drain.

    The oldest event is sent first. From then on the age only falls, because the backlog drains faster than it
    arrived.
    """
    accumulation_s = m.size.fleet.backlog / m.size.fleet.events_s
    return max(0.0, 1 - deadline_s / accumulation_s) if accumulation_s else 0.0


DATA = [
    Formula(
        "relay.events",
        Role.DATA,
        When.HOUR,
        Kind.IN,
        "events of a relay",
        Unit.EACH_S,
        events_s,
        "events a second / relays",
        "message_relay/http/client_connection.py",
    ),
    Formula(
        "relay.held",
        Role.DATA,
        When.HOUR,
        Kind.STATE,
        "events held by a relay",
        Unit.COUNT,
        pending_events,
        "events x (latency + share down x half an outage)",
        SCHEDULER,
    ),
    Formula(
        "relay.processor",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "taking and delivering",
        Unit.CORE,
        lambda m: core_share(m, m.size.fleet.relays, pending_events(m)),
        "events x processor time of one",
        MESSAGE_LIFECYCLE,
        budgets.PROCESS,
    ),
    Formula(
        "relay.turn",
        Role.DATA,
        When.HOUR,
        Kind.TIME,
        "longest turn of the decisions, destinations in use",
        Unit.SECONDS,
        lambda m: m.at("decisions.message.turn_ms", in_use(m)),
        "longest turn at so many destinations",
        SCHEDULER,
        budgets.TURN,
    ),
    Formula(
        "relay.turn_all",
        Role.DATA,
        When.HOUR,
        Kind.TIME,
        "longest turn of the decisions, clients spread evenly",
        Unit.SECONDS,
        lambda m: m.at("decisions.message.turn_ms", in_use(m, True)),
        "longest turn at so many destinations",
        SCHEDULER,
        budgets.TURN,
        ASSIGN,
    ),
    Formula(
        "relay.decisions",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "the decisions' part, destinations in use",
        Unit.CORE,
        lambda m: events_s(m) * m.at("decisions.message.cpu_us", in_use(m)),
        "events x processor time of one at so many destinations",
        SCHEDULER,
        budgets.PROCESS,
    ),
    Formula(
        "relay.decisions_all",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "the decisions' part, clients spread evenly",
        Unit.CORE,
        lambda m: events_s(m) * m.at("decisions.message.cpu_us", in_use(m, True)),
        "events x processor time of one at so many destinations",
        SCHEDULER,
        budgets.PROCESS,
        ASSIGN,
    ),
    Formula(
        "relay.held_memory",
        Role.DATA,
        When.HOUR,
        Kind.MEMORY,
        "events held",
        Unit.BYTES,
        lambda m: pending_memory(m, pending_events(m)),
        "held x (in the decisions + in the journal's memory)",
        PENDING,
        budgets.DATA_MEMORY,
    ),
    Formula(
        "relay.journal_bytes",
        Role.DATA,
        When.HOUR,
        Kind.DISK,
        "written to the journal",
        Unit.RATE,
        lambda m: events_s(m) * m.at("store.message.disk_bytes", pending_events(m)),
        "events x bytes of one beside what is held",
        JOURNAL,
    ),
    Formula(
        "relay.journal_processor",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "the journal's part",
        Unit.CORE,
        lambda m: events_s(m) * m.at("store.message.cpu_us", pending_events(m)),
        "events x processor time of one",
        JOURNAL,
        budgets.PROCESS,
    ),
    Formula(
        "relay.call_again",
        Role.DATA,
        When.HOUR,
        Kind.OUT,
        "from a call to a destination to the next there",
        Unit.SECONDS,
        call_interval_s,
        "relays x destinations / events a second",
        KEEP_ALIVE,
    ),
    Formula(
        "relay.unkept",
        Role.DATA,
        When.HOUR,
        Kind.OUT,
        "calls that find no connection open",
        Unit.SHARE,
        new_connection_share,
        "e^-(idle time / time between two calls)",
        KEEP_ALIVE,
        step=ASSIGN,
    ),
    Formula(
        "relay.needed",
        Role.DATA,
        When.HOUR,
        Kind.STATE,
        "destinations called in an hour, clients spread evenly",
        Unit.COUNT,
        lambda m: called_destinations(m, 3600),
        "destinations x (1 - e^-(hour / time between two calls))",
        "missing",
        step=ASSIGN,
    ),
    Formula(
        "relay.machine",
        Role.DATA,
        When.MACHINE,
        Kind.PROCESSOR,
        "the others take its events",
        Unit.CORE,
        lambda m: core_share(m, remaining_relays(m, m.assume("relays_a_machine")), pending_events(m)),
        "events x processor time of one, relays less a machine's",
        MESSAGE_LIFECYCLE,
        budgets.PROCESS,
    ),
    Formula(
        "relay.rack",
        Role.DATA,
        When.RACK,
        Kind.PROCESSOR,
        "the others take its events",
        Unit.CORE,
        lambda m: core_share(m, remaining_relays(m, relays_per_rack(m)), pending_events(m)),
        "events x processor time of one, relays less a rack's",
        MESSAGE_LIFECYCLE,
        budgets.PROCESS,
    ),
    Formula(
        "relay.zone",
        Role.DATA,
        When.ZONE,
        Kind.PROCESSOR,
        "the others take its events",
        Unit.CORE,
        lambda m: core_share(m, remaining_relays(m, relays_per_zone(m)), pending_events(m)),
        "events x processor time of one, relays less a zone's",
        PLANNER,
        budgets.PROCESS,
    ),
    Formula(
        "relay.apart",
        Role.DATA,
        When.APART,
        Kind.STATE,
        "events for the other region that wait",
        Unit.COUNT,
        lambda m: events_s(m) * m.size.failures.regions_apart_s * (1 - 1 / m.size.fleet.regions),
        "events x time apart x share for other regions",
        JOURNAL,
        step=BACKLOG,
    ),
    Formula(
        "relay.storm_held",
        Role.DATA,
        When.STORM,
        Kind.STATE,
        "events that come for what has changed, until that is in force",
        Unit.COUNT,
        lambda m: events_s(m) * m.size.changes.force_s * m.assume("storm") / m.size.fleet.destinations,
        "events x time to be in force x entries / destinations",
        SCHEDULER,
    ),
    Formula(
        "relay.back",
        Role.DATA,
        When.BACK,
        Kind.TIME,
        "until the events for the other region are gone",
        Unit.SECONDS,
        lambda m: m.size.failures.regions_apart_s
        * (1 - 1 / m.size.fleet.regions)
        / (m.assume("headroom") - 1)
        if m.assume("headroom") > 1
        else math.inf,
        "time apart x share for other regions / (headroom - 1)",
        SCHEDULER,
        budgets.DEADLINE,
    ),
    Formula(
        "relay.apart_floor",
        Role.DATA,
        When.APART,
        Kind.STATE,
        "events that gather at a relay on the side without a majority, where the floor is closed",
        Unit.COUNT,
        lambda m: events_s(m) * max(0.0, m.size.failures.regions_apart_s - HORIZON_S),
        "events x (time apart - horizon)",
        "message_relay/consensus/lease_holder.py",
        step=BACKLOG,
    ),
    Formula(
        "relay.backlog",
        Role.DATA,
        When.DRAIN,
        Kind.STATE,
        "events held by a relay",
        Unit.COUNT,
        backlog,
        "backlog / relays",
        JOURNAL,
    ),
    Formula(
        "relay.backlog_memory",
        Role.DATA,
        When.DRAIN,
        Kind.MEMORY,
        "full backlog, held as today",
        Unit.BYTES,
        lambda m: pending_memory(m, backlog(m)),
        "backlog x (in the decisions + in the journal's memory)",
        PENDING,
        budgets.DATA_MEMORY,
        BACKLOG,
    ),
    Formula(
        "relay.backlog_disk",
        Role.DATA,
        When.DRAIN,
        Kind.DISK,
        "full backlog in the journal",
        Unit.BYTES,
        lambda m: max(0.0, m.at("store.start.disk_bytes", backlog(m)) + extra_body_bytes(m, backlog(m))),
        "disk of so many records",
        JOURNAL,
        budgets.DATA_DISK,
    ),
    Formula(
        "relay.backlog_processor",
        Role.DATA,
        When.DRAIN,
        Kind.PROCESSOR,
        "taking and delivering beside it",
        Unit.CORE,
        lambda m: core_share(m, m.size.fleet.relays, backlog(m)),
        "events x processor time of one with the backlog held",
        SCHEDULER,
        budgets.PROCESS,
        BACKLOG,
    ),
    Formula(
        "relay.start",
        Role.DATA,
        When.DRAIN,
        Kind.TIME,
        "a start on the full backlog",
        Unit.SECONDS,
        lambda m: m.at("store.start.cpu_ms", backlog(m)),
        "backlog x processor time of a record",
        RECOVERY,
        budgets.START,
        BACKLOG,
    ),
    Formula(
        "relay.start_hour",
        Role.DATA,
        When.DAY,
        Kind.TIME,
        "a start on what an ordinary hour holds",
        Unit.SECONDS,
        lambda m: m.at("store.start.cpu_ms", pending_events(m)),
        "held x processor time of a record",
        RECOVERY,
        budgets.START,
    ),
    Formula(
        "relay.drain",
        Role.DATA,
        When.DRAIN,
        Kind.TIME,
        "until it is gone, by what destinations can take",
        Unit.SECONDS,
        lambda m: drain_s(m, m.assume("headroom") - 1),
        "backlog / (events x (headroom - 1))",
        SCHEDULER,
        budgets.DEADLINE,
    ),
    Formula(
        "relay.drain_processor",
        Role.DATA,
        When.DRAIN,
        Kind.TIME,
        "until it is gone, by what a relay's processor can",
        Unit.SECONDS,
        lambda m: drain_s(m, processor_spare(m)),
        "backlog / (share of a core / processor time of one - events)",
        SCHEDULER,
        budgets.DEADLINE,
    ),
    Formula(
        "relay.expired",
        Role.DATA,
        When.DRAIN,
        Kind.STATE,
        "of it out of time when it begins to drain",
        Unit.SHARE,
        lambda m: expired_share(m, m.assume("deadline_s")),
        "1 - time of an event / time in which it gathered",
        EXPIRY,
    ),
    Formula(
        "relay.expired_today",
        Role.DATA,
        When.DRAIN,
        Kind.STATE,
        "of it out of time, with the longest time of today",
        Unit.SHARE,
        lambda m: expired_share(m, m.assume("deadline_today_s")),
        "1 - time of an event / time in which it gathered",
        EXPIRY,
    ),
]
