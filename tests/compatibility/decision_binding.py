"""Binding between the decision traces and the product, whose names no other module of the traces uses.

Functions take plain positional arguments and return neutral values. When something in the product is renamed
or moved, only this module changes, and neither the scenarios nor the fixtures.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from itertools import islice
from typing import Any, NamedTuple

from emulator.experiment import decoded
from emulator.runs import one
from message_relay.decisions import actions, events, model
from message_relay.decisions.idempotency import idempotency_window_end, retry_deadline
from message_relay.decisions.destinations import DestinationState
from message_relay.decisions.pending import PendingMessage, PriorityBucket
from message_relay.decisions.priority_index import candidates
from message_relay.decisions.outlier_detection import endpoint_penalty, is_suspected
from message_relay.decisions.latency import overdue_ms
from message_relay.decisions.scheduler import DeliveryScheduler
from message_relay.decisions.slow_start import estimate_senders

from .decision_scenarios import InstancePosition, Scenario

Scheduler = DeliveryScheduler
Event = events.Event
Endpoint = model.Endpoint
Message = events.Message

EFFECTS = {
    "safe": model.Effect.SAFE,
    "keyed": model.Effect.KEYED,
    "unsafe": model.Effect.UNSAFE,
}
SCOPES = {"all": model.Scope.ALL, "zone": model.Scope.ZONE, "endpoint": model.Scope.ENDPOINT}
OUTCOMES = {
    "ok": model.Outcome.OK,
    "error": model.Outcome.ERROR,
    "full": model.Outcome.FULL,
    "timeout": model.Outcome.TIMEOUT,
    "connect_failed": model.Outcome.CONNECT_FAILED,
    "reset": model.Outcome.RESET,
    "cancelled": model.Outcome.CANCELLED,
    "not_sent": model.Outcome.NOT_SENT,
}
LISTINGS = {
    "ready": model.Listing.READY,
    "draining": model.Listing.DRAINING,
    "gone": model.Listing.REMOVED,
    "unneeded": model.Listing.UNNEEDED,
}
LIST_KINDS = {
    "changes": model.ListKind.CHANGES,
    "whole": model.ListKind.COMPLETE,
    "cached": model.ListKind.CACHED,
    "failed": model.ListKind.FAILED,
}
RATES = {
    "none": model.Rates.NONE,
    "nominal": model.Rates.NOMINAL,
    "rough": model.Rates.ROUGH,
}
DECAYS = {"line": model.Decay.LINE, "half_life": model.Decay.HALVES}

SNAPSHOT_ROWS = 12  # rows of each table in one snapshot


class Action(NamedTuple):
    """An action of the scheduler in neutral terms."""

    kind: str
    number: int = 0  # of the message; for a timer, its token
    endpoint: int = 0
    value: float = 0.0


class KnownDestination(NamedTuple):
    """State of a destination that a process hands over to the next one."""

    destination: int
    wait_ms: float
    is_out: bool
    failing_for_ms: float | None
    back_for_ms: float | None


# -- settings ----------------------------------------------------------------------------------------------


def _fleet(position: InstancePosition) -> model.Fleet:
    return model.Fleet(position.number, position.size, position.clock_ms)


def _settings(scenario: Scenario) -> model.Settings:
    limits, goal = scenario.limits, scenario.goal_weights
    return model.Settings(
        classes=tuple(
            model.MessageClass(
                entry.name,
                EFFECTS[entry.effect],
                entry.target_ms,
                entry.deadline_ms,
                entry.value,
                entry.late_fraction,
                entry.key_window_ms,
                SCOPES[entry.key_scope],
                entry.ordered,
            )
            for entry in scenario.classes
        ),
        kinds=tuple(
            model.DestinationKind(entry.name, entry.batch, entry.separate_routes) for entry in scenario.kinds
        ),
        max_concurrent_attempts=scenario.slots,
        max_pending_messages=scenario.max_pending,
        max_attempts=scenario.attempts,
        relays=scenario.instances,
        zone=scenario.zone,
        tenants=tuple(model.Tenant(entry.name, entry.per_second) for entry in scenario.tenants),
        over_quota_weight=scenario.over_quota_value,
        decay=DECAYS[scenario.decay],
        rates=RATES[scenario.rates],
        polls_discovery=scenario.ask_for_list,
        idle_ms=scenario.idle_ms,
        tick_ms=scenario.tick_ms,
        marks_repeats=scenario.marks_repeats,
        max_retry_after_ms=scenario.longest_retry_after_ms,
        cross_zone_price=scenario.cross_zone_price,
        route_fees=scenario.zone_fees,
        report_fields=("left", "limit") if scenario.reports_limit else (),
        limit_report=(0, 1) if scenario.reports_limit else None,
        safety=model.Safety(
            limits.answer_slack_ms,
            limits.drain_grace_ms,
            limits.cold_fraction,
            limits.cold_ms,
            limits.collapse_multiple,
            limits.collapse_ms,
            limits.ask_within_ms,
            limits.key_rest_ms,
        ),
        goal=model.Goal(*goal),
        fleet=None if scenario.fleet_position is None else _fleet(scenario.fleet_position),
    )


def new_scheduler(scenario: Scenario, seed: int) -> Scheduler:
    return DeliveryScheduler(_settings(scenario), seed)


# -- events ------------------------------------------------------------------------------------------------


def endpoint(number: int, destination: int, listing: str, kind: int, zone: int, rate: float) -> Endpoint:
    return model.Endpoint(number, destination, LISTINGS[listing], kind, zone, rate)


def endpoint_list(kind: str, entries: Sequence[Endpoint]) -> Event:
    return events.EndpointList(LIST_KINDS[kind], tuple(entries))


def message(
    number: int,
    destination: int,
    class_number: int,
    left_ms: float,
    tenant: int,
    key: int,
    work_ms: float | None,
    again: bool,
    from_dead_instance: bool,
) -> Message:
    return events.Message(
        number, destination, class_number, left_ms, tenant, key, work_ms, again, from_dead_instance
    )


def resumed_message(
    number: int,
    destination: int,
    class_number: int,
    left_ms: float,
    tenant: int,
    key: int,
    age_ms: float,
    attempts: int,
    uncertain_for_ms: float | None,
    uncertain_endpoint: Endpoint | None,
) -> Message:
    """Returns a message that an earlier process accepted."""
    return events.Message(
        number,
        destination,
        class_number,
        left_ms,
        tenant,
        key,
        age_ms=age_ms,
        attempts=attempts,
        uncertain_for_ms=uncertain_for_ms,
        uncertain_endpoint=uncertain_endpoint,
    )


def as_event(event: Message) -> Event:
    return event


def attempt_completed(
    number: int,
    attempt: int,
    endpoint_number: int,
    outcome: str,
    latency_ms: float,
    is_final: bool,
    wait_ms: float,
    had_no_slot: bool,
    report: tuple[float, ...],
    was_withheld: bool,
) -> Event:
    return events.AttemptCompleted(
        number,
        attempt,
        endpoint_number,
        OUTCOMES[outcome],
        latency_ms,
        is_final,
        wait_ms,
        had_no_slot,
        report,
        was_withheld,
    )


def probe_completed(endpoint_number: int, outcome: str, latency_ms: float) -> Event:
    return events.ProbeCompleted(endpoint_number, OUTCOMES[outcome], latency_ms)


def message_cancelled(number: int) -> Event:
    return events.MessageCancelled(number)


def timer_fired(token: int) -> Event:
    return events.TimerFired(token)


def shutdown_scheduled(at_ms: float) -> Event:
    return events.ShutdownScheduled(at_ms)


def restored_destination(known: KnownDestination) -> Event:
    return events.RestoredDestination(
        known.destination, known.wait_ms, known.is_out, known.failing_for_ms, known.back_for_ms
    )


def fleet_resized(position: InstancePosition) -> Event:
    return _fleet(position)


# -- calls -------------------------------------------------------------------------------------------------


def _neutral_action(action: actions.Action) -> Action:
    match action:
        case actions.StartAttempt():
            return Action("send", action.id, action.endpoint, action.give_up_at_ms)
        case actions.Reject():
            return Action("refuse", action.id, 0, action.retry_after_ms)
        case actions.Fail():
            return Action("fail", action.id)
        case actions.Cancel():
            return Action("cancel", action.id, action.attempt)
        case actions.SetTimer():
            return Action("timer", action.token, 0, action.delay_ms)
        case actions.Probe():
            return Action("probe", 0, action.endpoint)
        case actions.WatchEndpoints():
            return Action("ask_for_list")
        case actions.Log():
            return Action("log")


def handle(scheduler: Scheduler, now_ms: float, events: list[Event]) -> list[Action]:
    return [_neutral_action(action) for action in scheduler.handle(now_ms, events)]


def rejection_delay(scheduler: Scheduler, now_ms: float, offered: Message, pending: int) -> float | None:
    return scheduler.rejection_delay_ms(now_ms, offered, pending)


def may_write(scheduler: Scheduler, now_ms: float, number: int) -> bool:
    return scheduler.may_write(now_ms, number)


def known_destinations(scheduler: Scheduler, now_ms: float) -> list[KnownDestination]:
    return [
        KnownDestination(
            state.destination,
            state.retry_after_ms,
            state.is_ejected,
            state.failing_for_ms,
            state.warming_up_for_ms,
        )
        for state in scheduler.destination_snapshot(now_ms)
    ]


# -- snapshots ---------------------------------------------------------------------------------------------

Row = tuple[str | int | float | bool | None, ...]


def _destination_row(destination: int, route: int, state: DestinationState) -> Row:
    share = state.time_slots
    slot: Row = (
        ()
        if share is None
        else (
            share.frame_ms,
            share.last_used_frame,
            share.phase,
            share.healthy_since,
            share.evidence_valid_until,
        )
    )
    return (
        *(
            "lane",
            destination,
            route,
            state.latency_mean_ms,
            state.latency_deviation_ms,
            state.fleet_rate,
            state.send_rate,
            state.tokens,
        ),
        *(
            state.tokens_updated_at,
            state.response_count,
            state.last_success_at,
            state.timeout_multiplier,
            state.throttle_ms,
            state.throttled_until,
        ),
        *(
            state.retry_after_until,
            state.failure_score,
            state.is_ejected,
            state.last_failure_at,
            state.last_failure_had_no_effect,
            state.failing_since,
        ),
        *(
            state.warming_since,
            state.estimated_senders,
            state.next_trial_at,
            state.has_listed_rate,
            len(state.in_flight),
            len(state.endpoints),
        ),
        *slot,
    )


def _rate_row(scheduler: Scheduler, now_ms: float, destination: int, state: DestinationState) -> Row:
    rates, suspected = scheduler.rate_controller, is_suspected(state, now_ms)
    penalties = (endpoint_penalty(entry, now_ms, 0) for entry in state.endpoints.values())
    return (
        *("pace", destination, suspected, overdue_ms(state), *rates.rate_and_burst(now_ms, state, suspected)),
        *(
            *rates.rate_and_burst(now_ms, state, True),
            estimate_senders(scheduler.settings, now_ms, state),
            rates.rate_stable_until(now_ms, state),
        ),
        *(scheduler.drain_estimate.retry_after_ms(now_ms, destination), *penalties),
    )


def _pending_row(scheduler: Scheduler, now_ms: float, pending: PendingMessage) -> Row:
    return (
        *(
            "held",
            pending.message.id,
            pending.submitted_at,
            pending.deadline_at,
            pending.priority_weight,
            pending.backoff_until,
            pending.attempts,
            pending.first_uncertain_at,
        ),
        *(
            pending.is_cancelled,
            pending.was_deferred,
            pending.can_be_shed,
            pending.parked_until,
            pending.in_flight_on is not None,
        ),
        *(
            retry_deadline(scheduler.settings, pending),
            idempotency_window_end(scheduler.settings, pending),
            pending.value_at(now_ms, scheduler.settings.decay),
        ),
    )


def _bucket_row(now_ms: float, bucket: PriorityBucket, state: DestinationState) -> Row:
    messages, valid_until = candidates(bucket, state, now_ms)
    return (
        "course",
        *bucket.key[:5],
        len(bucket.ready),
        len(bucket.parked),
        valid_until,
        *(pending.message.id for pending in messages),
    )


def _bucket_rows(scheduler: Scheduler, now_ms: float) -> list[Row]:
    return [
        _bucket_row(now_ms, bucket, state)
        for queue in islice(scheduler.pending.queues.values(), SNAPSHOT_ROWS)
        for bucket in islice(queue.buckets.values(), SNAPSHOT_ROWS)
        for state in islice(scheduler.destinations.get(queue.destination_id, {}).values(), 1)
    ]


def snapshot(scheduler: Scheduler, now_ms: float) -> list[Row]:
    """Returns the state of the scheduler as rows of a trace. Reading it changes nothing."""
    pending, index, rates = scheduler.pending, scheduler.index, scheduler.rate_controller
    random_state = hashlib.sha256(repr(scheduler.rng.getstate()).encode()).hexdigest()[:16]
    rows: list[Row] = [
        ("random", random_state),
        (
            "counts",
            len(pending.by_id),
            len(pending.queues),
            scheduler.in_flight,
            len(scheduler.registry.endpoints),
        ),
        ("times", scheduler.timer_at, scheduler.registry.next_poll_at, *rates.default_latency),
        ("index", index.bounds_valid_until, len(index.buckets)),
        ("quotas", *(value for quota in scheduler.admission.quota_tokens for value in quota)),
        ("waiting", *islice(pending.queues, SNAPSHOT_ROWS)),
    ]
    rows += [
        ("cell", *bucket.key, bucket.upper_bound, bucket.top_rank)
        for bucket in islice(index.buckets.values(), SNAPSHOT_ROWS)
    ]
    states = [
        (destination, route, state)
        for destination, routes in scheduler.destinations.items()
        for route, state in routes.items()
    ][:SNAPSHOT_ROWS]
    rows += [_destination_row(*entry) for entry in states]
    rows += [_rate_row(scheduler, now_ms, destination, state) for destination, _, state in states]
    rows += _bucket_rows(scheduler, now_ms)
    messages = islice(pending.by_id.values(), SNAPSHOT_ROWS)
    rows += [_pending_row(scheduler, now_ms, entry) for entry in messages]
    rows += [("end", *scheduler.expiry.deadline_heap[0])] if scheduler.expiry.deadline_heap else []
    return rows


# -- the emulator ------------------------------------------------------------------------------------------

EXPERIMENT: dict[str, Any] = {
    "name": "trace",
    "traffic": {"rate": 30.0, "seconds": 14.0, "warm_s": 2.0},
    "partners": [
        {
            "rate": {"per_s": 45.0, "wait_ms": [50.0, 200.0]},
            "error": 0.05,
            "reset": 0.03,
            "hang": 0.02,
            "refuse": 0.03,
            "endpoints": 2,
            "cold": {"share": 0.2, "warm_ms": 4000.0},
            "troubles": [
                {"fault": "down", "begin_s": 4, "end_s": 6},
                {"fault": "silent", "begin_s": 9, "end_s": 10},
            ],
            "changes": [{"at_s": 7, "endpoint": 1, "listing": "draining"}],
        }
    ],
    "fleet": {"relays": 3, "restarts": [{"relay": 0, "at_s": 5}, {"relay": 1, "at_s": 8, "how": "kill"}]},
}


def experiment_rows(seed: int) -> list[Row]:
    """Runs one short experiment in virtual time; returns its figures in order, without their names."""
    experiment = decoded(EXPERIMENT, "trace")
    result = one(experiment, experiment.all_variants()[0], seed)
    rows: list[Row] = [("totals", result.breaks, result.messages, result.turns, len(result.broken))]
    rows += [("figure", value) for value in result.figures.values()]
    rows += [("series", *values) for values in result.series.values()]
    rows += [("destination", *values) for values in result.destinations]
    return rows
