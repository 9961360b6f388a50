"""What figures are held against: the operators' words, what was assumed, and the caps that the code has."""

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
    4e6  # of one keeper, as sharded_directory/shard_server.py bounds it, which needs the extra `fleet`
)
MORE_MB = 64.0  # that a relay may take more with keepers, beside 256 MB for all of control


def bound(shape: type[msgspec.Struct], name: str) -> float:
    """The most that a field of the operator's file may be; of a list, each of its items. Infinite: no end."""
    told = msgspec.inspect.type_info(shape)
    assert isinstance(told, msgspec.inspect.StructType)
    kind = next(each.type for each in told.fields if each.name == name)
    if isinstance(kind, msgspec.inspect.VarTupleType):
        kind = kind.item_type
    most = kind.le if isinstance(kind, msgspec.inspect.IntType) else None
    return float("inf") if most is None else float(most)


# Asked.
CORE = Budget("asked: of a core, for control", lambda it: it.control.core)
MEMORY = Budget("asked: for control", lambda it: it.control.memory_mb * MB)
BYTES = Budget("asked: for control", lambda it: it.control.kb_s * KB)
MORE = Budget("asked: more than without keepers", lambda it: MORE_MB * MB)
FORCE = Budget("asked: in force everywhere", lambda it: it.changes.force_s)

# Assumed.
PROCESS = Budget("assumed: one process", lambda it: it.assumed.process_core)
DATA_MEMORY = Budget("assumed: for messages", lambda it: it.assumed.data_memory_mb * MB)
DATA_DISK = Budget("assumed: for the journal", lambda it: it.assumed.data_disk_mb * MB)
START = Budget("assumed: back after a restart", lambda it: it.assumed.start_s)
TURN = Budget("assumed: one turn of the loop", lambda it: it.assumed.turn_s)
WINDOW = Budget("assumed: one window", lambda it: it.assumed.window_s)
LEASE = Budget("assumed: accord.bound_s", lambda it: it.assumed.bound_s)
MACHINE = Budget("assumed: one machine of control", lambda it: it.assumed.machine_memory_mb * MB)
ANSWERS = Budget("cap: BYTES_S of a keeper", lambda it: ANSWERS_BYTES_S)
LINK = Budget("assumed: its link", lambda it: it.assumed.link_mb_s * MB)
SUPERVISOR_CORE = Budget("assumed", lambda it: it.assumed.supervisor_core)
SUPERVISOR_MEMORY = Budget("assumed", lambda it: it.assumed.supervisor_memory_mb * MB)
COMMAND = Budget("assumed: until it has answered", lambda it: it.assumed.command_s)
COMMAND_MEMORY = Budget("assumed", lambda it: it.assumed.command_memory_mb * MB)
LOST = Budget("assumed: a majority of the voters is left", lambda it: (it.assumed.voters - 1) // 2)
CONNECTIONS = Budget("assumed: places of a destination", lambda it: it.assumed.connections)
DEADLINE = Budget("assumed: an event's time", lambda it: it.assumed.deadline_s)
DEADLINE_TODAY = Budget("assumed: an event's time today", lambda it: it.assumed.deadline_today_s)

# Caps of the code.
ANSWER = Budget("cap: ANSWER_BYTES", lambda it: ANSWER_BYTES)
MEMBERS = Budget("cap: MEMBERS_MAX", lambda it: MEMBERS_MAX)
GRANTED = Budget("cap: RELAYS_MAX", lambda it: MAX_RELAYS)
EVIDENCE = Budget("cap: evidence.RELAYS", lambda it: MAX_REPORTING_RELAYS)
CELLS_OF = Budget("cap: evidence.CELLS", lambda it: MAX_SAMPLES)
NAMED = Budget("cap: rules.NAMES", lambda it: MAX_DESTINATIONS)
INSTANCES = Budget("cap: fleet.instances", lambda it: bound(FleetSection, "instances"))
NUMBERS = Budget("cap: accord.voters", lambda it: bound(ConsensusSettings, "voters"))
