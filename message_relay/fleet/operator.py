"""The operator's file (TOML): all that is not the platform's; without one a relay runs as it does there.

Checked as a whole: each fault is told with its field's path and what would be right, and a name that is not
known with the nearest one that is. `deploy/relay.toml` shows every field with its default.
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
INSTANCES_VARIABLE = "RELAY_INSTANCES"  # goes before fleet.instances
RETIRE_VARIABLE = (
    "RELAY_RETIRE"  # "1": it is no longer one of the fleet, and ends what an earlier process left
)

Seconds = Annotated[float, Meta(ge=0.05, le=3600)]
MAX_NUMBER_DIGITS = 9  # of an instance, with zeros in front: more is no number of one
InstanceCount = Annotated[int, Meta(ge=1, le=INSTANCES_MAX)]
LineCount = Annotated[int, Meta(ge=10, le=1_000_000)]


class OperatorError(ValueError):
    """The operator's file can't be used; each of its lines tells one fault."""


class FleetSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of how many instances this is one, and what they keep together."""

    instances: InstanceCount = 1  # all there are, on all machines
    share_rates: bool = False  # keep each listed rate together, by slots of the shared clock
    settle_s: Seconds = 20.0  # a larger part of a rate is taken up so long after instances became fewer


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines: LineCount = 2000  # wait at the most for a slow reader; later ones are dropped and counted


class StatusSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where `status` asks: a socket with mode 0600 for each instance."""

    folder: str = ""  # empty: $RUNTIME_DIRECTORY; neither: there is no report
    destinations: Annotated[int, Meta(ge=0, le=10_000)] = 200  # told one by one at the most, busiest first


class StateSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    own: bool = True  # refuse a state folder that belongs to another user
    durability: Literal["none", "interval", "group"] = "none"  # what a power cut may cost: docs/store.md
    sync_ms: Annotated[float, Meta(ge=1, le=60_000)] = 50.0  # with interval: between two syncs

    @property
    def sync_every_ms(self) -> float | None:
        """As the journal takes it."""
        return {"none": None, "interval": self.sync_ms, "group": 0.0}[self.durability]


class RecordSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A recording of the traffic, for `python -m emulator`; no bodies, keys or names."""

    file: str = ""  # empty: none; `{n}` becomes the instance's number
    mb: Annotated[float, Meta(gt=0, le=10_000)] = 50.0  # it grows no further


class SupervisorSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """For `fleet`: what instance N is given, and how instances are started and ended."""

    config: str = ""  # the platform's part, the same for each: what RELAY_CONFIG names
    host: str = "127.0.0.1"
    port: Annotated[int, Meta(ge=1, le=65535)] = 7000  # instance N listens on port + N
    state: str = "state"  # instance N works in state/N
    together: InstanceCount = 8  # started at once at the most
    stagger_s: Annotated[float, Meta(ge=0, le=60)] = 0.05  # between one start and the next
    ready_s: Seconds = 30.0  # one that is not ready by then is ended and started anew
    stop_s: Seconds = 10.0  # one that has not ended so long after SIGTERM is killed
    watchdog_s: Annotated[float, Meta(ge=0, le=3600)] = (
        10.0  # one whose loop is silent so long is killed; 0: none
    )
    first_wait_s: Seconds = 0.5  # before one that crashed is started again; doubles, with jitter
    most_wait_s: Seconds = 30.0
    loop_crashes: Annotated[int, Meta(ge=2, le=100)] = 5  # so many crashes
    loop_s: Seconds = 120.0  # within so long are a crash loop, which is reported

    def __post_init__(self) -> None:
        if self.most_wait_s < self.first_wait_s:
            raise ValueError(
                f"most_wait_s: {self.most_wait_s:g} must be first_wait_s ({self.first_wait_s:g}) or more"
            )


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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
        """What [shards] needs of the other parts."""
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
    """Raises OperatorError with all faults of the file, a line each."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # not TOML, or not text
        raise OperatorError(f"{path}: {error}") from error
    told = env.get(INSTANCES_VARIABLE, "")
    if told:
        if not told.isdecimal() or not isinstance(raw.get("fleet", {}), dict):
            raise OperatorError(f"{INSTANCES_VARIABLE}: {told!r} must be a number of instances")
        raw.setdefault("fleet", {})["instances"] = int(told)
    return decoded(raw, str(path))


def decoded(raw: Mapping[str, Any], where: str) -> OperatorConfig:
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


def _expected_shape(told: Any, value: object) -> Any:
    """Without its bounds, and of `TABLE | None` the table where one is given."""
    if get_origin(told) is Annotated:
        told = get_args(told)[0]
    if get_origin(told) in (Union, UnionType) and isinstance(value, Mapping):
        told = next((part for part in get_args(told) if _is_table(part)), told)
    return told


def _value_faults(value: object, told: Any, where: str) -> Iterator[str]:
    try:
        msgspec.convert(value, told)
    except msgspec.ValidationError as error:
        choices = get_args(told) if get_origin(told) is Literal else ()
        right = f"one of {', '.join(choices)} is needed" if choices else _message_of(error)
        yield f"{where}: {value!r}: {right}"


def _message_of(error: Exception) -> str:
    return str(error).partition(" - at `")[0]


def config_from_environment(env: Mapping[str, str] = os.environ) -> OperatorConfig | None:
    """What the environment names; None: there is no such file, as on the platform. Raises OperatorError."""
    path = env.get(FILE_VARIABLE, "")
    return read(Path(path), env) if path else None


def instance_number(operator: OperatorConfig, env: Mapping[str, str] = os.environ) -> int:
    """Which one this is; raises OperatorError unless it is one of the fleet, or retires from it."""
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
    """The platform's settings with what the operator's file says of the fleet."""
    size = max(
        operator.fleet.instances, number + 1
    )  # one that retires takes a part as if it were still there
    fleet = Fleet(number, size, clock_ms) if operator.fleet.share_rates else None
    return replace(settings, relays=size, fleet=fleet)
