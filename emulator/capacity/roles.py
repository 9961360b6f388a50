"""All formulas, role by role: the one list that tables, page and JSON are made from."""

from __future__ import annotations

from .agreement import DECIDER, LEADER, VOTER
from .control import RELAY_CONTROL
from .data_path import DATA
from .destination import DESTINATION
from .keepers import KEEPER
from .machines import COMMANDS, SUPERVISOR
from .rows import Formula

FORMULAS: list[Formula] = [
    *DATA, *RELAY_CONTROL, *VOTER, *LEADER, *DECIDER, *KEEPER, *SUPERVISOR, *COMMANDS, *DESTINATION,
]
