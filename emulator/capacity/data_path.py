"""What a relay's data path costs: taking, holding and delivering events."""

from __future__ import annotations

import math

from message_relay.consensus.lease_protocol import LeaseTerms

from . import budgets as b
from .rows import Formula, Kind, Reckoner, Role, Unit, When
from .steps import (
    ASSIGN,
    BACKLOG,
    ENDINGS,
    JOURNAL,
    KEEPING_OPEN,
    MESSAGES,
    PLANNER,
    RECOVERY,
)
from .terms import again_s, in_use, needed, of_rack, of_zone, rate

MEASURED_BODY = 300  # bytes, of each measure of the store: benchmarks/capacity/store.py
HORIZON_S = LeaseTerms().horizon_s  # as deploy/relay.toml has it
CONTROL, STATE = "message_relay/decisions/scheduler.py", "message_relay/decisions/pending.py"


def backlog(m: Reckoner) -> float:
    return m.size.fleet.backlog / m.size.fleet.relays


def held(m: Reckoner) -> float:
    """By Little's law: those under way, and those that wait for destinations that are down, half an outage
    each."""
    waits = min(m.assume("deadline_s"), m.assume("outage_s") / 2)
    return rate(m) * (m.assume("latency_s") + m.size.fleet.down * waits)


def busy(m: Reckoner, relays: float, waiting: float) -> float:
    """Of a core, with so many relays left and so many messages held."""
    return m.size.fleet.events_s / relays * m.at("relay.message.cpu_ms", waiting)


def left(m: Reckoner, gone: float) -> float:
    return max(1.0, m.size.fleet.relays - gone)


def unkept(m: Reckoner) -> float:
    """Share of calls that find no connection still open."""
    return math.exp(-m.assume("idle_s") / again_s(m))


def bodies(m: Reckoner, count: float) -> float:
    """What so many bodies take beyond those that were measured; less where they are smaller."""
    return count * (m.assume("body_bytes") - MEASURED_BODY)


def held_memory(m: Reckoner, count: float) -> float:
    return max(
        0.0,
        m.at("decisions.held.memory_bytes", count)
        + m.at("store.start.memory_bytes", count)
        + bodies(m, count),
    )


def drains_s(m: Reckoner, spare: float) -> float:
    """With this share of the ordinary rate to spare."""
    return backlog(m) / (rate(m) * spare) if spare > 0 else math.inf


def processor_spare(m: Reckoner) -> float:
    core, cost = m.assume("process_core"), m.at("relay.message.cpu_ms", backlog(m))
    return core / cost / rate(m) - 1 if cost else math.inf


def expired(m: Reckoner, deadline_s: float) -> float:
    """Share of the backlog that is older than this when it begins to drain. Oldest first an event's age only
    falls from there on, since it is drained faster than it came."""
    gathered = m.size.fleet.backlog / m.size.fleet.events_s
    return max(0.0, 1 - deadline_s / gathered) if gathered else 0.0


DATA = [
    Formula(
        "relay.events",
        Role.DATA,
        When.HOUR,
        Kind.IN,
        "events of a relay",
        Unit.EACH_S,
        rate,
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
        held,
        "events x (latency + share down x half an outage)",
        CONTROL,
    ),
    Formula(
        "relay.processor",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "taking and delivering",
        Unit.CORE,
        lambda m: busy(m, m.size.fleet.relays, held(m)),
        "events x processor time of one",
        MESSAGES,
        b.PROCESS,
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
        CONTROL,
        b.TURN,
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
        CONTROL,
        b.TURN,
        ASSIGN,
    ),
    Formula(
        "relay.decisions",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "the decisions' part, destinations in use",
        Unit.CORE,
        lambda m: rate(m) * m.at("decisions.message.cpu_us", in_use(m)),
        "events x processor time of one at so many destinations",
        CONTROL,
        b.PROCESS,
    ),
    Formula(
        "relay.decisions_all",
        Role.DATA,
        When.HOUR,
        Kind.PROCESSOR,
        "the decisions' part, clients spread evenly",
        Unit.CORE,
        lambda m: rate(m) * m.at("decisions.message.cpu_us", in_use(m, True)),
        "events x processor time of one at so many destinations",
        CONTROL,
        b.PROCESS,
        ASSIGN,
    ),
    Formula(
        "relay.held_memory",
        Role.DATA,
        When.HOUR,
        Kind.MEMORY,
        "events held",
        Unit.BYTES,
        lambda m: held_memory(m, held(m)),
        "held x (in the decisions + in the journal's memory)",
        STATE,
        b.DATA_MEMORY,
    ),
    Formula(
        "relay.journal_bytes",
        Role.DATA,
        When.HOUR,
        Kind.DISK,
        "written to the journal",
        Unit.RATE,
        lambda m: rate(m) * m.at("store.message.disk_bytes", held(m)),
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
        lambda m: rate(m) * m.at("store.message.cpu_us", held(m)),
        "events x processor time of one",
        JOURNAL,
        b.PROCESS,
    ),
    Formula(
        "relay.call_again",
        Role.DATA,
        When.HOUR,
        Kind.OUT,
        "from a call to a destination to the next there",
        Unit.SECONDS,
        again_s,
        "relays x destinations / events a second",
        KEEPING_OPEN,
    ),
    Formula(
        "relay.unkept",
        Role.DATA,
        When.HOUR,
        Kind.OUT,
        "calls that find no connection open",
        Unit.SHARE,
        unkept,
        "e^-(idle time / time between two calls)",
        KEEPING_OPEN,
        step=ASSIGN,
    ),
    Formula(
        "relay.needed",
        Role.DATA,
        When.HOUR,
        Kind.STATE,
        "destinations called in an hour, clients spread evenly",
        Unit.COUNT,
        lambda m: needed(m, 3600),
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
        lambda m: busy(m, left(m, m.assume("relays_a_machine")), held(m)),
        "events x processor time of one, relays less a machine's",
        MESSAGES,
        b.PROCESS,
    ),
    Formula(
        "relay.rack",
        Role.DATA,
        When.RACK,
        Kind.PROCESSOR,
        "the others take its events",
        Unit.CORE,
        lambda m: busy(m, left(m, of_rack(m)), held(m)),
        "events x processor time of one, relays less a rack's",
        MESSAGES,
        b.PROCESS,
    ),
    Formula(
        "relay.zone",
        Role.DATA,
        When.ZONE,
        Kind.PROCESSOR,
        "the others take its events",
        Unit.CORE,
        lambda m: busy(m, left(m, of_zone(m)), held(m)),
        "events x processor time of one, relays less a zone's",
        PLANNER,
        b.PROCESS,
    ),
    Formula(
        "relay.apart",
        Role.DATA,
        When.APART,
        Kind.STATE,
        "events for the other region that wait",
        Unit.COUNT,
        lambda m: rate(m) * m.size.failures.regions_apart_s * (1 - 1 / m.size.fleet.regions),
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
        lambda m: rate(m) * m.size.changes.force_s * m.assume("storm") / m.size.fleet.destinations,
        "events x time to be in force x entries / destinations",
        CONTROL,
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
        CONTROL,
        b.DEADLINE,
    ),
    Formula(
        "relay.apart_floor",
        Role.DATA,
        When.APART,
        Kind.STATE,
        "events that gather at a relay on the side without a majority, where the floor is closed",
        Unit.COUNT,
        lambda m: rate(m) * max(0.0, m.size.failures.regions_apart_s - HORIZON_S),
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
        lambda m: held_memory(m, backlog(m)),
        "backlog x (in the decisions + in the journal's memory)",
        STATE,
        b.DATA_MEMORY,
        BACKLOG,
    ),
    Formula(
        "relay.backlog_disk",
        Role.DATA,
        When.DRAIN,
        Kind.DISK,
        "full backlog in the journal",
        Unit.BYTES,
        lambda m: max(0.0, m.at("store.start.disk_bytes", backlog(m)) + bodies(m, backlog(m))),
        "disk of so many records",
        JOURNAL,
        b.DATA_DISK,
    ),
    Formula(
        "relay.backlog_processor",
        Role.DATA,
        When.DRAIN,
        Kind.PROCESSOR,
        "taking and delivering beside it",
        Unit.CORE,
        lambda m: busy(m, m.size.fleet.relays, backlog(m)),
        "events x processor time of one with the backlog held",
        CONTROL,
        b.PROCESS,
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
        b.START,
        BACKLOG,
    ),
    Formula(
        "relay.start_hour",
        Role.DATA,
        When.DAY,
        Kind.TIME,
        "a start on what an ordinary hour holds",
        Unit.SECONDS,
        lambda m: m.at("store.start.cpu_ms", held(m)),
        "held x processor time of a record",
        RECOVERY,
        b.START,
    ),
    Formula(
        "relay.drain",
        Role.DATA,
        When.DRAIN,
        Kind.TIME,
        "until it is gone, by what destinations can take",
        Unit.SECONDS,
        lambda m: drains_s(m, m.assume("headroom") - 1),
        "backlog / (events x (headroom - 1))",
        CONTROL,
        b.DEADLINE,
    ),
    Formula(
        "relay.drain_processor",
        Role.DATA,
        When.DRAIN,
        Kind.TIME,
        "until it is gone, by what a relay's processor can",
        Unit.SECONDS,
        lambda m: drains_s(m, processor_spare(m)),
        "backlog / (share of a core / processor time of one - events)",
        CONTROL,
        b.DEADLINE,
    ),
    Formula(
        "relay.expired",
        Role.DATA,
        When.DRAIN,
        Kind.STATE,
        "of it out of time when it begins to drain",
        Unit.SHARE,
        lambda m: expired(m, m.assume("deadline_s")),
        "1 - time of an event / time in which it gathered",
        ENDINGS,
    ),
    Formula(
        "relay.expired_today",
        Role.DATA,
        When.DRAIN,
        Kind.STATE,
        "of it out of time, with the longest time of today",
        Unit.SHARE,
        lambda m: expired(m, m.assume("deadline_today_s")),
        "1 - time of an event / time in which it gathered",
        ENDINGS,
    ),
]
