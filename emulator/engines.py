"""The real decision module behind one small interface: this version in the process, another one beside it.

Another version is a checkout or an installed copy: `emulator.peer` runs in a process whose `message_relay` is
that one, and both sides pass the public events and actions of `message_relay.decisions.model` by name and
field, as msgpack. An event or a field that the other version does not know is told as an error, not passed
over."""

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
# How experiment files spell these modules: kept, since the files belong to those who run experiments.
CONSTANT_PREFIXES = ("control", "paces", "members", "endings", "effects", "state", "share", "index")
# How experiment files spell constants that have another name in the code: kept for the same reason. One whose
# name stands for different constants in different modules is given with its module.
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
    """A module of the decision package that stands on this process's path."""
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

# Every public event, action and record that may pass between two versions, by its name.
VOCABULARY = SimpleNamespace(
    **{
        name: value
        for module in ("model", "events", "actions")
        for name, value in vars(decisions(module)).items()
        if isinstance(value, type)
    }
)

SIZE = struct.Struct("<I")
KEEP = {"fleet"}  # of Settings, what is not in the platform's text


class Engine(Protocol):
    """Instances of one version of the decision module, by number."""

    def start(self, number: int, settings: bytes, seed: int, fleet: Fleet | None) -> None:
        """A new process of this instance: it knows nothing. `settings`: the platform's text."""

    def handle(self, number: int, now: float, events: list[Event]) -> list[Action]: ...

    def may_write(self, number: int, now: float, ident: int) -> bool:
        """Asked right before a call's first byte."""

    def turned_away(self, number: int, now: float, message: Message, holding: int) -> float | None:
        """Asked before a message is taken on, while so many are held: in how many ms to come instead, if so.
        A version without that question turns nothing away."""

    def learned(self, number: int, now: float) -> list[RestoredDestination]:
        """What the next process should know."""

    def close(self) -> None: ...


class Here:
    """This version, in this process."""

    def __init__(self) -> None:
        self.relays: dict[int, DeliveryScheduler] = {}

    def start(self, number: int, settings: bytes, seed: int, fleet: Fleet | None) -> None:
        told = dataclasses.replace(settings_from(settings), fleet=fleet)
        self.relays[number] = DeliveryScheduler(told, seed)

    def handle(self, number: int, now: float, events: list[Event]) -> list[Action]:
        return self.relays[number].handle(now, events)

    def may_write(self, number: int, now: float, ident: int) -> bool:
        return self.relays[number].may_write(now, ident)

    def turned_away(self, number: int, now: float, message: Message, holding: int) -> float | None:
        return self.relays[number].rejection_delay_ms(now, message, holding)

    def learned(self, number: int, now: float) -> list[RestoredDestination]:
        return self.relays[number].destination_snapshot(now)

    def close(self) -> None:
        self.relays.clear()


class PeerError(RuntimeError):
    """The other version ended, or does not know what it was told; the text has its words."""


class Beside:
    """Another version, in a process of its own."""

    def __init__(self, folder: Path, constants: Mapping[str, float]) -> None:
        here = Path(__file__).parents[1]
        # Not on the path: this repository's message_relay must not stand before the other one's.
        self.process = subprocess.Popen(
            [sys.executable, "-P", str(here / "emulator" / "peer.py")],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(folder)},
        )
        self.folder = folder
        self._ask("constants", dict(constants))

    def _ask(self, what: str, *args: Any) -> Any:
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
        except (BrokenPipeError, ValueError):  # its end of the pipe is gone, or ours is closed
            pass
        raise PeerError(f"{self.folder}: its process ended with {self.process.wait()}")

    def start(self, number: int, settings: bytes, seed: int, fleet: Fleet | None) -> None:
        self._ask("start", number, settings, seed, packed(fleet))

    def handle(self, number: int, now: float, events: list[Event]) -> list[Action]:
        return [
            unpacked(each, VOCABULARY)
            for each in self._ask("handle", number, now, [packed(e) for e in events])
        ]

    def may_write(self, number: int, now: float, ident: int) -> bool:
        return bool(self._ask("may_write", number, now, ident))

    def turned_away(self, number: int, now: float, message: Message, holding: int) -> float | None:
        told: float | None = self._ask("turned_away", number, now, packed(message), holding)
        return told

    def learned(self, number: int, now: float) -> list[RestoredDestination]:
        return [unpacked(each, VOCABULARY) for each in self._ask("learned", number, now)]

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def packed(value: Any) -> Any:
    """A dataclass of the interface as [name, fields], fields that stand at their defaults left out: so that a
    version that lacks one need not know it."""
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


def unpacked(told: Any, module: Any) -> Any:
    """The other way, with the classes of `module`. ValueError names what it does not know."""
    name, fields = told
    shape = getattr(module, name, None)
    if shape is None:
        raise ValueError(f"{name} is not known to this version")
    known = {field.name: field.type for field in dataclasses.fields(shape)}
    for field in fields:
        if field not in known:
            raise ValueError(f"{name}.{field} is not known to this version")
    return shape(**{field: _typed(part, str(known[field]), module) for field, part in fields.items()})


def _typed(part: Any, told: str, module: Any) -> Any:
    shape = getattr(module, told.partition(" |")[0], None)
    if isinstance(part, list):
        whole = [_typed(each, told, module) for each in part]
        if len(part) == 2 and isinstance(part[0], str) and isinstance(part[1], dict):
            return unpacked(part, module)
        return tuple(whole)
    if isinstance(shape, type) and not dataclasses.is_dataclass(shape) and isinstance(part, str):
        return shape(part)  # an enum
    return part


def set_constants(constants: Iterable[tuple[str, float]]) -> dict[str, Any]:
    """Sets constants of the decision module, also where another of its modules has taken one over by name;
    what they were before. ValueError if there is none of that name."""
    before: dict[str, Any] = {}
    homes = [module for module in map(_there, MODULES) if module is not None]
    for path, value in constants:
        spelled = path.partition(".")[2]
        name = RENAMED_CONSTANTS.get(path, RENAMED_CONSTANTS.get(spelled, spelled))
        having = [module for module in homes if isinstance(vars(module).get(name), int | float)]
        if not having:
            raise ValueError(f"{path}: is no number of the decision module")
        old = before[path] = vars(having[0])[name]
        for module in having:
            setattr(module, name, type(old)(value))
    return before


def _there(name: str) -> Any:
    try:
        return decisions(name)
    except ModuleNotFoundError:  # an earlier version has fewer
        return None
