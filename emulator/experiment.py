"""An experiment as a file (TOML): traffic, partners, fleet, clients, and the variants to compare.

Checked as a whole, as the operator's file is: each fault is told with its field's path, and a name that is
not known with the nearest one that is. docs/experiments.md lists the fields."""

from __future__ import annotations

import itertools
import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from message_relay.fleet.operator import faults

from . import engines, spec
from .measure_names import MEASURES

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Number = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
CONSTANTS = engines.CONSTANT_PREFIXES  # whose constants a variant may set
USUAL_MULTIPLE = 2.0  # told to relays of a partner that does not collapse, as the platform tells it
MOST_VARIANTS = 200  # of a grid: more are days of work by mistake


class ExperimentError(ValueError):
    """The file can't be used; each of its lines tells one fault."""


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


class Class(Strict, frozen=True):
    name: str
    effect: Literal["repeatable", "by_key", "once"]
    aim_ms: Positive
    deadline_ms: Positive
    share: Positive = 1.0  # of the traffic, against the shares of the others
    worth: NotNegative = 1.0
    late_share: Share = 0.5
    window_ms: NotNegative = 4000.0  # partners know a key for so long


CLASSES = (
    Class("order", "by_key", 4000, 16000, 51, 2.0),
    Class("pay", "once", 3000, 16000, 32),
    Class("status", "repeatable", 1500, 8000, 17, 4.0, 0.1),
)


class Burst(Strict, frozen=True):
    """A rush: so many times the usual rate, for all or for one destination."""

    at_s: NotNegative
    seconds: Positive
    times: Annotated[float, Meta(gt=1, le=1000)]
    destination: Annotated[int, Meta(ge=1)] | None = None  # None: all, as usual


class Wave(Strict, frozen=True):
    """A curve of the day: the rate swings evenly by `swing` of itself, highest at `peak_s`."""

    period_s: Positive
    swing: Share
    peak_s: NotNegative = 0.0


class Traffic(Strict, frozen=True):
    rate: Positive = 50.0  # messages a second, over all
    seconds: Positive = 60.0  # so long messages come
    warm_s: NotNegative = 10.0  # what comes before counts in no figure
    zipf: NotNegative = 0.0  # the k-th destination gets 1/k**zipf of it
    clump: Annotated[float, Meta(ge=1, le=10_000)] = 1.0  # messages that come together, on average
    clump_ms: Positive = 200.0  # within so long
    bytes: Annotated[int, Meta(ge=0, le=65536)] = 300  # of a body, live
    trace: str = ""  # a recording to play instead: rate, waves, bursts and clumps are those of it
    wave: Wave | None = None
    bursts: list[Burst] = []

    def __post_init__(self) -> None:
        spec.need(self.warm_s < self.seconds, "warm_s", "must be less than seconds")
        spec.need(not self.trace or not (self.bursts or self.wave), "trace", "comes without bursts and wave")


class Rate(Strict, frozen=True):
    per_s: Positive
    enforced: Literal["window", "bucket"] = "window"
    window_ms: Positive = 1000.0
    burst: Annotated[float, Meta(ge=1)] = 2.0
    per_client: bool = False
    counts_refused: bool = False
    wait_ms: tuple[float, float] | None = None


class Trouble(Strict, frozen=True):
    fault: Literal["down", "hung", "silent", "shut", "failing", "brown", "lowered"]
    begin_s: NotNegative
    end_s: Positive
    size: Positive = 1.0


class Change(Strict, frozen=True):
    """What the register says of one of its endpoints from then on."""

    at_s: NotNegative
    endpoint: Annotated[int, Meta(ge=1)]  # the partner's first one is 1
    listing: Literal["ready", "draining", "gone"]


class Service(Strict, frozen=True):
    mean_ms: Positive = 100.0
    cv: NotNegative = 0.3
    slow_share: Share = 0.0
    slow_factor: Annotated[float, Meta(ge=1)] = 5.0
    thrash: NotNegative = 0.0


class Cold(Strict, frozen=True):
    share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    warm_ms: NotNegative = 11_000.0
    fall_multiple: Annotated[float, Meta(gt=1)] | None = None  # None: it does not collapse
    fall_ms: Positive = 1500.0
    fallen_ms: Positive = 10_000.0


class Partner(Strict, frozen=True):
    """One destination: its endpoints share what is said of it. Fields as in emulator/spec.py."""

    endpoints: Annotated[int, Meta(ge=1, le=1000)] = 1
    listed_rate: NotNegative | None = None  # what the register says; None: its rate, or 0 where it has none
    rate: Rate | None = None
    slots: Annotated[int, Meta(ge=1)] | None = None
    queue: Number = 0
    service: Service = Service()
    cold: Cold = Cold()
    key_window_ms: NotNegative = 4000.0
    refuse: Share = 0.0
    error: Share = 0.0
    reset: Share = 0.0
    hang: Share = 0.0
    troubles: list[Trouble] = []
    changes: list[Change] = []

    def model(self) -> spec.Spec:
        """ValueError names the field."""
        rate, service, cold = (
            self.rate,
            msgspec.structs.asdict(self.service),
            msgspec.structs.asdict(self.cold),
        )
        cold["fall_multiple"] = cold["fall_multiple"] or math.inf
        return spec.Spec(
            None
            if rate is None
            else spec.Rate(**{**msgspec.structs.asdict(rate), "enforced": spec.Enforced(rate.enforced)}),
            self.slots,
            self.queue,
            spec.Service(**service),
            spec.Cold(**cold),
            self.key_window_ms,
            self.refuse,
            self.error,
            self.reset,
            self.hang,
            tuple(
                spec.Trouble(spec.Fault(each.fault), each.begin_s * 1000, each.end_s * 1000, each.size)
                for each in self.troubles
            ),
        )

    def __post_init__(self) -> None:
        self.model()
        for change in self.changes:
            spec.need(change.endpoint <= self.endpoints, "changes.endpoint", f"must be 1 to {self.endpoints}")


class Restart(Strict, frozen=True):
    relay: Number
    at_s: NotNegative
    how: Literal["stop", "kill"] = "stop"


class Fleet(Strict, frozen=True):
    relays: Annotated[int, Meta(ge=1, le=1000)] = 4
    slots: Count = 8  # calls of one at once
    hold: Count = 60  # messages of one
    attempts: Annotated[int, Meta(ge=1, le=100)] = 8
    share_rates: bool = False
    tick_ms: Positive = 5.0
    skew: NotNegative = 0.0  # the k-th relay gets 1/k**skew of the traffic
    lag_ms: NotNegative = 50.0  # relays learn of a change of the register within so long, each at its moment
    net_ms: NotNegative = 0.2  # one way, to a client or a partner
    connect_timeout_ms: Positive = 1500.0
    drain_grace_ms: NotNegative = 250.0
    restarts: list[Restart] = []

    def __post_init__(self) -> None:
        for each in self.restarts:
            spec.need(each.relay < self.relays, "restarts.relay", f"must be 0 to {self.relays - 1}")


class Clients(Strict, frozen=True):
    """What they do when a message is refused or given back: they hand it in again, while it has time."""

    tries: Annotated[int, Meta(ge=1, le=100)] = 4  # of one message, the first included
    pause_ms: Positive = 300.0  # before the second, doubling; a longer told wait goes before it
    heed: Share = 1.0  # so many of them wait as they are told
    wait_ms: Positive = 400.0  # for an answer to what they hand in


class Variant(Strict, frozen=True):
    name: str
    constants: dict[str, float] = {}  # of the decision module: "control.RETRY_MS" = 240.0
    fleet: dict[str, Any] = {}  # fields of [fleet] that differ
    clients: dict[str, Any] = {}
    version: str = ""  # a folder with another checkout or an installed copy; empty: this one
    mixed: Share = 1.0  # so many of the relays are this variant's, the others the first one's

    def __post_init__(self) -> None:
        for path in self.constants:
            module, _, name = path.partition(".")
            spec.need(
                module in CONSTANTS and name.isupper(),
                "constants",
                f"{path!r}: MODULE.NAME is needed, with one of {', '.join(CONSTANTS)}",
            )
        spec.need(
            bool(self.name) and all(c.isalnum() or c in "-_.=" for c in self.name),
            "name",
            f"{self.name!r}: letters, digits, - _ . = are needed: it names files",
        )


class Experiment(Strict, frozen=True):
    name: str
    seeds: Annotated[int, Meta(ge=1, le=10_000)] = 20
    first_seed: Number = 1
    common: Literal["calls", "streams", "none"] = "calls"  # numbers of chance that variants share
    half_width: Positive | None = None  # stop once the interval of `measure` is so narrow; None: all seeds
    measure: str = "service"  # that the verdict is about
    traffic: Traffic = Traffic()
    classes: list[Class] = msgspec.field(default_factory=lambda: list(CLASSES))
    partners: Annotated[list[Partner], Meta(min_length=1, max_length=5000)] = msgspec.field(
        default_factory=lambda: [Partner()]
    )
    fleet: Fleet = Fleet()
    clients: Clients = Clients()
    variants: list[Variant] = msgspec.field(default_factory=lambda: [Variant("A")])
    grid: dict[str, list[float]] = {}  # constants and the values of each: one variant for each combination

    def __post_init__(self) -> None:
        spec.need(bool(self.classes), "classes", "at least one is needed")
        names = [each.name for each in self.variants]
        spec.need(len(set(names)) == len(names), "variants.name", f"{names} must differ from each other")
        spec.need(self.measure in MEASURES, "measure", f"{self.measure!r} is none of {', '.join(MEASURES)}")
        for burst in self.traffic.bursts:
            spec.need(
                burst.destination is None or burst.destination <= len(self.partners),
                "traffic.bursts.destination",
                f"must be 1 to {len(self.partners)}",
            )
        combinations = 1
        for path, values in self.grid.items():
            Variant("grid", constants={path: 0.0})
            spec.need(bool(values), f"grid.{path}", "at least one value is needed")
            combinations *= len(values)
        spec.need(
            combinations <= MOST_VARIANTS, "grid", f"makes {combinations} variants: {MOST_VARIANTS} at most"
        )
        for variant in self.variants:
            self.of(variant)

    def all_variants(self) -> list[Variant]:
        """Those that are named, and those of the grid."""
        if not self.grid:
            return self.variants
        made = []
        for values in itertools.product(*self.grid.values()):
            constants = dict(zip(self.grid, values, strict=True))
            name = "_".join(f"{path.partition('.')[2]}={value:g}" for path, value in constants.items())
            made.append(Variant(name, constants))
        return [*self.variants, *made]

    def of(self, variant: Variant) -> Experiment:
        """The experiment as this variant has it; ValueError names the field."""
        out: dict[str, Any] = {}
        for part, fields in (("fleet", variant.fleet), ("clients", variant.clients)):
            if fields:
                before = getattr(self, part)
                told = {**msgspec.to_builtins(before), **fields}
                found = list(faults(told, type(before), f"variants.{variant.name}.{part}"))
                if found:
                    raise ValueError(found[0])
                out[part] = msgspec.convert(told, type(before))
        return self if not out else msgspec.structs.replace(self, variants=[Variant("A")], grid={}, **out)


def decoded(raw: Mapping[str, Any], where: str) -> Experiment:
    """Raises ExperimentError with all faults, a line each."""
    found = list(faults(raw, Experiment, ""))
    if found:
        raise ExperimentError("\n".join(f"{where}: {fault}" for fault in found))
    return msgspec.convert(raw, Experiment)


def read(path: Path) -> Experiment:
    """Raises ExperimentError. A trace and versions are named from the file's own folder."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ExperimentError(f"{path}: {error}") from error
    told = decoded(raw, str(path))
    folder = path.resolve().parent
    traffic, variants = told.traffic, list(told.variants)
    if traffic.trace:
        if not (folder / traffic.trace).is_file():
            raise ExperimentError(f"{path}: traffic.trace: {traffic.trace!r} is no file")
        traffic = msgspec.structs.replace(traffic, trace=str(folder / traffic.trace))
    for n, variant in enumerate(variants):
        if variant.version:
            package = folder / variant.version / "message_relay"
            if not (package / "decisions" / "scheduler.py").is_file():
                raise ExperimentError(
                    f"{path}: variants.{variant.name}.version: {variant.version!r} holds no "
                    "message_relay/decisions/scheduler.py"
                )
            variants[n] = msgspec.structs.replace(variant, version=str((folder / variant.version).resolve()))
    return msgspec.structs.replace(told, traffic=traffic, variants=variants)


def settings_of(it: Experiment) -> dict[str, Any]:
    """The platform's form of the settings that each relay gets."""
    cold = it.partners[0].cold
    return {
        "az": 0,
        "balancers": it.fleet.relays,
        "zones": ["z"],
        "kinds": ["k"],
        "tick-ms": it.fleet.tick_ms,
        "weight-kind": "nominal",
        "classes": [
            {
                "name": each.name,
                "effect": each.effect,
                "aim-ms": each.aim_ms,
                "deadline-ms": each.deadline_ms,
                "window-ms": each.window_ms,
                "worth": each.worth,
                "late-share": each.late_share,
            }
            for each in it.classes
        ],
        "extra": {"call-slots": it.fleet.slots, "loses-worth": "halves"},
        "limits": {
            "open-cap": it.fleet.hold,
            "try-limit": it.fleet.attempts,
            "conn-idle-ms": 10000.0,
            "connect-timeout-ms": it.fleet.connect_timeout_ms,
            "max-retry-after-ms": 1000,
        },
        "orgs": [{"name": "t", "quota-per-s": 1e6}],
        "client-habits": {"marks-retry": True},
        "safety": {
            "answer-slack-ms": 20,
            "drain-grace-ms": it.fleet.drain_grace_ms,
            "cold-from": cold.share,
            "cold-ms": cold.warm_ms,
            "fall-ms": cold.fall_ms,
            "fall-multiple": cold.fall_multiple or USUAL_MULTIPLE,
        },
    }
