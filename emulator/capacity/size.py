"""Reads a size to design for from a TOML file: the operators' figures, and the assumptions beside them.

The whole file is checked, like the operator's file. Each fault is reported with the path of its field and the
values that are allowed.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from message_relay.consensus.settings import MAX_VOTERS
from message_relay.fleet.operator import faults

MISSING = re.compile(r"^(.*?)Object missing required field `(.+?)`.*$")
MAX_FIGURE = 1e15  # maximum of any figure: a larger one is a typing error or infinity
Positive = Annotated[float, Meta(gt=0, le=MAX_FIGURE)]
NotNegative = Annotated[float, Meta(ge=0, le=MAX_FIGURE)]
Number = Annotated[int, Meta(ge=1, le=10**9)]
Share = Annotated[float, Meta(gt=0, le=1)]


class SizeError(ValueError):
    """The file can't be used. Each line of the text describes one fault."""


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the tables of the file; rejects unknown fields."""


class FleetSize(Strict, frozen=True):
    relays: Number
    events_s: Positive
    destinations: Number
    down: Annotated[float, Meta(ge=0, lt=1)]
    backlog: NotNegative
    regions: Number
    zones: Number


class Changes(Strict, frozen=True):
    a_day: NotNegative
    force_s: Positive


class Control(Strict, frozen=True):
    """Limits of a relay for everything except messages, and the number of machines reserved for control."""

    core: Share
    memory_mb: Positive
    kb_s: Positive
    machines: Number


class Failures(Strict, frozen=True):
    machines_a_day: NotNegative
    restarts_a_day: NotNegative
    rack_days: Positive
    zones_a_year: NotNegative
    regions_apart_s: NotNegative


class Assumed(Strict, frozen=True):
    """Assumptions; deploy/sizes/two-years.toml describes each field."""

    relays_a_machine: Number
    machines_a_rack: Number
    machine_memory_mb: Positive
    link_mb_s: Positive
    process_core: Share
    voters: Annotated[int, Meta(ge=1, le=MAX_VOTERS)]
    bound_s: Positive
    window_s: Positive
    keepers: Number
    keepers_a_reader: Number
    shards: Number
    digest_s: Positive
    packed_bytes: Positive
    body_bytes: NotNegative
    in_use: Share
    in_use_most: Share
    storm: Number
    latency_s: Positive
    outage_s: Positive
    deadline_s: Positive
    deadline_today_s: Positive
    headroom: Positive
    cold_share: Share
    idle_s: NotNegative
    connections: Number
    start_s: Positive
    turn_s: Positive
    data_memory_mb: Positive
    data_disk_mb: Positive
    supervisor_core: Share
    supervisor_memory_mb: Positive
    command_s: Positive
    command_memory_mb: Positive


class Paper(Strict, frozen=True):
    """A figure computed by hand, for the row of that name."""

    row: Annotated[str, Meta(min_length=1, max_length=100)]
    figure: NotNegative


class Size(Strict, frozen=True):
    name: Annotated[str, Meta(min_length=1, max_length=100)]
    fleet: FleetSize
    changes: Changes
    control: Control
    failures: Failures
    assumed: Assumed
    paper: list[Paper] = []


def read(path: Path) -> Size:
    """Read a size file. Raises SizeError with all faults of the file, one per line."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SizeError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # not TOML, or not text
        raise SizeError(f"{path}: {error}") from error
    return decoded(raw, str(path))


def decoded(raw: Mapping[str, Any], where: str) -> Size:
    problems = [MISSING.sub(r"\1\2: is missing", fault) for fault in faults(raw, Size, "")]
    if not problems:
        size = msgspec.convert(raw, Size)
        problems = list(contradictions(size))
    if problems:
        raise SizeError("\n".join(f"{where}: {fault}" for fault in problems))
    return size


def contradictions(size: Size) -> list[str]:
    """Return the faults that involve several fields."""
    fleet, assumed, problems = size.fleet, size.assumed, []
    if assumed.shards & (assumed.shards - 1):
        lower = 1 << assumed.shards.bit_length() - 1
        problems.append(f"assumed.shards: {assumed.shards}: must be a power of two: {lower} or {2 * lower}")
    limits = {
        "fleet.zones": (fleet.zones, fleet.relays, "fleet.relays"),
        "fleet.regions": (fleet.regions, fleet.zones, "fleet.zones"),
        "assumed.voters": (assumed.voters, size.control.machines, "control.machines"),
        "assumed.keepers": (assumed.keepers, size.control.machines, "control.machines"),
        "assumed.keepers_a_reader": (assumed.keepers_a_reader, assumed.keepers, "assumed.keepers"),
        "assumed.storm": (assumed.storm, fleet.destinations, "fleet.destinations"),
        "assumed.in_use": (assumed.in_use, assumed.in_use_most, "assumed.in_use_most"),
        "assumed.relays_a_machine": (assumed.relays_a_machine, fleet.relays, "fleet.relays"),
    }
    problems += [
        f"{name}: {value:g}: must be {limit:g} or less ({source})"
        for name, (value, limit, source) in limits.items()
        if value > limit
    ]
    if assumed.voters % 2 == 0:
        problems.append(
            f"assumed.voters: {assumed.voters}: must be odd: {assumed.voters - 1} outlive as many"
        )
    return problems
