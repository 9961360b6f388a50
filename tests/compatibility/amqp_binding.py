"""Bytes that the product writes to an AMQP broker, and the submission that it reads from a delivery.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from pamqp import commands

from message_relay.amqp.connection import BrokerConnection
from message_relay.amqp.deliveries import ReplyAddress, submission_of
from message_relay.amqp.events import Delivered
from message_relay.amqp.outcome_publisher import OutcomePublisher
from message_relay.amqp.handshake import Login
from message_relay.amqp.protocol import ConnectionProtocol
from message_relay.amqp.settings import AmqpSettings, BrokerSettings, EndpointSettings
from message_relay.amqp.source import ConfiguredEndpoints
from message_relay.amqp.transport import Broker, BrokerPublisher
from message_relay.core.ports import Attempt, FinalOutcome, Submission, SubmissionResult

Values = dict[str, Any]
Properties = commands.Basic.Properties


class Connection:
    """A connection without a socket: takes the bytes of a broker and returns those written to it."""

    def __init__(self, user: str, password: str, host: str, external: bool) -> None:
        self._machine = ConnectionProtocol(Login(user, password, host, external), 0.0)

    def sent(self) -> bytes:
        data = self._machine.data_to_send(0.0)
        self._machine.mark_written(len(data))
        return data

    def receive(self, data: bytes) -> bytes:
        """Processes bytes of a broker and returns what is written in response."""
        self._machine.receive_data(data, 0.0)
        return self.sent()

    def open_channel(self, prefetch: int) -> bytes:
        self._machine.open_channel(prefetch)
        return self.sent()

    def publish(
        self, channel: int, exchange: str, routing_key: str, data: bytes, properties: Properties
    ) -> bytes:
        self._machine.publish(channel, "id", exchange, routing_key, data, properties)
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
    """Returns the properties of a message at its deadline, so that its expiration is the minimum.

    Needs a running event loop.
    """
    now = asyncio.get_running_loop().time()
    attempt = Attempt(1, ("amqp:x", 0), trace_id, key, b"", now, lambda: True)
    return BrokerPublisher._properties(attempt)


class _RecordingTransport(asyncio.Transport):
    """A transport that collects the written data."""

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

    def pop_written(self) -> bytes:
        data = bytes(self.data)
        self.data.clear()
        return data


class _Subscriber:
    """Subscribes to a queue as soon as its channel is open."""

    def __init__(self, connection: BrokerConnection, queue: str) -> None:
        self.connection, self.queue = connection, queue

    def on_channel_ready(self, channel: int) -> None:
        self.connection.subscribe(channel, self.queue)

    def on_delivery(self, delivery: Delivered) -> None:
        """The tests send no deliveries."""

    def on_consumer_closed(self, reason: str) -> None:
        """There is nothing to clean up."""


class OpenConnection:
    """A connection opened by the given bytes of a broker; channel 1 is for publishing."""

    def __init__(self, opening: bytes, channel_opening: bytes) -> None:
        self._connection = BrokerConnection(Login(), lambda why: None, lambda publish: None)
        self._transport = _RecordingTransport()
        self._connection.connection_made(self._transport)
        self._connection.data_received(opening)
        self._connection.data_received(channel_opening)
        self._transport.pop_written()

    def subscribe(self, prefetch: int, queue: str, channel_ready: bytes) -> bytes:
        """Returns all bytes that are sent to consume a queue."""
        self._connection.consume(prefetch, _Subscriber(self._connection, queue))
        self._connection.data_received(channel_ready)
        return self._transport.pop_written()

    async def publish_final_outcome(
        self, message_id: str, state: str, after_ms: float, reply: str, correlation: str, confirm: bytes
    ) -> bytes:
        """Returns all bytes that publish the final outcome of a message submitted through a queue."""
        broker = Broker(BrokerSettings("b", ["127.0.0.1:5672"]), Random(0))
        broker.connection = self._connection
        publisher = OutcomePublisher({"b": broker}, _AcceptingRelay(), Random(0))
        address = ReplyAddress("b", reply, correlation)
        outcome = FinalOutcome(message_id, state, after_ms)
        publishing = asyncio.create_task(publisher._publish_once(broker, outcome, address))
        while not self._transport.data:
            await asyncio.sleep(0)
        self._connection.data_received(confirm)
        await publishing
        return self._transport.pop_written()

    def close(self) -> None:
        self._connection.connection_lost(None)


class _AcceptingRelay:
    """Accepts every submission."""

    is_ready = has_capacity = True

    def accept(self, submission: Submission) -> SubmissionResult:
        return SubmissionResult(True)

    def cancel(self, message_id: str) -> bool:
        return True

    def mark_notified(self, message_ids: list[str]) -> None:
        """Notifications are not tracked."""

    def confirm_handover(self, message_id: str) -> None:
        """Handovers are not tracked."""

    def abandon_handover(self, message_id: str) -> None:
        """Handovers are not tracked."""


def submission_of_delivery(properties: Properties, body: bytes) -> Values:
    """Returns the submission that is read from a queue's delivery."""
    delivery = Delivered(1, "consumer", 9, False, "orders", properties, body)
    submission = submission_of(delivery, "b", {"pay": 4000.0})
    return {
        "id": submission.id,
        "class": submission.class_name,
        "tenant": submission.tenant,
        "destination": submission.destination,
        "key": submission.idempotency_key,
        "left ms": submission.remaining_ms,
        "handed in again": submission.resubmission,
        "body": submission.body.decode(),
        "front": submission.origin,
    }


def configured_endpoint() -> list[Any]:
    """Returns the endpoint that the operator's file configures.

    The journal and the rules refer to it by its name and address.
    """
    settings = AmqpSettings([BrokerSettings("b", ["h:5672"])], [EndpointSettings("t", 7, "b", "k", rate=2.0)])
    (endpoint,) = ConfiguredEndpoints(settings).update.endpoints
    return [
        ConfiguredEndpoints(settings).update.source,
        endpoint.name,
        endpoint.destination,
        *endpoint.address,
        endpoint.rate,
    ]
