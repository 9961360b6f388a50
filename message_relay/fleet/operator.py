"""The operator's file (TOML): all settings that the platform does not configure. Optional; off by default.

The whole file is validated at once: each fault is reported with the path of its field and the expected value,
an unknown name with the nearest known name. `deploy/relay.toml` lists every field with its default. Field
names are the keys of the file.
"""

from __future__ import annotations

import difflib
import os
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec
from msgspec import Meta

from ..amqp.settings import AmqpSettings
from ..consensus.settings import ConsensusSettings
from ..decisions.model import Fleet, Settings
from ..failover.settings import FailoverSettings
from ..gossip.settings import INSTANCES_MAX, GossipSettings
from ..sharded_directory.settings import ShardedDirectorySettings

FILE_VARIABLE, NUMBER_VARIABLE = "RELAY_OPERATOR", "RELAY_INSTANCE"
INSTANCES_VARIABLE = "RELAY_INSTANCES"  # overrides fleet.instances
RETIRE_VARIABLE = "RELAY_RETIRE"  # "1": has left the fleet; only finishes the messages of an earlier process

Seconds = Annotated[float, Meta(ge=0.05, le=3600)]
MAX_NUMBER_DIGITS = 9  # digits of an instance's number, including leading zeros
InstanceCount = Annotated[int, Meta(ge=1, le=INSTANCES_MAX)]
LineCount = Annotated[int, Meta(ge=10, le=1_000_000)]


class OperatorError(ValueError):
    """The operator's file is not valid; each line of the text is one fault."""


class FleetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[fleet]`: the number of instances, and whether they share rates."""

    instances: InstanceCount = 1  # on all machines together
    share_rates: bool = False  # share each listed rate by time slots of the common clock
    settle_s: Seconds = 20.0  # delay before a larger share of a rate is used after instances have left


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: format and level of log lines."""

    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines: LineCount = 2000  # maximum buffered for a slow reader; further lines are dropped and counted


class StatusSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[status]`: the sockets that the command `status` reads."""

    folder: str = ""  # empty: $RUNTIME_DIRECTORY; no status reports if neither is set
    destinations: Annotated[int, Meta(ge=0, le=10_000)] = 200  # maximum number listed, busiest first


class StateSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[state]`: the state folder and its durability."""

    own: bool = True  # refuse a state folder that belongs to another user
    durability: Literal["none", "interval", "group"] = "none"  # what a power cut may lose: docs/store.md
    sync_ms: Annotated[float, Meta(ge=1, le=60_000)] = 50.0  # time between two syncs, with `interval`

    @property
    def sync_every_ms(self) -> float | None:
        """Interval of the journal's syncs: None for no syncs, 0 for a sync before each promise."""
        return {"none": None, "interval": self.sync_ms, "group": 0.0}[self.durability]


class RecordSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[record]`: a recording of the traffic for `python -m emulator`, without bodies, keys or names."""

    file: str = ""  # empty: no recording; `{n}` is replaced by the instance's number
    mb: Annotated[float, Meta(gt=0, le=10_000)] = 50.0  # maximum size


class SupervisorSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[supervisor]`: how the command `fleet` configures, starts and stops instances."""

    config: str = ""  # RELAY_CONFIG of each instance
    host: str = "127.0.0.1"
    port: Annotated[int, Meta(ge=1, le=65535)] = 7000  # instance N listens on port + N
    state: str = "state"  # instance N uses state/N
    together: InstanceCount = 8  # maximum number of instances starting at the same time
    stagger_s: Annotated[float, Meta(ge=0, le=60)] = 0.05  # time between two starts
    ready_s: Seconds = 30.0  # an instance that is not ready by then is restarted
    stop_s: Seconds = 10.0  # an instance that still runs this long after SIGTERM is killed
    watchdog_s: Annotated[float, Meta(ge=0, le=3600)] = (
        10.0  # an instance whose event loop hangs for this long is killed; 0: never
    )
    first_wait_s: Seconds = 0.5  # delay before the restart of a crashed instance; doubles, with jitter
    most_wait_s: Seconds = 30.0
    loop_crashes: Annotated[int, Meta(ge=2, le=100)] = 5  # this many crashes
    loop_s: Seconds = 120.0  # within this time count as a crash loop, which is reported

    def __post_init__(self) -> None:
        if self.most_wait_s < self.first_wait_s:
            raise ValueError(
                f"most_wait_s: {self.most_wait_s:g} must be first_wait_s ({self.first_wait_s:g}) or more"
            )


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; raises ValueError if sections contradict each other."""

    fleet: FleetSection = FleetSection()
    log: LogSection = LogSection()
    status: StatusSection = StatusSection()
    state: StateSection = StateSection()
    record: RecordSection = RecordSection()
    amqp: AmqpSettings = AmqpSettings()
    supervisor: SupervisorSection = SupervisorSection()
    peers: GossipSettings = GossipSettings()
    accord: ConsensusSettings = ConsensusSettings()
    failover: FailoverSettings = FailoverSettings()
    shards: ShardedDirectorySettings = ShardedDirectorySettings()

    def __post_init__(self) -> None:
        if self.peers.is_enabled:
            for address_of in (self.peers.listen_address, self.peers.advertised_address):
                try:
                    address_of(self.fleet.instances - 1)
                except ValueError as error:
                    raise ValueError(f"peers.{error}") from error
        if self.accord.is_enabled and not self.peers.is_enabled:
            raise ValueError("accord.voters: needs peers.listen: instances have to know each other")
        if self.accord.is_enabled and not self.peers.secret_file and not self.peers.listen.startswith("127."):
            raise ValueError(
                "peers.secret_file: is needed with accord.voters, unless peers.listen is a "
                "loopback address: what voters say to each other is believed"
            )
        if self.accord.is_enabled and max(self.accord.voters) >= self.fleet.instances:
            raise ValueError(
                f"accord.voters: {max(self.accord.voters)} is not among fleet.instances = "
                f"{self.fleet.instances}"
            )
        if self.failover.is_enabled and not self.accord.is_enabled:
            raise ValueError("failover.zones: needs accord.voters: a plan is a version of the agreed rules")
        self._check_shards()
        if self.record.file and self.fleet.instances > 1 and "{n}" not in self.record.file:
            raise ValueError(f"record.file: {self.record.file!r} needs {{n}}: each instance has its own")
        last_port = self.supervisor.port + self.fleet.instances - 1
        if last_port > 65535:
            raise ValueError(
                f"supervisor.port: with {self.fleet.instances} instances the last would listen on "
                f"{last_port}: {65536 - self.fleet.instances} at most"
            )

    def _check_shards(self) -> None:
        """Checks [shards] against the other sections. Raises ValueError."""
        if not self.shards.on:
            return
        if not self.peers.is_enabled:
            raise ValueError("shards.keepers: needs peers.listen: relays ask keepers as their peers")
        if not self.peers.secret_file and not self.peers.listen.startswith("127."):
            raise ValueError(
                "peers.secret_file: is needed with shards.keepers, unless peers.listen is a "
                "loopback address: what a keeper says of endpoints is believed"
            )
        if max(self.shards.keepers) >= self.fleet.instances:
            raise ValueError(
                f"shards.keepers: {max(self.shards.keepers)} is not among fleet.instances = "
                f"{self.fleet.instances}"
            )
        if self.failover.is_enabled:
            raise ValueError(
                "shards.keepers: not together with failover.zones: a plan needs every relay to "
                "know all destinations"
            )
        if self.amqp.brokers:
            raise ValueError(
                "shards.keepers: not together with amqp.brokers: endpoints of brokers are in no "
                "keeper's list"
            )


def read(path: Path, env: Mapping[str, str] = os.environ) -> OperatorConfig:
    """Reads the file. Raises OperatorError with all faults, one per line."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # not valid TOML or UTF-8
        raise OperatorError(f"{path}: {error}") from error
    text = env.get(INSTANCES_VARIABLE, "")
    if text:
        if not text.isdecimal() or not isinstance(raw.get("fleet", {}), dict):
            raise OperatorError(f"{INSTANCES_VARIABLE}: {text!r} must be a number of instances")
        raw.setdefault("fleet", {})["instances"] = int(text)
    return decoded(raw, str(path))


def decoded(raw: Mapping[str, Any], where: str) -> OperatorConfig:
    """Validates a parsed file; `where` starts each line of OperatorError."""
    all_faults = list(faults(raw, OperatorConfig, ""))
    if all_faults:
        raise OperatorError("\n".join(f"{where}: {fault}" for fault in all_faults))
    return msgspec.convert(raw, OperatorConfig)


def faults(raw: object, table_type: type[msgspec.Struct], path: str) -> Iterator[str]:
    """Yields every fault of a table, with the path of its field."""
    if not isinstance(raw, Mapping):
        yield f"{path}: must be a table"
        return
    known = {field.encode_name: field.type for field in msgspec.structs.fields(table_type)}
    is_valid = True
    for name, value in raw.items():
        where = f"{path}.{name}" if path else str(name)
        for fault in _field_faults(name, value, known, where):
            is_valid = False
            yield fault
    if is_valid:
        try:
            msgspec.convert(raw, table_type)
        except msgspec.ValidationError as error:
            yield f"{path}.{_message_of(error)}" if path else _message_of(error)


def _field_faults(name: str, value: object, known: Mapping[str, Any], where: str) -> Iterator[str]:
    if name not in known:
        nearest = difflib.get_close_matches(name, known, 1, 0.5)
        yield f"{where}: is not known; " + (
            f"{nearest[0]!r} is the nearest name" if nearest else f"known are {', '.join(known)}"
        )
        return
    value_type = _expected_type(known[name], value)
    if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
        yield from faults(value, value_type, where)
    elif get_origin(value_type) is list and isinstance(value, list) and _is_table(get_args(value_type)[0]):
        count = len(value)
        for n, item in enumerate(value):
            yield from faults(item, get_args(value_type)[0], f"{where}[{n}]")
        if not count:
            yield from _value_faults(value, known[name], where)
    else:
        yield from _value_faults(value, known[name], where)


def _is_table(value_type: object) -> bool:
    return isinstance(value_type, type) and issubclass(value_type, msgspec.Struct)


def _expected_type(expected: Any, value: object) -> Any:
    """Return the type without its bounds; for `TABLE | None`, the table type if the value is a table."""
    if get_origin(expected) is Annotated:
        expected = get_args(expected)[0]
    if get_origin(expected) in (Union, UnionType) and isinstance(value, Mapping):
        expected = next((part for part in get_args(expected) if _is_table(part)), expected)
    return expected


def _value_faults(value: object, expected: Any, where: str) -> Iterator[str]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        choices = get_args(expected) if get_origin(expected) is Literal else ()
        expectation = f"one of {', '.join(choices)} is needed" if choices else _message_of(error)
        yield f"{where}: {value!r}: {expectation}"


def _message_of(error: Exception) -> str:
    return str(error).partition(" - at `")[0]


def config_from_environment(env: Mapping[str, str] = os.environ) -> OperatorConfig | None:
    """Return the file named by the environment; None if there is none. Raises OperatorError."""
    path = env.get(FILE_VARIABLE, "")
    return read(Path(path), env) if path else None


def instance_number(operator: OperatorConfig, env: Mapping[str, str] = os.environ) -> int:
    """Return this instance's number. Raises OperatorError unless it is in the fleet or retiring."""
    size = operator.fleet.instances
    text = env.get(NUMBER_VARIABLE, "")
    if not text and size == 1:
        return 0
    if not text.isdecimal() or len(text) > MAX_NUMBER_DIGITS:
        raise OperatorError(f"{NUMBER_VARIABLE}: {text!r} must be a number from 0 to {size - 1}")
    if int(text) >= size and env.get(RETIRE_VARIABLE) != "1":
        raise OperatorError(
            f"{NUMBER_VARIABLE}: {int(text)} is not among fleet.instances = {size}: 0 to {size - 1} are"
        )
    return int(text)


def apply_fleet(settings: Settings, operator: OperatorConfig, number: int, clock_ms: float) -> Settings:
    """Return the platform's settings with the fleet of the operator's file."""
    # A retiring instance uses the share it would have as a member of the fleet.
    size = max(operator.fleet.instances, number + 1)
    fleet = Fleet(number, size, clock_ms) if operator.fleet.share_rates else None
    return replace(settings, relays=size, fleet=fleet)
