"""One connection to a broker on a socket: bytes between it and the machine, futures for those who wait.

Nothing is decided here: what a publish's end proves is the machine's, when to try again is life.py's."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pamqp import commands

from . import protocol as m
from .protocol import ConnectionProtocol, Fate, Login, Publish

Properties = commands.Basic.Properties
STALE = 256  # publishes given up, past which the channel is made anew, once nothing else is out on it


class Consumer(Protocol):
    """Whoever takes the deliveries of one channel."""

    def ready(self, channel: int) -> None: ...

    def delivered(self, delivery: m.Delivered) -> None: ...

    def over(self, why: str) -> None:
        """Of the consumer, its channel or the connection; told once."""


class NotConnectedError(Exception):
    """There is no connection, so that nothing was written."""


class BrokerConnection(asyncio.Protocol):
    def __init__(self, login: Login, ended: Callable[[str], None], late: Callable[[Publish], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.machine = ConnectionProtocol(login, self.loop.time())
        self.on_end, self.on_late = ended, late
        self.transport: asyncio.Transport | None = None
        self.ready: asyncio.Future[int] = self.loop.create_future()  # the channel to publish on
        self.waiting: dict[Publish, asyncio.Future[Fate]] = {}
        self.consumers: dict[int, Consumer] = {}  # by channel
        self.drained = asyncio.Event()
        self.drained.set()
        self.timer: asyncio.TimerHandle | None = None
        self.closing = set[int]()  # channels of consumers that we closed
        self.over = False

    # -- the socket --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._flush()

    def data_received(self, data: bytes) -> None:
        self._handle(self.machine.received(data, self.loop.time()))

    def connection_lost(self, exc: Exception | None) -> None:
        self._handle(self.machine.lost("the connection is lost" if exc is None else str(exc)))

    def pause_writing(self) -> None:
        self.drained.clear()

    def resume_writing(self) -> None:
        self.drained.set()

    def _flush(self) -> None:
        """Hands over what the machine has to say. From then on it may arrive, whatever the buffers say."""
        if self.transport is None or self.transport.is_closing():
            return
        data = self.machine.take(self.loop.time())
        if data:
            self.machine.wrote(len(data))
            self.transport.write(data)
        self._wind()

    def _wind(self) -> None:
        due = self.machine.due()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if due is None else self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._handle(self.machine.tick(self.loop.time()))

    # -- what the machine tells --------------------------------------------------------------------------

    def _handle(self, events: list[m.Event]) -> None:
        for event in events:
            match event:
                case m.Opened():
                    self.machine.open_channel()
                case m.ChannelReady(channel) if channel in self.consumers:
                    self.consumers[channel].ready(channel)
                case m.Delivered(channel) if channel in self.consumers:
                    self.consumers[channel].delivered(event)
                case m.Cancelled(channel) if channel in self.consumers:
                    ended = self.consumers[channel]
                    self.leave(channel)
                    ended.over("the broker ended the consumer")
                case m.ChannelClosed(channel, _, text) if channel in self.consumers:
                    self.consumers.pop(channel).over(f"the broker closed the channel: {text}")
                case m.ChannelClosed(channel) if channel in self.closing:
                    self.closing.discard(channel)
                case m.ChannelReady(channel):
                    if self.ready.done():
                        self.ready = self.loop.create_future()
                    self.ready.set_result(channel)
                case m.ChannelClosed():  # by the broker, for one bad publish: the others go on, on a new one
                    self.ready = self.loop.create_future()
                    if self.machine.state is m.State.OPEN:
                        self.machine.open_channel()
                case m.Settled(publish, late):
                    future = self.waiting.pop(publish, None)
                    if future is not None and not future.done():
                        future.set_result(publish.fate)
                    elif late and publish.fate in (Fate.ACKED, Fate.NACKED, Fate.RETURNED):
                        self.on_late(publish)
                case m.Ended(why):
                    self._ended(why)
                case _:
                    pass
        self._flush()

    def _ended(self, why: str) -> None:
        if self.over:
            return
        self.over = True
        if not self.ready.done():
            self.ready.set_exception(NotConnectedError(why))
            self.ready.exception()  # somebody may wait for it, or nobody
        for future in self.waiting.values():
            if not future.done():
                future.set_result(Fate.LOST)
        self.waiting.clear()
        consumers, self.consumers = list(self.consumers.values()), {}
        for consumer in consumers:
            consumer.over(why)
        self.drained.set()
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            data = self.machine.take(self.loop.time())  # a last word, or the answer to the broker's
            if data and not self.transport.is_closing():
                self.transport.write(data)
            self.transport.close()
        self.on_end(why)

    # -- what is asked of it -----------------------------------------------------------------------------

    @property
    def blocked(self) -> bool:
        return self.machine.blocked

    def may_publish(self) -> bool:
        return (
            not self.over
            and self.drained.is_set()
            and self.ready.done()
            and self.ready.exception() is None
            and self.machine.may_publish(self.ready.result())
        )

    def publish(
        self, ident: str, exchange: str, routing_key: str, data: bytes, properties: Properties
    ) -> tuple[Publish, asyncio.Future[Fate]]:
        """Only where `may_publish`."""
        publish = self.machine.publish(self.ready.result(), ident, exchange, routing_key, data, properties)
        future = self.waiting[publish] = self.loop.create_future()
        self._flush()
        return publish, future

    def consume(self, prefetch: int, consumer: Consumer) -> int:
        """Opens a channel for it; `Consumer.ready` comes when deliveries may be asked for."""
        channel = self.machine.open_channel(prefetch)
        self.consumers[channel] = consumer
        self._flush()
        return channel

    def subscribe(self, channel: int, queue: str) -> None:
        self.machine.consume(channel, queue, f"linnetstile-{channel}")
        self._flush()

    def settle(self, channel: int, tag: int, taken: bool) -> None:
        """Acknowledges a delivery, or rejects it for good. Its channel has gone: it comes again."""
        if self.over or channel not in self.consumers:
            return
        if taken:
            self.machine.ack(channel, tag)
        else:
            self.machine.reject(channel, tag, requeue=False)
        self._flush()

    def leave(self, channel: int) -> None:
        """Takes no more deliveries there; what was not acknowledged goes back to its queue."""
        if self.consumers.pop(channel, None) is not None and not self.over:
            self.closing.add(channel)
            self.machine.close_channel(channel)
            self._flush()

    def give_up(self, publish: Publish) -> None:
        self.waiting.pop(publish, None)
        self.machine.give_up(publish)
        # Guards against a broker that never confirms: in the end the channel would take no more.
        if not self.machine.out and self.machine.given_up(publish.channel) >= STALE:
            self.machine.close_channel(publish.channel)
            self._flush()

    def close(self) -> None:
        """In an orderly way; what is still out is lost."""
        self.machine.close()
        self._flush()
        if self.transport is not None:
            self.transport.close()
