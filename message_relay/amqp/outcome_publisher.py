"""Publishes the final outcomes of messages from queues to their reply queues.

Each is published with a confirm, as JSON `{"id", "state", "after_ms"}`, and stays in the journal until the
confirm has arrived. One that no queue receives (basic.return) counts as notified, and a warning is logged.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from random import Random

import msgspec
from pamqp import commands

from ..core.ports import FinalOutcome, MessageAcceptor
from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent
from .connection import NotConnectedError
from .deliveries import ReplyAddress
from .events import PublishStatus
from .reconnect_policy import ReconnectPolicy
from .transport import Broker

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 5.0  # for the publish of a final outcome
MAX_UNCONFIRMED_OUTCOMES = 64  # final outcomes that are published concurrently


class OutcomePublisher:
    """Publishes final outcomes, each until it is confirmed or returned."""

    def __init__(self, brokers: Mapping[str, Broker], acceptor: MessageAcceptor, rng: Random) -> None:
        self.brokers, self.acceptor, self.rng, self.tasks = brokers, acceptor, rng, BackgroundTasks()
        self.pending: dict[str, FinalOutcome] = {}  # by message id
        self.publish_slots = asyncio.Semaphore(MAX_UNCONFIRMED_OUTCOMES)

    def publish(self, outcome: FinalOutcome) -> None:
        """Publishes an outcome in the background, and then marks it notified."""
        if outcome.id in self.pending:
            return
        address = ReplyAddress.from_origin(outcome.origin)
        if address is None:
            self.acceptor.mark_notified([outcome.id])
            return
        self.pending[outcome.id] = outcome
        self.tasks.start(self._publish_until_settled(outcome, address))

    async def _publish_until_settled(self, outcome: FinalOutcome, address: ReplyAddress) -> None:
        """Publishes a final outcome until it is confirmed or returned."""
        broker, reconnect_policy = self.brokers.get(address.broker), ReconnectPolicy(1, self.rng)
        if broker is None:  # it stays in the journal until that broker is configured again
            log.error(
                LogEvent(
                    "outcome of a message: its broker is not configured", id=outcome.id, broker=address.broker
                )
            )
            return
        while True:
            async with self.publish_slots:
                status = await self._publish_once(broker, outcome, address)
            if status in (PublishStatus.ACKED, PublishStatus.RETURNED):
                if status is PublishStatus.RETURNED:
                    log.warning(
                        LogEvent(
                            "outcome of a message: its reply queue does not exist",
                            id=outcome.id,
                            queue=address.queue,
                        )
                    )
                self.pending.pop(outcome.id, None)
                self.acceptor.mark_notified([outcome.id])
                return
            await asyncio.sleep(reconnect_policy.on_closed(asyncio.get_running_loop().time()))

    async def _publish_once(
        self, broker: Broker, outcome: FinalOutcome, address: ReplyAddress
    ) -> PublishStatus:
        body: dict[str, object] = {"id": outcome.id, "state": outcome.state}
        if outcome.retry_after_ms > 0:
            body["after_ms"] = round(outcome.retry_after_ms)
        properties = commands.Basic.Properties(
            content_type="application/json",
            correlation_id=address.correlation_id,
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
                    f"end-{outcome.id}", "", address.queue, msgspec.json.encode(body), properties
                )
                return await confirmation
        except (NotConnectedError, TimeoutError):
            return PublishStatus.LOST
        finally:
            if connection is not None and publish is not None and publish.status is PublishStatus.OUT:
                connection.give_up(publish)

    async def close(self) -> None:
        """Stops publishing; what is still pending is published again after a restart."""
        await self.tasks.cancel()
