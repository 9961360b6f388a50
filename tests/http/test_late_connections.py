"""Connections requested while a destination was down, and established together on its recovery."""

from __future__ import annotations

import asyncio

from fakes.endpoint import unanswering_listener
from message_relay.core.ports import Attempt, AttemptResult
from message_relay.decisions import slow_start
from message_relay.decisions.events import AttemptCompleted
from message_relay.decisions.model import Outcome
from message_relay.decisions.send_guard import SLOW_CONNECT_MS
from message_relay.http.endpoint_client import EndpointClient

from ..conftest import SAFE, Driver, make_settings
from ..loopback import OK, Server, run

RELAYS = 20
WITHHELD = {"outcome": Outcome.NOT_SENT, "was_withheld": True}


def ejected_destination_with_attempt(relays: int = RELAYS, seed: int = 1) -> tuple[Driver, int]:
    """One of many relays, which has ejected the destination and has just started an attempt: it connects."""
    d = Driver(make_settings(relays=relays), seed=seed)
    d.listed((11, 1), rate=60.0)
    first = d.message()
    d.pass_time(20)
    d.answer(first, Outcome.CONNECT_FAILED)
    assert d.relay.destinations[1][-1].is_ejected
    calls = len(d.sent)
    while len(d.sent) == calls:
        d.pass_time(5)
    return d, d.sent[-1][1].id


def test_late_connection_to_ejected_destination_carries_no_earlier_attempt() -> None:
    d, ident = ejected_destination_with_attempt()
    send = d.out[ident]
    assert d.relay.may_write(d.now + SLOW_CONNECT_MS, ident)  # in time it is sent
    d.now += SLOW_CONNECT_MS + 1
    assert not d.relay.may_write(d.now, ident)
    tries, made = d.relay.pending.by_id[ident].attempts, len(d.sent)
    d.feed(AttemptCompleted(ident, 0, send.endpoint, **WITHHELD))  # type: ignore[arg-type]
    assert d.relay.pending.by_id[ident].attempts == tries - 1  # it does not count as an attempt
    trickle = d.relay.destinations[1][-1].next_trial_at
    while len(d.sent) == made:
        d.pass_time(5)
    at, again = d.sent[-1]
    assert again.id == ident and at >= trickle  # as a new attempt, at the rate of an ejected destination
    assert d.relay.may_write(
        at + 10 * SLOW_CONNECT_MS, ident
    )  # and it is sent where connecting always takes long


def test_late_attempt_is_rescheduled_after_another_found_destination_recovered() -> None:
    d, ident = ejected_destination_with_attempt()
    lane = d.relay.destinations[1][-1]
    slow_start.start_warm_up(d.relay.settings, d.now + 100.0, lane)  # answered meanwhile
    assert not lane.is_ejected and not d.relay.may_write(d.now + SLOW_CONNECT_MS + 1, ident)


def test_late_connection_to_healthy_destination_carries_its_attempt() -> None:
    d = Driver(make_settings(relays=RELAYS))
    d.listed((11, 1), rate=60.0)
    d.warm_up()
    d.pass_time(1000)  # its rate has tokens
    ident = d.message(SAFE)
    d.pass_time(20)
    assert d.out[ident] and d.relay.may_write(d.now + 4 * SLOW_CONNECT_MS, ident)


def test_simultaneous_late_connections_carry_no_burst_and_are_pooled() -> None:
    """Twenty real connections wait for a host that drops packets, and are established on its recovery.
    Without the last check of the rate all of them carry their attempts at the same moment."""

    async def work() -> None:
        held = unanswering_listener(("127.0.0.1", 0))
        address = held[0].getsockname()
        made = [ejected_destination_with_attempt(seed=seed) for seed in range(RELAYS)]
        loop = asyncio.get_running_loop()
        begun = loop.time()
        calls = [EndpointClient(10_000.0, 8000.0, 8) for _ in made]

        async def call(n: int) -> AttemptResult:
            d, ident = made[n]

            def may() -> bool:
                return d.relay.may_write(d.now + (loop.time() - begun) * 1000, ident)

            return await calls[n].attempt(Attempt(11, address, f"m{n}", None, b"b", loop.time() + 8.0, may))

        work = [asyncio.ensure_future(call(n)) for n in range(RELAYS)]
        await asyncio.sleep(0.3)  # the first SYN packets are lost by now, and sent again after a second
        for sock in held:
            sock.close()
        server = await Server(OK).start(address[1])
        results = await asyncio.gather(*work)
        assert loop.time() - begun > SLOW_CONNECT_MS / 1000
        assert [result for result in results if not result.is_withheld] == [] and server.seen == []
        assert all(
            len(each.pool.idle_by_age) == 1 for each in calls
        )  # the next attempt there needs no new connection
        for each in calls:
            each.close()
        server.server.close()

    run(work())
