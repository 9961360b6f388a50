"""The operator's file (TOML): everything that the platform does not configure. Without one all of it is off.

The file is validated as a whole: each fault is reported with its field's path and what would be right, an
unknown name with the nearest known one. `deploy/relay.toml` shows every field with its default. Field names
are the file's keys.
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
RETIRE_VARIABLE = "RELAY_RETIRE"  # "1": no longer part of the fleet; finishes what an earlier process left

Seconds = Annotated[float, Meta(ge=0.05, le=3600)]
MAX_NUMBER_DIGITS = 9  # of an instance's number, leading zeros included
InstanceCount = Annotated[int, Meta(ge=1, le=INSTANCES_MAX)]
LineCount = Annotated[int, Meta(ge=10, le=1_000_000)]


class OperatorError(ValueError):
    """The operator's file is not usable; each line of the text is one fault."""


class FleetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[fleet]`: the number of instances, and what they share."""

    instances: InstanceCount = 1  # on all machines together
    share_rates: bool = False  # share each listed rate by slots of the common clock
    settle_s: Seconds = 20.0  # delay before a larger share of a rate is used after instances have left


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: format and level of log lines."""

    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines: LineCount = 2000  # buffered for a slow reader; further ones are dropped and counted


class StatusSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[status]`: the sockets that the command `status` reads."""

    folder: str = ""  # empty: $RUNTIME_DIRECTORY; without either there is no report
    destinations: Annotated[int, Meta(ge=0, le=10_000)] = 200  # listed one by one at the most, busiest first


class StateSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[state]`: the state folder and its durability."""

    own: bool = True  # refuse a state folder that belongs to another user
    durability: Literal["none", "interval", "group"] = "none"  # what a power cut may cost: docs/store.md
    sync_ms: Annotated[float, Meta(ge=1, le=60_000)] = 50.0  # with interval: between two syncs

    @property
    def sync_every_ms(self) -> float | None:
        """Interval of syncs for the journal: None without syncs, 0 for a sync before each promise."""
        return {"none": None, "interval": self.sync_ms, "group": 0.0}[self.durability]


class RecordSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[record]`: a recording of the traffic for `python -m emulator`, without bodies, keys or names."""

    file: str = ""  # empty: none; `{n}` becomes the instance's number
    mb: Annotated[float, Meta(gt=0, le=10_000)] = 50.0  # maximum size


class SupervisorSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[supervisor]`: what the command `fleet` gives to instances, and how it starts and stops them."""

    config: str = ""  # RELAY_CONFIG of each instance
    host: str = "127.0.0.1"
    port: Annotated[int, Meta(ge=1, le=65535)] = 7000  # instance N listens on port + N
    state: str = "state"  # instance N works in state/N
    together: InstanceCount = 8  # started at once at the most
    stagger_s: Annotated[float, Meta(ge=0, le=60)] = 0.05  # between one start and the next
    ready_s: Seconds = 30.0  # an instance that is not ready by then is restarted
    stop_s: Seconds = 10.0  # an instance that runs on so long after SIGTERM is killed
    watchdog_s: Annotated[float, Meta(ge=0, le=3600)] = (
        10.0  # an instance whose loop hangs so long is killed; 0: never
    )
    first_wait_s: Seconds = 0.5  # before a crashed instance is restarted; doubles, with jitter
    most_wait_s: Seconds = 30.0
    loop_crashes: Annotated[int, Meta(ge=2, le=100)] = 5  # this many crashes
    loop_s: Seconds = 120.0  # within this time are a crash loop, which is reported

    def __post_init__(self) -> None:
        if self.most_wait_s < self.first_wait_s:
            raise ValueError(
                f"most_wait_s: {self.most_wait_s:g} must be first_wait_s ({self.first_wait_s:g}) or more"
            )


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; raises ValueError where sections contradict each other."""

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
            for at in (self.peers.listen_address, self.peers.advertised_address):
                try:
                    at(self.fleet.instances - 1)
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
        last = self.supervisor.port + self.fleet.instances - 1
        if last > 65535:
            raise ValueError(
                f"supervisor.port: with {self.fleet.instances} instances the last would listen on "
                f"{last}: {65536 - self.fleet.instances} at most"
            )

    def _check_shards(self) -> None:
        """What [shards] needs of the other sections."""
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
    """Reads the file. Raises OperatorError with all its faults, a line each."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # not TOML, or not text
        raise OperatorError(f"{path}: {error}") from error
    text = env.get(INSTANCES_VARIABLE, "")
    if text:
        if not text.isdecimal() or not isinstance(raw.get("fleet", {}), dict):
            raise OperatorError(f"{INSTANCES_VARIABLE}: {text!r} must be a number of instances")
        raw.setdefault("fleet", {})["instances"] = int(text)
    return decoded(raw, str(path))


def decoded(raw: Mapping[str, Any], where: str) -> OperatorConfig:
    """Validates a parsed file; `where` begins each line of OperatorError."""
    found = list(faults(raw, OperatorConfig, ""))
    if found:
        raise OperatorError("\n".join(f"{where}: {fault}" for fault in found))
    return msgspec.convert(raw, OperatorConfig)


def faults(raw: object, shape: type[msgspec.Struct], path: str) -> Iterator[str]:
    """Every fault of a table, with the path of its field."""
    if not isinstance(raw, Mapping):
        yield f"{path}: must be a table"
        return
    known = {field.encode_name: field.type for field in msgspec.structs.fields(shape)}
    clean = True
    for name, value in raw.items():
        where = f"{path}.{name}" if path else str(name)
        for fault in _field_faults(name, value, known, where):
            clean = False
            yield fault
    if clean:
        try:
            msgspec.convert(raw, shape)
        except msgspec.ValidationError as error:
            yield f"{path}.{_message_of(error)}" if path else _message_of(error)


def _field_faults(name: str, value: object, known: Mapping[str, Any], where: str) -> Iterator[str]:
    if name not in known:
        near = difflib.get_close_matches(name, known, 1, 0.5)
        yield f"{where}: is not known; " + (
            f"{near[0]!r} is the nearest name" if near else f"known are {', '.join(known)}"
        )
        return
    shape = _expected_shape(known[name], value)
    if isinstance(shape, type) and issubclass(shape, msgspec.Struct):
        yield from faults(value, shape, where)
    elif get_origin(shape) is list and isinstance(value, list) and _is_table(get_args(shape)[0]):
        count = len(value)
        for n, item in enumerate(value):
            yield from faults(item, get_args(shape)[0], f"{where}[{n}]")
        if not count:
            yield from _value_faults(value, known[name], where)
    else:
        yield from _value_faults(value, known[name], where)


def _is_table(shape: object) -> bool:
    return isinstance(shape, type) and issubclass(shape, msgspec.Struct)


def _expected_shape(expected: Any, value: object) -> Any:
    """The type without its bounds; of `TABLE | None` the table where one is given."""
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
        right = f"one of {', '.join(choices)} is needed" if choices else _message_of(error)
        yield f"{where}: {value!r}: {right}"


def _message_of(error: Exception) -> str:
    return str(error).partition(" - at `")[0]


def config_from_environment(env: Mapping[str, str] = os.environ) -> OperatorConfig | None:
    """The file that the environment names; None without one. Raises OperatorError."""
    path = env.get(FILE_VARIABLE, "")
    return read(Path(path), env) if path else None


def instance_number(operator: OperatorConfig, env: Mapping[str, str] = os.environ) -> int:
    """This instance's number. Raises OperatorError unless it is part of the fleet or retires from it."""
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
    """The platform's settings with the fleet of the operator's file."""
    # A retiring instance uses a share as if it were still part of the fleet.
    size = max(operator.fleet.instances, number + 1)
    fleet = Fleet(number, size, clock_ms) if operator.fleet.share_rates else None
    return replace(settings, relays=size, fleet=fleet)
