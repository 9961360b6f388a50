"""Formulas for a shard server of the directory, one on each machine reserved for control."""

from __future__ import annotations

from . import budgets
from .budgets import ANSWERS_BYTES_S
from .rows import Calculation, Formula, Kind, Role, Unit, When
from .steps import ANSWERS, ASSIGN
from .terms import DAY_S, changes_s, clients_per_server, relays_per_rack, relays_per_zone, shards_in_use

SHARD_SERVER, SHARD_NODE = (
    "message_relay/sharded_directory/shard_server.py",
    "message_relay/sharded_directory/node.py",
)
SOURCE = "message_relay/sharded_directory/source.py"


def shard_bytes(m: Calculation) -> float:
    """Return the packed bytes of one full shard."""
    return m.assume("packed_bytes") * m.size.fleet.destinations / m.assume("shards")


def response_bytes(m: Calculation, readers: float, every: bool = False) -> float:
    """Return the bytes that one shard server sends so that `readers` clients get all their shards in use."""
    return readers * shards_in_use(m, every) * shard_bytes(m) / m.assume("keepers")


def serving_s(m: Calculation, readers: float, every: bool = False) -> float:
    return response_bytes(m, readers, every) / ANSWERS_BYTES_S


def digests_s(m: Calculation) -> float:
    return clients_per_server(m) / m.assume("digest_s")


SERVER = [
    Formula(
        "keeper.memory",
        Role.KEEPER,
        When.REST,
        Kind.MEMORY,
        "all destinations",
        Unit.BYTES,
        lambda m: m.at("shards.keeper.memory_bytes", m.size.fleet.destinations),
        "memory at so many destinations",
        SHARD_SERVER,
        budgets.MACHINE,
    ),
    Formula(
        "keeper.digests",
        Role.KEEPER,
        When.REST,
        Kind.OUT,
        "digests",
        Unit.EACH_S,
        digests_s,
        "relays x keepers that each asks / keepers / time between two",
        SHARD_NODE,
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
        SHARD_SERVER,
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
        SHARD_SERVER,
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
        budgets.START,
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
        budgets.TURN,
    ),
    Formula(
        "keeper.digest_bytes",
        Role.KEEPER,
        When.REST,
        Kind.OUT,
        "digests",
        Unit.RATE,
        lambda m: m.at("shards.digests.bytes_s", clients_per_server(m)),
        "bytes a second to so many readers",
        SHARD_NODE,
        budgets.LINK,
    ),
    Formula(
        "keeper.digest_processor",
        Role.KEEPER,
        When.REST,
        Kind.PROCESSOR,
        "digests, without sockets",
        Unit.CORE,
        lambda m: m.at("shards.digests.cpu_ms_s", clients_per_server(m)),
        "processor time for so many readers",
        SHARD_NODE,
        budgets.PROCESS,
    ),
    Formula(
        "keeper.changes",
        Role.KEEPER,
        When.CHANGES,
        Kind.PROCESSOR,
        "taking a day's changes in",
        Unit.CORE,
        lambda m: changes_s(m) * m.at("shards.change.cpu_us", clients_per_server(m)),
        "changes x processor time with so many readers",
        SHARD_SERVER,
        budgets.PROCESS,
    ),
    Formula(
        "keeper.storm_processor",
        Role.KEEPER,
        When.STORM,
        Kind.TIME,
        "taking the whole storm in",
        Unit.SECONDS,
        lambda m: m.assume("storm") * m.at("shards.change.cpu_us", clients_per_server(m)),
        "entries x processor time with so many readers",
        SHARD_SERVER,
        budgets.FORCE,
    ),
    Formula(
        "keeper.storm",
        Role.KEEPER,
        When.STORM,
        Kind.OUT,
        "whole storm to its readers within the time to be in force",
        Unit.RATE,
        lambda m: m.assume("storm")
        * clients_per_server(m)
        * m.at("shards.change.bytes", clients_per_server(m))
        / m.size.changes.force_s,
        "entries x readers x bytes of one to each / time to be in force",
        SHARD_NODE,
        budgets.ANSWERS,
        ANSWERS,
    ),
    Formula(
        "keeper.change_bytes",
        Role.KEEPER,
        When.CHANGES,
        Kind.OUT,
        "a day's changes to its readers",
        Unit.RATE,
        lambda m: changes_s(m) * clients_per_server(m) * m.at("shards.change.bytes", clients_per_server(m)),
        "changes x readers x bytes of one to each",
        SHARD_NODE,
        budgets.ANSWERS,
        ANSWERS,
    ),
    Formula(
        "keeper.real_memory",
        Role.KEEPER,
        When.REST,
        Kind.MEMORY,
        "of a real keeper of all destinations",
        Unit.BYTES,
        lambda m: m.fact("shards.budget.keeper.rss_mb") * budgets.MB,
        "as run",
        SHARD_SERVER,
        budgets.MACHINE,
    ),
    Formula(
        "keeper.restarts",
        Role.KEEPER,
        When.DAY,
        Kind.OUT,
        "shards to relays that begin anew",
        Unit.RATE,
        lambda m: response_bytes(m, m.size.failures.restarts_a_day) / DAY_S,
        "restarts x shards in use x bytes of one / keepers",
        SHARD_NODE,
        budgets.ANSWERS,
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
        SHARD_NODE,
        budgets.START,
        ANSWERS,
    ),
    Formula(
        "keeper.rack",
        Role.KEEPER,
        When.RACK,
        Kind.TIME,
        "a rack's relays ask for theirs anew",
        Unit.SECONDS,
        lambda m: serving_s(m, relays_per_rack(m)),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        SHARD_NODE,
        budgets.START,
        ANSWERS,
    ),
    Formula(
        "keeper.zone",
        Role.KEEPER,
        When.ZONE,
        Kind.TIME,
        "a zone's relays come back and ask for theirs",
        Unit.SECONDS,
        lambda m: serving_s(m, relays_per_zone(m)),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        SHARD_NODE,
        budgets.START,
        ANSWERS,
    ),
    Formula(
        "keeper.zone_all",
        Role.KEEPER,
        When.ZONE,
        Kind.TIME,
        "a zone's relays come back, clients spread evenly",
        Unit.SECONDS,
        lambda m: serving_s(m, relays_per_zone(m), True),
        "relays x shards in use x bytes of one / keepers / what a keeper answers",
        SHARD_NODE,
        budgets.START,
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
        SHARD_SERVER,
    ),
]
