"""A size to design for, as a file (TOML): the operators' words, and beside them what had to be assumed.

Checked as a whole, as the operator's file is: each fault is told with its field's path and what would be
right.
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
MOST = 1e15  # of any figure: beyond it is a slip of the keyboard, or infinity
Positive = Annotated[float, Meta(gt=0, le=MOST)]
NotNegative = Annotated[float, Meta(ge=0, le=MOST)]
Number = Annotated[int, Meta(ge=1, le=10**9)]
Share = Annotated[float, Meta(gt=0, le=1)]


class SizeError(ValueError):
    """The file can't be used; each of its lines tells one fault."""


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


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
    """What a relay may spend on anything but messages, and how many machines are set aside for that."""

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
    """deploy/sizes/two-years.toml says of each what it is."""

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
    """A figure that was reckoned by hand, for the row of that name."""

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
    """Raises SizeError with all faults of the file, a line each."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SizeError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # not TOML, or not text
        raise SizeError(f"{path}: {error}") from error
    return decoded(raw, str(path))


def decoded(raw: Mapping[str, Any], where: str) -> Size:
    found = [MISSING.sub(r"\1\2: is missing", fault) for fault in faults(raw, Size, "")]
    if not found:
        size = msgspec.convert(raw, Size)
        found = list(contradictions(size))
    if found:
        raise SizeError("\n".join(f"{where}: {fault}" for fault in found))
    return size


def contradictions(size: Size) -> list[str]:
    """What no field alone shows."""
    fleet, assumed, found = size.fleet, size.assumed, []
    if assumed.shards & (assumed.shards - 1):
        less = 1 << assumed.shards.bit_length() - 1
        found.append(f"assumed.shards: {assumed.shards}: must be a power of two: {less} or {2 * less}")
    most = {
        "fleet.zones": (fleet.zones, fleet.relays, "fleet.relays"),
        "fleet.regions": (fleet.regions, fleet.zones, "fleet.zones"),
        "assumed.voters": (assumed.voters, size.control.machines, "control.machines"),
        "assumed.keepers": (assumed.keepers, size.control.machines, "control.machines"),
        "assumed.keepers_a_reader": (assumed.keepers_a_reader, assumed.keepers, "assumed.keepers"),
        "assumed.storm": (assumed.storm, fleet.destinations, "fleet.destinations"),
        "assumed.in_use": (assumed.in_use, assumed.in_use_most, "assumed.in_use_most"),
        "assumed.relays_a_machine": (assumed.relays_a_machine, fleet.relays, "fleet.relays"),
    }
    found += [
        f"{name}: {value:g}: must be {limit:g} or less ({of})"
        for name, (value, limit, of) in most.items()
        if value > limit
    ]
    if assumed.voters % 2 == 0:
        found.append(f"assumed.voters: {assumed.voters}: must be odd: {assumed.voters - 1} outlive as many")
    return found
