"""What a machine's supervisor and the operator's commands over all instances cost."""

from __future__ import annotations

from . import budgets as b
from .data_path import held
from .rows import Formula, Kind, Role, Unit, When
from .steps import ALL
from .terms import DAY_S

SUPERVISED, PLAN = "linnetstile/fleet/supervisor.py", "linnetstile/fleet/plan.py"
STATUS = "linnetstile/cli/status.py"

SUPERVISOR = [
    Formula("supervisor.instances", Role.SUPERVISOR, When.REST, Kind.STATE, "instances", Unit.COUNT,
            lambda m: m.assume("relays_a_machine"), "relays of a machine", PLAN),
    Formula("supervisor.processor", Role.SUPERVISOR, When.REST, Kind.PROCESSOR, "watching them", Unit.CORE,
            lambda m: m.at("supervisor.instances.cpu_ms_s", m.assume("relays_a_machine")),
            "processor time at so many instances", SUPERVISED, b.SUPERVISOR_CORE),
    Formula("supervisor.memory", Role.SUPERVISOR, When.REST, Kind.MEMORY, "watching them", Unit.BYTES,
            lambda m: m.at("supervisor.instances.memory_bytes", m.assume("relays_a_machine")),
            "memory at so many instances", SUPERVISED, b.SUPERVISOR_MEMORY),
    Formula("supervisor.restarts", Role.SUPERVISOR, When.DAY, Kind.STATE,
            "restarts of one machine's relays a day",
            Unit.COUNT,
            lambda m: m.size.failures.restarts_a_day * m.assume("relays_a_machine") / m.size.fleet.relays,
            "restarts x relays of a machine / relays", PLAN),
    Formula("supervisor.back", Role.SUPERVISOR, When.BACK, Kind.TIME,
            "its relays start on what an ordinary hour holds, one after another", Unit.SECONDS,
            lambda m: m.assume("relays_a_machine") * m.at("store.start.cpu_ms", held(m)),
            "relays of a machine x a start", PLAN, b.START),
    Formula("supervisor.machines", Role.SUPERVISOR, When.MACHINE, Kind.STATE, "machines of a day that fail",
            Unit.SHARE,
            lambda m: m.size.failures.machines_a_day * m.assume("relays_a_machine") / m.size.fleet.relays,
            "machines that fail x relays of one / relays", PLAN),
]

COMMANDS = [
    Formula("commands.machines", Role.COMMANDS, When.HOUR, Kind.STATE, "machines to ask", Unit.COUNT,
            lambda m: m.size.fleet.relays / m.assume("relays_a_machine"), "relays / relays of a machine",
            "missing", step=ALL),
    Formula("commands.status", Role.COMMANDS, When.HOUR, Kind.TIME,
            "status of all instances, as if on one machine",
            Unit.SECONDS, lambda m: m.at("commands.status.cpu_ms", m.size.fleet.relays),
            "processor time at so many instances", STATUS, b.COMMAND, ALL),
    Formula("commands.bytes", Role.COMMANDS, When.HOUR, Kind.IN, "what they answer", Unit.BYTES,
            lambda m: m.at("commands.status.bytes", m.size.fleet.relays),
            "bytes at so many instances",
            STATUS, b.COMMAND_MEMORY, ALL),
    Formula("commands.memory", Role.COMMANDS, When.HOUR, Kind.MEMORY, "status of all instances", Unit.BYTES,
            lambda m: m.at("commands.status.memory_bytes", m.size.fleet.relays),
            "memory at so many instances",
            STATUS, b.COMMAND_MEMORY, ALL),
    Formula("commands.machine", Role.COMMANDS, When.MACHINE, Kind.TIME, "status of one machine's instances",
            Unit.SECONDS, lambda m: m.at("commands.status.cpu_ms", m.assume("relays_a_machine")),
            "processor time at so many instances", STATUS, b.COMMAND),
    Formula("commands.changes", Role.COMMANDS, When.CHANGES, Kind.IN, "changes of configuration", Unit.EACH_S,
            lambda m: m.size.changes.a_day / DAY_S, "changes / day", "linnetstile/cli/rules.py"),
]
