"""Consumes one queue: acknowledges messages once they are journalled, never before.

An ack may never reach its broker, which then delivers the message again, to any consumer of the queue. So the
relay is told when the broker has processed the ack of a message, and makes no attempt before that if a second
one could do harm (core/handover.py).

While the relay has no capacity, or waits long for the proof that an ack was processed, at most `prefetch`
deliveries wait here, and none is rejected: what is not acknowledged is certain to stay in its queue. A
delivery that is invalid is rejected without requeueing, so that it goes to the dead-letter exchange if the
queue has one; the log has the reason.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from random import Random

from ..core.ports import HandoverAcceptor, InvalidMessageError, Submission, SubmissionResult
from ..structured_logging import LogEvent
from .connection import BrokerConnection, NotConnectedError
from .deliveries import message_id_of, submission_of
from .events import Delivered
from .protocol import ProtocolUsageError
from .reconnect_policy import ReconnectPolicy
from .settings import QueueSettings
from .transport import Broker

log = logging.getLogger(__name__)

CAPACITY_POLL_S = 0.05  # how often the capacity of a full relay is checked
ACK_PROOF_PATIENCE_S = 0.1  # with an ack unproved for longer, no more messages are accepted
MAX_LOGGED_ID = 200  # characters


@dataclass(frozen=True, slots=True)
class WaitingDelivery:
    """A delivery that the relay has not accepted yet, and when it arrived, on the loop's clock in seconds."""

    delivery: Delivered
    arrived_at: float


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
        # Of the current consumer: channel numbers and tags are reused by the next one.
        self.consumer_number = 0
        self.deliveries: deque[WaitingDelivery] = deque()  # no more than prefetch
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
        """Subscribes to the queue on the channel that has opened."""
        if self.connection is not None:
            self.connection.subscribe(channel, self.settings.queue)

    def on_consumer_closed(self, reason: str) -> None:
        """Drops what waits, and lets `run` consume again."""
        if not self.stopped:
            log.warning(LogEvent("queue: consumer closed", queue=self.settings.queue, why=reason))
        self.deliveries.clear()  # not acknowledged, so delivered again
        self.closed.set()

    def on_delivery(self, delivery: Delivered) -> None:
        """Submits a delivery, or lets it wait for capacity."""
        self.deliveries.append(WaitingDelivery(delivery, asyncio.get_running_loop().time()))
        self.submit_deliveries()

    # -- deliveries --------------------------------------------------------------------------------------

    def submit_deliveries(self) -> None:
        """Submits the waiting deliveries in order, as far as the relay has capacity."""
        while self.deliveries and not self.stopped:
            may_submit = self.acceptor.has_capacity and not self._is_proof_late()
            if not may_submit or not self._submit(self.deliveries[0]):
                self._schedule_retry()
                return
            self.deliveries.popleft()

    def _submit_known(self) -> None:
        """Submits the waiting deliveries of messages that the relay has accepted before.

        They do not wait for capacity: such a message may itself wait for its redelivery, and take capacity
        meanwhile.
        """
        self.deliveries = deque(
            waiting
            for waiting in self.deliveries
            if not (self.acceptor.has_message(message_id_of(waiting.delivery)) and self._submit(waiting))
        )

    def _submit(self, waiting: WaitingDelivery) -> bool:
        """Submits a delivery; returns False if the relay cannot accept it yet."""
        try:
            result = self.acceptor.accept(self._submission(waiting))
        except InvalidMessageError as error:
            self._reject(waiting.delivery, error)
            return True
        if not result.accepted:
            return False
        self.reconnect_policy.has_confirmed = True
        self._acknowledge_once_durable(waiting.delivery, result)
        return True

    def _reject(self, delivery: Delivered, error: InvalidMessageError) -> None:
        """Rejects an invalid delivery without requeueing."""
        self.rejected += 1
        message_id = message_id_of(delivery)[:MAX_LOGGED_ID]
        queue = self.settings.queue
        log.warning(LogEvent("queue: message rejected", queue=queue, id=message_id, why=error))
        self.settle(delivery, False)

    def _acknowledge_once_durable(self, delivery: Delivered, result: SubmissionResult) -> None:
        """Acknowledges an accepted delivery, at once if its journal record needs no sync."""
        if result.durable is None:
            self._acknowledge(delivery, result.awaits_handover)
            return
        self.journalling += 1
        result.durable.add_done_callback(
            partial(self._on_journalled, delivery, self.consumer_number, result.awaits_handover)
        )

    def _submission(self, waiting: WaitingDelivery) -> Submission:
        """Converts a delivery; the time that it has waited here counts. Raises InvalidMessageError."""
        waited_ms = int(1000 * (asyncio.get_running_loop().time() - waiting.arrived_at))
        return submission_of(waiting.delivery, self.settings.broker, self.max_remaining_ms, waited_ms)

    def _is_proof_late(self) -> bool:
        """Whether the connection may be lost: what is acknowledged on it now could come to two relays."""
        now = asyncio.get_running_loop().time()
        return bool(self.unproved_since) and now - self.unproved_since[0] > ACK_PROOF_PATIENCE_S

    def _schedule_retry(self) -> None:
        if self.retry_timer is None:
            self.retry_timer = asyncio.get_running_loop().call_later(CAPACITY_POLL_S, self._retry)

    def _retry(self) -> None:
        self.retry_timer = None
        if not self._is_proof_late():
            self._submit_known()
        self.submit_deliveries()

    def _on_journalled(
        self,
        delivery: Delivered,
        consumer_number: int,
        awaits_handover: bool,
        durable: asyncio.Future[None],
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
            self.acceptor.abandon_handover(message_id_of(delivery))

    def _acknowledge(self, delivery: Delivered, awaits_handover: bool) -> None:
        """Acknowledges a journalled delivery.

        If the relay awaits the handover, it learns when the ack has been processed, or that none was sent.
        """
        if not awaits_handover:
            self.settle(delivery, True)
            return
        message_id = message_id_of(delivery)
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

    def stop(self) -> None:
        """Consumes no more; what was not accepted goes back to the queue."""
        self.stopped = True
        if self.connection is not None:
            self.connection.close_consumer(self.channel)
        self.deliveries.clear()
        self.closed.set()
