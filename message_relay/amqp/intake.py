"""The intake for queues (core.ports.Intake): acknowledges messages once they are journalled, never before.

An ack may never reach its broker, which then delivers the message again, to any consumer of the queue. So the
relay is told when the broker has processed the ack of a message, and makes no attempt before that if a second
one could do harm (core/handover.py).

A delivery becomes a message by its properties. One that is invalid is rejected without requeueing, so that it
goes to the dead-letter exchange if the queue has one; the log has the reason.

| property | meaning |
| --- | --- |
| message_id | id of the message |
| type | message class |
| headers: destination, tenant, idempotency-key | as the HTTP headers of the same meaning |
| expiration | ms that it may still be delivered; absent: the longest time of its class |
| timestamp | when it was sent, optional: the time since then is subtracted from `expiration` |
| reply_to, correlation_id | where its final outcome is published: `{"id", "state", "after_ms"}` |

While the relay has no capacity, or waits long for the proof that an ack was processed, at most `prefetch`
deliveries wait in the intake, and none is rejected: what is not acknowledged is certain to stay in its queue.
A final outcome is published with a confirm and stays in the journal until that has arrived. One that no queue
receives (basic.return) counts as notified, and a warning is logged.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Mapping
from functools import partial
from random import Random
from urllib.parse import quote, unquote

import msgspec
from pamqp import commands

from ..config import Config
from ..core.ports import FinalOutcome, HandoverAcceptor, InvalidMessageError, Submission
from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent
from .connection import BrokerConnection, NotConnectedError
from .events import Delivered, PublishStatus
from .protocol import ProtocolUsageError
from .reconnect_policy import ReconnectPolicy
from .settings import QueueSettings
from .transport import Broker

log = logging.getLogger(__name__)

NAME = "amqp"  # of this intake, in the journal
CAPACITY_POLL_S = 0.05  # how often the capacity of a full relay is checked
ACK_PROOF_PATIENCE_S = 0.1  # with an ack unproved for longer, no more messages are accepted
CONFIRM_TIMEOUT_S = 5.0  # for the publish of a final outcome
MAX_UNCONFIRMED_OUTCOMES = 64  # final outcomes that are published concurrently
MAX_REPLY_ADDRESS = 400  # characters of reply_to and correlation_id; if longer, no outcome is published
MAX_REMAINING_MS = 999_999_999
MAX_LOGGED_ID = 200  # characters


def origin_of(broker: str, properties: commands.Basic.Properties) -> str:
    """The origin that the journal stores, so that the outcome can be published after a restart, too."""
    reply_to, correlation_id = (
        properties.reply_to or "",
        properties.correlation_id or properties.message_id or "",
    )
    if not reply_to or len(reply_to) + len(str(correlation_id)) > MAX_REPLY_ADDRESS:
        return NAME
    return " ".join((NAME, quote(broker), quote(reply_to), quote(str(correlation_id))))


def _message_id(delivery: Delivered) -> str:
    return str(delivery.properties.message_id or "")


class QueueConsumer:
    """Consumes one queue, and holds its deliveries while the relay has no capacity."""

    def __init__(
        self,
        settings: QueueSettings,
        broker: Broker,
        acceptor: HandoverAcceptor,
        max_remaining_ms: Mapping[str, float],
        rng: Random,
    ) -> None:
        self.settings, self.broker, self.acceptor, self.max_remaining_ms = (
            settings,
            broker,
            acceptor,
            max_remaining_ms,
        )
        self.reconnect_policy = ReconnectPolicy(1, rng)
        self.connection: BrokerConnection | None = None
        self.channel = 0
        self.consumer_number = (
            0  # of the current consumer: channel numbers and tags are reused by the next one
        )
        self.deliveries: deque[Delivered] = deque()  # no more than prefetch
        self.journalling = 0
        self.unproved_since: deque[float] = deque()  # times of the acks of this consumer, oldest first
        self.retry_timer: asyncio.TimerHandle | None = None  # set while the relay has no capacity
        self.closed = asyncio.Event()
        self.stopped = False
        self.rejected = 0

    # -- the consumer (connection.Consumer) --------------------------------------------------------------

    async def run(self) -> None:
        """Consumes the queue, again after each failure, until it is cancelled."""
        loop = asyncio.get_running_loop()
        while not self.stopped:
            self.closed.clear()
            self.consumer_number += 1
            self.unproved_since.clear()
            try:
                self.connection = await self.broker.get_connection()
                self.channel = self.connection.consume(self.settings.prefetch, self)
                self.reconnect_policy.on_opened(loop.time())
                await self.closed.wait()
            except (
                NotConnectedError,
                ProtocolUsageError,
            ) as error:  # the connection has just ended, or has no free channel
                log.warning(LogEvent("queue: cannot consume", queue=self.settings.queue, why=error))
            self.connection = None
            await asyncio.sleep(self.reconnect_policy.on_closed(loop.time()))

    def on_channel_ready(self, channel: int) -> None:
        if self.connection is not None:
            self.connection.subscribe(channel, self.settings.queue)

    def on_consumer_closed(self, reason: str) -> None:
        if not self.stopped:
            log.warning(LogEvent("queue: consumer closed", queue=self.settings.queue, why=reason))
        self.deliveries.clear()  # not acknowledged, so delivered again
        self.closed.set()

    def on_delivery(self, delivery: Delivered) -> None:
        self.deliveries.append(delivery)
        self.submit_deliveries()

    # -- deliveries --------------------------------------------------------------------------------------

    def submit_deliveries(self) -> None:
        """Submits the waiting deliveries in order, as far as the relay has capacity."""
        while self.deliveries and not self.stopped:
            delivery = self.deliveries[0]
            if not self.acceptor.has_capacity or self._is_proof_late():
                self._schedule_retry()
                return
            try:
                result = self.acceptor.accept(self.submission(delivery))
            except InvalidMessageError as error:
                self.deliveries.popleft()
                self.rejected += 1
                log.warning(
                    LogEvent(
                        "queue: message rejected",
                        queue=self.settings.queue,
                        id=_message_id(delivery)[:MAX_LOGGED_ID],
                        why=error,
                    )
                )
                self.settle(delivery, False)
                continue
            if not result.accepted:
                self._schedule_retry()
                return
            self.deliveries.popleft()
            self.reconnect_policy.has_confirmed = True
            awaits_handover = result.awaits_handover
            if result.durable is None:
                self._acknowledge(delivery, awaits_handover)
            else:
                self.journalling += 1
                on_journalled = partial(self._on_journalled, delivery, self.consumer_number)
                result.durable.add_done_callback(partial(on_journalled, awaits_handover=awaits_handover))

    def _is_proof_late(self) -> bool:
        """Whether the connection may be lost: what is acknowledged on it now could come to two relays."""
        now = asyncio.get_running_loop().time()
        return bool(self.unproved_since) and now - self.unproved_since[0] > ACK_PROOF_PATIENCE_S

    def _schedule_retry(self) -> None:
        if self.retry_timer is None:
            self.retry_timer = asyncio.get_running_loop().call_later(CAPACITY_POLL_S, self._retry)

    def _retry(self) -> None:
        self.retry_timer = None
        self.submit_deliveries()

    def _on_journalled(
        self,
        delivery: Delivered,
        consumer_number: int,
        durable: asyncio.Future[None],
        awaits_handover: bool = False,
    ) -> None:
        """Acknowledges a journalled delivery, if its consumer is still the current one.

        Guards against an ack with an old tag, which would remove a delivery of the next consumer from the
        queue.
        """
        self.journalling -= 1
        if durable.cancelled():
            return
        if consumer_number == self.consumer_number:
            self._acknowledge(delivery, awaits_handover)
        elif awaits_handover:
            self.acceptor.abandon_handover(_message_id(delivery))

    def _acknowledge(self, delivery: Delivered, awaits_handover: bool) -> None:
        """Acknowledges a journalled delivery.

        If the relay awaits the handover, it learns when the ack has been processed, or that none was sent.
        """
        if not awaits_handover:
            self.settle(delivery, True)
            return
        message_id = _message_id(delivery)
        on_processed = partial(self._on_ack_processed, message_id, self.consumer_number)
        connection = self._connection_of(delivery)
        if connection is None or not connection.acknowledge(delivery.channel, delivery.tag, on_processed):
            self.acceptor.abandon_handover(message_id)
            return
        self.unproved_since.append(asyncio.get_running_loop().time())

    def _on_ack_processed(self, message_id: str, consumer_number: int) -> None:
        self.acceptor.confirm_handover(message_id)
        if consumer_number == self.consumer_number and self.unproved_since:
            self.unproved_since.popleft()
            self.submit_deliveries()

    def settle(self, delivery: Delivered, accepted: bool) -> None:
        """Acknowledges or rejects a delivery, if its channel is still open."""
        connection = self._connection_of(delivery)
        if connection is not None:
            connection.settle(delivery.channel, delivery.tag, accepted)

    def _connection_of(self, delivery: Delivered) -> BrokerConnection | None:
        """Returns its connection if its channel is open: on another, its tag means another delivery."""
        is_open = delivery.channel == self.channel and not self.closed.is_set()
        return self.connection if is_open else None

    def submission(self, delivery: Delivered) -> Submission:
        """Converts a delivery into a submission. Raises InvalidMessageError."""
        properties = delivery.properties
        headers = properties.headers or {}
        if delivery.skipped_bytes:
            raise InvalidMessageError("body", f"{delivery.skipped_bytes} bytes exceed the limit")
        class_name = properties.message_type or ""
        try:
            destination = int(str(headers.get("destination", "")))
        except ValueError:
            raise InvalidMessageError("dest", "header destination must be a number") from None
        key = headers.get("idempotency-key")
        return Submission(
            _message_id(delivery),
            class_name,
            str(headers.get("tenant", "")),
            destination,
            None if key is None else str(key),
            self._lifetime_ms(properties, class_name),
            "",
            delivery.body,
            origin_of(self.settings.broker, properties),
            is_redeliverable=True,
        )

    def _lifetime_ms(self, properties: commands.Basic.Properties, class_name: str) -> int:
        expiration = properties.expiration
        if expiration is None or expiration == "":
            return int(self.max_remaining_ms.get(class_name, 0.0))
        if not expiration.isdecimal() or len(expiration) > 9:
            raise InvalidMessageError("left", f"expiration {expiration[:20]!r} is not a number of ms")
        lifetime_ms = int(expiration)
        if properties.timestamp is not None:
            age = time.time() - properties.timestamp.timestamp()
            lifetime_ms -= max(0, int(1000 * age) - 1000)  # the timestamp has whole seconds
        return min(MAX_REMAINING_MS, max(0, lifetime_ms))

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.close_consumer(self.channel)
        self.deliveries.clear()
        self.closed.set()


class QueueIntake:
    """Consumes all configured queues, and publishes the final outcomes of their messages."""

    def __init__(
        self,
        settings: list[QueueSettings],
        brokers: Mapping[str, Broker],
        acceptor: HandoverAcceptor,
        max_remaining_ms: Mapping[str, float],
        rng: Random,
    ) -> None:
        self.brokers, self.acceptor, self.rng, self.tasks = brokers, acceptor, rng, BackgroundTasks()
        self.queues = [
            QueueConsumer(queue, brokers[queue.broker], acceptor, max_remaining_ms, rng) for queue in settings
        ]
        self.outcomes: dict[str, FinalOutcome] = {}  # still to be published, by message id
        self.publish_slots = asyncio.Semaphore(MAX_UNCONFIRMED_OUTCOMES)

    async def open(self) -> None:
        for queue in self.queues:
            self.tasks.start(queue.run())

    def notify_outcome(self, outcome: FinalOutcome) -> None:
        if outcome.id in self.outcomes:
            return
        if " " not in outcome.origin:
            self.acceptor.mark_notified([outcome.id])  # the client asked for no outcome
            return
        self.outcomes[outcome.id] = outcome
        self.tasks.start(self._send_outcome(outcome))

    async def _send_outcome(self, outcome: FinalOutcome) -> None:
        """Publishes a final outcome until it is confirmed or returned."""
        _, broker_name, reply_to, correlation_id = (unquote(part) for part in outcome.origin.split(" "))
        broker, reconnect_policy = self.brokers.get(broker_name), ReconnectPolicy(1, self.rng)
        if broker is None:  # it stays in the journal until that broker is configured again
            log.error(
                LogEvent(
                    "outcome of a message: its broker is not configured", id=outcome.id, broker=broker_name
                )
            )
            return
        while True:
            async with self.publish_slots:
                status = await self._publish(broker, outcome, reply_to, correlation_id)
            if status in (PublishStatus.ACKED, PublishStatus.RETURNED):
                if status is PublishStatus.RETURNED:
                    log.warning(
                        LogEvent(
                            "outcome of a message: its reply queue does not exist",
                            id=outcome.id,
                            queue=reply_to,
                        )
                    )
                self.outcomes.pop(outcome.id, None)
                self.acceptor.mark_notified([outcome.id])
                return
            await asyncio.sleep(reconnect_policy.on_closed(asyncio.get_running_loop().time()))

    async def _publish(
        self, broker: Broker, outcome: FinalOutcome, reply_to: str, correlation_id: str
    ) -> PublishStatus:
        body: dict[str, object] = {"id": outcome.id, "state": outcome.state}
        if outcome.retry_after_ms > 0:
            body["after_ms"] = round(outcome.retry_after_ms)
        properties = commands.Basic.Properties(
            content_type="application/json",
            correlation_id=correlation_id,
            delivery_mode=2,
            message_id=f"end-{outcome.id}",
        )
        connection, publish = None, None
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                connection = await broker.get_connection()
                if not connection.may_publish():
                    return PublishStatus.UNWRITTEN
                publish, confirmation = connection.publish(
                    f"end-{outcome.id}", "", reply_to, msgspec.json.encode(body), properties
                )
                return await confirmation
        except (NotConnectedError, TimeoutError):
            return PublishStatus.LOST
        finally:
            if connection is not None and publish is not None and publish.status is PublishStatus.OUT:
                connection.give_up(publish)

    def reload(self, config: Config) -> None:
        """Nothing to do: queues change with a restart."""

    def announce_stop(self) -> None:
        """Nothing to do: what is not acknowledged stays in its queue."""

    def stop(self) -> None:
        for queue in self.queues:
            queue.stop()

    @property
    def open_requests(self) -> int:
        return sum(queue.journalling for queue in self.queues)

    @property
    def pending_outcomes(self) -> int:
        return len(self.outcomes)

    async def close(self) -> None:
        self.stop()
        await self.tasks.cancel()
