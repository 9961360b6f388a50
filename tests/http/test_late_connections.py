"""Connections requested while a destination is down, and established together when it recovers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from fakes.endpoint import unanswering_listener
from message_relay.core.ports import Attempt, AttemptResult
from message_relay.decisions import slow_start
from message_relay.decisions.events import AttemptCompleted
from message_relay.decisions.model import Outcome
from message_relay.decisions.send_guard import SLOW_CONNECT_MS
from message_relay.http.endpoint_client import EndpointClient

from ..conftest import SAFE, Driver, make_settings
from ..loopback import OK, Server, run, until
from .harness import make_attempt

RELAYS = 20
WITHHELD = {"outcome": Outcome.NOT_SENT, "was_withheld": True}


def ejected_destination_with_attempt(relays: int = RELAYS, seed: int = 1) -> tuple[Driver, int]:
    """One of many relays, which has ejected the destination and is connecting for an attempt."""
    driver = Driver(make_settings(relays=relays), seed=seed)
    driver.listed((11, 1), rate=60.0)
    first = driver.message()
    driver.pass_time(20)
    driver.answer(first, Outcome.CONNECT_FAILED)
    assert driver.relay.destinations[1][-1].is_ejected
    attempt_count = len(driver.sent)
    while len(driver.sent) == attempt_count:
        driver.pass_time(5)
    return driver, driver.sent[-1][1].id


def test_late_connection_to_ejected_destination_carries_no_earlier_attempt() -> None:
    driver, message_id = ejected_destination_with_attempt()
    send = driver.out[message_id]
    assert driver.relay.may_write(driver.now + SLOW_CONNECT_MS, message_id)  # in time: it is sent
    driver.now += SLOW_CONNECT_MS + 1
    assert not driver.relay.may_write(driver.now, message_id)
    attempts, sent_count = driver.relay.pending.by_id[message_id].attempts, len(driver.sent)
    driver.feed(AttemptCompleted(message_id, 0, send.endpoint, **WITHHELD))  # type: ignore[arg-type]
    assert driver.relay.pending.by_id[message_id].attempts == attempts - 1  # it does not count
    next_trial_at = driver.relay.destinations[1][-1].next_trial_at
    while len(driver.sent) == sent_count:
        driver.pass_time(5)
    at, resent = driver.sent[-1]
    # It is sent as a new attempt, at an ejected destination's rate, even if connecting always takes long.
    assert resent.id == message_id and at >= next_trial_at
    assert driver.relay.may_write(at + 10 * SLOW_CONNECT_MS, message_id)


def test_late_attempt_is_rescheduled_after_another_found_destination_recovered() -> None:
    driver, message_id = ejected_destination_with_attempt()
    destination = driver.relay.destinations[1][-1]
    # Another attempt has got a response.
    slow_start.start_warm_up(driver.relay.settings, driver.now + 100.0, destination)
    assert not destination.is_ejected and not driver.relay.may_write(
        driver.now + SLOW_CONNECT_MS + 1, message_id
    )


def test_late_connection_to_healthy_destination_carries_its_attempt() -> None:
    driver = Driver(make_settings(relays=RELAYS))
    driver.listed((11, 1), rate=60.0)
    driver.warm_up()
    driver.pass_time(1000)  # so that tokens are available
    message_id = driver.message(SAFE)
    driver.pass_time(20)
    assert driver.out[message_id] and driver.relay.may_write(driver.now + 4 * SLOW_CONNECT_MS, message_id)


def test_simultaneous_late_connections_carry_no_burst_and_are_pooled() -> None:
    """Twenty real connections wait for a host that drops packets, and are established when it recovers.
    Without the final check of the rate all of them would send their attempts at the same moment."""

    async def work() -> None:
        unresponsive = unanswering_listener(("127.0.0.1", 0))
        address = unresponsive[0].getsockname()
        relays = [ejected_destination_with_attempt(seed=seed) for seed in range(RELAYS)]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        clients = [EndpointClient(10_000.0, 8000.0, 8) for _ in relays]

        async def attempt(n: int) -> AttemptResult:
            driver, message_id = relays[n]

            def may_write() -> bool:
                return driver.relay.may_write(driver.now + (loop.time() - started_at) * 1000, message_id)

            return await clients[n].attempt(
                Attempt(11, address, f"m{n}", None, b"b", loop.time() + 8.0, may_write)
            )

        attempt_tasks = [asyncio.ensure_future(attempt(n)) for n in range(RELAYS)]
        await asyncio.sleep(0.3)  # by now the first SYN packets are lost; they are sent again after a second
        for sock in unresponsive:
            sock.close()
        server = await Server(OK).start(address[1])
        results = await asyncio.gather(*attempt_tasks)
        assert loop.time() - started_at > SLOW_CONNECT_MS / 1000
        assert [result for result in results if not result.is_withheld] == [] and server.seen == []
        assert all(len(client.pool.idle_by_age) == 1 for client in clients)  # ready for the next attempt
        for client in clients:
            client.close()
        server.server.close()

    run(work())


def test_transport_tells_while_a_connection_is_late() -> None:
    """So that its attempt leaves its slot to others."""

    async def work() -> None:
        unresponsive, server = unanswering_listener(("127.0.0.1", 0)), await Server().start()
        client = EndpointClient(10_000.0, 20_000.0, 8)
        told: list[tuple[str, int]] = []

        async def attempt(address: tuple[str, int]) -> AttemptResult:
            made = make_attempt(address)
            return await client.attempt(replace(made, on_late_connection=lambda: told.append(address)))

        late = asyncio.ensure_future(attempt(unresponsive[0].getsockname()))
        await until(lambda: bool(told))
        assert told == [unresponsive[0].getsockname()]
        late.cancel()
        assert (await attempt(server.address)).outcome is Outcome.OK
        for sock in unresponsive:
            sock.close()
        client.close()

    run(work())
