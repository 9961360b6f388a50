"""Messages from queues (core.seams.Intake): acknowledged once they are in the journal, never before.

A delivery is a message with these properties, and one that lacks something is rejected for good, so that a
dead-letter exchange gets it, if the queue has one; the log says why:

| property | is |
| --- | --- |
| message_id | its id |
| type | its class |
| headers: destination, tenant, idempotency-key | as the HTTP headers of the same meaning |
| expiration | ms that it may still be delivered; none: the longest of its class |
| timestamp | when it was sent, if told: what has passed since then is taken off |
| reply_to, correlation_id | where a final answer goes: `{"id", "state", "after_ms"}` |

A hold that is full stops the queue: what was delivered waits here, no more than `prefetch`, and nothing is
refused. A final answer is published with a confirm and stays in the journal until that has come; one that
nobody's queue takes (a return) is told as it is: nobody listens."""

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
from ..core.ports import FinalOutcome, InvalidMessageError, MessageAcceptor, Submission
from ..core.tasks import BackgroundTasks
from ..structured_logging import LogEvent
from .connection import BrokerConnection, NotConnectedError
from .protocol import Delivered, Fate, ProtocolUsageError
from .reconnect_policy import ReconnectPolicy
from .settings import QueueSettings
from .transport import Broker

log = logging.getLogger(__name__)

NAME = "amqp"  # of the front, in the journal
LOOK_S = 0.05  # a full hold is looked at again so much later
CONFIRM_S = 5.0  # for a final answer
ANSWERS = 64  # final answers that are out at once
NAMES = 400  # characters of reply_to and correlation_id that are kept; a longer one gets no answer
LEFT_MS = 999_999_999


def origin_of(broker: str, properties: commands.Basic.Properties) -> str:
    """What the journal keeps, so that the answer finds its way after a restart."""
    reply, correlation = properties.reply_to or "", properties.correlation_id or properties.message_id or ""
    if not reply or len(reply) + len(str(correlation)) > NAMES:
        return NAME
    return " ".join((NAME, quote(broker), quote(reply), quote(str(correlation))))


class Queue:
    """One queue: its consumer, and what waits for room."""

    def __init__(
        self,
        part: QueueSettings,
        broker: Broker,
        desk: MessageAcceptor,
        longest: Mapping[str, float],
        rng: Random,
    ) -> None:
        self.part, self.broker, self.desk, self.longest = part, broker, desk, longest
        self.life = ReconnectPolicy(1, rng)
        self.link: BrokerConnection | None = None
        self.channel = 0
        self.epoch = 0  # of consumers: a channel's number, and its tags, come again with the next one
        self.waiting: deque[Delivered] = deque()  # no more than prefetch
        self.journalling = 0
        self.look: asyncio.TimerHandle | None = None  # while the hold is full
        self.ended = asyncio.Event()
        self.stopped = False
        self.rejected = 0

    # -- a consumer's life (link.Consumer) ---------------------------------------------------------------

    async def run(self) -> None:
        """Never ends by itself."""
        loop = asyncio.get_running_loop()
        while not self.stopped:
            self.ended.clear()
            self.epoch += 1
            try:
                self.link = await self.broker.linked()
                self.channel = self.link.consume(self.part.prefetch, self)
                self.life.on_opened(loop.time())
                await self.ended.wait()
            except (
                NotConnectedError,
                ProtocolUsageError,
            ) as error:  # one that ended just now, or has no channel left
                log.warning(LogEvent("queue: cannot be consumed", queue=self.part.queue, why=error))
            self.link = None
            self.waiting.clear()  # not acknowledged: it comes again
            await asyncio.sleep(self.life.on_closed(loop.time()))

    def ready(self, channel: int) -> None:
        if self.link is not None:
            self.link.subscribe(channel, self.part.queue)

    def over(self, why: str) -> None:
        if not self.stopped:
            log.warning(LogEvent("queue: not consumed any more", queue=self.part.queue, why=why))
        self.ended.set()

    def delivered(self, delivery: Delivered) -> None:
        self.waiting.append(delivery)
        self.work()

    # -- deliveries --------------------------------------------------------------------------------------

    def work(self) -> None:
        """Takes what there is room for, in its order."""
        while self.waiting and not self.stopped:
            delivery = self.waiting[0]
            if not self.desk.has_capacity:
                self._later()
                return
            try:
                receipt = self.desk.accept(self.offer(delivery))
            except InvalidMessageError as error:
                self.waiting.popleft()
                self.rejected += 1
                log.warning(
                    LogEvent(
                        "queue: a message is rejected",
                        queue=self.part.queue,
                        id=str(delivery.properties.message_id)[:200],
                        why=error,
                    )
                )
                self.settle(delivery, False)
                continue
            if not receipt.accepted:
                self._later()
                return
            self.waiting.popleft()
            self.life.has_confirmed = True
            if receipt.durable is None:
                self.settle(delivery, True)
            else:
                self.journalling += 1
                receipt.durable.add_done_callback(partial(self._safe, delivery, self.epoch))

    def _later(self) -> None:
        if self.look is None:
            self.look = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self.look = None
        self.work()

    def _safe(self, delivery: Delivered, epoch: int, done: asyncio.Future[None]) -> None:
        """Guards a delivery of the next consumer: an ack with an old tag would take it from its queue."""
        self.journalling -= 1
        if not done.cancelled() and epoch == self.epoch:
            self.settle(delivery, True)

    def settle(self, delivery: Delivered, taken: bool) -> None:
        """On the channel it came by only: tags of another mean other deliveries."""
        if self.link is not None and delivery.channel == self.channel and not self.ended.is_set():
            self.link.settle(delivery.channel, delivery.tag, taken)

    def offer(self, delivery: Delivered) -> Submission:
        """Raises Malformed."""
        told = delivery.properties
        headers = told.headers or {}
        if delivery.too_long:
            raise InvalidMessageError("body", f"{delivery.too_long} bytes are too many")
        class_ = told.message_type or ""
        try:
            dest = int(str(headers.get("destination", "")))
        except ValueError:
            raise InvalidMessageError("dest", "header destination must be a number") from None
        key = headers.get("idempotency-key")
        return Submission(
            str(told.message_id or ""),
            class_,
            str(headers.get("tenant", "")),
            dest,
            None if key is None else str(key),
            self._left(told, class_),
            "",
            delivery.body,
            origin_of(self.part.broker, told),
        )

    def _left(self, told: commands.Basic.Properties, class_: str) -> int:
        text = told.expiration
        if text is None or text == "":
            return int(self.longest.get(class_, 0.0))
        if not text.isdecimal() or len(text) > 9:
            raise InvalidMessageError("left", f"expiration {text[:20]!r} is no number of ms")
        left = int(text)
        if told.timestamp is not None:
            age = time.time() - told.timestamp.timestamp()
            left -= max(0, int(1000 * age) - 1000)  # it tells whole seconds
        return min(LEFT_MS, max(0, left))

    def stop(self) -> None:
        self.stopped = True
        if self.link is not None:
            self.link.leave(self.channel)
        self.waiting.clear()
        self.ended.set()


class QueueIntake:
    """All queues of the operator's file, and the answers to what came by them."""

    def __init__(
        self,
        parts: list[QueueSettings],
        brokers: Mapping[str, Broker],
        desk: MessageAcceptor,
        longest: Mapping[str, float],
        rng: Random,
    ) -> None:
        self.brokers, self.desk, self.rng, self.tasks = brokers, desk, rng, BackgroundTasks()
        self.queues = [Queue(part, brokers[part.broker], desk, longest, rng) for part in parts]
        self.ends: dict[str, FinalOutcome] = {}  # that are still to be passed on
        self.out = asyncio.Semaphore(ANSWERS)

    async def open(self) -> None:
        for queue in self.queues:
            self.tasks.start(queue.run())

    def notify_outcome(self, end: FinalOutcome) -> None:
        if end.id in self.ends:
            return
        if " " not in end.origin:
            self.desk.mark_notified([end.id])  # nobody asked for an answer
            return
        self.ends[end.id] = end
        self.tasks.start(self._answer(end))

    async def _answer(self, end: FinalOutcome) -> None:
        """Until it is confirmed, or nobody's queue takes it."""
        _, broker_name, reply, correlation = (unquote(part) for part in end.origin.split(" "))
        broker, life = self.brokers.get(broker_name), ReconnectPolicy(1, self.rng)
        if broker is None:  # it stays in the journal until that broker is named again
            log.error(LogEvent("an end waits for a broker that is not named", id=end.id, broker=broker_name))
            return
        while True:
            async with self.out:
                fate = await self._publish(broker, end, reply, correlation)
            if fate in (Fate.ACKED, Fate.RETURNED):
                if fate is Fate.RETURNED:
                    log.warning(LogEvent("an answer finds no queue", id=end.id, queue=reply))
                self.ends.pop(end.id, None)
                self.desk.mark_notified([end.id])
                return
            await asyncio.sleep(life.on_closed(asyncio.get_running_loop().time()))

    async def _publish(self, broker: Broker, end: FinalOutcome, reply: str, correlation: str) -> Fate:
        told: dict[str, object] = {"id": end.id, "state": end.state}
        if end.retry_after_ms > 0:
            told["after_ms"] = round(end.retry_after_ms)
        properties = commands.Basic.Properties(
            content_type="application/json",
            correlation_id=correlation,
            delivery_mode=2,
            message_id=f"end-{end.id}",
        )
        link, publish = None, None
        try:
            async with asyncio.timeout(CONFIRM_S):
                link = await broker.linked()
                if not link.may_publish():
                    return Fate.UNWRITTEN
                publish, confirmed = link.publish(
                    f"end-{end.id}", "", reply, msgspec.json.encode(told), properties
                )
                return await confirmed
        except (NotConnectedError, TimeoutError):
            return Fate.LOST
        finally:
            if link is not None and publish is not None and publish.fate is Fate.OUT:
                link.give_up(publish)

    def reload(self, config: Config) -> None:
        """Queues change with a restart."""

    def announce_stop(self) -> None:
        """Brokers need no notice: what is not acknowledged stays in the queue."""

    def stop(self) -> None:
        for queue in self.queues:
            queue.stop()

    @property
    def open_requests(self) -> int:
        return sum(queue.journalling for queue in self.queues)

    @property
    def pending_outcomes(self) -> int:
        return len(self.ends)

    async def close(self) -> None:
        self.stop()
        await self.tasks.cancel()
