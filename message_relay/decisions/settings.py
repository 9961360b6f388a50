"""Decodes the settings text, which the simulator and the configuration share, into `Settings`.

The msgspec structs below are the schema of the text: an error about a missing value or a wrong type names its
path. Unknown keys are ignored, since the platform's settings contain more than a relay needs.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from .model import Decay, DestinationKind, Effect, Goal, MessageClass, Rates, Safety, Scope, Settings, Tenant


class SettingsError(ValueError):
    """The settings are incomplete or contradictory."""


class _Effect(Enum):
    REPEATABLE, BY_KEY, ONCE = "repeatable", "by_key", "once"


class _Scope(Enum):
    ALL, ZONE, CELL = "all", "zone", "cell"


class _Raw(msgspec.Struct, frozen=True, rename=lambda name: name.replace("_", "-")):
    """Base class of the parts of the text, whose keys are spelled with hyphens."""


class _Class(_Raw, frozen=True):
    name: str
    effect: _Effect
    latency_objective_ms: float = msgspec.field(name="aim-ms")
    deadline_ms: float
    priority_weight: float = msgspec.field(name="worth", default=1.0)
    late_share: float = 0.0
    window_ms: float = 0.0
    dedup_scope: _Scope = _Scope.ALL
    by_arrival: bool = False


class _Extra(_Raw, frozen=True):
    call_slots: int
    per_call: list[int] = []
    separate_routes: list[bool] = []
    value_decay: str = msgspec.field(name="loses-worth", default="")
    carriage: list[float] = []


class _Limits(_Raw, frozen=True):
    open_cap: int
    try_limit: int
    probing: bool = False
    cancelling: bool = False
    streams_per_conn: int = 1
    conn_idle_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    max_retry_after_ms: float = 0.0


class _Safety(_Raw, frozen=True):
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    warm_up_initial_share: float = msgspec.field(name="cold-from", default=1.0)
    warm_up_ms: float = msgspec.field(name="cold-ms", default=0.0)
    fall_multiple: float = 1.0
    fall_ms: float = 1000.0
    poll_within_ms: float = msgspec.field(name="ask-within-ms", default=0.0)
    key_quiet_ms: float = 0.0


class _Goal(_Raw, frozen=True):
    total: float = msgspec.field(name="whole", default=1.0)
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


class _Feedback(_Raw, frozen=True):
    fields: list[str] = []


class _Prices(_Raw, frozen=True):
    cross_zone: float = 0.0


class _Habits(_Raw, frozen=True):
    marks_retry: bool = False


class _Org(_Raw, frozen=True):
    name: str
    quota_per_s: float


class _Settings(_Raw, frozen=True):
    classes: list[_Class]
    kinds: list[str]
    extra: _Extra
    limits: _Limits
    safety: _Safety
    balancers: int = 1
    az: int = 0
    orgs: list[_Org] = []
    over_quota_weight: float = msgspec.field(name="over-share-worth", default=1.0)
    weight_kind: str = "silent"
    registry_mode: str = ""
    tick_ms: float = 1.0
    goal: _Goal = _Goal()
    feedback: _Feedback = _Feedback()
    prices: _Prices = _Prices()
    client_habits: _Habits = _Habits()


EFFECTS = {
    _Effect.REPEATABLE: Effect.SAFE,
    _Effect.BY_KEY: Effect.KEYED,
    _Effect.ONCE: Effect.UNSAFE,
}
SCOPES = {_Scope.ALL: Scope.ALL, _Scope.ZONE: Scope.ZONE, _Scope.CELL: Scope.ENDPOINT}
RATES = {"nominal": Rates.NOMINAL, "rough": Rates.ROUGH}


def settings_from(text: bytes | str) -> Settings:
    """Decodes the settings text. Raises a SettingsError that names the field."""
    try:
        raw: _Settings = msgspec.json.decode(text, type=_Settings, strict=False)
        return _settings_from_raw(raw)
    except (ValueError, IndexError) as error:  # msgspec's own errors are ValueErrors
        raise SettingsError(f"settings: {error}") from error


def _settings_from_raw(raw: _Settings) -> Settings:
    extra, limits, fields = raw.extra, raw.limits, raw.feedback.fields
    names_by_field = {
        "classes": [message_class.name for message_class in raw.classes],
        "orgs": [org.name for org in raw.orgs],
    }
    for field, names in names_by_field.items():
        if len(set(names)) < len(names):
            raise ValueError(f"{field}: each name must be there once")
    return Settings(
        classes=tuple(_class(raw_class) for raw_class in raw.classes),
        kinds=tuple(_kind(name, index, extra) for index, name in enumerate(raw.kinds)),
        max_concurrent_attempts=extra.call_slots,
        max_pending_messages=limits.open_cap,
        max_attempts=limits.try_limit,
        relays=raw.balancers,
        zone=raw.az,
        tenants=tuple(Tenant(org.name, org.quota_per_s) for org in raw.orgs),
        over_quota_weight=raw.over_quota_weight,
        decay=Decay.HALVES if extra.value_decay == "halves" else Decay.LINE,
        rates=RATES.get(raw.weight_kind, Rates.NONE),
        polls_discovery=raw.registry_mode == "ask",
        probing=limits.probing,
        cancelling=limits.cancelling,
        streams_per_connection=limits.streams_per_conn,
        idle_ms=limits.conn_idle_ms,
        connect_timeout_ms=limits.connect_timeout_ms,
        tick_ms=raw.tick_ms,
        marks_repeats=raw.client_habits.marks_retry,
        max_retry_after_ms=limits.max_retry_after_ms,  # sent even if few clients respect it
        cross_zone_price=raw.prices.cross_zone,
        route_fees=tuple(extra.carriage),
        report_fields=tuple(fields),
        limit_report=(fields.index("x0"), fields.index("x1")) if {"x0", "x1"} <= set(fields) else None,
        safety=_safety(raw.safety),
        goal=Goal(raw.goal.total, raw.goal.worst_window, raw.goal.worst_class, raw.goal.worst_tenant),
    )


def _class(raw: _Class) -> MessageClass:
    return MessageClass(
        name=raw.name,
        effect=EFFECTS[raw.effect],
        latency_objective_ms=raw.latency_objective_ms,
        deadline_ms=raw.deadline_ms,
        priority_weight=raw.priority_weight,
        late_share=raw.late_share,
        key_window_ms=raw.window_ms,
        key_scope=SCOPES[raw.dedup_scope],
        in_order=raw.by_arrival,
    )


def _kind(name: str, index: int, extra: _Extra) -> DestinationKind:
    batches, separate = extra.per_call, extra.separate_routes
    return DestinationKind(
        name,
        batches[index] if index < len(batches) else 1,
        separate[index] if index < len(separate) else False,
    )


def _safety(raw: _Safety) -> Safety:
    return Safety(
        answer_slack_ms=raw.answer_slack_ms,
        drain_grace_ms=raw.drain_grace_ms,
        warm_up_initial_share=raw.warm_up_initial_share,
        warm_up_ms=raw.warm_up_ms,
        overload_multiple=raw.fall_multiple,
        overload_window_ms=raw.fall_ms,
        poll_within_ms=raw.poll_within_ms,
        key_pause_ms=raw.key_quiet_ms,
    )
