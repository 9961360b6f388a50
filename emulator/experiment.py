"""Reads and checks experiment files (TOML): traffic, partners, fleet, clients, and the variants to compare.

The whole file is checked, like the operator's file: every error names the path of its field, and for an
unknown field also the nearest known name. docs/experiments.md lists the fields."""

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
CONSTANTS = engines.CONSTANT_PREFIXES  # modules whose constants a variant may set
DEFAULT_FALL_MULTIPLE = 2.0  # the platform's value, for relays of a partner that does not collapse
MAX_VARIANTS = 200  # of a grid; more would be days of work, started by mistake


class ExperimentError(ValueError):
    """The file can't be used. Each line of the text names one error."""


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables of the file: unknown fields are errors."""


class Class(Strict, frozen=True):
    name: str
    effect: Literal["repeatable", "by_key", "once"]
    aim_ms: Positive
    deadline_ms: Positive
    share: Positive = 1.0  # of the traffic, relative to the shares of the other classes
    worth: NotNegative = 1.0
    late_share: Share = 0.5
    window_ms: NotNegative = 4000.0  # how long partners remember an idempotency key


CLASSES = (
    Class("order", "by_key", 4000, 16000, 51, 2.0),
    Class("pay", "once", 3000, 16000, 32),
    Class("status", "repeatable", 1500, 8000, 17, 4.0, 0.1),
)


class Burst(Strict, frozen=True):
    """A burst: `times` the usual rate for a while, for all destinations or for one."""

    at_s: NotNegative
    seconds: Positive
    times: Annotated[float, Meta(gt=1, le=1000)]
    destination: Annotated[int, Meta(ge=1)] | None = None  # None: all, in their usual proportions


class Wave(Strict, frozen=True):
    """A daily curve: the rate follows a cosine with the relative amplitude `swing` and its maximum at
    `peak_s`."""

    period_s: Positive
    swing: Share
    peak_s: NotNegative = 0.0


class Traffic(Strict, frozen=True):
    rate: Positive = 50.0  # messages a second, over all destinations
    seconds: Positive = 60.0  # how long messages arrive
    warm_s: NotNegative = 10.0  # messages that arrive before count in no figure
    zipf: NotNegative = 0.0  # the k-th destination gets a part proportional to 1/k**zipf
    clump: Annotated[float, Meta(ge=1, le=10_000)] = 1.0  # mean number of messages that arrive together
    clump_ms: Positive = 200.0  # the time span of such a group
    bytes: Annotated[int, Meta(ge=0, le=65536)] = 300  # size of a body, with real relays
    trace: str = ""  # a recording to play instead, with its own rate, waves, bursts and clumps
    wave: Wave | None = None
    bursts: list[Burst] = []

    def __post_init__(self) -> None:
        spec.need(self.warm_s < self.seconds, "warm_s", "must be less than seconds")
        spec.need(
            not self.trace or not (self.bursts or self.wave),
            "trace",
            "cannot be combined with bursts or wave",
        )


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
    """The listing of one endpoint of the partner from `at_s` on."""

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
    fall_multiple: Annotated[float, Meta(gt=1)] | None = None  # None: the partner does not collapse
    fall_ms: Positive = 1500.0
    fallen_ms: Positive = 10_000.0


class Partner(Strict, frozen=True):
    """One destination. Its endpoints share one rate, one set of slots and the same troubles. For the fields,
    see emulator/spec.py."""

    endpoints: Annotated[int, Meta(ge=1, le=1000)] = 1
    listed_rate: NotNegative | None = None  # the rate in the listing; None: the rate, or 0 if there is none
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
        """The behaviour of this partner. Raises ValueError that names the field."""
        rate, service, warm_up = (
            self.rate,
            msgspec.structs.asdict(self.service),
            msgspec.structs.asdict(self.cold),
        )
        warm_up["fall_multiple"] = warm_up["fall_multiple"] or math.inf
        return spec.Spec(
            None
            if rate is None
            else spec.Rate(**{**msgspec.structs.asdict(rate), "enforced": spec.Enforced(rate.enforced)}),
            self.slots,
            self.queue,
            spec.Service(**service),
            spec.Cold(**warm_up),
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
    slots: Count = 8  # concurrent calls of one relay
    hold: Count = 60  # pending messages of one relay
    attempts: Annotated[int, Meta(ge=1, le=100)] = 8
    share_rates: bool = False
    tick_ms: Positive = 5.0
    skew: NotNegative = 0.0  # the k-th relay gets a part of the traffic proportional to 1/k**skew
    lag_ms: NotNegative = 50.0  # longest delay until a relay learns of a listing change; drawn for each
    net_ms: NotNegative = 0.2  # one-way latency to a client or a partner
    connect_timeout_ms: Positive = 1500.0
    drain_grace_ms: NotNegative = 250.0
    restarts: list[Restart] = []

    def __post_init__(self) -> None:
        for each in self.restarts:
            spec.need(each.relay < self.relays, "restarts.relay", f"must be 0 to {self.relays - 1}")


class Clients(Strict, frozen=True):
    """Clients resubmit a rejected or returned message until its deadline."""

    tries: Annotated[int, Meta(ge=1, le=100)] = 4  # submissions of one message, including the first
    pause_ms: Positive = 300.0  # before the second, then doubling; a longer Retry-After takes precedence
    heed: Share = 1.0  # share of the clients that obey Retry-After
    wait_ms: Positive = 400.0  # for the response to a submission


class Variant(Strict, frozen=True):
    name: str
    constants: dict[str, float] = {}  # of the decision module, such as "control.RETRY_MS" = 240.0
    fleet: dict[str, Any] = {}  # overrides of fields of [fleet]
    clients: dict[str, Any] = {}
    version: str = ""  # a folder with another checkout or an installed copy; empty: this version
    mixed: Share = 1.0  # share of the relays that run this variant; the others run the first variant

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
    common: Literal["calls", "streams", "none"] = "calls"  # random numbers that variants share
    half_width: Positive | None = None  # stop at this width of the interval of `measure`; None: never
    measure: str = "service"  # the figure that the verdict is about
    traffic: Traffic = Traffic()
    classes: list[Class] = msgspec.field(default_factory=lambda: list(CLASSES))
    partners: Annotated[list[Partner], Meta(min_length=1, max_length=5000)] = msgspec.field(
        default_factory=lambda: [Partner()]
    )
    fleet: Fleet = Fleet()
    clients: Clients = Clients()
    variants: list[Variant] = msgspec.field(default_factory=lambda: [Variant("A")])
    grid: dict[str, list[float]] = {}  # the values of each constant; each combination is a variant

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
            combinations <= MAX_VARIANTS, "grid", f"makes {combinations} variants: {MAX_VARIANTS} at most"
        )
        for variant in self.variants:
            self.with_variant(variant)

    def all_variants(self) -> list[Variant]:
        """The named variants, then those of the grid."""
        if not self.grid:
            return self.variants
        grid_variants = []
        for values in itertools.product(*self.grid.values()):
            constants = dict(zip(self.grid, values, strict=True))
            name = "_".join(f"{path.partition('.')[2]}={value:g}" for path, value in constants.items())
            grid_variants.append(Variant(name, constants))
        return [*self.variants, *grid_variants]

    def with_variant(self, variant: Variant) -> Experiment:
        """This experiment with the overrides of a variant. Raises ValueError that names the field."""
        out: dict[str, Any] = {}
        for part, fields in (("fleet", variant.fleet), ("clients", variant.clients)):
            if fields:
                part_settings = getattr(self, part)
                overridden = {**msgspec.to_builtins(part_settings), **fields}
                errors = list(faults(overridden, type(part_settings), f"variants.{variant.name}.{part}"))
                if errors:
                    raise ValueError(errors[0])
                out[part] = msgspec.convert(overridden, type(part_settings))
        return self if not out else msgspec.structs.replace(self, variants=[Variant("A")], grid={}, **out)


def decoded(raw: Mapping[str, Any], where: str) -> Experiment:
    """Checks and converts a decoded file. Raises ExperimentError with one line for each error."""
    errors = list(faults(raw, Experiment, ""))
    if errors:
        raise ExperimentError("\n".join(f"{where}: {fault}" for fault in errors))
    return msgspec.convert(raw, Experiment)


def read(path: Path) -> Experiment:
    """Reads an experiment file. Paths of traces and versions are relative to its folder. Raises
    ExperimentError."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ExperimentError(f"{path}: {error}") from error
    experiment = decoded(raw, str(path))
    folder = path.resolve().parent
    traffic, variants = experiment.traffic, list(experiment.variants)
    if traffic.trace:
        if not (folder / traffic.trace).is_file():
            raise ExperimentError(f"{path}: traffic.trace: {traffic.trace!r} is not a file")
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
    return msgspec.structs.replace(experiment, traffic=traffic, variants=variants)


def settings_of(experiment: Experiment) -> dict[str, Any]:
    """The settings of each relay, in the platform's format."""
    warm_up = experiment.partners[0].cold
    return {
        "az": 0,
        "balancers": experiment.fleet.relays,
        "zones": ["z"],
        "kinds": ["k"],
        "tick-ms": experiment.fleet.tick_ms,
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
            for each in experiment.classes
        ],
        "extra": {"call-slots": experiment.fleet.slots, "loses-worth": "halves"},
        "limits": {
            "open-cap": experiment.fleet.hold,
            "try-limit": experiment.fleet.attempts,
            "conn-idle-ms": 10000.0,
            "connect-timeout-ms": experiment.fleet.connect_timeout_ms,
            "max-retry-after-ms": 1000,
        },
        "orgs": [{"name": "t", "quota-per-s": 1e6}],
        "client-habits": {"marks-retry": True},
        "safety": {
            "answer-slack-ms": 20,
            "drain-grace-ms": experiment.fleet.drain_grace_ms,
            "cold-from": warm_up.share,
            "cold-ms": warm_up.warm_ms,
            "fall-ms": warm_up.fall_ms,
            "fall-multiple": warm_up.fall_multiple or DEFAULT_FALL_MULTIPLE,
        },
    }
