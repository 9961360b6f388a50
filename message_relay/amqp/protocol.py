"""State machine of one AMQP 0-9-1 client connection. It does no I/O and reads no clock.

Received bytes and method calls go in; bytes to send and events come out.

`aiormq` and `aio-pika` are not used because they keep their state in tasks and futures: when a connection
breaks, they can report that a publish failed, but not how much of it had been written. The relay depends on
that: a publish whose last byte was never written has had no effect, any other may have had one.

| connection state | on | next state |
| --- | --- | --- |
| START | connection.start | start-ok is sent: SECURE; our mechanism is not offered: BROKEN |
| SECURE | connection.tune | tune-ok and open are sent: OPENING |
| OPENING | connection.open-ok | OPEN |
| OPEN | `close`, connection.close from the broker, a protocol error | CLOSING, CLOSED, BROKEN |
| CLOSING | connection.close-ok, or the end of the stream | CLOSED |

| channel state | on | next state |
| --- | --- | --- |
| OPENING | channel.open-ok | confirm.select or qos is sent: SETTING |
| SETTING | confirm.select-ok or qos-ok | READY |
| READY | channel.close from the broker: its unconfirmed publishes are settled | CLOSED |

Special cases:

- Bytes are counted as they are produced, and `mark_written` reports how many were written. When the
  connection is lost, this count decides whether a publish is LOST or UNWRITTEN. A publish of three frames of
  which two were written has had no effect: a broker routes a message once its whole content has arrived
  (1.2.3 of the description of publisher confirms, and 4.2.6 of the specification).
- Confirms and returns settle publishes as publish_confirms.py describes; a confirm that cannot be right
  breaks the connection. A confirm for a publish that was given up is reported as late.
- After channel.close is sent, frames of the channel are ignored until its close-ok.
- basic.ack has no reply. Tracked acks are reported as processed once the reply to a later synchronous method
  has arrived: basic.qos with the unchanged prefetch, or channel.close (ack_tracker.py). If the broker closes
  the channel itself, it may have ignored them.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from pamqp import base, body, commands, header, heartbeat

from .channel import Channel, ChannelState
from .content import Content, PartialContent
from .events import (
    AcksProcessed,
    Blocked,
    ChannelClosed,
    ChannelReady,
    ConnectionClosed,
    ConsumerCancelled,
    ConsumerStarted,
    Delivered,
    Event,
    Flow,
    Opened,
    Publish,
    PublishSettled,
    PublishStatus,
)
from .frames import MIN_FRAME_BYTES, Frame, FrameError, FrameReader, encode_content, encode_frame
from .handshake import CHANNEL_MAX, Login, negotiate, start_ok

PROTOCOL_HEADER = b"AMQP\x00\x00\x09\x01"
DEAD_AFTER_HEARTBEATS = 2.0  # heartbeat intervals without a byte after which the broker is dead (4.2.7)


class State(Enum):
    """State of the connection; see the table above."""

    START, SECURE, OPENING, OPEN, CLOSING, CLOSED, BROKEN = range(7)


class ProtocolUsageError(RuntimeError):
    """A method was called that the current state does not allow: a fault of the caller."""


class ConnectionProtocol:
    """One connection to a broker, as its client."""

    def __init__(self, login: Login, now: float) -> None:
        """`now`, here and below, is in seconds of any monotonic clock."""
        self.login, self.state = login, State.START
        self.reader = FrameReader()
        self.channels: dict[int, Channel] = {}
        self.events: list[Event] = []
        self.outgoing = bytearray()
        self.produced = self.written = 0  # bytes, since the connection began
        self.frame_max, self.channel_max, self.heartbeat_s = MIN_FRAME_BYTES, CHANNEL_MAX, 0.0
        self.last_received_at = self.last_sent_at = now
        self.blocked = False
        self.ignored_confirms = 0  # confirms and returns that matched no open publish
        self._append(PROTOCOL_HEADER)

    # -- bytes -------------------------------------------------------------------------------------------

    def data_to_send(self, now: float) -> bytes:
        """Returns the bytes to write now; the caller reports to `mark_written` what it has written."""
        data = bytes(self.outgoing)
        self.outgoing.clear()
        if data:
            self.last_sent_at = now
        return data

    def mark_written(self, count: int) -> None:
        """Notes that `count` more bytes were written: from now on they may reach the broker."""
        self.written += count

    def receive_data(self, data: bytes, now: float) -> list[Event]:
        """Processes received bytes. Invalid data never raises; it breaks the connection."""
        if self.state in (State.CLOSED, State.BROKEN):
            return []
        self.last_received_at = now
        self.reader.feed(data)
        try:
            while self.state not in (State.CLOSED, State.BROKEN):
                numbered_frame = self.reader.next_frame()
                if numbered_frame is None:
                    break
                self._handle_frame(*numbered_frame)
        except FrameError as error:
            self._fail(error.reply_code, str(error))
        return self._take_events()

    def stream_closed(self, reason: str) -> list[Event]:
        """Notes that the stream has ended."""
        if self.state not in (State.CLOSED, State.BROKEN):
            orderly = self.state is State.CLOSING
            self._finish(State.CLOSED, ConnectionClosed(reason, orderly=orderly))
        return self._take_events()

    def tick(self, now: float) -> list[Event]:
        """To be called at `next_tick_at`: sends a heartbeat, or ends a connection that is silent too long."""
        if self.heartbeat_s and self.state in (State.OPEN, State.CLOSING):
            if now - self.last_received_at >= DEAD_AFTER_HEARTBEATS * self.heartbeat_s:
                self._finish(
                    State.BROKEN,
                    ConnectionClosed(f"nothing was received for {now - self.last_received_at:.1f} s"),
                )
            elif now - self.last_sent_at >= self.heartbeat_s / 2:
                self._append(heartbeat.Heartbeat().marshal())
        return self._take_events()

    def next_tick_at(self) -> float | None:
        """Returns when `tick` has something to do; None: never."""
        if not self.heartbeat_s or self.state not in (State.OPEN, State.CLOSING):
            return None
        return min(
            self.last_received_at + DEAD_AFTER_HEARTBEATS * self.heartbeat_s,
            self.last_sent_at + self.heartbeat_s / 2,
        )

    def _append(self, data: bytes) -> None:
        self.outgoing += data
        self.produced += len(data)

    def _send_frame(self, value: Frame, channel: int = 0) -> None:
        self._append(encode_frame(value, channel))

    def _take_events(self) -> list[Event]:
        events, self.events = self.events, []
        return events

    # -- calls of the user -------------------------------------------------------------------------------

    def open_channel(self, prefetch: int = 0) -> int:
        """Opens a channel and returns its number.

        It is for publishing with confirms or, with `prefetch`, for consuming with at most that many
        unacknowledged deliveries.
        """
        self._require(self.state is State.OPEN, "the connection is not open")
        number = next((n for n in range(1, self.channel_max + 1) if n not in self.channels), 0)
        self._require(number > 0, f"all {self.channel_max} channels are in use")
        self.channels[number] = Channel(number, prefetch)
        self._send_frame(commands.Channel.Open(), number)
        return number

    def may_publish(self, number: int) -> bool:
        """Whether `publish` is allowed: not under flow control, if blocked, or with too many unconfirmed."""
        channel = self.channels.get(number)
        return self.state is State.OPEN and not self.blocked and channel is not None and channel.may_publish

    def publish(
        self,
        number: int,
        message_id: str,
        exchange: str,
        routing_key: str,
        data: bytes,
        properties: commands.Basic.Properties,
    ) -> Publish:
        """Publishes a message with the mandatory flag; its confirm or return settles it."""
        self._require(self.may_publish(number), f"channel {number} does not accept a publish now")
        channel = self.channels[number]
        method = commands.Basic.Publish(exchange=exchange, routing_key=routing_key, mandatory=True)
        self._append(encode_content(method, properties, data, number, self.frame_max))
        return channel.confirms.add(number, message_id, self.produced)

    def give_up(self, publish: Publish) -> None:
        """Stops waiting for the confirm; one that still arrives is reported as late."""
        publish.given_up = True

    def given_up(self, number: int) -> int:
        """Returns how many publishes of a channel were given up and may still be confirmed."""
        channel = self.channels.get(number)
        return 0 if channel is None else channel.confirms.given_up

    def consume(self, number: int, queue: str, consumer: str) -> None:
        """Consumes a queue; `ConsumerStarted` and its deliveries follow."""
        channel = self._ready_channel(number)
        self._require(channel.prefetch > 0, f"channel {number} is for publishing")
        self._send_frame(commands.Basic.Consume(queue=queue, consumer_tag=consumer), number)

    def cancel(self, number: int, consumer: str) -> None:
        """Ends a consumer; its channel stays open."""
        self._ready_channel(number)
        self._send_frame(commands.Basic.Cancel(consumer_tag=consumer), number)

    def ack(self, number: int, tag: int, is_tracked: bool = False) -> None:
        """Acknowledges a delivery. If tracked, `AcksProcessed` follows after `request_ack_proof`."""
        channel = self._ready_channel(number)
        self._send_frame(commands.Basic.Ack(delivery_tag=tag), number)
        if is_tracked:
            channel.acks.add(tag)

    def request_ack_proof(self, number: int) -> None:
        """Sends a synchronous method without effect if tracked acks were sent since the latest one."""
        channel = self._ready_channel(number)
        if channel.acks.start_batch():
            self._send_frame(commands.Basic.Qos(prefetch_count=channel.prefetch), number)

    def reject(self, number: int, tag: int, requeue: bool) -> None:
        """Rejects a delivery, which goes back to its queue or to the dead-letter exchange of that."""
        self._ready_channel(number)
        self._send_frame(commands.Basic.Reject(delivery_tag=tag, requeue=requeue), number)

    def close_channel(self, number: int) -> None:
        """Closes a channel; its unconfirmed publishes are settled as lost or unwritten."""
        channel = self.channels.get(number)
        if channel is not None and channel.state is not ChannelState.CLOSING:
            self._settle_unconfirmed(channel, "the channel was closed")
            channel.state = ChannelState.CLOSING
            self._send_frame(commands.Channel.Close(200, "done", 0, 0), number)

    def close(self) -> None:
        """Closes the connection in order; unconfirmed publishes are settled as lost or unwritten."""
        if self.state in (State.CLOSING, State.CLOSED, State.BROKEN):
            return
        for channel in self.channels.values():
            self._settle_unconfirmed(channel, "the connection was closed")
        self._send_frame(commands.Connection.Close(200, "done", 0, 0))
        self.state = State.CLOSING

    @property
    def unconfirmed(self) -> int:
        """How many publishes wait for a confirm and were not given up."""
        confirms = [channel.confirms for channel in self.channels.values()]
        return sum(len(publishes) - publishes.given_up for publishes in confirms)

    def _ready_channel(self, number: int) -> Channel:
        channel = self.channels.get(number)
        self._require(
            self.state is State.OPEN and channel is not None and channel.state is ChannelState.READY,
            f"channel {number} is not ready",
        )
        assert channel is not None
        return channel

    @staticmethod
    def _require(condition: bool, text: str) -> None:
        if not condition:
            raise ProtocolUsageError(text)

    # -- frames ------------------------------------------------------------------------------------------

    def _handle_frame(self, number: int, frame: Frame) -> None:
        if isinstance(frame, heartbeat.Heartbeat):
            if number != 0:
                raise FrameError(501, f"a heartbeat on channel {number}")
            return
        if number == 0:
            self._handle_connection_frame(frame)
            return
        channel = self.channels.get(number)
        if channel is None or self.state not in (State.OPEN, State.CLOSING):
            raise FrameError(504, f"channel {number} is not open")
        if self.state is State.CLOSING:
            return  # ignored: only connection.close-ok matters now
        if isinstance(frame, header.ContentHeader):
            self._handle_content_header(channel, frame)
        elif isinstance(frame, body.ContentBody):
            self._handle_content_body(channel, frame)
        elif isinstance(frame, base.Frame):
            self._handle_channel_frame(channel, frame)

    def _handle_connection_frame(self, frame: Frame) -> None:
        name = getattr(frame, "name", type(frame).__name__)
        if isinstance(frame, commands.Connection.Close):
            self._send_frame(commands.Connection.CloseOk())
            self._finish(
                State.CLOSED,
                ConnectionClosed(f"closed by the broker: {frame.reply_text}", frame.reply_code or 0),
            )
            return
        if isinstance(frame, commands.Connection.CloseOk) and self.state is State.CLOSING:
            self._finish(State.CLOSED, ConnectionClosed("closed", orderly=True))
            return
        if self.state is State.CLOSING:
            return
        handlers: dict[tuple[State, type[Any]], Callable[[Any], None]] = {
            (State.START, commands.Connection.Start): self._on_start,
            (State.SECURE, commands.Connection.Tune): self._on_tune,
            (State.OPENING, commands.Connection.OpenOk): self._on_open_ok,
            (State.OPEN, commands.Connection.Blocked): self._on_blocked,
            (State.OPEN, commands.Connection.Unblocked): self._on_unblocked,
        }
        handler = handlers.get((self.state, type(frame)))
        if handler is None:
            raise FrameError(503, f"{name} in state {self.state.name}")
        handler(frame)

    def _on_start(self, frame: commands.Connection.Start) -> None:
        self._send_frame(start_ok(self.login, frame))
        self.state = State.SECURE

    def _on_tune(self, frame: commands.Connection.Tune) -> None:
        limits = negotiate(self.login, frame)
        self.frame_max, self.channel_max = limits.frame_max, limits.channel_max
        self.heartbeat_s = float(limits.heartbeat_s)
        self.reader.max_frame_bytes = self.frame_max
        self._send_frame(commands.Connection.TuneOk(limits.channel_max, limits.frame_max, limits.heartbeat_s))
        self._send_frame(commands.Connection.Open(self.login.vhost))
        self.state = State.OPENING

    def _on_open_ok(self, frame: commands.Connection.OpenOk) -> None:
        self.state = State.OPEN
        self.events.append(Opened(self.heartbeat_s, self.frame_max))

    def _on_blocked(self, frame: commands.Connection.Blocked) -> None:
        self.blocked = True
        self.events.append(Blocked(True, str(frame.reason)[:200]))

    def _on_unblocked(self, frame: commands.Connection.Unblocked) -> None:
        self.blocked = False
        self.events.append(Blocked(False))

    def _handle_channel_frame(self, channel: Channel, frame: base.Frame) -> None:
        number = channel.number
        if channel.state is ChannelState.CLOSING:
            self._handle_frame_of_closing_channel(channel, frame)
            return
        if channel.content is not None:
            raise FrameError(505, f"{frame.name} in the midst of a content")
        match frame:
            case commands.Channel.Close():
                self._on_channel_close(channel, frame)
            case commands.Channel.OpenOk() if channel.state is ChannelState.OPENING:
                channel.state = ChannelState.SETTING
                self._send_frame(
                    commands.Basic.Qos(prefetch_count=channel.prefetch)
                    if channel.prefetch
                    else commands.Confirm.Select(),
                    number,
                )
            case (
                commands.Confirm.SelectOk()
                | commands.Basic.QosOk()
            ) if channel.state is ChannelState.SETTING:
                channel.state = ChannelState.READY
                self.events.append(ChannelReady(number))
            case commands.Basic.QosOk() if channel.acks.batches:
                self._report_acks(number, channel.acks.finish_batch())
            case commands.Channel.Flow() if channel.state is ChannelState.READY:
                channel.is_flow_active = bool(frame.active)
                self._send_frame(commands.Channel.FlowOk(channel.is_flow_active), number)
                self.events.append(Flow(number, channel.is_flow_active))
            case commands.Basic.Ack() if channel.prefetch == 0:
                self._handle_confirm(channel, frame, PublishStatus.ACKED)
            case commands.Basic.Nack() if channel.prefetch == 0:
                self._handle_confirm(channel, frame, PublishStatus.NACKED)
            case commands.Basic.Return() | commands.Basic.Deliver():
                channel.content = PartialContent(frame)
            case commands.Basic.ConsumeOk():
                self.events.append(ConsumerStarted(number, str(frame.consumer_tag)))
            case commands.Basic.Cancel():
                self.events.append(ConsumerCancelled(number, str(frame.consumer_tag)))
            case commands.Basic.CancelOk():
                pass
            case _:
                raise FrameError(503, f"{frame.name} on channel {number}, which is {channel.state.name}")

    def _handle_frame_of_closing_channel(self, channel: Channel, frame: base.Frame) -> None:
        """Handles a frame after our channel.close; all but the end of the channel are ignored."""
        number = channel.number
        if isinstance(frame, commands.Channel.CloseOk):
            del self.channels[number]
            self._report_acks(number, channel.acks.finish_all())
            self.events.append(ChannelClosed(number, 200, "done"))
        elif isinstance(frame, commands.Channel.Close):
            # The broker closed the channel first, and may have ignored what arrived after that.
            channel.acks.clear()
            self._send_frame(commands.Channel.CloseOk(), number)

    def _on_channel_close(self, channel: Channel, frame: commands.Channel.Close) -> None:
        self._send_frame(commands.Channel.CloseOk(), channel.number)
        self._settle_unconfirmed(channel, f"the broker closed the channel: {frame.reply_text}")
        del self.channels[channel.number]
        self.events.append(ChannelClosed(channel.number, frame.reply_code or 0, str(frame.reply_text)[:200]))

    def _report_acks(self, number: int, tags: list[int]) -> None:
        if tags:
            self.events.append(AcksProcessed(number, tuple(tags)))

    # -- content -----------------------------------------------------------------------------------------

    def _handle_content_header(self, channel: Channel, frame: header.ContentHeader) -> None:
        if channel.state is ChannelState.CLOSING:
            return
        if channel.content is None:
            raise FrameError(505, "a content header that nothing announced")
        channel.content.add_header(frame)
        self._finish_content(channel, channel.content)

    def _handle_content_body(self, channel: Channel, frame: body.ContentBody) -> None:
        if channel.state is ChannelState.CLOSING:
            return
        if channel.content is None:
            raise FrameError(505, "a content body without its header")
        channel.content.add_body(frame)
        self._finish_content(channel, channel.content)

    def _finish_content(self, channel: Channel, partial_content: PartialContent) -> None:
        content = partial_content.complete()
        if content is None:
            return
        channel.content = None
        method = content.method
        if isinstance(method, commands.Basic.Return):
            self._handle_return(channel, method, content)
        elif isinstance(method, commands.Basic.Deliver):
            self.events.append(
                Delivered(
                    channel.number,
                    str(method.consumer_tag),
                    method.delivery_tag or 0,
                    bool(method.redelivered),
                    str(method.routing_key),
                    content.properties,
                    content.data,
                    content.size if content.is_too_long else 0,
                )
            )

    # -- confirms ----------------------------------------------------------------------------------------

    def _handle_return(self, channel: Channel, method: commands.Basic.Return, content: Content) -> None:
        reason = f"{method.reply_code} {method.reply_text}"[:200]
        self._report_settled(channel.confirms.on_return(content.properties.message_id, reason))

    def _handle_confirm(
        self, channel: Channel, frame: commands.Basic.Ack | commands.Basic.Nack, status: PublishStatus
    ) -> None:
        tag, is_multiple = frame.delivery_tag or 0, bool(frame.multiple)
        self._report_settled(channel.confirms.on_confirm(tag, is_multiple, status))

    def _report_settled(self, publishes: list[Publish] | None) -> None:
        """Reports what a confirm or return has settled; None: it matched no open publish."""
        if publishes is None:
            self.ignored_confirms += 1
            return
        self.events += [PublishSettled(publish, publish.given_up) for publish in publishes]

    def _settle_unconfirmed(self, channel: Channel, reason: str) -> None:
        """Settles all unconfirmed publishes of a channel as LOST or UNWRITTEN."""
        self._report_settled(channel.confirms.on_closed(self.written, reason))
        channel.content = None

    # -- closing -----------------------------------------------------------------------------------------

    def _fail(self, code: int, text: str) -> None:
        """Breaks the connection after a protocol error; sends connection.close if the state allows it."""
        if self.state not in (State.START, State.CLOSING):
            self._send_frame(commands.Connection.Close(code, text[:120], 0, 0))
        self._finish(State.BROKEN, ConnectionClosed(text, code))

    def _finish(self, state: State, event: ConnectionClosed) -> None:
        for channel in self.channels.values():
            self._settle_unconfirmed(channel, event.reason)
        self.channels.clear()
        self.reader.buffer.clear()
        self.state = state
        self.events.append(event)
