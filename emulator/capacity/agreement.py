"""What a voter, the leader of the log and the decider of plans cost: one process each, on a machine that is
set aside for control."""

from __future__ import annotations

import math

from linnetstile.failover.evidence import CELLS

from . import budgets as b
from .rows import Formula, Kind, Reckoner, Role, Unit, When
from .steps import ASSIGN, BESIDE, CAP, COUNTING, LAYERS, PARTS, PLANNER
from .terms import DAY_S, changes_s, datagrams_s, members, needed, renewals_s, stretch, told_of

GRANTING, RULES = "linnetstile/accord/granting.py", "linnetstile/accord/rules.py"
NODE, LOG = "linnetstile/accord/node.py", "linnetstile/accord/log.py"
HEARTBEAT_S, ELECTION_S = 0.15, 1.2  # as accord/log.py has them, which needs the extra `fleet`
DECIDES = "linnetstile/failover/decider.py"
FAILOVER = "linnetstile/failover/node.py"


def renewing(m: Reckoner, relays: float) -> float:
    """Processor time of so many relays' renewals at one voter."""
    return relays * renewals_s(m) * m.at("accord.renewal.cpu_us", m.size.fleet.relays)


def reported(m: Reckoner) -> float:
    return m.size.fleet.relays / m.assume("window_s")


def version_bytes(m: Reckoner) -> float:
    return m.at("accord.rules.bytes", m.size.fleet.destinations)


def voting(m: Reckoner) -> float:
    """All of one voter's process but the log."""
    relays = m.size.fleet.relays
    return (relays * renewals_s(m) * m.part("accord.renewal.cpu_us", relays)
            + reported(m) * m.part("evidence.report.cpu_ms", told_of(m))
            + m.part("peers.members.cpu_ms_s", members(m)))


VOTER = [
    Formula("voter.relays", Role.VOTER, When.REST, Kind.STATE, "relays it keeps a record of", Unit.COUNT,
            lambda m: float(m.size.fleet.relays), "relays", GRANTING, b.GRANTED, CAP),
    Formula("voter.renewals", Role.VOTER, When.REST, Kind.IN, "renewals, and as many answers out",
            Unit.EACH_S,
            datagrams_s, "relays x renewals of a lease", NODE, step=LAYERS),
    Formula("voter.answers", Role.VOTER, When.REST, Kind.OUT, "answers to renewals", Unit.EACH_S, datagrams_s,
            "as many as renewals", NODE, step=LAYERS),
    Formula("voter.memory", Role.VOTER, When.REST, Kind.MEMORY, "records of relays", Unit.BYTES,
            lambda m: m.size.fleet.relays * m.at("accord.renewal.memory_bytes", m.size.fleet.relays),
            "relays x memory of one",
            GRANTING, b.MACHINE),
    Formula("voter.disk", Role.VOTER, When.CHANGES, Kind.DISK, "versions written to its log", Unit.RATE,
            lambda m: changes_s(m) * version_bytes(m), "changes x bytes of a version",
            "linnetstile/accord/disk.py", step=PARTS),
    Formula("voter.lost", Role.VOTER, When.ZONE, Kind.STATE, "voters lost, if they are spread over the zones",
            Unit.COUNT, lambda m: float(math.ceil(m.assume("voters") / m.size.fleet.zones)),
            "voters / zones, rounded up", LOG, b.LOST),
    Formula("voter.side", Role.VOTER, When.APART, Kind.STATE, "voters on the side with fewer", Unit.COUNT,
            lambda m: float(m.assume("voters") // m.size.fleet.regions), "voters / regions, rounded down",
            LOG),
    Formula("voter.renewal_bytes", Role.VOTER, When.REST, Kind.IN, "renewals and their answers", Unit.RATE,
            lambda m: datagrams_s(m) * m.at("accord.renewal.bytes", m.size.fleet.relays),
            "renewals x bytes of one", NODE, b.LINK, LAYERS),
    Formula("voter.processor", Role.VOTER, When.REST, Kind.PROCESSOR, "renewals", Unit.CORE,
            lambda m: renewing(m, m.size.fleet.relays), "renewals x processor time of one", GRANTING,
            b.PROCESS,
            LAYERS),
    Formula("voter.clear", Role.VOTER, When.CHANGES, Kind.TIME, "clearing a version, in one turn",
            Unit.SECONDS,
            lambda m: m.at("accord.clear.cpu_ms", m.size.fleet.relays),
            "processor time at so many relays",
            GRANTING, b.TURN, LAYERS),
    Formula("voter.clear_day", Role.VOTER, When.CHANGES, Kind.PROCESSOR, "clearing a day's versions",
            Unit.CORE,
            lambda m: changes_s(m) * m.at("accord.clear.cpu_ms", m.size.fleet.relays),
            "changes x processor time at so many relays", GRANTING, b.PROCESS),
    Formula("voter.evidence", Role.VOTER, When.HOUR, Kind.IN, "reports", Unit.RATE,
            lambda m: reported(m) * m.at("evidence.report.bytes", told_of(m)),
            "relays x bytes of a window's reports", COUNTING, b.LINK, ASSIGN),
    Formula("voter.evidence_relays", Role.VOTER, When.HOUR, Kind.STATE, "relays whose reports it keeps",
            Unit.COUNT,
            lambda m: float(m.size.fleet.relays), "relays", COUNTING, b.EVIDENCE, CAP),
    Formula("voter.evidence_processor", Role.VOTER, When.HOUR, Kind.PROCESSOR, "taking reports in", Unit.CORE,
            lambda m: reported(m) * m.at("evidence.report.cpu_ms", told_of(m)),
            "relays x processor time of a window's reports", COUNTING, b.PROCESS, LAYERS),
    Formula("voter.all", Role.VOTER, When.HOUR, Kind.PROCESSOR, "renewals, evidence and membership",
            Unit.CORE,
            voting, "renewals + evidence + membership of one among so many", NODE, b.PROCESS, LAYERS),
    Formula("voter.waiting", Role.VOTER, When.APART, Kind.PROCESSOR,
            "renewals while a version waits for relays that are cut off", Unit.CORE,
            lambda m: datagrams_s(m) * m.at("accord.renewal.waiting_cpu_us", m.size.fleet.relays),
            "renewals x processor time of one meanwhile", GRANTING, b.PROCESS, LAYERS),
    Formula("voter.news", Role.VOTER, When.HOUR, Kind.TIME, "looking for reports to pass on, in one turn",
            Unit.SECONDS, lambda m: m.at("evidence.sum.news_cpu_ms", m.size.fleet.relays),
            "processor time at so many relays", COUNTING, b.TURN, LAYERS),
    Formula("voter.number", Role.VOTER, When.REST, Kind.STATE, "highest number of an instance that votes",
            Unit.COUNT,
            lambda m: float(m.size.fleet.relays + m.size.control.machines - 1),
            "relays + machines of control - 1", "linnetstile/accord/settings.py", b.NUMBERS, CAP),
    Formula("voter.zone", Role.VOTER, When.BACK, Kind.PROCESSOR, "a zone's relays renew beside the others'",
            Unit.CORE, lambda m: renewing(m, m.size.fleet.relays), "as at rest: a renewal costs the same",
            GRANTING, b.PROCESS, LAYERS),
    Formula("voter.hollow_processor", Role.VOTER, When.REST, Kind.PROCESSOR,
            "of a real voter of the hollow fleet, usual periods", Unit.CORE,
            lambda m: stretch(m) * m.at("hollow.voter_cpu_share", m.size.fleet.relays),
            "as run among so many x stretch, at most", NODE, b.PROCESS, LAYERS),
    Formula("voter.hollow_datagrams", Role.VOTER, When.REST, Kind.IN,
            "datagrams of a real voter of the hollow fleet, usual periods", Unit.EACH_S,
            lambda m: stretch(m) * m.at("hollow.voter_datagrams_in_s", m.size.fleet.relays),
            "as run among so many x stretch", NODE, step=LAYERS),
    Formula("voter.hollow_bytes", Role.VOTER, When.REST, Kind.IN,
            "sent and received by a real voter of the hollow fleet, usual periods", Unit.RATE,
            lambda m: stretch(m) * (m.at("hollow.voter_bytes_s", m.size.fleet.relays)
                                                  + m.at("hollow.voter_bytes_in_s", m.size.fleet.relays)),
            "as run among so many x stretch", NODE, b.LINK, LAYERS),
    Formula("voter.hollow_memory", Role.VOTER, When.REST, Kind.MEMORY,
            "of a real voter of the hollow fleet", Unit.BYTES,
            lambda m: m.at("hollow.voter_memory_bytes", m.size.fleet.relays), "as run among so many", NODE,
            b.MACHINE),
    Formula("voter.seed", Role.VOTER, When.BACK, Kind.TIME,
            "words to all as a seed, when all start together, link full", Unit.SECONDS,
            lambda m: m.at("peers.start.seed_bytes", members(m)) / (m.assume("link_mb_s") * b.MB),
            "bytes of a seed among so many / link", "linnetstile/peers/swim.py", b.FORCE, LAYERS),
    Formula("voter.apart", Role.VOTER, When.APART, Kind.IN, "renewals on one side", Unit.EACH_S,
            lambda m: datagrams_s(m) / m.size.fleet.regions, "renewals / regions", NODE),
    Formula("voter.restarts", Role.VOTER, When.DAY, Kind.IN, "relays that begin anew", Unit.EACH_S,
            lambda m: m.size.failures.restarts_a_day / DAY_S, "restarts / day", GRANTING),
]

def missed(m: Reckoner) -> float:
    """Versions while the regions are apart."""
    return changes_s(m) * m.size.failures.regions_apart_s


LEADER = [
    Formula("leader.names", Role.LEADER, When.CHANGES, Kind.STATE, "destinations that rules would name",
            Unit.COUNT, lambda m: float(m.size.fleet.destinations), "destinations", RULES, b.NAMED, PARTS),
    Formula("leader.heartbeats", Role.LEADER, When.REST, Kind.OUT, "heartbeats", Unit.EACH_S,
            lambda m: (m.assume("voters") - 1) / HEARTBEAT_S, "other voters / time between two", LOG),
    Formula("leader.lost", Role.LEADER, When.MACHINE, Kind.TIME, "its machine: until another leads, at most",
            Unit.SECONDS, lambda m: HEARTBEAT_S + ELECTION_S,
            "a heartbeat + the longest wait for an election", LOG,
            b.FORCE),
    Formula("leader.missed", Role.LEADER, When.APART, Kind.STATE, "versions that one side does not hear of",
            Unit.COUNT, missed, "changes a second x time apart", LOG),
    Formula("leader.back", Role.LEADER, When.BACK, Kind.TIME,
            "all versions that were missed, out to one region, links full", Unit.SECONDS,
            lambda m: missed(m) * version_bytes(m) * m.size.fleet.relays / m.size.fleet.regions
            / m.assume("voters") / (m.assume("link_mb_s") * b.MB),
            "versions missed x bytes of one x relays / regions / voters / link", NODE, b.FORCE, PARTS),
    Formula("leader.version", Role.LEADER, When.CHANGES, Kind.STATE,
            "a version with a rate for each destination", Unit.BYTES, version_bytes,
            "bytes of a version at so many destinations", RULES, step=PARTS),
    Formula("leader.version_turn", Role.LEADER, When.CHANGES, Kind.TIME, "checking and packing a version",
            Unit.SECONDS, lambda m: m.at("accord.rules.voter_cpu_ms", m.size.fleet.destinations),
            "processor time of a version at so many destinations", RULES, b.TURN, PARTS),
    Formula("leader.log", Role.LEADER, When.CHANGES, Kind.OUT, "versions to the other voters", Unit.RATE,
            lambda m: changes_s(m) * version_bytes(m) * (m.assume("voters") - 1),
            "changes x bytes of a version x other voters", LOG, b.LINK, PARTS),
    Formula("leader.all", Role.LEADER, When.CHANGES, Kind.OUT,
            "versions to all relays, shared by the voters", Unit.RATE,
            lambda m: changes_s(m) * version_bytes(m) * m.size.fleet.relays / m.assume("voters"),
            "changes x bytes of a version x relays / voters", NODE, b.LINK, PARTS),
    Formula("leader.one", Role.LEADER, When.CHANGES, Kind.TIME, "one version out to all relays, links full",
            Unit.SECONDS,
            lambda m: version_bytes(m) * m.size.fleet.relays / m.assume("voters")
            / (m.assume("link_mb_s") * b.MB),
            "bytes of a version x relays / voters / link", NODE, b.FORCE, PARTS),
]

DECIDER = [
    Formula("decider.destinations", Role.DECIDER, When.HOUR, Kind.STATE, "destinations called in a window",
            Unit.COUNT,
            lambda m: min(float(m.size.fleet.destinations), m.size.fleet.events_s * m.assume("window_s")),
            "the fewer of destinations and calls", DECIDES, step=PARTS),
    Formula("decider.named", Role.DECIDER, When.HOUR, Kind.STATE,
            "calls of a window that get no cell of their own",
            Unit.SHARE, lambda m: max(0.0, 1 - CELLS / needed(m, m.assume("window_s"))),
            "1 - cells of a report / destinations called", COUNTING, step=ASSIGN),
    Formula("decider.reports", Role.DECIDER, When.HOUR, Kind.IN, "reports of all relays", Unit.RATE,
            lambda m: reported(m) * m.at("evidence.report.bytes", told_of(m)),
            "relays x bytes of a window's reports", COUNTING, b.LINK, ASSIGN),
    Formula("decider.look", Role.DECIDER, When.HOUR, Kind.TIME, "its look at a window, in one turn",
            Unit.SECONDS, lambda m: m.at("evidence.sum.look_cpu_ms", m.size.fleet.relays),
            "processor time at so many relays, 20 destinations of each", DECIDES, b.TURN, PARTS),
    Formula("decider.first", Role.DECIDER, When.MACHINE, Kind.TIME, "a new leader's first look, in one turn",
            Unit.SECONDS, lambda m: m.at("evidence.sum.first_look_cpu_ms", m.size.fleet.relays),
            "processor time at so many relays, 20 destinations of each", DECIDES, b.TURN, PARTS),
    Formula("decider.keepers", Role.DECIDER, When.HOUR, Kind.STATE,
            "destinations that plans need to know beside keepers", Unit.COUNT,
            lambda m: float(m.size.fleet.destinations), "destinations", "missing", step=BESIDE),
    Formula("decider.rooms", Role.DECIDER, When.HOUR, Kind.TIME, "going through the list once a window",
            Unit.SECONDS, lambda m: m.at("failover.rooms.cpu_ms", m.size.fleet.destinations),
            "processor time at so many destinations", FAILOVER, b.TURN, PARTS),
    Formula("decider.plan", Role.DECIDER, When.ZONE, Kind.TIME, "one plan of one destination, solved",
            Unit.SECONDS, lambda m: m.at("planner.zones.solved_cpu_ms", m.size.fleet.zones),
            "processor time at so many zones", "linnetstile/failover/solver.py", b.WINDOW),
    Formula("decider.greedy", Role.DECIDER, When.ZONE, Kind.TIME,
            "one plan of one destination, the greedy way",
            Unit.SECONDS, lambda m: m.at("planner.zones.greedy_cpu_ms", m.size.fleet.zones),
            "processor time at so many zones", PLANNER, b.WINDOW),
    Formula("decider.plans", Role.DECIDER, When.ZONE, Kind.TIME, "plans for all that a zone's loss changes",
            Unit.SECONDS, lambda m: m.at("planner.plan.cpu_ms", m.assume("storm")),
            "processor time at so many destinations, the greedy way past the solver's time", FAILOVER,
            b.FORCE,
            PARTS),
]
