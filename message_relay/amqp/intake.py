"""The intake for queues (core.ports.Intake): what it consumes, and the final outcomes of those messages.

`deliveries.py` reads a message, `queue_consumer.py` acknowledges it, `outcome_publisher.py` answers it.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from ..config import Config
from ..core.ports import FinalOutcome, HandoverAcceptor
from ..core.tasks import BackgroundTasks
from .outcome_publisher import OutcomePublisher
from .queue_consumer import QueueConsumer
from .settings import QueueSettings
from .transport import Broker


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
        self.tasks = BackgroundTasks()
        self.queues = [
            QueueConsumer(queue, brokers[queue.broker], acceptor, max_remaining_ms, rng) for queue in settings
        ]
        self.outcome_publisher = OutcomePublisher(brokers, acceptor, rng)

    async def open(self) -> None:
        """Starts to consume all queues."""
        for queue in self.queues:
            self.tasks.start(queue.run())

    def notify_outcome(self, outcome: FinalOutcome) -> None:
        """Publishes a final outcome to the reply queue of its message."""
        self.outcome_publisher.publish(outcome)

    def reload(self, config: Config) -> None:
        """Nothing to do: queues change with a restart."""

    def announce_stop(self) -> None:
        """Nothing to do: what is not acknowledged stays in its queue."""

    def stop(self) -> None:
        """Consumes no more; what was not accepted goes back to its queue."""
        for queue in self.queues:
            queue.stop()

    @property
    def open_requests(self) -> int:
        """Deliveries that are acknowledged once their journal records are durable."""
        return sum(queue.journalling for queue in self.queues)

    @property
    def pending_outcomes(self) -> int:
        """Final outcomes that are not confirmed by their broker yet."""
        return len(self.outcome_publisher.pending)

    async def close(self) -> None:
        """Ends all consumers and publishes at once."""
        self.stop()
        await self.tasks.cancel()
        await self.outcome_publisher.close()
