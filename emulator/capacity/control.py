"""What a relay spends on control: held against the operators' budget of processor, memory and bytes."""

from __future__ import annotations

from . import budgets as b
from .interest import INTERESTED, digest_bytes, read_core, read_memory
from .rows import Formula, Kind, Reckoner, Role, Unit, When
from .steps import ASSIGN, CAP, COUNTING, INTEREST, LAYERS, PARTS, READING
from .terms import (
    DAY_S,
    changes_s,
    entry_bytes,
    members,
    needed,
    of_rack,
    of_zone,
    renewals_s,
    stretch,
    told_of,
)

HOST = "linnetstile/core/host.py"
LIST, REGISTER = "linnetstile/core/directory.py", "linnetstile/http/register.py"
AGENT = "linnetstile/http/agent.py"
SWIM, HOLDING = "linnetstile/peers/swim.py", "linnetstile/accord/holding.py"
RULES = "linnetstile/accord/rules.py"


def renewal_bytes(m: Reckoner) -> float:
    """A renewal to each voter and its answer."""
    return renewals_s(m) * m.assume("voters") * m.part("accord.renewal.bytes", m.size.fleet.relays)


def renewal_core(m: Reckoner) -> float:
    """What a voter spends on a renewal stands for what its relay does, who packs it and reads the answer."""
    return renewals_s(m) * m.assume("voters") * m.part("accord.renewal.cpu_us", m.size.fleet.relays)


def report_bytes(m: Reckoner) -> float:
    return m.assume("voters") / m.assume("window_s") * m.part("evidence.report.bytes", told_of(m))


def report_core(m: Reckoner) -> float:
    return m.part("evidence.tell.cpu_ms", told_of(m)) / m.assume("window_s")


def change_core(m: Reckoner) -> float:
    return changes_s(m) * m.part("directory.change.cpu_ms", m.size.fleet.destinations)


def total_memory(m: Reckoner, directory: float) -> float:
    return directory + members(m) * m.part("peers.members.memory_bytes", members(m))


def total_bytes(m: Reckoner, directory: float) -> float:
    """Sent and received. What one sends of membership it receives too, on average."""
    return directory + 2 * m.part("peers.members.bytes_s", members(m)) + renewal_bytes(m)


def total_core(m: Reckoner, directory: float) -> float:
    return directory + m.part("peers.members.cpu_ms_s", members(m)) + renewal_core(m)


RELAY_CONTROL = [
    Formula("relay.directory_memory", Role.CONTROL, When.REST, Kind.MEMORY,
            "the whole list, in directory and decisions", Unit.BYTES,
            lambda m: m.at("directory.list.memory_bytes", m.size.fleet.destinations),
            "memory at so many destinations", LIST, b.MEMORY, INTEREST),
    Formula("relay.directory_answer", Role.CONTROL, When.REST, Kind.IN, "the whole list in one answer",
            Unit.BYTES,
            lambda m: m.at("directory.list.json_bytes", m.size.fleet.destinations),
            "JSON of so many destinations", AGENT, b.ANSWER, INTEREST),
    Formula("relay.directory_turn", Role.CONTROL, When.REST, Kind.TIME,
            "the whole list in one turn of the loop",
            Unit.SECONDS, lambda m: m.at("directory.list.turn_ms", m.size.fleet.destinations),
            "longest turn at so many destinations", REGISTER, b.TURN, INTEREST),
    Formula("relay.directory_peak", Role.CONTROL, When.REST, Kind.MEMORY, "the whole list while it is taken",
            Unit.BYTES, lambda m: m.at("directory.list.peak_bytes", m.size.fleet.destinations),
            "most memory at so many destinations", AGENT, b.MEMORY, INTEREST),
    Formula("relay.sweep", Role.CONTROL, When.REST, Kind.PROCESSOR,
            "a look at all destinations, once a second",
            Unit.CORE, lambda m: m.at("directory.sweep.cpu_ms", m.size.fleet.destinations),
            "processor time at so many destinations", HOST, b.CORE, INTEREST),
    Formula("relay.sweep_turn", Role.CONTROL, When.REST, Kind.TIME,
            "a look at all destinations, in one turn of the loop", Unit.SECONDS,
            lambda m: m.at("directory.sweep.cpu_ms", m.size.fleet.destinations),
            "processor time at so many destinations", HOST, b.TURN, INTEREST),
    Formula("relay.directory_change", Role.CONTROL, When.CHANGES, Kind.PROCESSOR, "one change of the list",
            Unit.SECONDS, lambda m: m.at("directory.change.cpu_ms", m.size.fleet.destinations),
            "processor time at so many destinations", LIST, b.TURN),
    Formula("relay.directory_changes", Role.CONTROL, When.CHANGES, Kind.IN, "a day's changes of the list",
            Unit.RATE, lambda m: changes_s(m) * entry_bytes(m), "changes x bytes of an entry", REGISTER,
            b.BYTES),
    Formula("relay.storm_bytes", Role.CONTROL, When.STORM, Kind.IN,
            "whole storm, within the time to be in force",
            Unit.RATE, lambda m: m.assume("storm") * entry_bytes(m) / m.size.changes.force_s,
            "entries x bytes of an entry / time to be in force", REGISTER, b.BYTES, INTEREST),
    Formula("relay.storm_processor", Role.CONTROL, When.STORM, Kind.TIME, "taking the whole storm in",
            Unit.SECONDS,
            lambda m: m.assume("storm")
            * m.at("directory.change.cpu_ms", m.size.fleet.destinations),
            "entries x processor time of a change", LIST, b.FORCE, INTEREST),
    *INTERESTED,
    Formula("relay.members", Role.CONTROL, When.REST, Kind.STATE, "members known", Unit.COUNT, members,
            "relays + machines of control", SWIM, b.MEMBERS, CAP),
    Formula("relay.members_memory", Role.CONTROL, When.REST, Kind.MEMORY, "members", Unit.BYTES,
            lambda m: members(m) * m.at("peers.members.memory_bytes", members(m)), "members x memory of each",
            SWIM, b.MEMORY, LAYERS),
    Formula("relay.members_bytes", Role.CONTROL, When.REST, Kind.OUT, "membership, sent and received",
            Unit.RATE,
            lambda m: 2 * m.at("peers.members.bytes_s", members(m)), "2 x bytes sent by one among so many",
            SWIM, b.BYTES, LAYERS),
    Formula("relay.members_datagrams", Role.CONTROL, When.REST, Kind.OUT, "datagrams of membership",
            Unit.EACH_S,
            lambda m: m.at("peers.members.datagrams_s", members(m)), "datagrams of one among so many",
            SWIM),
    Formula("relay.members_processor", Role.CONTROL, When.REST, Kind.PROCESSOR, "membership", Unit.CORE,
            lambda m: m.at("peers.members.cpu_ms_s", members(m)),
            "processor time of one among so many",
            SWIM, b.CORE, LAYERS),
    Formula("relay.members_start", Role.CONTROL, When.BACK, Kind.PROCESSOR,
            "first words when all start together", Unit.SECONDS,
            lambda m: m.at("peers.start.cpu_ms", members(m)),
            "processor time of one among so many",
            SWIM, step=LAYERS),
    Formula("relay.members_start_bytes", Role.CONTROL, When.BACK, Kind.IN,
            "first words when all start together", Unit.BYTES,
            lambda m: m.at("peers.start.bytes", members(m)), "bytes of one among so many", SWIM,
            step=LAYERS),
    Formula("relay.members_start_s", Role.CONTROL, When.BACK, Kind.TIME,
            "until all know all, when all start together", Unit.SECONDS,
            lambda m: m.at("peers.start.seconds", members(m)),
            "time among so many, without the processor's",
            SWIM, b.FORCE, LAYERS),
    Formula("relay.renewals", Role.CONTROL, When.REST, Kind.OUT, "renewals to the voters", Unit.EACH_S,
            lambda m: renewals_s(m) * m.assume("voters"), "renewals of a lease x voters", HOLDING),
    Formula("relay.renewal_bytes", Role.CONTROL, When.REST, Kind.OUT, "renewals and their answers", Unit.RATE,
            lambda m: renewals_s(m) * m.assume("voters")
            * m.at("accord.renewal.bytes", m.size.fleet.relays),
            "renewals x bytes of one", HOLDING, b.BYTES),
    Formula("relay.report_bytes", Role.CONTROL, When.HOUR, Kind.OUT, "evidence to the voters", Unit.RATE,
            lambda m: m.assume("voters") / m.assume("window_s")
            * m.at("evidence.report.bytes", told_of(m)),
            "voters x bytes of a window's reports", COUNTING, b.BYTES, ASSIGN),
    Formula("relay.report_cells", Role.CONTROL, When.HOUR, Kind.STATE, "destinations called in a window",
            Unit.COUNT, lambda m: needed(m, m.assume("window_s")),
            "destinations x (1 - e^-(window / time between two calls))", COUNTING, b.CELLS_OF, ASSIGN),
    Formula("relay.rules_bytes", Role.CONTROL, When.CHANGES, Kind.IN,
            "each change as a version of rules with a rate for each destination", Unit.RATE,
            lambda m: changes_s(m) * m.at("accord.rules.bytes", m.size.fleet.destinations),
            "changes x bytes of a version", RULES, b.BYTES, PARTS),
    Formula("relay.rules_processor", Role.CONTROL, When.CHANGES, Kind.PROCESSOR,
            "each change as a version of rules with a rate for each destination", Unit.CORE,
            lambda m: changes_s(m) * m.at("accord.rules.relay_cpu_ms", m.size.fleet.destinations),
            "changes x processor time of a version", RULES, b.CORE, PARTS),
    Formula("relay.control_memory", Role.CONTROL, When.REST, Kind.MEMORY, "all of control, whole list",
            Unit.BYTES,
            lambda m: total_memory(
                m, m.part("directory.list.memory_bytes", m.size.fleet.destinations)),
            "whole list + members", LIST, b.MEMORY, INTEREST),
    Formula("relay.control_memory_shards", Role.CONTROL, When.HOUR, Kind.MEMORY,
            "all of control, with keepers",
            Unit.BYTES, lambda m: total_memory(m, read_memory(m)), "shards in use + members", READING,
            b.MEMORY, LAYERS),
    Formula("relay.control_bytes", Role.CONTROL, When.HOUR, Kind.OUT, "all of control, whole list", Unit.RATE,
            lambda m: report_bytes(m) + total_bytes(
                m, changes_s(m) * m.part("directory.list.json_bytes", m.size.fleet.destinations)
                / m.size.fleet.destinations),
            "changes + membership + renewals + evidence", SWIM, b.BYTES, LAYERS),
    Formula("relay.control_bytes_shards", Role.CONTROL, When.HOUR, Kind.OUT, "all of control, with keepers",
            Unit.RATE,
            lambda m: total_bytes(m, digest_bytes(m)), "digests + membership + renewals",
            READING, b.BYTES, LAYERS),
    Formula("relay.control_processor", Role.CONTROL, When.HOUR, Kind.PROCESSOR, "all of control, whole list",
            Unit.CORE,
            lambda m: report_core(m) + total_core(m, change_core(m)),
            "changes + membership + renewals + evidence", SWIM,
            b.CORE, LAYERS),
    Formula("relay.control_processor_shards", Role.CONTROL, When.HOUR, Kind.PROCESSOR,
            "all of control, with keepers",
            Unit.CORE, lambda m: total_core(m, read_core(m)), "shards in use + membership + renewals",
            READING, b.CORE, LAYERS),
    Formula("relay.day_changes", Role.CONTROL, When.DAY, Kind.IN, "members that go and come back",
            Unit.EACH_S,
            lambda m: 2 * (m.size.failures.restarts_a_day
                           + m.size.failures.machines_a_day * m.assume("relays_a_machine")) / DAY_S,
            "2 x (restarts + machines that fail x relays of one) / day", SWIM),
    Formula("relay.machine_members", Role.CONTROL, When.MACHINE, Kind.STATE, "members gone at once",
            Unit.COUNT,
            lambda m: m.assume("relays_a_machine"), "relays of a machine", SWIM),
    Formula("relay.rack_members", Role.CONTROL, When.RACK, Kind.STATE, "members gone at once", Unit.COUNT,
            of_rack,
            "relays of a machine x machines of a rack", SWIM),
    Formula("relay.rack_year", Role.CONTROL, When.RACK, Kind.STATE, "relays lost with racks in a year",
            Unit.COUNT,
            lambda m: 365 / m.size.failures.rack_days * of_rack(m), "racks of a year x relays of one", SWIM),
    Formula("relay.zone_year", Role.CONTROL, When.ZONE, Kind.STATE, "relays lost with zones in a year",
            Unit.COUNT,
            lambda m: m.size.failures.zones_a_year * of_zone(m), "zones of a year x relays of one", SWIM),
    Formula("relay.zone_members", Role.CONTROL, When.ZONE, Kind.STATE, "members gone at once", Unit.COUNT,
            of_zone,
            "relays / zones", SWIM),
    Formula("relay.apart_members", Role.CONTROL, When.APART, Kind.STATE,
            "relays on the side without a majority: a horizon, then the floor", Unit.COUNT,
            lambda m: m.size.fleet.relays / m.size.fleet.regions, "relays / regions", HOLDING),
    Formula("relay.force_p99", Role.CONTROL, When.CHANGES, Kind.TIME,
            "a change, until 99% of the hollow instances act, periods stretched", Unit.SECONDS,
            lambda m: m.fact("hollow.change_p99_s"), "as run", HOLDING, b.FORCE),
    Formula("relay.force", Role.CONTROL, When.CHANGES, Kind.TIME,
            "a change, until the last hollow instance acts, periods stretched", Unit.SECONDS,
            lambda m: m.fact("hollow.change_most_s"), "as run", HOLDING, b.FORCE),
    Formula("relay.force_usual", Role.CONTROL, When.CHANGES, Kind.TIME,
            "a change, until the last hollow instance acts, usual periods", Unit.SECONDS,
            lambda m: m.fact("hollow.change_most_s") / stretch(m), "as run / stretch", HOLDING,
            b.FORCE),
    Formula("relay.force_storm", Role.CONTROL, When.STORM, Kind.TIME,
            "20 changes in a minute, until the last hollow instance acts, periods stretched", Unit.SECONDS,
            lambda m: m.fact("hollow.changes_20_most_s"), "as run", HOLDING, b.FORCE),
    Formula("relay.hollow_bytes", Role.CONTROL, When.REST, Kind.OUT,
            "sent and received by a hollow instance, usual periods", Unit.RATE,
            lambda m: stretch(m) * (m.at("hollow.bytes_s", m.size.fleet.relays)
                                                  + m.at("hollow.bytes_in_s", m.size.fleet.relays)),
            "as run among so many x stretch", SWIM, b.BYTES, LAYERS),
    Formula("relay.hollow_datagrams", Role.CONTROL, When.REST, Kind.OUT,
            "datagrams sent and received by a hollow instance, usual periods", Unit.EACH_S,
            lambda m: stretch(m) * (m.at("hollow.datagrams_s", m.size.fleet.relays)
                                    + m.at("hollow.datagrams_in_s", m.size.fleet.relays)),
            "as run among so many x stretch", SWIM, step=LAYERS),
    Formula("relay.hollow_processor", Role.CONTROL, When.REST, Kind.PROCESSOR,
            "of a hollow instance, usual periods", Unit.CORE,
            lambda m: stretch(m) * m.at("hollow.cpu_share", m.size.fleet.relays),
            "as run among so many x stretch, at most", SWIM, b.CORE, LAYERS),
    Formula("relay.hollow_memory", Role.CONTROL, When.REST, Kind.MEMORY, "of a hollow instance", Unit.BYTES,
            lambda m: m.at("hollow.memory_bytes", m.size.fleet.relays), "as run among so many", SWIM,
            b.MEMORY,
            LAYERS),
    Formula("relay.hollow_return", Role.CONTROL, When.BACK, Kind.TIME,
            "200 that end at once and come back, until all act, periods stretched", Unit.SECONDS,
            lambda m: m.fact("hollow.return_200_s"), "as run", SWIM),
    Formula("relay.hollow_zone", Role.CONTROL, When.ZONE, Kind.TIME,
            "a zone's hollow instances come back, until all act, periods stretched", Unit.SECONDS,
            lambda m: m.fact("hollow.zone_s"), "as run", SWIM),
    Formula("relay.hollow_zone_usual", Role.CONTROL, When.ZONE, Kind.TIME,
            "a zone's hollow instances come back, until all act, usual periods", Unit.SECONDS,
            lambda m: m.fact("hollow.zone_s") / stretch(m), "as run / stretch", SWIM, b.START),
    Formula("relay.hollow_frozen", Role.CONTROL, When.MACHINE, Kind.TIME,
            "hundreds of hollow instances stand still for 10 s, until all act again, periods stretched",
            Unit.SECONDS, lambda m: m.fact("hollow.frozen_acts_s"), "as run", SWIM),
    Formula("relay.hollow_wrong", Role.CONTROL, When.MACHINE, Kind.STATE,
            "others held for dead meanwhile, though they live", Unit.COUNT,
            lambda m: m.fact("hollow.frozen_wrong_deaths"), "as run", SWIM),
    Formula("relay.caps_instances", Role.CONTROL, When.REST, Kind.STATE, "instances of one file", Unit.COUNT,
            members,
            "relays + machines of control", "linnetstile/fleet/operator.py", b.INSTANCES, CAP),
]
