"""One connection to a broker: a socket, the state machine in protocol.py, and a future for each publish.

protocol.py decides what the end of a publish proves, reconnect_policy.py when to connect again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from pamqp import commands

from ..structured_logging import LogEvent
from . import events
from .events import Publish, PublishStatus
from .handshake import Login
from .protocol import ConnectionProtocol, State

log = logging.getLogger(__name__)

Properties = commands.Basic.Properties
# A channel with this many given-up publishes is replaced, once nothing else on the connection is unconfirmed.
MAX_GIVEN_UP = 256
ANSWERED = (PublishStatus.ACKED, PublishStatus.NACKED, PublishStatus.RETURNED)  # by the broker


class Consumer(Protocol):
    """Receives the deliveries of one channel."""

    def on_channel_ready(self, channel: int) -> None:
        """Called once, when the channel is open and `subscribe` is allowed."""

    def on_delivery(self, delivery: events.Delivered) -> None:
        """Called for each delivery; it has to be settled or acknowledged."""

    def on_consumer_closed(self, reason: str) -> None:
        """Called once, when the consumer, its channel or the connection has ended."""


class NotConnectedError(Exception):
    """There is no connection, so nothing was written."""


class BrokerConnection(asyncio.Protocol):
    """A connection with one channel for publishes and one for each consumer."""

    def __init__(
        self, login: Login, on_closed: Callable[[str], None], on_late_confirm: Callable[[Publish], None]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.machine = ConnectionProtocol(login, self.loop.time())
        self.on_closed, self.on_late_confirm = on_closed, on_late_confirm
        self.transport: asyncio.Transport | None = None
        self.publish_channel: asyncio.Future[int] = self.loop.create_future()  # its number, once it is open
        self.confirmations: dict[Publish, asyncio.Future[PublishStatus]] = {}
        self.consumers: dict[int, Consumer] = {}  # by channel number
        self.drained = asyncio.Event()
        self.drained.set()
        self.timer: asyncio.TimerHandle | None = None
        self.closing_channels = set[int]()  # channels of consumers that are being closed here
        # By channel number and tag: what to call once the broker has processed a tracked ack.
        self.ack_callbacks: dict[tuple[int, int], Callable[[], None]] = {}
        self.channels_to_prove = set[int]()  # channels with tracked acks since the latest request for a proof
        self.is_closed = False

    # -- the socket --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._flush()

    def data_received(self, data: bytes) -> None:
        self._handle_events(self.machine.receive_data(data, self.loop.time()))

    def connection_lost(self, exc: Exception | None) -> None:
        self._handle_events(self.machine.stream_closed("the connection is lost" if exc is None else str(exc)))

    def pause_writing(self) -> None:
        self.drained.clear()

    def resume_writing(self) -> None:
        self.drained.set()

    def _flush(self) -> None:
        """Writes the pending bytes. They count as written now, since even buffered ones may arrive."""
        if self.transport is None or self.transport.is_closing():
            return
        data = self.machine.data_to_send(self.loop.time())
        if data:
            self.machine.mark_written(len(data))
            self.transport.write(data)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        tick_at = self.machine.next_tick_at()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if tick_at is None else self.loop.call_at(tick_at, self._tick)

    def _tick(self) -> None:
        self._handle_events(self.machine.tick(self.loop.time()))

    # -- events of the state machine ---------------------------------------------------------------------

    def _handle_events(self, received: list[events.Event]) -> None:
        for event in received:
            match event:
                case events.Opened():
                    self.machine.open_channel()
                case events.ChannelReady(channel) if channel in self.consumers:
                    self.consumers[channel].on_channel_ready(channel)
                case events.Delivered(channel) if channel in self.consumers:
                    self.consumers[channel].on_delivery(event)
                case events.ConsumerCancelled(channel) if channel in self.consumers:
                    consumer = self.consumers[channel]
                    self.close_consumer(channel)
                    consumer.on_consumer_closed("the broker cancelled the consumer")
                case events.AcksProcessed(channel, tags):
                    for tag in tags:
                        self.ack_callbacks.pop((channel, tag))()
                case events.ChannelClosed(channel, _, text) if channel in self.consumers:
                    self._forget_acks(channel)
                    self.consumers.pop(channel).on_consumer_closed(f"the broker closed the channel: {text}")
                case events.ChannelClosed(channel) if channel in self.closing_channels:
                    self._forget_acks(channel)
                    self.closing_channels.discard(channel)
                case events.ChannelReady(channel):
                    if self.publish_channel.done():
                        self.publish_channel = self.loop.create_future()
                    self.publish_channel.set_result(channel)
                case events.ChannelClosed():  # by the broker, for one invalid publish: open a new channel
                    self.publish_channel = self.loop.create_future()
                    if self.machine.state is State.OPEN:
                        self.machine.open_channel()
                case events.PublishSettled(publish, is_late):
                    self._on_publish_settled(publish, is_late)
                case events.ConnectionClosed(reason):
                    self._on_connection_closed(reason)
                case _:
                    pass
        self._flush()

    def _on_publish_settled(self, publish: Publish, is_late: bool) -> None:
        future = self.confirmations.pop(publish, None)
        if future is not None and not future.done():
            future.set_result(publish.status)
        elif is_late and publish.status in ANSWERED:
            self.on_late_confirm(publish)

    def _on_connection_closed(self, reason: str) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        if not self.publish_channel.done():
            self.publish_channel.set_exception(NotConnectedError(reason))
            self.publish_channel.exception()  # marks it as retrieved: there may be nobody who waits for it
        for future in self.confirmations.values():
            if not future.done():
                future.set_result(PublishStatus.LOST)
        self.confirmations.clear()
        for channel in {channel for channel, _ in self.ack_callbacks}:
            self._forget_acks(channel)
        consumers, self.consumers = list(self.consumers.values()), {}
        for consumer in consumers:
            consumer.on_consumer_closed(reason)
        self.drained.set()
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            data = self.machine.data_to_send(self.loop.time())  # a last connection.close or close-ok
            if data and not self.transport.is_closing():
                self.transport.write(data)
            self.transport.close()
        self.on_closed(reason)

    # -- calls of the user -------------------------------------------------------------------------------

    @property
    def blocked(self) -> bool:
        """Whether the broker takes no publishes on this connection."""
        return self.machine.blocked

    def may_publish(self) -> bool:
        """Whether `publish` is allowed now."""
        return (
            not self.is_closed
            and self.drained.is_set()
            and self.publish_channel.done()
            and self.publish_channel.exception() is None
            and self.machine.may_publish(self.publish_channel.result())
        )

    def publish(
        self, message_id: str, exchange: str, routing_key: str, data: bytes, properties: Properties
    ) -> tuple[Publish, asyncio.Future[PublishStatus]]:
        """Publishes a message; only allowed while `may_publish`."""
        publish = self.machine.publish(
            self.publish_channel.result(), message_id, exchange, routing_key, data, properties
        )
        future = self.confirmations[publish] = self.loop.create_future()
        self._flush()
        return publish, future

    def consume(self, prefetch: int, consumer: Consumer) -> int:
        """Opens a channel for the consumer; `on_channel_ready` is called once `subscribe` is allowed."""
        channel = self.machine.open_channel(prefetch)
        self.consumers[channel] = consumer
        self._flush()
        return channel

    def subscribe(self, channel: int, queue: str) -> None:
        """Consumes a queue on the channel of a consumer."""
        self.machine.consume(channel, queue, f"linnetstile-{channel}")
        self._flush()

    def settle(self, channel: int, tag: int, accepted: bool) -> None:
        """Acknowledges or finally rejects a delivery. If its channel has closed, it is delivered again."""
        if self.is_closed or channel not in self.consumers:
            return
        if accepted:
            self.machine.ack(channel, tag)
        else:
            self.machine.reject(channel, tag, requeue=False)
        self._flush()

    def acknowledge(self, channel: int, tag: int, on_processed: Callable[[], None]) -> bool:
        """Acknowledges a delivery; `on_processed` is called once it is certain never to be delivered again.

        It is never called if the channel or connection ends before that is known. Returns False if nothing
        was sent, because the channel has closed: then the delivery is certain to be delivered again.
        """
        if self.is_closed or channel not in self.consumers:
            return False
        self.ack_callbacks[channel, tag] = on_processed
        self.machine.ack(channel, tag, is_tracked=True)
        if not self.channels_to_prove:
            # Deferred, so that all acks of this turn of the event loop need one write and one proof.
            self.loop.call_soon(self._request_ack_proofs)
        self.channels_to_prove.add(channel)
        return True

    def _request_ack_proofs(self) -> None:
        for channel in self.channels_to_prove:
            if channel in self.consumers and not self.is_closed:
                self.machine.request_ack_proof(channel)
        self.channels_to_prove.clear()
        self._flush()

    def _forget_acks(self, channel: int) -> None:
        """Forgets the acks of a closed channel; their messages may be delivered again."""
        unproved = [key for key in self.ack_callbacks if key[0] == channel]
        for key in unproved:
            del self.ack_callbacks[key]
        if unproved:
            log.warning(LogEvent("queue: acks may be lost", channel=channel, messages=len(unproved)))

    def close_consumer(self, channel: int) -> None:
        """Closes the channel of a consumer; what was not acknowledged goes back to its queue."""
        if self.consumers.pop(channel, None) is not None and not self.is_closed:
            self.closing_channels.add(channel)
            self.machine.close_channel(channel)
            self._flush()

    def give_up(self, publish: Publish) -> None:
        """Stops waiting for the confirm of a publish; `on_late_confirm` is called if it still arrives."""
        self.confirmations.pop(publish, None)
        self.machine.give_up(publish)
        # Guards against a broker that never confirms: the channel would reach MAX_UNCONFIRMED.
        if not self.machine.unconfirmed and self.machine.given_up(publish.channel) >= MAX_GIVEN_UP:
            self.machine.close_channel(publish.channel)
            self._flush()

    def close(self) -> None:
        """Closes the connection in order; unconfirmed publishes are settled as lost or unwritten."""
        self.machine.close()
        self._flush()
        if self.transport is not None:
            self.transport.close()
