"""The list of all formulas by role, from which tables, page and JSON are made, and the reasons why a role has
no formula for an event."""

from __future__ import annotations

from .agreement import DECIDER, LEADER, VOTER
from .control import RELAY_CONTROL
from .data_path import DATA
from .destination import DESTINATION
from .keepers import SERVER
from .machines import COMMANDS, SUPERVISOR
from .rows import Formula, Role, When

FORMULAS: list[Formula] = [
    *DATA,
    *RELAY_CONTROL,
    *VOTER,
    *LEADER,
    *DECIDER,
    *SERVER,
    *SUPERVISOR,
    *COMMANDS,
    *DESTINATION,
]

# The reasons why an event adds no cost of its own to a role.
AS_ELSEWHERE: dict[Role, dict[str, tuple[When, ...]]] = {
    Role.DATA: {
        "nothing is held and nothing goes out": (When.REST,),
        "as at an ordinary hour: a change costs control, no event": (When.CHANGES,),
    },
    Role.CONTROL: {"as at an ordinary hour: control knows nothing of what is held": (When.DRAIN,)},
    Role.VOTER: {
        "as one change: what changes together is one version": (When.STORM,),
        "as at rest: relays that are gone renew nothing; a voter's own is one of those that may go": (
            When.MACHINE,
            When.RACK,
        ),
        "as at an ordinary hour: a renewal knows nothing of what is held": (When.DRAIN,),
    },
    Role.LEADER: {
        "as at rest": (When.HOUR, When.DRAIN, When.DAY),
        "as one change: what changes together is one version": (When.STORM,),
        "as a machine: one voter, and a new leader": (When.RACK, When.ZONE),
    },
    Role.DECIDER: {
        "no calls, so no evidence": (When.REST,),
        (
            "as at an ordinary hour: the windows of relays that are gone run out,"
            " the others' sums cost the same"
        ): (
            When.DAY,
            When.CHANGES,
            When.RACK,
            When.DRAIN,
        ),
        "as a zone: plans for all that changes": (When.STORM, When.BACK),
        "as at an ordinary hour on the side that has the leader; the other keeps its plan": (When.APART,),
    },
    Role.KEEPER: {
        "as changes of a day on the side that has the source; the other serves what it has": (When.APART,),
        "as at an ordinary hour: held events hold shards that are in use": (When.DRAIN,),
    },
    Role.SUPERVISOR: {
        "as at rest: it looks at processes, not at events or changes": (
            When.HOUR,
            When.CHANGES,
            When.STORM,
            When.APART,
            When.DRAIN,
        ),
        "its machine is gone with it": (When.RACK, When.ZONE),
    },
    Role.COMMANDS: {
        "nobody asks": (When.REST,),
        "as at an ordinary hour: what does not answer is told after its time": (
            When.DAY,
            When.STORM,
            When.RACK,
            When.ZONE,
            When.APART,
            When.BACK,
            When.DRAIN,
        ),
    },
    Role.DESTINATION: {
        "no calls; idle connections are closed": (When.REST,),
        "as at an ordinary hour: others send what the missing relays would have": (
            When.DAY,
            When.MACHINE,
            When.RACK,
        ),
        "as at an ordinary hour: it keeps its calls while its entry changes": (When.CHANGES, When.STORM),
    },
}
