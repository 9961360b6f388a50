"""The only place at which the decision traces name the product's classes, functions and fields.

Functions take plain positional arguments and return neutral values. When something of the product is renamed
or moved, this file follows, and neither the scenarios nor the fixtures change.
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

from .decision_scenarios import InstancePlace, Scenario

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
    """What the scheduler wants done, in neutral terms."""

    kind: str
    number: int = 0  # of the message, or the token of a timer
    endpoint: int = 0
    value: float = 0.0


class Knowledge(NamedTuple):
    """What a process passes on of one destination."""

    destination: int
    wait_ms: float
    out: bool
    failing_for_ms: float | None
    back_for_ms: float | None


# -- settings ----------------------------------------------------------------------------------------------


def _place(place: InstancePlace) -> model.Fleet:
    return model.Fleet(place.number, place.size, place.clock_ms)


def _settings(scenario: Scenario) -> model.Settings:
    limits, goal = scenario.limits, scenario.goal_weights
    return model.Settings(
        classes=tuple(
            model.MessageClass(
                each.name,
                EFFECTS[each.effect],
                each.target_ms,
                each.deadline_ms,
                each.value,
                each.late_fraction,
                each.key_window_ms,
                SCOPES[each.key_scope],
                each.ordered,
            )
            for each in scenario.classes
        ),
        kinds=tuple(
            model.DestinationKind(each.name, each.batch, each.separate_routes) for each in scenario.kinds
        ),
        max_concurrent_attempts=scenario.slots,
        max_pending_messages=scenario.hold,
        max_attempts=scenario.attempts,
        relays=scenario.instances,
        zone=scenario.zone,
        tenants=tuple(model.Tenant(each.name, each.per_second) for each in scenario.tenants),
        over_quota_weight=scenario.over_quota_value,
        decay=DECAYS[scenario.decay],
        rates=RATES[scenario.rates],
        polls_discovery=scenario.ask_for_list,
        idle_ms=scenario.idle_ms,
        tick_ms=scenario.tick_ms,
        marks_repeats=scenario.marks_repeats,
        max_retry_after_ms=scenario.longest_advice_ms,
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
        fleet=None if scenario.agreed is None else _place(scenario.agreed),
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
    tries: int,
    risk_age_ms: float | None,
    risk: Endpoint | None,
) -> Message:
    """One that an earlier process took on."""
    return events.Message(
        number,
        destination,
        class_number,
        left_ms,
        tenant,
        key,
        age_ms=age_ms,
        attempts=tries,
        uncertain_for_ms=risk_age_ms,
        uncertain_endpoint=risk,
    )


def message_event(it: Message) -> Event:
    return it


def attempt_ended(
    number: int,
    attempt: int,
    endpoint_number: int,
    outcome: str,
    latency_ms: float,
    finished: bool,
    wait_ms: float,
    no_slot: bool,
    report: tuple[float, ...],
    held_back: bool,
) -> Event:
    return events.AttemptCompleted(
        number,
        attempt,
        endpoint_number,
        OUTCOMES[outcome],
        latency_ms,
        finished,
        wait_ms,
        no_slot,
        report,
        held_back,
    )


def probe_ended(endpoint_number: int, outcome: str, latency_ms: float) -> Event:
    return events.ProbeCompleted(endpoint_number, OUTCOMES[outcome], latency_ms)


def withdrawn(number: int) -> Event:
    return events.MessageCancelled(number)


def timer_fired(token: int) -> Event:
    return events.TimerFired(token)


def closing(at_ms: float) -> Event:
    return events.ShutdownScheduled(at_ms)


def recalled(it: Knowledge) -> Event:
    return events.RestoredDestination(it.destination, it.wait_ms, it.out, it.failing_for_ms, it.back_for_ms)


def resized(place: InstancePlace) -> Event:
    return _place(place)


# -- calls -------------------------------------------------------------------------------------------------


def _neutral(action: actions.Action) -> Action:
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
    return [_neutral(action) for action in scheduler.handle(now_ms, events)]


def turned_away(scheduler: Scheduler, now_ms: float, offered: Message, holding: int) -> float | None:
    return scheduler.rejection_delay_ms(now_ms, offered, holding)


def may_write(scheduler: Scheduler, now_ms: float, number: int) -> bool:
    return scheduler.may_write(now_ms, number)


def knowledge(scheduler: Scheduler, now_ms: float) -> list[Knowledge]:
    return [
        Knowledge(it.destination, it.retry_after_ms, it.is_ejected, it.failing_for_ms, it.warming_up_for_ms)
        for it in scheduler.destination_snapshot(now_ms)
    ]


# -- snapshots ---------------------------------------------------------------------------------------------

Row = tuple[str | int | float | bool | None, ...]


def _lane_row(destination: int, route: int, lane: DestinationState) -> Row:
    share = lane.time_slots
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
            lane.latency_mean_ms,
            lane.latency_deviation_ms,
            lane.fleet_rate,
            lane.send_rate,
            lane.tokens,
        ),
        *(
            lane.tokens_updated_at,
            lane.response_count,
            lane.last_success_at,
            lane.timeout_multiplier,
            lane.throttle_ms,
            lane.throttled_until,
        ),
        *(
            lane.retry_after_until,
            lane.failure_score,
            lane.is_ejected,
            lane.last_failure_at,
            lane.last_failure_had_no_effect,
            lane.failing_since,
        ),
        *(
            lane.warming_since,
            lane.estimated_senders,
            lane.next_trial_at,
            lane.has_listed_rate,
            len(lane.in_flight),
            len(lane.endpoints),
        ),
        *slot,
    )


def _pace_row(scheduler: Scheduler, now_ms: float, destination: int, lane: DestinationState) -> Row:
    paces, out = scheduler.rate_controller, is_suspected(lane, now_ms)
    doubts = (endpoint_penalty(door, now_ms, 0) for door in lane.endpoints.values())
    return (
        *("pace", destination, out, overdue_ms(lane), *paces.rate_and_burst(now_ms, lane, out)),
        *(
            *paces.rate_and_burst(now_ms, lane, True),
            estimate_senders(scheduler.settings, now_ms, lane),
            paces.rate_stable_until(now_ms, lane),
        ),
        *(scheduler.drain_estimate.retry_after_ms(now_ms, destination), *doubts),
    )


def _held_row(scheduler: Scheduler, now_ms: float, held: PendingMessage) -> Row:
    return (
        *(
            "held",
            held.message.id,
            held.submitted_at,
            held.deadline_at,
            held.priority_weight,
            held.backoff_until,
            held.attempts,
            held.first_uncertain_at,
        ),
        *(
            held.is_cancelled,
            held.was_deferred,
            held.can_be_shed,
            held.parked_until,
            held.in_flight_on is not None,
        ),
        *(
            retry_deadline(scheduler.settings, held),
            idempotency_window_end(scheduler.settings, held),
            held.value_at(now_ms, scheduler.settings.decay),
        ),
    )


def _course_row(now_ms: float, course: PriorityBucket, lane: DestinationState) -> Row:
    found, change = candidates(course, lane, now_ms)
    return (
        "course",
        *course.key[:5],
        len(course.ready),
        len(course.parked),
        change,
        *(h.message.id for h in found),
    )


def _course_rows(scheduler: Scheduler, now_ms: float) -> list[Row]:
    return [
        _course_row(now_ms, course, lane)
        for queue in islice(scheduler.pending.queues.values(), SNAPSHOT_ROWS)
        for course in islice(queue.buckets.values(), SNAPSHOT_ROWS)
        for lane in islice(scheduler.destinations.get(queue.destination_id, {}).values(), 1)
    ]


def snapshot(scheduler: Scheduler, now_ms: float) -> list[Row]:
    """What is believed now, for the lines of a trace; looking changes nothing."""
    board, index, paces = scheduler.pending, scheduler.index, scheduler.rate_controller
    draws = hashlib.sha256(repr(scheduler.rng.getstate()).encode()).hexdigest()[:16]
    rows: list[Row] = [
        ("random", draws),
        (
            "counts",
            len(board.by_id),
            len(board.queues),
            scheduler.in_flight,
            len(scheduler.registry.endpoints),
        ),
        ("times", scheduler.timer_at, scheduler.registry.next_poll_at, *paces.default_latency),
        ("index", index.bounds_valid_until, len(index.buckets)),
        ("quotas", *(value for quota in scheduler.admission.quota_tokens for value in quota)),
        ("waiting", *islice(board.queues, SNAPSHOT_ROWS)),
    ]
    rows += [
        ("cell", *cell.key, cell.upper_bound, cell.top_rank)
        for cell in islice(index.buckets.values(), SNAPSHOT_ROWS)
    ]
    lanes = [
        (destination, route, lane)
        for destination, routes in scheduler.destinations.items()
        for route, lane in routes.items()
    ][:SNAPSHOT_ROWS]
    rows += [_lane_row(*each) for each in lanes]
    rows += [_pace_row(scheduler, now_ms, destination, lane) for destination, _, lane in lanes]
    rows += _course_rows(scheduler, now_ms)
    held = islice(board.by_id.values(), SNAPSHOT_ROWS)
    rows += [_held_row(scheduler, now_ms, each) for each in held]
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


def emulated(seed: int) -> list[Row]:
    """One short experiment in virtual time: its figures, in their order, without their names."""
    experiment = decoded(EXPERIMENT, "trace")
    result = one(experiment, experiment.all_variants()[0], seed)
    rows: list[Row] = [("totals", result.breaks, result.messages, result.turns, len(result.broken))]
    rows += [("figure", value) for value in result.figures.values()]
    rows += [("series", *values) for values in result.series.values()]
    rows += [("destination", *values) for values in result.destinations]
    return rows
