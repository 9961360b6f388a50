"""What a keeper of the directory costs, one on each machine that is set aside for control."""

from __future__ import annotations

from . import budgets as b
from .budgets import ANSWERS_BYTES_S
from .rows import Formula, Kind, Reckoner, Role, Unit, When
from .steps import ANSWERS, ASSIGN
from .terms import DAY_S, changes_s, listeners, of_rack, of_zone, shards_in_use

KEEPING, NODE = "message_relay/sharded_directory/shard_server.py", "message_relay/sharded_directory/node.py"
SOURCE = "message_relay/sharded_directory/source.py"


def shard_bytes(m: Reckoner) -> float:
    """A whole shard, packed."""
    return m.assume("packed_bytes") * m.size.fleet.destinations / m.assume("shards")


def asked(m: Reckoner, readers: float, every: bool = False) -> float:
    """Bytes of all shards in use of so many readers, from one keeper of those there are."""
    return readers * shards_in_use(m, every) * shard_bytes(m) / m.assume("keepers")


def serving_s(m: Reckoner, readers: float, every: bool = False) -> float:
    return asked(m, readers, every) / ANSWERS_BYTES_S


def digests(m: Reckoner) -> float:
    return listeners(m) / m.assume("digest_s")


KEEPER = [
    Formula(
        "keeper.memory",
        Role.KEEPER,
        When.REST,
        Kind.MEMORY,
        "all destinations",
        Unit.BYTES,
        lambda m: m.at("shards.keeper.memory_bytes", m.size.fleet.destinations),
        "memory at so many destinations",
        KEEPING,
        b.MACHINE,
    ),
    Formula(
        "keeper.digests",
        Role.KEEPER,
        When.REST,
        Kind.OUT,
        "digests",
        Unit.EACH_S,
        digests,
        "relays x keepers that each asks / keepers / time between two",
        NODE,
    ),
    Formula(
        "keeper.shards",
        Role.KEEPER,
        When.HOUR,
        Kind.STATE,
        "shards that one reader holds",
        Unit.COUNT,
        shards_in_use,
        "shards with a destination in use",
        KEEPING,
    ),
    Formula(
        "keeper.shards_all",
        Role.KEEPER,
        When.HOUR,
        Kind.STATE,
        "shards that one reader holds, clients spread evenly",
        Unit.COUNT,
        lambda m: shards_in_use(m, True),
        "shards with a destination in use",
        KEEPING,
        step=ASSIGN,
    ),
    Formula(
        "keeper.list",
        Role.KEEPER,
        When.DAY,
        Kind.IN,
        "the whole list at its start",
        Unit.BYTES,
        lambda m: m.at("directory.list.json_bytes", m.size.fleet.destinations),
        "JSON of so many destinations",
        SOURCE,
    ),
    Formula(
        "keeper.load",
        Role.KEEPER,
        When.DAY,
        Kind.PROCESSOR,
        "reading the whole list at its start",
        Unit.SECONDS,
        lambda m: m.at("shards.keeper.load_cpu_ms", m.size.fleet.destinations),
        "processor time at so many destinations",
        SOURCE,
        b.START,
    ),
    Formula(
        "keeper.load_turn",
        Role.KEEPER,
        When.DAY,
        Kind.TIME,
        "longest turn of that",
        Unit.SECONDS,
        lambda m: m.at("shards.keeper.turn_ms", m.size.fleet.destinations),
        "longest turn at so many destinations",
        SOURCE,
        b.TURN,
    ),
    Formula(
        "keeper.digest_bytes",
        Role.KEEPER,
        When.REST,
        Kind.OUT,
        "digests",
        Unit.RATE,
        lambda m: m.at("shards.digests.bytes_s", listeners(m)),
        "bytes a second to so many readers",
        NODE,
        b.LINK,
    ),
    Formula(
        "keeper.digest_processor",
        Role.KEEPER,
        When.REST,
        Kind.PROCESSOR,
        "digests, without sockets",
        Unit.CORE,
        lambda m: m.at("shards.digests.cpu_ms_s", listeners(m)),
        "processor time for so many readers",
        NODE,
        b.PROCESS,
    ),
    Formula(
        "keeper.changes",
        Role.KEEPER,
        When.CHANGES,
        Kind.PROCESSOR,
        "taking a day's changes in",
        Unit.CORE,
        lambda m: changes_s(m) * m.at("shards.change.cpu_us", listeners(m)),
        "changes x processor time with so many readers",
        KEEPING,
        b.PROCESS,
    ),
    Formula(
        "keeper.storm_processor",
        Role.KEEPER,
        When.STORM,
        Kind.TIME,
        "taking the whole storm in",
        Unit.SECONDS,
        lambda m: m.assume("storm") * m.at("shards.change.cpu_us", listeners(m)),
        "entries x processor time with so many readers",
        KEEPING,
        b.FORCE,
    ),
    Formula(
        "keeper.storm",
        Role.KEEPER,
        When.STORM,
        Kind.OUT,
        "whole storm to its readers within the time to be in force",
        Unit.RATE,
        lambda m: m.assume("storm")
        * listeners(m)
        * m.at("shards.change.bytes", listeners(m))
        / m.size.changes.force_s,
        "entries x readers x bytes of one to each / time to be in force",
        NODE,
        b.ANSWERS,
        ANSWERS,
    ),
    Formula(
        "keeper.change_bytes",
        Role.KEEPER,
        When.CHANGES,
        Kind.OUT,
        "a day's changes to its readers",
        Unit.RATE,
        lambda m: changes_s(m) * listeners(m) * m.at("shards.change.bytes", listeners(m)),
        "changes x readers x bytes of one to each",
        NODE,
        b.ANSWERS,
        ANSWERS,
    ),
    Formula(
        "keeper.real_memory",
        Role.KEEPER,
        When.REST,
        Kind.MEMORY,
        "of a real keeper of all destinations",
        Unit.BYTES,
        lambda m: m.fact("shards.budget.keeper.rss_mb") * b.MB,
        "as run",
        KEEPING,
        b.MACHINE,
    ),
    Formula(
        "keeper.restarts",
        Role.KEEPER,
        When.DAY,
        Kind.OUT,
        "shards to relays that begin anew",
        Unit.RATE,
        lambda m: asked(m, m.size.failures.restarts_a_day) / DAY_S,
        "restarts x shards in use x bytes of one / keepers",
        NODE,
        b.ANSWERS,
        ANSWERS,
    ),
    Formula(
        "keeper.machine",
        Role.KEEPER,
        When.MACHINE,
        Kind.TIME,
        "a machine's relays ask for theirs anew",
        Unit.SECONDS,
        lambda m: serving_s(m, m.assume("relays_a_machine")),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        NODE,
        b.START,
        ANSWERS,
    ),
    Formula(
        "keeper.rack",
        Role.KEEPER,
        When.RACK,
        Kind.TIME,
        "a rack's relays ask for theirs anew",
        Unit.SECONDS,
        lambda m: serving_s(m, of_rack(m)),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        NODE,
        b.START,
        ANSWERS,
    ),
    Formula(
        "keeper.zone",
        Role.KEEPER,
        When.ZONE,
        Kind.TIME,
        "a zone's relays come back and ask for theirs",
        Unit.SECONDS,
        lambda m: serving_s(m, of_zone(m)),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        NODE,
        b.START,
        ANSWERS,
    ),
    Formula(
        "keeper.zone_all",
        Role.KEEPER,
        When.ZONE,
        Kind.TIME,
        "a zone's relays come back, clients spread evenly",
        Unit.SECONDS,
        lambda m: serving_s(m, of_zone(m), True),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        NODE,
        b.START,
        ASSIGN,
    ),
    Formula(
        "keeper.apart",
        Role.KEEPER,
        When.BACK,
        Kind.STATE,
        "changes that one side has missed",
        Unit.COUNT,
        lambda m: changes_s(m) * m.size.failures.regions_apart_s,
        "changes a second x time apart",
        KEEPING,
    ),
]
