"""Work from queues by the whole relay: acknowledged once journalled, answered where it asks for it."""

from __future__ import annotations

import asyncio
import datetime
import json
import random
from collections import Counter
from pathlib import Path
from types import SimpleNamespace
from typing import Any, ClassVar

import pytest
from pamqp import commands

from fakes.amqp_broker import Broker, Faults, Message, Queue
from message_relay.amqp import intake as front
from message_relay.amqp.protocol import Delivered
from message_relay.amqp.settings import AmqpSettings, BrokerSettings, EndpointSettings, QueueSettings

from ..loopback import PATIENCE_S, Agent, Running, host_of, run, until
from .test_broker import serving
from .test_delivery import settings

Properties = commands.Basic.Properties
# As long as a test may take: where a busy machine used up a shorter time, messages were returned for it, and
# the wait for their delivery was in vain.
LASTS = str(round(1000 * PATIENCE_S))


def put(broker: Broker, ident: str, queue: str = "in", body: bytes = b"hello", **more: Any) -> None:
    """As a client that publishes; a value of None leaves the property out."""
    headers = {"destination": "7", "tenant": "t", "idempotency-key": f"k{ident}", **more.pop("headers", {})}
    told = {"message_id": ident, "message_type": "keyed", "expiration": LASTS, "headers": headers, **more}
    told["headers"] = {name: value for name, value in headers.items() if value is not None}
    broker.route(Message("", queue, Properties(**told), body))


def both(inward: int, outward: int, prefetch: int = 20) -> AmqpSettings:
    return AmqpSettings(
        [BrokerSettings("a", [f"127.0.0.1:{inward}"]), BrokerSettings("b", [f"127.0.0.1:{outward}"])],
        [EndpointSettings("jobs", 7, "b", "q", rate=2000.0)],
        [QueueSettings("a", "in", prefetch)],
    )


def brokers(faults: Faults | None = None) -> tuple[Broker, Broker]:
    inward, outward = Broker(), Broker(faults)
    dead = inward.declare("dead")
    inward.kinds["dlx"] = "fanout"
    inward.bindings["dlx"] = [("", dead.name)]
    inward.declare("in", "dlx")
    inward.declare("answers")
    outward.declare("q")
    return inward, outward


def left(queue: Queue) -> int:
    """Messages that nobody has acknowledged."""
    channels = [channel for consumer in queue.consumers for channel in consumer.session.channels.values()]
    return len(queue.waiting) + sum(
        1 for channel in channels for _, of in channel.unacked.values() if of is queue
    )


async def relay_of(tmp_path: Path, amqp: AmqpSettings, **more: Any) -> Running:
    agent = await Agent().start()
    (tmp_path / "state").mkdir(exist_ok=True)
    relay = host_of(
        tmp_path / "state",
        agent,
        amqp=amqp,
        **{"settings": settings(), **more},
        limits={"sockets": 256, "disk_mb": 20},
    )
    await relay.start()
    await until(lambda: 7 in relay.dests)
    return relay


def test_work_comes_in_by_one_broker_and_leaves_by_another(tmp_path: Path) -> None:
    async def work() -> None:
        inward, outward = brokers()
        for n in range(400):
            put(inward, f"m{n}", body=b"x" * random.Random(n).choice((0, 300, 60_000)))
        put(inward, "m7")  # once more under its id: taken once
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b))
            await until(lambda: len(outward.effects) == 400 and not left(inward.queues["in"]))
            await relay.close()
        assert Counter(outward.effects) == {(f"m{n}", f"km{n}"): 1 for n in range(400)}
        assert not inward.queues["dead"].waiting

    run(work())


def test_what_cannot_be_read_goes_to_the_dead_letters_and_the_others_go_on(tmp_path: Path) -> None:
    async def work() -> None:
        inward, outward = brokers()
        bad: dict[str, dict[str, Any]] = {
            "class": {"message_type": "nonsense"},
            "dest": {"headers": {"destination": "x"}},
            "unknown": {"headers": {"destination": "99"}},
            "key": {"headers": {"idempotency-key": None}},
            "left": {"expiration": "soon"},
            "tenant": {"headers": {"tenant": "nobody"}},
            "size": {"body": b"x" * 70_000},
            "": {},
        }
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b))
            for name, told in bad.items():
                put(inward, name, **told)
            put(inward, "good")
            dead = inward.queues["dead"].waiting
            await until(lambda: len(dead) == len(bad) and bool(outward.effects))
            assert {str(each.properties.message_id or "") for each in dead} == set(bad)
            assert [ident for ident, _ in outward.effects] == ["good"]
            await relay.close()

    run(work())


def test_a_full_hold_stops_the_queue_and_refuses_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        inward, outward = brokers()
        outward.blocked = True
        for n in range(60):
            put(inward, f"m{n}")
        told = settings()
        told["limits"]["open-cap"] = 10
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b, prefetch=4), settings=told)
            await until(lambda: len(relay.accepted) == 8 and left(inward.queues["in"]) == 52)
            await asyncio.sleep(0.3)
            assert len(inward.queues["in"].waiting) == 48 and not inward.queues["dead"].waiting
            outward.blocked = False
            outward.do("unblock", {})
            await until(lambda: len(outward.effects) == 60 and not left(inward.queues["in"]))
            await relay.close()
        assert len(set(outward.effects)) == 60

    run(work())


def test_final_answers_go_where_they_are_asked_for_also_after_a_restart(tmp_path: Path) -> None:
    async def work() -> None:
        inward, outward = brokers(Faults({"refuse": 1.0}))
        answers = inward.queues["answers"].waiting
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b))
            put(inward, "one", expiration="900", reply_to="answers", correlation_id="c 1")
            put(inward, "nobody", expiration="900")
            put(inward, "gone", expiration="900", reply_to="no-such-queue")
            await until(lambda: len(answers) == 1 and relay.host.is_idle)
            got = json.loads(answers[0].body)
            assert got["id"] == "one" and got["state"] in ("returned", "failed")
            assert answers[0].properties.correlation_id == "c 1"
            # an answer that cannot be given, and a process that ends with it
            inward.blocked = True
            inward.do("block", {})
            put(inward, "two", expiration="700", reply_to="answers", correlation_id="c2")
            await until(
                lambda: "two" in relay.journal.entries and bool(relay.journal.entries["two"].final_state)
            )
            assert relay.host.pending_outcomes == 1
            await relay.close()
            inward.blocked = False
            inward.do("unblock", {})
            relay = await relay_of(tmp_path, both(a, b))
            await until(lambda: len(answers) == 2 and relay.host.is_idle)
            assert json.loads(answers[1].body)["id"] == "two" and answers[1].properties.correlation_id == "c2"
            await relay.close()

    run(work())


def test_a_consumer_that_is_cancelled_and_a_connection_that_is_cut_are_resumed(tmp_path: Path) -> None:
    async def work() -> None:
        inward, outward = brokers()
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b))
            for n, what in enumerate(("cancel", "cut", "cancel")):
                await until(lambda: bool(inward.queues["in"].consumers))
                put(inward, f"m{n}")
                await until(lambda n=n: len(outward.effects) == n + 1)  # type: ignore[misc]
                inward.do(what, {})
            await until(lambda: bool(inward.queues["in"].consumers))
            put(inward, "last")
            await until(lambda: len(outward.effects) == 4)
            await relay.close()

    run(work())


def test_an_ack_that_comes_after_its_consumer_is_not_taken_for_one_of_the_next() -> None:
    """Its record became safe late, and the next consumer's channel has the same number."""

    class Acks:
        told: ClassVar[list[int]] = []

        def settle(self, channel: int, tag: int, taken: bool) -> None:
            self.told.append(tag)

    async def work() -> None:
        queue = front.Queue(QueueSettings("a", "in"), Any, Any, {}, random.Random(1))  # type: ignore[arg-type]
        acks = Acks()
        queue.link, queue.channel, queue.epoch, queue.journalling = acks, 2, 1, 2  # type: ignore[assignment]
        safe: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        safe.set_result(None)
        delivery = Delivered(2, "c", 1, False, "in", Properties(), b"")
        queue._safe(delivery, 1, safe)
        queue.epoch = 2
        queue._safe(delivery, 1, safe)
        assert acks.told == [1]

    run(work())


def test_a_stop_leaves_what_was_not_taken_in_its_queue(tmp_path: Path) -> None:
    async def work() -> None:
        inward, outward = brokers()
        outward.blocked = True
        for n in range(30):
            put(inward, f"m{n}", expiration="60000", message_type="unsafe")
        told = settings()
        told["limits"]["open-cap"] = 5
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b), settings=told)
            await until(lambda: len(relay.accepted) == 4)
            for queue in relay.host.intakes.values():
                queue.stop()
            await until(lambda: len(inward.queues["in"].waiting) == 26)
            assert next(str(each.properties.message_id) for each in inward.queues["in"].waiting) == "m4"
            await relay.close()
            outward.blocked = False
            relay = await relay_of(tmp_path, both(a, b))
            await until(lambda: len(outward.effects) == 30)
            await relay.close()
        assert len(set(outward.effects)) == 30

    run(work())


def test_time_that_has_passed_since_it_was_sent_is_taken_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = datetime.datetime.now(datetime.UTC)
    # However long a busy machine takes until they are taken, no time passes for the intake.
    monkeypatch.setattr(front, "time", SimpleNamespace(time=now.timestamp))

    async def work() -> None:
        inward, outward = brokers()
        outward.blocked = True
        put(inward, "old", expiration="9000", timestamp=now - datetime.timedelta(seconds=5))
        put(inward, "new", expiration="9000", timestamp=now)
        put(inward, "plain", expiration=None)
        async with serving(inward) as a, serving(outward) as b:
            relay = await relay_of(tmp_path, both(a, b))
            await until(lambda: len(relay.journal.entries) == 3)
            lives = {
                ident: each.deadline_ms - each.accepted_at_ms for ident, each in relay.journal.entries.items()
            }
            assert 4000 <= lives["old"] <= 5100 and 8900 <= lives["new"] <= 9000 and lives["plain"] == 16000
            await relay.close()

    run(work())
