"""The real decision module behind one small interface: this version in this process, another version in a
process of its own.

Another version is a checkout or an installed copy. `emulator.peer` runs in a process that imports
`message_relay` from there, and both sides exchange the public events and actions of
`message_relay.decisions.model` by name and field, as msgpack. An event or a field that the other version
does not know is an error; it is not ignored."""

from __future__ import annotations

import dataclasses
import importlib
import os
import struct
import subprocess
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

# Modules of the decision package whose constants a variant of an experiment may set.
MODULES = (
    "scheduler",
    "admission",
    "dispatch",
    "send_guard",
    "rate_control",
    "outlier_detection",
    "slow_start",
    "latency",
    "endpoint_registry",
    "drain_estimate",
    "expiry",
    "load_shedding",
    "idempotency",
    "pending",
    "destinations",
    "rate_slots",
    "priority_index",
)
# The names of these modules in experiment files. They stay the same when modules are renamed, since the files
# belong to the people who run experiments.
CONSTANT_PREFIXES = ("control", "paces", "members", "endings", "effects", "state", "share", "index")
# Maps the spelling of a constant in experiment files to its name in the code, for constants that were
# renamed. The spellings stay the same for the same reason. A spelling that means different constants in
# different modules is listed with its module.
RENAMED_CONSTANTS = {
    "control.LATE_MS": "SLOW_CONNECT_MS",
    "share.LATE_MS": "SLOT_TOLERANCE_MS",
    "AHEAD_MS": "LOOKAHEAD_MS",
    "BACK": "RECOVERY_INCREASE",
    "BANDS": "AGE_BANDS",
    "BLAME": "FAILURE_WEIGHT",
    "BROKEN": "EARLY_PENALTY",
    "CELLS_A_MS": "BUCKETS_PER_MS",
    "CLOSES": "MAX_CLOSED",
    "COURSES": "MAX_BUCKETS",
    "CREEP": "CAUTIOUS_INCREASE",
    "CROWDED": "SHEDDING_THRESHOLD",
    "CUT": "RATE_DECREASE",
    "DEVIATIONS": "TIMEOUT_DEVIATIONS",
    "EARLY": "EARLY_PART",
    "EDGE": "ROUNDING",
    "ENDING_MAX_MS": "CLOSE_COST_MAX_MS",
    "ENDING_MS": "CLOSE_COST_MS",
    "ENOUGH": "FULL_TOKEN",
    "EVEN": "MAX_PART",
    "EXACT": "EXACT_COMPARISONS",
    "FADE_MS": "EVIDENCE_TTL_MS",
    "FEW": "MAX_PART_OF_FEW",
    "FREED": "THROTTLE_JITTER_MAX",
    "FULL_VIEW": "FULL_SCAN_SIZE",
    "GONE_MS": "EVICT_AFTER_MS",
    "GROWTH": "SLOW_INCREASE",
    "HOLD_MAX_MS": "THROTTLE_MAX_MS",
    "HOLD_MS": "THROTTLE_MS",
    "LAST": "LAST_ATTEMPT_PATIENCE",
    "LEAST_MS": "MIN_OVERDUE_MS",
    "LOOKS": "MAX_SCANS",
    "LOOK_MS": "RESCAN_MS",
    "LOW": "LOW_PART",
    "MARGIN_MS": "DEADLINE_MARGIN_MS",
    "MET": "OBSERVED_PART",
    "MIDDLE": "RECOVERY_POINT",
    "MOST_BANDS": "MAX_AGE_BANDS",
    "OVERDUE": "OVERDUE_DEVIATIONS",
    "POOR": "KNOWN_LOWEST",
    "QUOTA_LEAST": "QUOTA_MIN_BURST",
    "QUOTA_S": "QUOTA_BURST_S",
    "RARE": "UNTHROTTLED_RATE",
    "RARE_ALL": "UNTHROTTLED_FLEET_RATE",
    "REFUSALS": "MAX_SHED",
    "RISE": "FAST_INCREASE",
    "ROLLING": "ROTATING",
    "ROUGH": "ROUGH_RATE_ERROR",
    "SEARCH": "SEARCH_SLOTS",
    "SHUT_MS": "CLOSED_AFTER_MS",
    "SICK": "EJECTION_THRESHOLD",
    "SILENCE_MS": "SILENCE_TTL_MS",
    "SILENT_TURNS": "EVIDENCE_TTL_SLOTS",
    "START": "INITIAL_RATE",
    "STEPS": "TIME_TO_LIVE_STEPS",
    "STRETCH_MAX": "TIMEOUT_MULTIPLIER_MAX",
    "TRUSTED": "TRUSTED_FAILURE_SCORE",
    "USUAL_MS": "INITIAL_LATENCY_MS",
    "VOUCHED": "VOUCHED_FAILURE_WEIGHT",
    "VOUCH_MS": "VOUCH_WINDOW_MS",
    "WARMING": "WARM_UP_SHARE",
}


def decisions(name: str) -> Any:
    """Imports a module of the decision package from this process's path."""
    return importlib.import_module(f"message_relay.decisions.{name}")


if TYPE_CHECKING:
    from message_relay.decisions.actions import Action
    from message_relay.decisions.events import Event, Message, RestoredDestination
    from message_relay.decisions.model import Fleet
    from message_relay.decisions.scheduler import DeliveryScheduler
    from message_relay.decisions.settings import settings_from
else:
    DeliveryScheduler = decisions("scheduler").DeliveryScheduler
    settings_from = decisions("settings").settings_from

# Every public event, action and record that two versions may exchange, by name.
VOCABULARY = SimpleNamespace(
    **{
        name: value
        for module in ("model", "events", "actions")
        for name, value in vars(decisions(module)).items()
        if isinstance(value, type)
    }
)

SIZE = struct.Struct("<I")
KEEP = {"fleet"}  # fields of Settings that the platform's text does not have


class Engine(Protocol):
    """Runs instances of one version of the decision module, each identified by a number."""

    def start(self, number: int, settings: bytes, seed: int, fleet: Fleet | None) -> None:
        """Starts this instance with empty state. `settings` is the platform's text."""

    def handle(self, number: int, now: float, events: list[Event]) -> list[Action]: ...

    def may_write(self, number: int, now: float, ident: int) -> bool:
        """Whether the attempt may start. Called right before the first byte of a call."""

    def turned_away(self, number: int, now: float, message: Message, pending_count: int) -> float | None:
        """Called before a message is accepted, while `pending_count` messages are pending. Returns the retry
        delay in ms if the message is to be rejected, else None. A version without this method rejects
        nothing."""

    def learned(self, number: int, now: float) -> list[RestoredDestination]:
        """The state of the destinations that the next process of this instance starts from."""

    def close(self) -> None: ...


class LocalEngine:
    """Runs this version of the decision module in this process."""

    def __init__(self) -> None:
        self.relays: dict[int, DeliveryScheduler] = {}

    def start(self, number: int, settings: bytes, seed: int, fleet: Fleet | None) -> None:
        relay_settings = dataclasses.replace(settings_from(settings), fleet=fleet)
        self.relays[number] = DeliveryScheduler(relay_settings, seed)

    def handle(self, number: int, now: float, events: list[Event]) -> list[Action]:
        return self.relays[number].handle(now, events)

    def may_write(self, number: int, now: float, ident: int) -> bool:
        return self.relays[number].may_write(now, ident)

    def turned_away(self, number: int, now: float, message: Message, pending_count: int) -> float | None:
        return self.relays[number].rejection_delay_ms(now, message, pending_count)

    def learned(self, number: int, now: float) -> list[RestoredDestination]:
        return self.relays[number].destination_snapshot(now)

    def close(self) -> None:
        self.relays.clear()


class PeerError(RuntimeError):
    """The other version's process ended or rejected a request. The text holds its error."""


class PeerEngine:
    """Runs another version of the decision module in a process of its own."""

    def __init__(self, folder: Path, constants: Mapping[str, float]) -> None:
        root = Path(__file__).parents[1]
        # -P keeps this repository off the path, so that its message_relay does not hide the other version's.
        self.process = subprocess.Popen(
            [sys.executable, "-P", str(root / "emulator" / "peer.py")],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(folder)},
        )
        self.folder = folder
        self._request("constants", dict(constants))

    def _request(self, what: str, *args: Any) -> Any:
        assert self.process.stdin is not None and self.process.stdout is not None
        data = msgspec.msgpack.encode([what, *args])
        try:
            self.process.stdin.write(SIZE.pack(len(data)) + data)
            self.process.stdin.flush()
            head = self.process.stdout.read(SIZE.size)
            if len(head) == SIZE.size:
                answer = msgspec.msgpack.decode(self.process.stdout.read(SIZE.unpack(head)[0]))
                if "error" in answer:
                    raise PeerError(f"{self.folder}: {answer['error']}")
                return answer["value"]
        except (BrokenPipeError, ValueError):  # the peer closed its end of the pipe, or this end is closed
            pass
        raise PeerError(f"{self.folder}: its process ended with {self.process.wait()}")

    def start(self, number: int, settings: bytes, seed: int, fleet: Fleet | None) -> None:
        self._request("start", number, settings, seed, packed(fleet))

    def handle(self, number: int, now: float, events: list[Event]) -> list[Action]:
        return [
            unpacked(each, VOCABULARY)
            for each in self._request("handle", number, now, [packed(e) for e in events])
        ]

    def may_write(self, number: int, now: float, ident: int) -> bool:
        return bool(self._request("may_write", number, now, ident))

    def turned_away(self, number: int, now: float, message: Message, pending_count: int) -> float | None:
        delay_ms: float | None = self._request("turned_away", number, now, packed(message), pending_count)
        return delay_ms

    def learned(self, number: int, now: float) -> list[RestoredDestination]:
        return [unpacked(each, VOCABULARY) for each in self._request("learned", number, now)]

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def packed(value: Any) -> Any:
    """Encodes a dataclass of the interface as [name, fields]. Fields with their default value are left out,
    so that a version without such a field can still decode it."""
    if not dataclasses.is_dataclass(value):
        return value
    fields = {}
    for field in dataclasses.fields(value):
        part = getattr(value, field.name)
        if field.default is dataclasses.MISSING or part != field.default:
            fields[field.name] = _plain(part)
    return [type(value).__name__, fields]


def _plain(part: Any) -> Any:
    if isinstance(part, tuple):
        return [_plain(each) for each in part]
    if dataclasses.is_dataclass(part):
        return packed(part)
    return getattr(part, "value", part)


def unpacked(encoded: Any, module: Any) -> Any:
    """Decodes what `packed` made, with the classes of `module`. Raises ValueError that names an unknown
    class or field."""
    name, fields = encoded
    class_ = getattr(module, name, None)
    if class_ is None:
        raise ValueError(f"{name} is not known to this version")
    known = {field.name: field.type for field in dataclasses.fields(class_)}
    for field in fields:
        if field not in known:
            raise ValueError(f"{name}.{field} is not known to this version")
    return class_(**{field: _typed(part, str(known[field]), module) for field, part in fields.items()})


def _typed(part: Any, annotation: str, module: Any) -> Any:
    class_ = getattr(module, annotation.partition(" |")[0], None)
    if isinstance(part, list):
        decoded = [_typed(each, annotation, module) for each in part]
        if len(part) == 2 and isinstance(part[0], str) and isinstance(part[1], dict):
            return unpacked(part, module)
        return tuple(decoded)
    if isinstance(class_, type) and not dataclasses.is_dataclass(class_) and isinstance(part, str):
        return class_(part)  # an enum member
    return part


def set_constants(constants: Iterable[tuple[str, float]]) -> dict[str, Any]:
    """Sets constants of the decision module, also in other modules of it that import them by name. Returns
    the previous values. Raises ValueError if there is no constant of that name."""
    before: dict[str, Any] = {}
    modules = [module for module in map(_module_or_none, MODULES) if module is not None]
    for path, value in constants:
        spelled = path.partition(".")[2]
        name = RENAMED_CONSTANTS.get(path, RENAMED_CONSTANTS.get(spelled, spelled))
        matching = [module for module in modules if isinstance(vars(module).get(name), int | float)]
        if not matching:
            raise ValueError(f"{path}: is not a numeric constant of the decision module")
        old = before[path] = vars(matching[0])[name]
        for module in matching:
            setattr(module, name, type(old)(value))
    return before


def _module_or_none(name: str) -> Any:
    try:
        return decisions(name)
    except ModuleNotFoundError:  # an earlier version has fewer modules
        return None
