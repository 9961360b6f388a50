"""Delivery to brokers: the outcome of each end of a publish, and thousands of messages through one broker."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from fakes.amqp_broker import Broker, Faults
from message_relay.amqp.reconnect_policy import INITIAL_DELAY_S, JITTER, MAX_DELAY_S, ReconnectPolicy
from message_relay.amqp.settings import AmqpSettings, BrokerSettings, EndpointSettings, read_credentials
from message_relay.amqp.transport import BrokerPublisher, attempt_result
from message_relay.core.ports import Attempt, Submission
from message_relay.decisions.model import Outcome
from message_relay.fleet.operator import decoded

from ..loopback import SETTINGS, Agent, Running, host_of, run, until
from .test_broker import serving


def amqp_settings(port: int, **options: Any) -> AmqpSettings:
    return AmqpSettings(
        [BrokerSettings("b", [f"127.0.0.1:{port}"], **options)],
        [EndpointSettings("jobs", 7, "b", "q", rate=2000.0)],
    )


@contextlib.asynccontextmanager
async def publishing(broker: Broker, **options: Any) -> AsyncIterator[BrokerPublisher]:
    broker.declare("q")
    async with serving(broker) as port:
        publisher = BrokerPublisher(amqp_settings(port, **options), random.Random(1))
        try:
            yield publisher
        finally:
            publisher.close()


def attempt(
    message_id: str = "m1", seconds: float = 5.0, body: bytes = b"hello", may_write: bool = True
) -> Attempt:
    deadline_s = asyncio.get_running_loop().time() + seconds
    return Attempt(1, ("amqp:jobs", 0), message_id, f"k{message_id}", body, deadline_s, lambda: may_write)


@pytest.mark.parametrize(
    ("chances", "outcome", "effects"),
    [
        ({}, Outcome.OK, 1),
        ({"nack": 1.0}, Outcome.ERROR, 0),
        ({"refuse": 1.0}, Outcome.FULL, 0),
        ({"close-after": 1.0}, Outcome.RESET, 1),
        ({"close-before": 1.0}, Outcome.RESET, 0),
        ({"cut-after": 1.0}, Outcome.RESET, 1),
        ({"cut-before": 1.0}, Outcome.RESET, 0),
        ({"half": 1.0}, Outcome.RESET, 1),
        ({"wrong": 1.0}, Outcome.RESET, 1),
        ({"drop": 1.0}, Outcome.TIMEOUT, 1),
    ],
)
def test_outcome_of_each_end_of_a_publish(chances: dict[str, float], outcome: Outcome, effects: int) -> None:
    async def work() -> None:
        broker = Broker(Faults(chances))
        async with publishing(broker) as publisher:
            result = await publisher.attempt(
                attempt(seconds=0.5 if "drop" in chances else 5.0, body=b"x" * 60_000)
            )
            assert result.outcome is outcome and len(broker.effects) == effects
            if effects:
                assert not result.outcome.proves_no_effect
            if outcome is Outcome.OK:
                assert result.is_finished and broker.effects == [("m1", "km1")]
                message = broker.queues["q"].waiting[0]
                assert message.properties.delivery_mode == 2 and message.body == b"x" * 60_000
                assert 0 < int(message.properties.expiration or "0") <= 5000

    run(work())


def test_missing_silent_and_refusing_brokers_give_connect_failed() -> None:
    async def work() -> None:
        publisher = BrokerPublisher(amqp_settings(9), random.Random(1))
        assert (await publisher.attempt(attempt())).outcome is Outcome.CONNECT_FAILED
        started_at = asyncio.get_running_loop().time()
        assert (await publisher.attempt(attempt())).outcome is Outcome.CONNECT_FAILED  # during the backoff
        assert asyncio.get_running_loop().time() - started_at < 0.1
        unresponsive = Broker()
        unresponsive.unresponsive = True
        async with publishing(unresponsive) as publisher:
            assert (await publisher.attempt(attempt(seconds=0.3))).outcome is Outcome.CONNECT_FAILED
        broker = Broker(user="other")
        async with publishing(broker) as publisher:
            assert (await publisher.attempt(attempt())).outcome is Outcome.CONNECT_FAILED
        async with publishing(Broker()) as publisher:
            assert (await publisher.attempt(attempt(may_write=False))).outcome is Outcome.NOT_SENT

    run(work())


def test_blocked_broker_gives_a_retry_delay_and_a_closed_channel_is_replaced() -> None:
    async def work() -> None:
        broker = Broker()
        async with publishing(broker) as publisher:
            assert (await publisher.attempt(attempt("a"))).outcome is Outcome.OK
            broker.run_command("block", {})
            connection = publisher.brokers["b"].connection
            assert connection is not None
            await until(lambda: connection.blocked)
            result = await publisher.attempt(attempt("b"))
            assert result.outcome is Outcome.FULL and result.retry_after_ms == 1000.0
            broker.run_command("unblock", {})
            await until(lambda: not connection.blocked)
            broker.faults.chances = {"close-before": 1.0}
            assert (await publisher.attempt(attempt("c"))).outcome is Outcome.RESET
            broker.faults.chances = {}
            await until(connection.may_publish)
            assert (await publisher.attempt(attempt("d"))).outcome is Outcome.OK and publisher.brokers[
                "b"
            ].connection is connection

    run(work())


def test_late_confirms_are_counted_and_a_channel_without_confirms_is_replaced() -> None:
    async def work() -> None:
        broker = Broker(Faults({"stall": 1.0}, stall_ms=300.0))
        async with publishing(broker) as publisher:
            assert (await publisher.attempt(attempt(seconds=0.15))).outcome is Outcome.TIMEOUT
            await until(lambda: publisher.brokers["b"].late_confirms == 1)
            broker.faults.chances = {"drop": 1.0}
            results = await asyncio.gather(*(publisher.attempt(attempt(f"d{n}", 0.3)) for n in range(300)))
            assert {result.outcome for result in results} <= {Outcome.TIMEOUT, Outcome.CONNECT_FAILED}
            broker.faults.chances = {}
            connection = publisher.brokers["b"].connection
            assert connection is not None
            await until(connection.may_publish)
            assert (await publisher.attempt(attempt("z"))).outcome is Outcome.OK
            assert sum(connection.machine.given_up(n) for n in connection.machine.channels) == 0

    run(work())


def test_missing_heartbeats_end_a_connection() -> None:
    async def work() -> None:
        broker = Broker(Faults({"drop": 1.0}), heartbeat_s=1)
        broker.sends_heartbeats = False
        async with publishing(broker, heartbeat_s=1) as publisher:
            assert (await publisher.attempt(attempt(seconds=10.0))).outcome is Outcome.RESET

    run(work())


def test_reconnect_delays_grow_with_jitter_and_addresses_rotate() -> None:
    policy = ReconnectPolicy(2, random.Random(1))
    delays, addresses = [], []
    for second in range(30):
        addresses.append(policy.address_index)
        delays.append(policy.on_closed(float(second)))
        assert not policy.may_connect(float(second)) and policy.may_connect(policy.not_before)
    assert addresses[:4] == [0, 1, 0, 1] and max(delays) <= MAX_DELAY_S * (1 + JITTER)
    assert delays[0] <= INITIAL_DELAY_S * (1 + JITTER) and delays[-1] >= MAX_DELAY_S * (1 - JITTER)
    policy.on_opened(100.0)
    assert policy.on_closed(101.0) > INITIAL_DELAY_S * (
        1 + JITTER
    )  # open for too short a time to count as healthy
    policy.on_opened(200.0)
    assert policy.on_closed(210.0) <= INITIAL_DELAY_S * (1 + JITTER)
    for _ in range(8):
        policy.on_closed(300.0)
    policy.on_opened(400.0)
    policy.has_confirmed = True
    assert policy.on_closed(400.1) <= INITIAL_DELAY_S * (1 + JITTER) < policy.on_closed(400.2) * 9


def test_outcome_of_a_nack_follows_the_setting() -> None:
    from message_relay.amqp.events import PublishStatus

    never = EndpointSettings("a", 1, "b", "q", nack="never_ran")
    assert attempt_result(PublishStatus.NACKED, never).outcome is Outcome.FULL
    assert attempt_result(PublishStatus.UNWRITTEN, never).outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(
    ("section", "text"),
    [
        ({"brokers": [{"name": "b", "hosts": []}]}, "amqp.brokers[0].hosts"),
        ({"brokers": [{"name": "b", "hosts": ["nohost"]}]}, "'nohost' is not HOST:PORT"),
        ({"brokers": [{"nam": "b", "hosts": ["a:1"]}]}, "'name' is the nearest name"),
        (
            {"endpoints": [{"name": "e", "destination": 1, "broker": "x", "routing_key": "q"}]},
            "endpoints.broker: 'x': brokers are none",
        ),
        (
            {"endpoints": [{"name": "e", "destination": -1, "broker": "x", "routing_key": "q"}]},
            "destination: -1",
        ),
    ],
)
def test_operator_file_is_validated(section: dict[str, Any], text: str) -> None:
    with pytest.raises(ValueError) as caught:
        decoded({"amqp": section}, "f")
    assert text in str(caught.value)


def test_credentials_are_read_from_file_and_never_printed(tmp_path: Path) -> None:
    path = tmp_path / "secret"
    path.write_text("user\ngeheim\n")
    assert read_credentials(BrokerSettings("b", ["a:1"], credentials=str(path))) == ("user", "geheim")
    path.write_text("geheim")
    for credentials_path in (path, tmp_path / "none"):
        with pytest.raises(ValueError) as caught:
            read_credentials(BrokerSettings("b", ["a:1"], credentials=str(credentials_path)))
        assert "geheim" not in str(caught.value) and str(credentials_path) in str(caught.value)


# -- the whole relay through a faulty broker ---------------------------------------------------------------

LEFT_MS = {"keyed": 12000, "unsafe": 12000, "safe": 8000}


def settings() -> dict[str, Any]:
    relay_settings: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    relay_settings["extra"]["call-slots"], relay_settings["limits"]["open-cap"] = 64, 400
    relay_settings["safety"]["cold-from"], relay_settings["safety"]["cold-ms"] = (
        1.0,
        0.0,
    )  # a broker is as fast after a lost connection as before
    return relay_settings


async def submit(relay: Running, count: int, accepted: dict[str, str]) -> None:
    rng = random.Random(5)
    for n in range(count):
        name = rng.choice(("keyed", "unsafe", "safe"))
        submission = Submission(
            f"m{n}", name, "t", 7, f"k{n}", LEFT_MS[name], "", b"x" * rng.choice((10, 300, 9000)), "http"
        )
        while not relay.messages.accept(submission).accepted:
            await asyncio.sleep(0.02)
        accepted[submission.id] = name
        if n % 8 == 0:
            await asyncio.sleep(0.012)


def test_5000_messages_through_a_faulty_broker_keep_all_guarantees(tmp_path: Path) -> None:
    async def work() -> None:
        chances = {
            "drop": 0.01,
            "nack": 0.02,
            "refuse": 0.04,
            "stall": 0.02,
            "close-before": 0.001,
            "close-after": 0.001,
            "cut-before": 0.0005,
            "cut-after": 0.0005,
            "half": 0.0005,
            "wrong": 0.0005,
        }
        broker, accepted = Broker(Faults(chances, 150.0, random.Random(9))), dict[str, str]()
        broker.declare("q")
        agent = await Agent().start()
        (tmp_path / "state").mkdir()
        async with serving(broker) as port:
            relay = host_of(
                tmp_path / "state",
                agent,
                amqp=amqp_settings(port),
                settings=settings(),
                limits={"sockets": 256, "disk_mb": 20},
            )
            await relay.start()
            await until(lambda: 7 in relay.dests)
            await submit(relay, 5000, accepted)
            await until(lambda: not relay.accepted and relay.host.is_idle)
            await relay.close()
        outcomes: dict[str, set[str]] = {}
        while not agent.notices.empty():
            notice = agent.notices.get_nowait()
            outcomes.setdefault(notice["id"], set()).add(notice["state"])
        effects = Counter(message_id for message_id, _ in broker.effects)
        assert len(accepted) == 5000
        assert all(len(states) == 1 for states in outcomes.values())
        assert not [
            message_id for message_id in accepted if message_id not in outcomes and message_id not in effects
        ], "without a final outcome"
        assert not [
            message_id
            for message_id, name in accepted.items()
            if name == "unsafe" and effects[message_id] > 1
        ]
        assert not [
            message_id
            for message_id, states in outcomes.items()
            if accepted[message_id] == "unsafe" and "returned" in states and effects[message_id]
        ]
        delivered = len(accepted) - len(outcomes)  # a slow machine delivers fewer, but not this few
        assert (
            delivered > 2500 and max(effects.values()) > 1
        )  # a safe one may be delivered twice, and here some are

    run(work())
