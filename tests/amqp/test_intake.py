"""Intake from queues by the whole relay: acks after the journal, outcomes to the reply queue."""

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
from message_relay.amqp import deliveries
from message_relay.amqp.events import Delivered
from message_relay.amqp.queue_consumer import QueueConsumer
from message_relay.amqp.settings import AmqpSettings, BrokerSettings, EndpointSettings, QueueSettings

from ..loopback import PATIENCE_S, Agent, Running, host_of, run, until
from .test_broker import serving
from .test_delivery import settings

Properties = commands.Basic.Properties
# As long as a test may take: with a shorter time, messages expired and were returned on a busy machine, and
# the test waited for their delivery in vain.
EXPIRATION = str(round(1000 * PATIENCE_S))


def publish(
    broker: Broker, message_id: str, queue: str = "in", body: bytes = b"hello", **options: Any
) -> None:
    """Publishes like a client; a header whose value is None is left out."""
    headers = {
        "destination": "7",
        "tenant": "t",
        "idempotency-key": f"k{message_id}",
        **options.pop("headers", {}),
    }
    properties = {
        "message_id": message_id,
        "message_type": "keyed",
        "expiration": EXPIRATION,
        "headers": headers,
        **options,
    }
    properties["headers"] = {name: value for name, value in headers.items() if value is not None}
    broker.route(Message("", queue, Properties(**properties), body))


def amqp_settings(source: int, target: int, prefetch: int = 20) -> AmqpSettings:
    return AmqpSettings(
        [BrokerSettings("a", [f"127.0.0.1:{source}"]), BrokerSettings("b", [f"127.0.0.1:{target}"])],
        [EndpointSettings("jobs", 7, "b", "q", rate=2000.0)],
        [QueueSettings("a", "in", prefetch)],
    )


def brokers(faults: Faults | None = None, source: Broker | None = None) -> tuple[Broker, Broker]:
    source, target = source or Broker(), Broker(faults)
    dead = source.declare("dead")
    source.exchange_types["dlx"] = "fanout"
    source.bindings["dlx"] = [("", dead.name)]
    source.declare("in", "dlx")
    source.declare("answers")
    target.declare("q")
    return source, target


def unacknowledged(queue: Queue) -> int:
    """Counts the messages of a queue that are not acknowledged, delivered or not."""
    channels = [channel for consumer in queue.consumers for channel in consumer.session.channels.values()]
    return len(queue.waiting) + sum(
        1 for channel in channels for _, owner in channel.unacked.values() if owner is queue
    )


async def relay_of(tmp_path: Path, amqp: AmqpSettings, **options: Any) -> Running:
    agent = await Agent().start()
    (tmp_path / "state").mkdir(exist_ok=True)
    relay = host_of(
        tmp_path / "state",
        agent,
        amqp=amqp,
        **{"settings": settings(), **options},
        limits={"sockets": 256, "disk_mb": 20},
    )
    await relay.start()
    await until(lambda: 7 in relay.dests)
    return relay


def test_messages_from_one_broker_are_delivered_to_another(tmp_path: Path) -> None:
    async def work() -> None:
        source, target = brokers()
        for n in range(400):
            publish(source, f"m{n}", body=b"x" * random.Random(n).choice((0, 300, 60_000)))
        publish(source, "m7")  # submitted again with the same id: accepted once
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            await until(lambda: len(target.effects) == 400 and not unacknowledged(source.queues["in"]))
            await relay.close()
        assert Counter(target.effects) == {(f"m{n}", f"km{n}"): 1 for n in range(400)}
        assert not source.queues["dead"].waiting

    run(work())


def test_invalid_messages_are_dead_lettered_and_valid_ones_delivered(tmp_path: Path) -> None:
    async def work() -> None:
        source, target = brokers()
        invalid: dict[str, dict[str, Any]] = {
            "class": {"message_type": "nonsense"},
            "dest": {"headers": {"destination": "x"}},
            "unknown": {"headers": {"destination": "99"}},
            "key": {"headers": {"idempotency-key": None}},
            "left": {"expiration": "soon"},
            "tenant": {"headers": {"tenant": "nobody"}},
            "size": {"body": b"x" * 70_000},
            "": {},
        }
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            for name, options in invalid.items():
                publish(source, name, **options)
            publish(source, "good")
            dead = source.queues["dead"].waiting
            await until(lambda: len(dead) == len(invalid) and bool(target.effects))
            assert {str(message.properties.message_id or "") for message in dead} == set(invalid)
            assert [message_id for message_id, _ in target.effects] == ["good"]
            await relay.close()

    run(work())


def test_full_relay_pauses_the_queue_and_rejects_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        source, target = brokers()
        target.blocked = True
        for n in range(60):
            publish(source, f"m{n}")
        relay_settings = settings()
        relay_settings["limits"]["open-cap"] = 10
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(
                tmp_path, amqp_settings(source_port, target_port, prefetch=4), settings=relay_settings
            )
            await until(lambda: len(relay.accepted) == 8 and unacknowledged(source.queues["in"]) == 52)
            await asyncio.sleep(0.3)
            assert len(source.queues["in"].waiting) == 48 and not source.queues["dead"].waiting
            target.blocked = False
            target.run_command("unblock", {})
            await until(lambda: len(target.effects) == 60 and not unacknowledged(source.queues["in"]))
            await relay.close()
        assert len(set(target.effects)) == 60

    run(work())


def test_message_that_expired_while_the_relay_was_full_is_not_delivered(tmp_path: Path) -> None:
    """Guards against an `expiration` that counts only from the end of the wait for capacity."""

    async def work() -> None:
        source, target = brokers()
        target.blocked = True
        for n in range(8):
            publish(source, f"m{n}")
        relay_settings = settings()
        relay_settings["limits"]["open-cap"] = 10
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port), settings=relay_settings)
            await until(lambda: len(relay.accepted) == 8 and not unacknowledged(source.queues["in"]))
            publish(source, "late", message_type="safe", expiration="200", reply_to="answers")
            await until(lambda: not source.queues["in"].waiting)
            await asyncio.sleep(0.3)
            target.blocked = False
            target.run_command("unblock", {})
            await until(lambda: not unacknowledged(source.queues["in"]) and relay.host.is_idle)
            assert len(target.effects) == 8 and ("late", "klate") not in target.effects
            assert [json.loads(answer.body)["id"] for answer in source.queues["answers"].waiting] == ["late"]
            await relay.close()

    run(work())


def test_final_outcomes_are_published_to_the_reply_queue_also_after_a_restart(tmp_path: Path) -> None:
    async def work() -> None:
        source, target = brokers(Faults({"refuse": 1.0}))
        answers = source.queues["answers"].waiting
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            publish(source, "one", expiration="900", reply_to="answers", correlation_id="c 1")
            publish(source, "nobody", expiration="900")
            publish(source, "gone", expiration="900", reply_to="no-such-queue")
            await until(lambda: len(answers) == 1 and relay.host.is_idle)
            outcome = json.loads(answers[0].body)
            assert outcome["id"] == "one" and outcome["state"] in ("returned", "failed")
            assert answers[0].properties.correlation_id == "c 1"
            # An outcome that cannot be published before the process ends.
            source.blocked = True
            source.run_command("block", {})
            publish(source, "two", expiration="700", reply_to="answers", correlation_id="c2")
            await until(
                lambda: "two" in relay.journal.entries and bool(relay.journal.entries["two"].final_state)
            )
            assert relay.host.pending_outcomes == 1
            await relay.close()
            source.blocked = False
            source.run_command("unblock", {})
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            await until(lambda: len(answers) == 2 and relay.host.is_idle)
            assert json.loads(answers[1].body)["id"] == "two" and answers[1].properties.correlation_id == "c2"
            await relay.close()

    run(work())


@pytest.mark.parametrize(
    ("class_name", "fault", "state"),
    [
        ("keyed", "drop", "failed"),
        ("keyed", "refuse", "returned"),
        ("unsafe", "drop", "failed"),
        ("unsafe", "refuse", "returned"),
        ("safe", "drop", "returned"),
    ],
)
def test_message_is_returned_only_if_submitting_it_again_later_is_harmless(
    tmp_path: Path, class_name: str, fault: str, state: str
) -> None:
    """Guards against `returned` for a keyed message that ran: its client may come after the key's window."""

    async def work() -> None:
        source, target = brokers(Faults({fault: 1.0}))
        answers = source.queues["answers"].waiting
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            publish(source, "m", message_type=class_name, expiration="900", reply_to="answers")
            await until(lambda: bool(answers) and relay.host.is_idle)
            assert [json.loads(answer.body)["state"] for answer in answers] == [state]
            await relay.close()

    run(work())


def test_consuming_resumes_after_a_cancelled_consumer_and_a_lost_connection(tmp_path: Path) -> None:
    async def work() -> None:
        source, target = brokers()
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            for n, event in enumerate(("cancel", "cut", "cancel")):
                await until(lambda: bool(source.queues["in"].consumers))
                publish(source, f"m{n}")
                await until(lambda n=n: len(target.effects) == n + 1)  # type: ignore[misc]
                source.run_command(event, {})
            await until(lambda: bool(source.queues["in"].consumers))
            publish(source, "last")
            await until(lambda: len(target.effects) == 4)
            await relay.close()

    run(work())


def test_late_journalling_does_not_acknowledge_a_delivery_of_the_next_consumer() -> None:
    """The record became durable late, and the channel of the next consumer has the same number."""

    class FakeConnection:
        acknowledged: ClassVar[list[int]] = []

        def settle(self, channel: int, tag: int, accepted: bool) -> None:
            self.acknowledged.append(tag)

    async def work() -> None:
        queue = QueueConsumer(QueueSettings("a", "in"), Any, Any, {}, random.Random(1))  # type: ignore[arg-type]
        connection = FakeConnection()
        queue.connection, queue.channel, queue.consumer_number, queue.journalling = connection, 2, 1, 2  # type: ignore[assignment]
        durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        durable.set_result(None)
        delivery = Delivered(2, "c", 1, False, "in", Properties(), b"")
        queue._on_journalled(delivery, 1, False, durable)
        queue.consumer_number = 2
        queue._on_journalled(delivery, 1, False, durable)
        assert connection.acknowledged == [1]

    run(work())


def test_stop_leaves_unaccepted_messages_in_their_queue(tmp_path: Path) -> None:
    async def work() -> None:
        source, target = brokers()
        target.blocked = True
        for n in range(30):
            publish(source, f"m{n}", expiration="60000", message_type="unsafe")
        relay_settings = settings()
        relay_settings["limits"]["open-cap"] = 5
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port), settings=relay_settings)
            await until(lambda: len(relay.accepted) == 4)
            for queue in relay.host.intakes.values():
                queue.stop()
            await until(lambda: len(source.queues["in"].waiting) == 26)
            assert next(str(message.properties.message_id) for message in source.queues["in"].waiting) == "m4"
            await relay.close()
            target.blocked = False
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            await until(lambda: len(target.effects) == 30)
            await relay.close()
        assert len(set(target.effects)) == 30

    run(work())


def test_age_of_a_message_is_subtracted_from_its_expiration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = datetime.datetime.now(datetime.UTC)
    # The clock of the intake stands still, since a busy machine may take long to accept the messages.
    monkeypatch.setattr(deliveries, "time", SimpleNamespace(time=now.timestamp))

    async def work() -> None:
        source, target = brokers()
        target.blocked = True
        publish(source, "old", expiration="9000", timestamp=now - datetime.timedelta(seconds=5))
        publish(source, "new", expiration="9000", timestamp=now)
        publish(source, "plain", expiration=None)
        async with serving(source) as source_port, serving(target) as target_port:
            relay = await relay_of(tmp_path, amqp_settings(source_port, target_port))
            await until(lambda: len(relay.journal.entries) == 3)
            lifetimes = {
                message_id: entry.deadline_ms - entry.accepted_at_ms
                for message_id, entry in relay.journal.entries.items()
            }
            assert (
                4000 <= lifetimes["old"] <= 5100
                and 8900 <= lifetimes["new"] <= 9000
                and lifetimes["plain"] == 16000
            )
            await relay.close()

    run(work())
