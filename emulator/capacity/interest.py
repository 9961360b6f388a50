"""What the directory by interest costs a relay: by slopes of its decisions, and as a real relay was run
beside keepers of all destinations."""

from __future__ import annotations

from functools import partial

from . import budgets as b
from .rows import Formula, Kind, Reckoner, Role, Unit, Unmeasured, When
from .steps import ASSIGN, READING
from .terms import in_use, listeners, shards_in_use


def digest_bytes(m: Reckoner) -> float:
    """Of the keepers that one reader hears. Asks and answers are in what the real relay took."""
    return m.assume("keepers_a_reader") * m.part("shards.digests.bytes_s", listeners(m)) / listeners(m)


def read_memory(m: Reckoner, every: bool = False) -> float:
    """The shards, and what directory and decisions keep of the destinations in use."""
    return m.part("shards.reader.memory_bytes", shards_in_use(m, every)) + m.part(
        "directory.list.memory_bytes", in_use(m, every)
    )


def of_budget(m: Reckoner, size: str, when: str, cost: str) -> float:
    """What a real relay beside keepers of all destinations took, less one without keepers."""
    without = m.fact(f"shards.budget.without.{cost}")
    return max(0.0, m.fact(f"shards.budget.{size}_in_use.{when}.{cost}") - without)


def read_core(m: Reckoner) -> float:
    """Of a real relay with 1,000 destinations in use."""
    try:
        return real_core(m, "1000", "plan")
    except Unmeasured as error:
        m.lacks.append(str(error))
        return 0.0


def real_bytes(m: Reckoner, size: str, when: str) -> float:
    return m.fact(f"shards.budget.{size}_in_use.{when}.bytes_s")


def real_core(m: Reckoner, size: str, when: str) -> float:
    return of_budget(m, size, when, "core_percent") / 100


def beside_keepers(size: str, words: str) -> list[Formula]:
    """The rows of a real relay with so many destinations in use."""
    found = []
    for when, at, said in (
        ("plan", When.CHANGES, "at the plan's changes"),
        ("plan_x_100", When.STORM, "at 100 times the plan's changes"),
    ):
        found += [
            Formula(
                f"relay.real_{size}_{when}_bytes",
                Role.CONTROL,
                at,
                Kind.IN,
                f"sent and received by a real relay, {words} in use, {said}",
                Unit.RATE,
                partial(real_bytes, size=size, when=when),
                "as run",
                READING,
                b.BYTES,
                ASSIGN,
            ),
            Formula(
                f"relay.real_{size}_{when}_processor",
                Role.CONTROL,
                at,
                Kind.PROCESSOR,
                f"of a real relay more than without keepers, {words} in use, {said}",
                Unit.CORE,
                partial(real_core, size=size, when=when),
                "as run, less as run without",
                READING,
                b.CORE,
                ASSIGN,
            ),
        ]
    return [
        *found,
        Formula(
            f"relay.real_{size}_memory",
            Role.CONTROL,
            When.HOUR,
            Kind.MEMORY,
            f"of a real relay more than without keepers, {words} in use",
            Unit.BYTES,
            lambda m: of_budget(m, size, "plan", "rss_mb") * b.MB,
            "as run, less as run without",
            READING,
            b.MORE,
            ASSIGN,
        ),
    ]


INTERESTED = [
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
        READING,
        b.BYTES,
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
        READING,
        b.MEMORY,
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
        READING,
        b.MEMORY,
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
        READING,
        b.START,
    ),
    Formula(
        "relay.digest_bytes",
        Role.CONTROL,
        When.REST,
        Kind.IN,
        "digests of its keepers",
        Unit.RATE,
        lambda m: m.assume("keepers_a_reader") * m.at("shards.digests.bytes_s", listeners(m)) / listeners(m),
        "keepers that it hears x bytes to so many readers / readers",
        READING,
        b.BYTES,
    ),
    *beside_keepers("1000", "1,000 destinations"),
    *beside_keepers("10000", "10,000 destinations"),
    Formula(
        "relay.real_storm",
        Role.CONTROL,
        When.STORM,
        Kind.TIME,
        "72,000 changes within 30 s, until the real relay has followed",
        Unit.SECONDS,
        lambda m: m.fact("shards.budget.storm.the_relay_follows_after_s"),
        "as run",
        READING,
        b.FORCE,
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
        READING,
        b.FORCE,
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
        READING,
        b.FORCE,
    ),
]
