"""Delivery to brokers by the whole relay: what each broker does, and thousands of messages through one."""

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
from message_relay.amqp.transport import BrokerPublisher, answered
from message_relay.core.ports import Attempt, Submission
from message_relay.decisions.model import Outcome
from message_relay.fleet.operator import decoded

from ..loopback import SETTINGS, Agent, Running, host_of, run, until
from .test_broker import serving


def part(port: int, **more: Any) -> AmqpSettings:
    return AmqpSettings(
        [BrokerSettings("b", [f"127.0.0.1:{port}"], **more)],
        [EndpointSettings("jobs", 7, "b", "q", rate=2000.0)],
    )


@contextlib.asynccontextmanager
async def publishing(broker: Broker, **more: Any) -> AsyncIterator[BrokerPublisher]:
    broker.declare("q")
    async with serving(broker) as port:
        out = BrokerPublisher(part(port, **more), random.Random(1))
        try:
            yield out
        finally:
            out.close()


def attempt(ident: str = "m1", seconds: float = 5.0, body: bytes = b"hello", may: bool = True) -> Attempt:
    until_ = asyncio.get_running_loop().time() + seconds
    return Attempt(1, ("amqp:jobs", 0), ident, f"k{ident}", body, until_, lambda: may)


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
def test_what_each_end_proves(chances: dict[str, float], outcome: Outcome, effects: int) -> None:
    async def work() -> None:
        broker = Broker(Faults(chances))
        async with publishing(broker) as out:
            got = await out.attempt(attempt(seconds=0.5 if "drop" in chances else 5.0, body=b"x" * 60_000))
            assert got.outcome is outcome and len(broker.effects) == effects
            if effects:
                assert not got.outcome.proves_no_effect
            if outcome is Outcome.OK:
                assert got.is_finished and broker.effects == [("m1", "km1")]
                message = broker.queues["q"].waiting[0]
                assert message.properties.delivery_mode == 2 and message.body == b"x" * 60_000
                assert 0 < int(message.properties.expiration or "0") <= 5000

    run(work())


def test_what_is_not_there_or_says_nothing_could_not_be_reached() -> None:
    async def work() -> None:
        out = BrokerPublisher(part(9), random.Random(1))
        assert (await out.attempt(attempt())).outcome is Outcome.CONNECT_FAILED
        begun = asyncio.get_running_loop().time()
        assert (await out.attempt(attempt())).outcome is Outcome.CONNECT_FAILED  # it is not tried again yet
        assert asyncio.get_running_loop().time() - begun < 0.1
        mute = Broker()
        mute.mute = True
        async with publishing(mute) as out:
            assert (await out.attempt(attempt(seconds=0.3))).outcome is Outcome.CONNECT_FAILED
        broker = Broker(user="other")
        async with publishing(broker) as out:
            assert (await out.attempt(attempt())).outcome is Outcome.CONNECT_FAILED
        async with publishing(Broker()) as out:
            assert (await out.attempt(attempt(may=False))).outcome is Outcome.NOT_SENT

    run(work())


def test_a_blocked_broker_is_waited_for_and_a_closed_channel_costs_the_others_nothing() -> None:
    async def work() -> None:
        broker = Broker()
        async with publishing(broker) as out:
            assert (await out.attempt(attempt("a"))).outcome is Outcome.OK
            broker.do("block", {})
            link = out.brokers["b"].link
            assert link is not None
            await until(lambda: link.blocked)
            got = await out.attempt(attempt("b"))
            assert got.outcome is Outcome.FULL and got.retry_after_ms == 1000.0
            broker.do("unblock", {})
            await until(lambda: not link.blocked)
            broker.faults.chances = {"close-before": 1.0}
            assert (await out.attempt(attempt("c"))).outcome is Outcome.RESET
            broker.faults.chances = {}
            await until(link.may_publish)
            assert (await out.attempt(attempt("d"))).outcome is Outcome.OK and out.brokers["b"].link is link

    run(work())


def test_a_confirm_that_comes_late_is_kept_count_of_and_a_broker_that_never_confirms_gets_a_new_channel() -> (
    None
):
    async def work() -> None:
        broker = Broker(Faults({"stall": 1.0}, stall_ms=300.0))
        async with publishing(broker) as out:
            assert (await out.attempt(attempt(seconds=0.15))).outcome is Outcome.TIMEOUT
            await until(lambda: out.brokers["b"].late == 1)
            broker.faults.chances = {"drop": 1.0}
            got = await asyncio.gather(*(out.attempt(attempt(f"d{n}", 0.3)) for n in range(300)))
            assert {each.outcome for each in got} <= {Outcome.TIMEOUT, Outcome.CONNECT_FAILED}
            broker.faults.chances = {}
            link = out.brokers["b"].link
            assert link is not None
            await until(link.may_publish)
            assert (await out.attempt(attempt("z"))).outcome is Outcome.OK
            assert sum(link.machine.given_up(n) for n in link.machine.channels) == 0

    run(work())


def test_silence_ends_a_connection_by_its_heartbeats() -> None:
    async def work() -> None:
        broker = Broker(Faults({"drop": 1.0}), heartbeat_s=1)
        broker.beats = False
        async with publishing(broker, heartbeat_s=1) as out:
            assert (await out.attempt(attempt(seconds=10.0))).outcome is Outcome.RESET

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


def test_a_nack_means_what_the_operator_says() -> None:
    from message_relay.amqp.protocol import Fate

    never = EndpointSettings("a", 1, "b", "q", nack="never_ran")
    assert answered(Fate.NACKED, never).outcome is Outcome.FULL
    assert answered(Fate.UNWRITTEN, never).outcome is Outcome.CONNECT_FAILED


@pytest.mark.parametrize(
    ("told", "text"),
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
def test_operator_file_is_validated(told: dict[str, Any], text: str) -> None:
    with pytest.raises(ValueError) as caught:
        decoded({"amqp": told}, "f")
    assert text in str(caught.value)


def test_credentials_are_read_from_file_and_never_shown(tmp_path: Path) -> None:
    path = tmp_path / "secret"
    path.write_text("user\ngeheim\n")
    assert read_credentials(BrokerSettings("b", ["a:1"], credentials=str(path))) == ("user", "geheim")
    path.write_text("geheim")
    for where in (path, tmp_path / "none"):
        with pytest.raises(ValueError) as caught:
            read_credentials(BrokerSettings("b", ["a:1"], credentials=str(where)))
        assert "geheim" not in str(caught.value) and str(where) in str(caught.value)


# -- the whole relay through a bad broker ------------------------------------------------------------------

LEFT_MS = {"keyed": 12000, "unsafe": 12000, "safe": 8000}


def settings() -> dict[str, Any]:
    told: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(SETTINGS))
    told["extra"]["call-slots"], told["limits"]["open-cap"] = 64, 400
    told["safety"]["cold-from"], told["safety"]["cold-ms"] = (
        1.0,
        0.0,
    )  # a broker is as quick after a break as before
    return told


async def hand_in(relay: Running, count: int, taken: dict[str, str]) -> None:
    rng = random.Random(5)
    for n in range(count):
        name = rng.choice(("keyed", "unsafe", "safe"))
        offer = Submission(
            f"m{n}", name, "t", 7, f"k{n}", LEFT_MS[name], "", b"x" * rng.choice((10, 300, 9000)), "http"
        )
        while not relay.messages.accept(offer).accepted:
            await asyncio.sleep(0.02)
        taken[offer.id] = name
        if n % 8 == 0:
            await asyncio.sleep(0.012)


def test_5000_messages_through_a_broker_that_drops_stalls_refuses_and_closes(tmp_path: Path) -> None:
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
        broker, taken = Broker(Faults(chances, 150.0, random.Random(9))), dict[str, str]()
        broker.declare("q")
        agent = await Agent().start()
        (tmp_path / "state").mkdir()
        async with serving(broker) as port:
            relay = host_of(
                tmp_path / "state",
                agent,
                amqp=part(port),
                settings=settings(),
                limits={"sockets": 256, "disk_mb": 20},
            )
            await relay.start()
            await until(lambda: 7 in relay.dests)
            await hand_in(relay, 5000, taken)
            await until(lambda: not relay.accepted and relay.host.is_idle)
            await relay.close()
        ends: dict[str, set[str]] = {}
        while not agent.notices.empty():
            told = agent.notices.get_nowait()
            ends.setdefault(told["id"], set()).add(told["state"])
        effects = Counter(ident for ident, _ in broker.effects)
        assert len(taken) == 5000
        assert all(len(states) == 1 for states in ends.values())
        assert not [ident for ident in taken if ident not in ends and ident not in effects], "without an end"
        assert not [ident for ident, name in taken.items() if name == "unsafe" and effects[ident] > 1]
        assert not [
            ident
            for ident, states in ends.items()
            if taken[ident] == "unsafe" and "returned" in states and effects[ident]
        ]
        delivered = len(taken) - len(ends)  # a slow machine delivers fewer: no rule, but not few
        assert delivered > 2500 and max(effects.values()) > 1  # a safe one may come twice, and here some do

    run(work())
