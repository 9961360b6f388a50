"""Random legal events against the module, watched by the checker; and the checker against each breach."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.decisions import interface as api
from linnetstile.decisions.control import Relay

from .checker import Breach, Checker
from .conftest import make_settings

OUTCOMES = list(api.Outcome)


@st.composite
def setups(draw: st.DrawFn) -> api.Settings:
    def cls(effect: api.Effect, scope: api.Scope, ordered: bool) -> api.MessageClass:
        return api.MessageClass("c", effect, 400.0, 4000.0, 1.0, 0.5, 1200.0, scope, ordered)

    classes = draw(
        st.lists(
            st.builds(
                cls,
                st.sampled_from(api.Effect),
                st.sampled_from([api.Scope.ALL, api.Scope.ZONE]),
                st.booleans(),
            ),
            min_size=1,
            max_size=3,
        )
    )
    return make_settings(
        classes=tuple(classes),
        kinds=(api.DestinationKind("k", routes_apart=draw(st.booleans())),),
        slots=draw(st.integers(1, 6)),
        hold=draw(st.integers(5, 30)),
        attempts=draw(st.integers(1, 5)),
        ask_for_list=draw(st.booleans()),
        rates=draw(st.sampled_from(api.Rates)),
        decay=draw(st.sampled_from(api.Decay)),
        marks_repeats=draw(st.booleans()),
        tenants=tuple(api.Tenant(name, 2.0) for name in "ab"),
        over_share_worth=0.1,
    )


def drive(relay: Relay, setup: api.Settings, seed: int, steps: int = 160, dests: int = 2) -> Checker:
    """Legal events at random, of all kinds: arrivals, resumed messages, each outcome, told waits, drains,
    replaced endpoints, key order, withdrawals and a stop; the checker looks on."""
    rng = random.Random(seed)
    watch, now = Checker(setup), 500.0
    out: dict[tuple[int, int], api.Send] = {}
    tries: dict[int, int] = {}
    timers: list[float] = []
    names = [(10 * d + n, d, n % 2) for d in range(1, dests + 1) for n in range(1, 3 - d % 2 + 1)]
    listed = [api.Endpoint(e, d, api.Listing.READY, 0, z, 20.0) for e, d, z in names]
    events: list[api.Event] = [api.EndpointList(api.ListKind.CACHED, tuple(listed))]
    ids, mood = 0, 0.2
    for step in range(steps):
        for event in events:
            watch.event(now, event)
        for action in relay.handle(now, events):
            watch.action(now, action)
            if isinstance(action, api.Send):
                number = tries.get(action.id, 0)
                tries[action.id] = number + 1
                out[action.id, number] = action
            elif isinstance(action, api.SetTimer):
                timers.append(now + action.delay_ms)
        coming = [t for t in [*timers, *(send.give_up_at_ms for send in out.values())] if t > now]
        now = min(coming, default=now + 25.0) if rng.random() < 0.8 else now + 5.0
        events = [api.TimerFired(0)] if any(t <= now for t in timers) else []
        timers = [t for t in timers if t > now]
        if step % 20 == 0:
            mood = rng.choice([0.0, 0.2, 0.9])
        for (ident, number), send in list(out.items()):
            if now >= send.give_up_at_ms or rng.random() < 0.15:
                outcome = rng.choice(OUTCOMES) if rng.random() < mood else api.Outcome.OK
                outcome = api.Outcome.TIMEOUT if now >= send.give_up_at_ms else outcome
                wait = rng.choice([0.0, 300.0]) if outcome is api.Outcome.FULL else 0.0
                finished = outcome is api.Outcome.OK or watch.seen[ident].over
                del out[ident, number]
                events.append(api.AttemptEnded(ident, number, send.endpoint, outcome, 80.0, finished, wait))
        for _ in range(rng.choice([0, 0, 0, 1, 1, dests]) if step < 0.75 * steps else 0):
            ids += 1
            left = rng.choice([300.0, 2000.0, rng.uniform(500.0, 4000.0), 4000.0])
            dest, age = rng.randint(1, dests + 1), rng.choice([None] * 9 + [700.0])
            there = [entry for entry in listed if entry.destination == dest]
            risk = rng.choice(there) if age is not None and there and rng.random() < 0.6 else None
            events.append(
                api.Message(
                    ids,
                    dest,
                    rng.randrange(len(setup.classes)),
                    left,
                    rng.randrange(2),
                    rng.choice([0, 7, 8]),
                    again=rng.random() < 0.2,
                    age_ms=age,
                    tries=0 if age is None else rng.randint(0, 2),
                    risk_age_ms=None if risk is None else rng.choice([50.0, 600.0]),
                    risk=risk,
                )
            )
        if rng.random() < 0.02:  # an endpoint is replaced by another, under another id
            n = rng.randrange(len(listed))
            old, listed[n] = listed[n], replace(listed[n], id=listed[n].id + 1000)
            events.append(
                api.EndpointList(api.ListKind.CHANGES, (replace(old, listing=api.Listing.GONE), listed[n]))
            )
        if rng.random() < 0.03:
            kind = rng.choice(list(api.ListKind))
            part = rng.sample(listed, len(listed) - 1)
            state = rng.choice(list(api.Listing)) if kind is api.ListKind.CHANGES else api.Listing.READY
            entries = tuple(api.Endpoint(e.id, e.destination, state, 0, e.zone, e.rate) for e in part)
            events.append(api.EndpointList(kind, () if kind is api.ListKind.FAILED else entries))
        if rng.random() < 0.02 and any(not seen.over for seen in watch.seen.values()):
            ident = next(i for i, seen in watch.seen.items() if not seen.over)
            events.append(api.Withdrawn(ident))
            watch.seen[ident].over = True
        if step == steps - 20 and seed % 5 == 0:
            events.append(api.Closing(now + 500.0))
        watch.end_of(now - 60.0)  # a step may be longer than the slack
    return watch


@settings(max_examples=150)
@given(setups(), st.integers(0, 2**32))
def test_no_rule_breaks_under_legal_events(setup: api.Settings, seed: int) -> None:
    drive(Relay(setup, 5), setup, seed)


def watched(**more: Any) -> Checker:
    classes = (
        api.MessageClass("u", api.Effect.UNSAFE, 400.0, 4000.0),
        api.MessageClass("k", api.Effect.KEYED, 400.0, 4000.0, 1.0, 0.0, 1000.0, api.Scope.ZONE),
        api.MessageClass("o", api.Effect.SAFE, 400.0, 4000.0, in_order=True),
    )
    watch = Checker(make_settings(classes=classes, **more))
    watch.event(
        0.0,
        api.EndpointList(
            api.ListKind.CACHED,
            tuple(api.Endpoint(e, 1, api.Listing.READY, 0, z, 2.0) for e, z in ((11, 0), (12, 1))),
        ),
    )
    for ident, class_ in enumerate([0, 1, 2, 2]):
        watch.event(0.0, api.Message(ident, 1, class_, 4000.0, 0, 7))
    return watch


def ended(watch: Checker, ident: int, outcome: api.Outcome, at: float, wait: float = 0.0) -> None:
    number = len(watch.seen[ident].attempts) - 1
    watch.event(at, api.AttemptEnded(ident, number, 11, outcome, 1.0, outcome is api.Outcome.OK, wait))


def test_checker_catches_a_breach_of_each_rule() -> None:
    send = api.Send(0, 11, 4000.0)
    watch = watched()
    with pytest.raises(Breach, match="lost: no final"):
        watch.end_of(4100.0)
    watch.action(1.0, api.Fail(0))
    with pytest.raises(Breach, match="lost: sent after"):
        watch.action(2.0, send)
    with pytest.raises(Breach, match="lost: a second"):
        watch.action(2.0, api.Fail(0))
    watch = watched()
    watch.action(1.0, send)
    with pytest.raises(Breach, match="twice: two attempts"):
        watch.action(2.0, send)
    ended(watch, 0, api.Outcome.TIMEOUT, 3.0)
    with pytest.raises(Breach, match="twice: unsafe"):
        watch.action(4.0, send)
    with pytest.raises(Breach, match="twice: refused"):
        watch.action(4.0, api.Refuse(0))
    watch.action(5.0, api.Send(1, 11, 4000.0))
    ended(watch, 1, api.Outcome.RESET, 6.0)
    with pytest.raises(Breach, match="twice: outside the key's zone"):
        watch.action(7.0, api.Send(1, 12, 4000.0))
    with pytest.raises(Breach, match="twice: outside the key's window"):
        watch.action(1100.0, api.Send(1, 11, 4000.0))
    with pytest.raises(Breach, match="order: an earlier"):
        watch.action(8.0, api.Send(3, 11, 4000.0))
    watch.action(8.0, api.Send(2, 11, 4000.0))
    ended(watch, 2, api.Outcome.TIMEOUT, 8.5)
    watch.event(8.5, api.Withdrawn(2))
    with pytest.raises(Breach, match="order: its key"):
        watch.action(9.0, api.Send(3, 11, 4000.0))
    watch = watched()
    watch.action(1.0, send)
    ended(watch, 0, api.Outcome.FULL, 2.0, wait=500.0)
    with pytest.raises(Breach, match="wait"):
        watch.action(400.0, send)
    watch.event(500.0, api.EndpointList(api.ListKind.CHANGES, (api.Endpoint(11, 1, api.Listing.DRAINING),)))
    with pytest.raises(Breach, match="drain"):
        watch.action(800.0, send)
    watch = watched(attempts=20)
    for at in (1.0, 2.0, 3.0):
        watch.action(at, send)
        ended(watch, 0, api.Outcome.CONNECT_FAILED, at)
    watch.action(4.0, api.Send(2, 11, 4000.0))
    ended(watch, 2, api.Outcome.OK, 5.0)
    with pytest.raises(Breach, match="failback"):
        for _ in range(6):
            watch.action(6.0, send)
            ended(watch, 0, api.Outcome.FULL, 6.0)
