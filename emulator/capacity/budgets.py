"""Budgets for figures: requirements of the operators, assumptions, and caps of the code."""

from __future__ import annotations

import msgspec

from message_relay.consensus.lease_grantor import MAX_RELAYS
from message_relay.consensus.rules import MAX_DESTINATIONS
from message_relay.consensus.settings import ConsensusSettings
from message_relay.failover.observations import MAX_REPORTING_RELAYS, MAX_SAMPLES
from message_relay.fleet.operator import FleetSection
from message_relay.gossip.swim import MEMBERS_MAX
from message_relay.http.agent import ANSWER_BYTES

from .rows import Budget

MB, KB = 1e6, 1e3
ANSWERS_BYTES_S = (
    4e6  # of one shard server; copied from sharded_directory/shard_server.py, which needs the extra `fleet`
)
MORE_MB = 64.0  # extra memory of a relay with shard servers, beside 256 MB for all of control


def field_maximum(shape: type[msgspec.Struct], name: str) -> float:
    """Return the maximum of a field of the operator's file (of each item for a list), or infinity."""
    info = msgspec.inspect.type_info(shape)
    assert isinstance(info, msgspec.inspect.StructType)
    kind = next(each.type for each in info.fields if each.name == name)
    if isinstance(kind, msgspec.inspect.VarTupleType):
        kind = kind.item_type
    maximum = kind.le if isinstance(kind, msgspec.inspect.IntType) else None
    return float("inf") if maximum is None else float(maximum)


# Requirements of the operators.
CORE = Budget("asked: of a core, for control", lambda size: size.control.core)
MEMORY = Budget("asked: for control", lambda size: size.control.memory_mb * MB)
BYTES = Budget("asked: for control", lambda size: size.control.kb_s * KB)
MORE = Budget("asked: more than without keepers", lambda size: MORE_MB * MB)
FORCE = Budget("asked: in force everywhere", lambda size: size.changes.force_s)

# Assumptions about the deployment.
PROCESS = Budget("assumed: one process", lambda size: size.assumed.process_core)
DATA_MEMORY = Budget("assumed: for messages", lambda size: size.assumed.data_memory_mb * MB)
DATA_DISK = Budget("assumed: for the journal", lambda size: size.assumed.data_disk_mb * MB)
START = Budget("assumed: back after a restart", lambda size: size.assumed.start_s)
TURN = Budget("assumed: one turn of the loop", lambda size: size.assumed.turn_s)
WINDOW = Budget("assumed: one window", lambda size: size.assumed.window_s)
LEASE = Budget("assumed: accord.bound_s", lambda size: size.assumed.bound_s)
MACHINE = Budget("assumed: one machine of control", lambda size: size.assumed.machine_memory_mb * MB)
ANSWERS = Budget("cap: BYTES_S of a keeper", lambda size: ANSWERS_BYTES_S)
LINK = Budget("assumed: its link", lambda size: size.assumed.link_mb_s * MB)
SUPERVISOR_CORE = Budget("assumed", lambda size: size.assumed.supervisor_core)
SUPERVISOR_MEMORY = Budget("assumed", lambda size: size.assumed.supervisor_memory_mb * MB)
COMMAND = Budget("assumed: until it has answered", lambda size: size.assumed.command_s)
COMMAND_MEMORY = Budget("assumed", lambda size: size.assumed.command_memory_mb * MB)
LOST = Budget("assumed: a majority of the voters is left", lambda size: (size.assumed.voters - 1) // 2)
CONNECTIONS = Budget("assumed: places of a destination", lambda size: size.assumed.connections)
DEADLINE = Budget("assumed: an event's time", lambda size: size.assumed.deadline_s)
DEADLINE_TODAY = Budget("assumed: an event's time today", lambda size: size.assumed.deadline_today_s)

# Caps defined in the code.
ANSWER = Budget("cap: ANSWER_BYTES", lambda size: ANSWER_BYTES)
MEMBERS = Budget("cap: MEMBERS_MAX", lambda size: MEMBERS_MAX)
GRANTED = Budget("cap: RELAYS_MAX", lambda size: MAX_RELAYS)
EVIDENCE = Budget("cap: evidence.RELAYS", lambda size: MAX_REPORTING_RELAYS)
CELLS_OF = Budget("cap: evidence.CELLS", lambda size: MAX_SAMPLES)
NAMED = Budget("cap: rules.NAMES", lambda size: MAX_DESTINATIONS)
INSTANCES = Budget("cap: fleet.instances", lambda size: field_maximum(FleetSection, "instances"))
NUMBERS = Budget("cap: accord.voters", lambda size: field_maximum(ConsensusSettings, "voters"))
