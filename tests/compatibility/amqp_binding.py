"""The product's names for AMQP: the bytes that go to a broker, and what is read from a delivery."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from pamqp import commands

from message_relay.amqp.connection import BrokerConnection
from message_relay.amqp.intake import QueueIntake
from message_relay.amqp.protocol import ConnectionProtocol, Delivered, Login
from message_relay.amqp.settings import AmqpSettings, BrokerSettings, QueueSettings, EndpointSettings
from message_relay.amqp.source import ConfiguredEndpoints
from message_relay.amqp.transport import Broker, BrokerPublisher
from message_relay.core.ports import Attempt, FinalOutcome, Submission, SubmissionResult

Values = dict[str, Any]
Properties = commands.Basic.Properties


class Connection:
    """A connection without a socket: a broker's bytes in, ours out."""

    def __init__(self, user: str, password: str, host: str, external: bool) -> None:
        self._machine = ConnectionProtocol(Login(user, password, host, external), 0.0)

    def sent(self) -> bytes:
        data = self._machine.take(0.0)
        self._machine.wrote(len(data))
        return data

    def receive(self, data: bytes) -> bytes:
        """A broker's bytes, and our answer to them."""
        self._machine.received(data, 0.0)
        return self.sent()

    def open_channel(self, prefetch: int) -> bytes:
        self._machine.open_channel(prefetch)
        return self.sent()

    def publish(self, channel: int, exchange: str, routing_key: str, data: bytes, told: Properties) -> bytes:
        self._machine.publish(channel, "id", exchange, routing_key, data, told)
        return self.sent()

    def consume(self, channel: int, queue: str, consumer: str) -> bytes:
        self._machine.consume(channel, queue, consumer)
        return self.sent()

    def cancel(self, channel: int, consumer: str) -> bytes:
        self._machine.cancel(channel, consumer)
        return self.sent()

    def acknowledge(self, channel: int, tag: int) -> bytes:
        self._machine.ack(channel, tag)
        return self.sent()

    def reject(self, channel: int, tag: int) -> bytes:
        self._machine.reject(channel, tag, requeue=False)
        return self.sent()

    def heartbeat(self, now: float) -> bytes:
        self._machine.tick(now)
        return self.sent()

    def close_channel(self, channel: int) -> bytes:
        self._machine.close_channel(channel)
        return self.sent()

    def close(self) -> bytes:
        self._machine.close()
        return self.sent()


def message_properties(trace_id: str, key: str | None) -> Properties:
    """Of a publish whose time is up, so that what is left of it is the least there is. Needs a loop."""
    now = asyncio.get_running_loop().time()
    attempt = Attempt(1, ("amqp:x", 0), trace_id, key, b"", now, lambda: True)
    return BrokerPublisher._properties(attempt)


class _Written(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.data = bytearray()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.data += data

    def is_closing(self) -> bool:
        return False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing is buffered."""

    def close(self) -> None:
        """There is no socket."""

    def taken(self) -> bytes:
        data = bytes(self.data)
        self.data.clear()
        return data


class _Subscriber:
    """Asks for a queue's deliveries as soon as its channel stands."""

    def __init__(self, link: BrokerConnection, queue: str) -> None:
        self.link, self.queue = link, queue

    def ready(self, channel: int) -> None:
        self.link.subscribe(channel, self.queue)

    def delivered(self, delivery: Delivered) -> None:
        """None come here."""

    def over(self, why: str) -> None:
        """Nothing follows."""


class OpenLink:
    """A connection that has been opened by these bytes of a broker; channel 1 is for publishing."""

    def __init__(self, opening: bytes, channel_opening: bytes) -> None:
        self._link = BrokerConnection(Login(), lambda why: None, lambda publish: None)
        self._transport = _Written()
        self._link.connection_made(self._transport)
        self._link.data_received(opening)
        self._link.data_received(channel_opening)
        self._transport.taken()

    def subscribe(self, prefetch: int, queue: str, channel_ready: bytes) -> bytes:
        """All that is sent to consume a queue."""
        self._link.consume(prefetch, _Subscriber(self._link, queue))
        self._link.data_received(channel_ready)
        return self._transport.taken()

    async def pass_on_end(
        self, ident: str, state: str, after_ms: float, reply: str, correlation: str, confirm: bytes
    ) -> bytes:
        """All that is sent to tell the end of a message that came by a queue."""
        broker = Broker(BrokerSettings("b", ["127.0.0.1:5672"]), Random(0))
        broker.link = self._link
        intake = QueueIntake([], {"b": broker}, _Desk(), {}, Random(0))
        end = FinalOutcome(ident, state, after_ms)
        telling = asyncio.create_task(intake._publish(broker, end, reply, correlation))
        while not self._transport.data:
            await asyncio.sleep(0)
        self._link.data_received(confirm)
        await telling
        return self._transport.taken()

    def close(self) -> None:
        self._link.connection_lost(None)


class _Desk:
    """Takes all."""

    is_ready = has_capacity = True

    def accept(self, offer: Submission) -> SubmissionResult:
        return SubmissionResult(True)

    def cancel(self, ident: str) -> bool:
        return True

    def mark_notified(self, idents: list[str]) -> None:
        """Nothing is owed here."""


def offer_of_delivery(properties: Properties, body: bytes) -> Values:
    """A message as it is read from a queue's delivery."""
    broker = Broker(BrokerSettings("b", ["127.0.0.1:5672"]), Random(0))
    intake = QueueIntake([QueueSettings("b", "orders")], {"b": broker}, _Desk(), {"pay": 4000.0}, Random(0))
    offer = intake.queues[0].offer(Delivered(1, "consumer", 9, False, "orders", properties, body))
    return {
        "id": offer.id,
        "class": offer.class_name,
        "tenant": offer.tenant,
        "destination": offer.destination,
        "key": offer.idempotency_key,
        "left ms": offer.remaining_ms,
        "handed in again": offer.resubmission,
        "body": offer.body.decode(),
        "front": offer.origin,
    }


def members_of_file() -> list[Any]:
    """An endpoint of the operator's file as a member: its name and address stand in the journal and in
    rules."""
    part = AmqpSettings([BrokerSettings("b", ["h:5672"])], [EndpointSettings("t", 7, "b", "k", rate=2.0)])
    (member,) = ConfiguredEndpoints(part).update.endpoints
    return [
        ConfiguredEndpoints(part).update.source,
        member.name,
        member.destination,
        *member.address,
        member.rate,
    ]
