"""Formulas for the sharded directory in a relay: from slopes of its decisions, and from runs of a real relay
with shard servers that hold all destinations."""

from __future__ import annotations

from functools import partial

from . import budgets
from .rows import Calculation, Formula, Kind, Role, Unit, Unmeasured, When
from .steps import ASSIGN, SHARD_CLIENT_FILE
from .terms import clients_per_server, in_use, shards_in_use


def digest_bytes(m: Calculation) -> float:
    """Return the bytes a second of digests from the shard servers of one client.

    Requests and responses are included in the figures of the real relay.
    """
    return (
        m.assume("keepers_a_reader")
        * m.part("shards.digests.bytes_s", clients_per_server(m))
        / clients_per_server(m)
    )


def client_memory(m: Calculation, every: bool = False) -> float:
    """Return the memory of the shards, and of directory and decisions for the destinations in use."""
    return m.part("shards.reader.memory_bytes", shards_in_use(m, every)) + m.part(
        "directory.list.memory_bytes", in_use(m, every)
    )


def extra_cost(m: Calculation, size: str, when: str, cost: str) -> float:
    """Return the cost of a real relay with shard servers of all destinations, less that of one without."""
    without = m.fact(f"shards.budget.without.{cost}")
    return max(0.0, m.fact(f"shards.budget.{size}_in_use.{when}.{cost}") - without)


def client_core(m: Calculation) -> float:
    """Return the processor time of a real relay with 1,000 destinations in use."""
    try:
        return real_core(m, "1000", "plan")
    except Unmeasured as error:
        m.lacks.append(str(error))
        return 0.0


def real_bytes(m: Calculation, size: str, when: str) -> float:
    return m.fact(f"shards.budget.{size}_in_use.{when}.bytes_s")


def real_core(m: Calculation, size: str, when: str) -> float:
    return extra_cost(m, size, when, "core_percent") / 100


def real_relay_formulas(size: str, text: str) -> list[Formula]:
    """Return the formulas of a real relay with this number of destinations in use."""
    formulas = []
    for when, event, description in (
        ("plan", When.CHANGES, "at the plan's changes"),
        ("plan_x_100", When.STORM, "at 100 times the plan's changes"),
    ):
        formulas += [
            Formula(
                f"relay.real_{size}_{when}_bytes",
                Role.CONTROL,
                event,
                Kind.IN,
                f"sent and received by a real relay, {text} in use, {description}",
                Unit.RATE,
                partial(real_bytes, size=size, when=when),
                "as run",
                SHARD_CLIENT_FILE,
                budgets.BYTES,
                ASSIGN,
            ),
            Formula(
                f"relay.real_{size}_{when}_processor",
                Role.CONTROL,
                event,
                Kind.PROCESSOR,
                f"of a real relay more than without keepers, {text} in use, {description}",
                Unit.CORE,
                partial(real_core, size=size, when=when),
                "as run, less as run without",
                SHARD_CLIENT_FILE,
                budgets.CORE,
                ASSIGN,
            ),
        ]
    return [
        *formulas,
        Formula(
            f"relay.real_{size}_memory",
            Role.CONTROL,
            When.HOUR,
            Kind.MEMORY,
            f"of a real relay more than without keepers, {text} in use",
            Unit.BYTES,
            lambda m: extra_cost(m, size, "plan", "rss_mb") * budgets.MB,
            "as run, less as run without",
            SHARD_CLIENT_FILE,
            budgets.MORE,
            ASSIGN,
        ),
    ]


SHARD_CLIENT = [
    Formula(
        "relay.storm_in_use",
        Role.CONTROL,
        When.STORM,
        Kind.IN,
        "a storm's part in the shards that it holds, within the time to be in force",
        Unit.RATE,
        lambda m: m.assume("storm")
        * shards_in_use(m)
        / m.assume("shards")
        * m.assume("packed_bytes")
        / m.size.changes.force_s,
        "entries x share of the shards x packed bytes of one / time to be in force",
        SHARD_CLIENT_FILE,
        budgets.BYTES,
        ASSIGN,
    ),
    Formula(
        "relay.reader_memory",
        Role.CONTROL,
        When.HOUR,
        Kind.MEMORY,
        "shards of the destinations in use",
        Unit.BYTES,
        lambda m: m.at("shards.reader.memory_bytes", shards_in_use(m))
        + m.at("directory.list.memory_bytes", in_use(m)),
        "memory at so many shards + directory and decisions at so many in use",
        SHARD_CLIENT_FILE,
        budgets.MEMORY,
    ),
    Formula(
        "relay.reader_memory_all",
        Role.CONTROL,
        When.HOUR,
        Kind.MEMORY,
        "shards where clients spread evenly",
        Unit.BYTES,
        lambda m: m.at("shards.reader.memory_bytes", shards_in_use(m, True))
        + m.at("directory.list.memory_bytes", in_use(m, True)),
        "memory at so many shards + directory and decisions at so many in use",
        SHARD_CLIENT_FILE,
        budgets.MEMORY,
        ASSIGN,
    ),
    Formula(
        "relay.reader_start",
        Role.CONTROL,
        When.BACK,
        Kind.PROCESSOR,
        "taking in the shards that it holds, after a restart",
        Unit.SECONDS,
        lambda m: m.at("shards.reader.cpu_ms", shards_in_use(m)),
        "processor time at so many shards",
        SHARD_CLIENT_FILE,
        budgets.START,
    ),
    Formula(
        "relay.digest_bytes",
        Role.CONTROL,
        When.REST,
        Kind.IN,
        "digests of its keepers",
        Unit.RATE,
        lambda m: m.assume("keepers_a_reader")
        * m.at("shards.digests.bytes_s", clients_per_server(m))
        / clients_per_server(m),
        "keepers that it hears x bytes to so many readers / readers",
        SHARD_CLIENT_FILE,
        budgets.BYTES,
    ),
    *real_relay_formulas("1000", "1,000 destinations"),
    *real_relay_formulas("10000", "10,000 destinations"),
    Formula(
        "relay.real_storm",
        Role.CONTROL,
        When.STORM,
        Kind.TIME,
        "72,000 changes within 30 s, until the real relay has followed",
        Unit.SECONDS,
        lambda m: m.fact("shards.budget.storm.the_relay_follows_after_s"),
        "as run",
        SHARD_CLIENT_FILE,
        budgets.FORCE,
    ),
    Formula(
        "relay.real_force",
        Role.CONTROL,
        When.CHANGES,
        Kind.TIME,
        "a move, until the last call by the older entry, worst of the plays with faults",
        Unit.SECONDS,
        lambda m: m.worst("shards.", ".force_most_s"),
        "as run",
        SHARD_CLIENT_FILE,
        budgets.FORCE,
    ),
    Formula(
        "relay.real_force_p99",
        Role.CONTROL,
        When.CHANGES,
        Kind.TIME,
        "a move, until the last call by the older entry, worst p99 of the plays",
        Unit.SECONDS,
        lambda m: m.worst("shards.", ".force_p99_s"),
        "as run",
        SHARD_CLIENT_FILE,
        budgets.FORCE,
    ),
]
