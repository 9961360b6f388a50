"""One AMQP 0-9-1 connection as a machine: bytes and calls in, bytes and events out. No socket, no clock.

Why not `aiormq` or `aio-pika`: their state lies in tasks and futures, and when a connection breaks they can
say that a publish failed, but not how much of it had been written. That is the one thing a relay has to
know: a publish whose last byte was never handed over has not run, any other may have.

| connection | until | then |
| --- | --- | --- |
| START | connection.start | start-ok, or the mechanism that we can is not offered: broken |
| SECURE | connection.tune | tune-ok and open |
| OPENING | connection.open-ok | OPEN |
| OPEN | we close it: CLOSING; the broker does: CLOSED; nonsense: BROKEN | |
| CLOSING | connection.close-ok, or the stream ends | CLOSED |

| channel | until | then |
| --- | --- | --- |
| OPENING | channel.open-ok | confirm.select or qos is sent |
| SETTING | confirm.select-ok, or qos-ok | READY |
| READY | channel.close from the broker: all that is out on it is lost | CLOSED |

Odd cases, and why they are as they are:

- Bytes are counted as they are produced. `wrote` tells how many have been handed over; what is lost with the
  connection is told as written or not by that, never by hope. A publish in three frames, of which two were
  handed over, has not run: a broker routes a message once its whole content has come (1.2.3 of the
  confirms' description, and 4.2.6 of the specification).
- A return proves that a message went nowhere, and is told at once. The ack that follows is only booked.
- A confirm for a tag that was given up is told as late. One for a tag that was settled before is counted and
  passed over. One for a tag that was never used, or that names 0 alone, breaks the connection: from there on
  no confirm could be believed.
- A nack may cover several too. Confirms may come in any order.
- After channel.close frames of the channel that were under way are passed over until its close-ok."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from pamqp import base, body, commands, header, heartbeat

from .frames import MIN_FRAME_BYTES, Frame, FrameError, FrameReader, encode_content, encode_frame

PROTOCOL = b"AMQP\x00\x00\x09\x01"
FRAME_MAX = 131_072  # bytes: what we ask for; a body of 64 KiB goes in one
CHANNEL_MAX = 64  # we use a few
OUT_MOST = 1024  # publishes of one channel that wait for a confirm, those given up included
CONTENT_MOST = 64 * 1024  # bytes of a delivery that are kept: a longer one is skipped, and told as too long
HEADERS_MOST = 16 * 1024  # bytes of a content header frame
DEAD = 2.0  # heartbeat times without a byte: the other side is gone (4.2.7)


class State(Enum):
    START, SECURE, OPENING, OPEN, CLOSING, CLOSED, BROKEN = range(7)


class Lane(Enum):
    """A channel's state."""

    OPENING, SETTING, READY, CLOSING, CLOSED = range(5)


class Fate(Enum):
    """What is known of a publish."""

    OUT = "out"
    ACKED = "acked"
    NACKED = "nacked"
    RETURNED = "returned"  # it went nowhere
    UNWRITTEN = "unwritten"  # its last byte was never handed over: it has not run
    LOST = "lost"  # it may have run


@dataclass(eq=False, slots=True)
class Publish:
    channel: int
    tag: int
    ident: str
    end: int  # of all bytes that the connection ever produced: where its last one stands
    fate: Fate = Fate.OUT
    given_up: bool = False
    why: str = ""


# -- events ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Opened:
    heartbeat_s: float
    frame_max: int


@dataclass(frozen=True, slots=True)
class ChannelReady:
    channel: int


@dataclass(frozen=True, slots=True)
class Settled:
    """A publish has its fate; `late`: after it was given up."""

    publish: Publish
    late: bool


@dataclass(frozen=True, slots=True)
class Delivered:
    channel: int
    consumer: str
    tag: int
    redelivered: bool
    routing_key: str
    properties: commands.Basic.Properties
    body: bytes
    too_long: int = 0  # bytes that it says it has, where they were not kept


@dataclass(frozen=True, slots=True)
class Consuming:
    channel: int
    consumer: str


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The broker ended a consumer: its queue is gone, say."""

    channel: int
    consumer: str


@dataclass(frozen=True, slots=True)
class Blocked:
    blocked: bool
    why: str = ""


@dataclass(frozen=True, slots=True)
class Flow:
    channel: int
    active: bool


@dataclass(frozen=True, slots=True)
class ChannelClosed:
    channel: int
    code: int
    text: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The connection is over; all publishes that were out have been told before."""

    why: str
    code: int = 0
    orderly: bool = False


Event = (
    Opened
    | ChannelReady
    | Settled
    | Delivered
    | Consuming
    | Cancelled
    | Blocked
    | Flow
    | ChannelClosed
    | Ended
)


# -- a channel ---------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Content:
    """A method that carries content, and what has come of it."""

    method: base.Frame
    properties: commands.Basic.Properties | None = None
    size: int = 0
    come: int = 0
    parts: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Channel:
    number: int
    prefetch: int  # 0: it is for publishing, with confirms
    state: Lane = Lane.OPENING
    last: int = 0  # tag of the latest publish
    out: OrderedDict[int, Publish] = field(default_factory=OrderedDict)
    content: Content | None = None
    active: bool = True


@dataclass(frozen=True, slots=True)
class Login:
    user: str = "guest"
    password: str = field(default="guest", repr=False)
    host: str = "/"
    external: bool = False  # SASL EXTERNAL: the certificate says who we are
    heartbeat_s: int = 10  # that we ask for; 0: none
    name: str = "linnetstile"


class ProtocolUsageError(RuntimeError):
    """It was called for what its state does not allow: a fault of the caller."""


class ConnectionProtocol:
    def __init__(self, login: Login, now: float) -> None:
        """`now`, here and below: seconds of any clock that never falls."""
        self.login, self.state = login, State.START
        self.reader = FrameReader()
        self.channels: dict[int, Channel] = {}
        self.events: list[Event] = []
        self.outgoing = bytearray()
        self.produced = self.written = 0  # bytes, since the beginning
        self.frame_max, self.channel_max, self.heartbeat_s = MIN_FRAME_BYTES, CHANNEL_MAX, 0.0
        self.heard = self.spoke = now
        self.blocked = False
        self.odd = 0  # confirms that were passed over
        self._put(PROTOCOL)

    # -- bytes -------------------------------------------------------------------------------------------

    def take(self, now: float) -> bytes:
        """What is to be written now; `wrote` is to be told of it."""
        data = bytes(self.outgoing)
        self.outgoing.clear()
        if data:
            self.spoke = now
        return data

    def wrote(self, count: int) -> None:
        """So many more bytes were handed over: from now on they may arrive."""
        self.written += count

    def received(self, data: bytes, now: float) -> list[Event]:
        """Never raises for what the other side sends."""
        if self.state in (State.CLOSED, State.BROKEN):
            return []
        self.heard = now
        self.reader.feed(data)
        try:
            while self.state not in (State.CLOSED, State.BROKEN):
                found = self.reader.next_frame()
                if found is None:
                    break
                self._frame(*found)
        except FrameError as error:
            self._break(error.reply_code, str(error))
        return self._told()

    def lost(self, why: str) -> list[Event]:
        """The stream has ended."""
        if self.state not in (State.CLOSED, State.BROKEN):
            orderly = self.state is State.CLOSING
            self._end(State.CLOSED, Ended(why, orderly=orderly))
        return self._told()

    def tick(self, now: float) -> list[Event]:
        """To be called at `due`: sends a heartbeat, or takes the other side for dead."""
        if self.heartbeat_s and self.state in (State.OPEN, State.CLOSING):
            if now - self.heard >= DEAD * self.heartbeat_s:
                self._end(State.BROKEN, Ended(f"nothing came for {now - self.heard:.1f} s"))
            elif now - self.spoke >= self.heartbeat_s / 2:
                self._put(heartbeat.Heartbeat().marshal())
        return self._told()

    def due(self) -> float | None:
        """When `tick` has something to do; None: never."""
        if not self.heartbeat_s or self.state not in (State.OPEN, State.CLOSING):
            return None
        return min(self.heard + DEAD * self.heartbeat_s, self.spoke + self.heartbeat_s / 2)

    def _put(self, data: bytes) -> None:
        self.outgoing += data
        self.produced += len(data)

    def _send(self, value: Frame, channel: int = 0) -> None:
        self._put(encode_frame(value, channel))

    def _told(self) -> list[Event]:
        events, self.events = self.events, []
        return events

    # -- what is asked of it -----------------------------------------------------------------------------

    def open_channel(self, prefetch: int = 0) -> int:
        """For publishing with confirms, or, with `prefetch`, for consuming: so many deliveries unanswered."""
        self._need(self.state is State.OPEN, "the connection is not open")
        number = next((n for n in range(1, self.channel_max + 1) if n not in self.channels), 0)
        self._need(number > 0, f"all {self.channel_max} channels are in use")
        self.channels[number] = Channel(number, prefetch)
        self._send(commands.Channel.Open(), number)
        return number

    def may_publish(self, number: int) -> bool:
        """Whether `publish` is allowed now: flow, a block and too many without a confirm forbid it."""
        channel = self.channels.get(number)
        return (
            self.state is State.OPEN
            and not self.blocked
            and channel is not None
            and channel.state is Lane.READY
            and channel.prefetch == 0
            and channel.active
            and len(channel.out) < OUT_MOST
        )

    def publish(
        self,
        number: int,
        ident: str,
        exchange: str,
        routing_key: str,
        data: bytes,
        properties: commands.Basic.Properties,
    ) -> Publish:
        """Mandatory, and confirmed."""
        self._need(self.may_publish(number), f"channel {number} takes no publish now")
        channel = self.channels[number]
        method = commands.Basic.Publish(exchange=exchange, routing_key=routing_key, mandatory=True)
        self._put(encode_content(method, properties, data, number, self.frame_max))
        channel.last += 1
        out = channel.out[channel.last] = Publish(number, channel.last, ident, self.produced)
        return out

    def give_up(self, publish: Publish) -> None:
        """Nobody waits for its confirm any more; one that comes is told as late."""
        publish.given_up = True

    def given_up(self, number: int) -> int:
        """Publishes of a channel that were given up, and whose confirm may still come."""
        channel = self.channels.get(number)
        return 0 if channel is None else sum(each.given_up for each in channel.out.values())

    def consume(self, number: int, queue: str, consumer: str) -> None:
        channel = self._ready(number)
        self._need(channel.prefetch > 0, f"channel {number} is for publishing")
        self._send(commands.Basic.Consume(queue=queue, consumer_tag=consumer), number)

    def cancel(self, number: int, consumer: str) -> None:
        self._ready(number)
        self._send(commands.Basic.Cancel(consumer_tag=consumer), number)

    def ack(self, number: int, tag: int) -> None:
        self._ready(number)
        self._send(commands.Basic.Ack(delivery_tag=tag), number)

    def reject(self, number: int, tag: int, requeue: bool) -> None:
        self._ready(number)
        self._send(commands.Basic.Reject(delivery_tag=tag, requeue=requeue), number)

    def close_channel(self, number: int) -> None:
        """What is out on it is lost."""
        channel = self.channels.get(number)
        if channel is not None and channel.state is not Lane.CLOSING:
            self._drop(channel, "the channel was closed")
            channel.state = Lane.CLOSING
            self._send(commands.Channel.Close(200, "done", 0, 0), number)

    def close(self) -> None:
        """In an orderly way; what is still out is lost."""
        if self.state in (State.CLOSING, State.CLOSED, State.BROKEN):
            return
        for channel in self.channels.values():
            self._drop(channel, "the connection was closed")
        self._send(commands.Connection.Close(200, "done", 0, 0))
        self.state = State.CLOSING

    @property
    def out(self) -> int:
        """Publishes that wait for a confirm, and were not given up."""
        return sum(not each.given_up for channel in self.channels.values() for each in channel.out.values())

    def _ready(self, number: int) -> Channel:
        channel = self.channels.get(number)
        self._need(
            self.state is State.OPEN and channel is not None and channel.state is Lane.READY,
            f"channel {number} is not ready",
        )
        assert channel is not None
        return channel

    @staticmethod
    def _need(ok: bool, text: str) -> None:
        if not ok:
            raise ProtocolUsageError(text)

    # -- frames ------------------------------------------------------------------------------------------

    def _frame(self, number: int, found: Frame) -> None:
        if isinstance(found, heartbeat.Heartbeat):
            if number != 0:
                raise FrameError(501, f"a heartbeat on channel {number}")
            return
        if number == 0:
            self._connection_frame(found)
            return
        channel = self.channels.get(number)
        if channel is None or self.state not in (State.OPEN, State.CLOSING):
            raise FrameError(504, f"channel {number} is not open")
        if self.state is State.CLOSING:
            return  # passed over: only connection.close-ok counts now
        if isinstance(found, header.ContentHeader):
            self._content_header(channel, found)
        elif isinstance(found, body.ContentBody):
            self._content_body(channel, found)
        elif isinstance(found, base.Frame):
            self._channel_frame(channel, found)

    def _connection_frame(self, found: Frame) -> None:
        name = getattr(found, "name", type(found).__name__)
        if isinstance(found, commands.Connection.Close):
            self._send(commands.Connection.CloseOk())
            self._end(State.CLOSED, Ended(f"closed by the broker: {found.reply_text}", found.reply_code or 0))
            return
        if isinstance(found, commands.Connection.CloseOk) and self.state is State.CLOSING:
            self._end(State.CLOSED, Ended("closed", orderly=True))
            return
        if self.state is State.CLOSING:
            return
        steps: dict[tuple[State, type[Any]], Callable[[Any], None]] = {
            (State.START, commands.Connection.Start): self._start,
            (State.SECURE, commands.Connection.Tune): self._tune,
            (State.OPENING, commands.Connection.OpenOk): self._open_ok,
            (State.OPEN, commands.Connection.Blocked): self._blocked,
            (State.OPEN, commands.Connection.Unblocked): self._unblocked,
        }
        step = steps.get((self.state, type(found)))
        if step is None:
            raise FrameError(503, f"{name} in state {self.state.name}")
        step(found)

    def _start(self, found: commands.Connection.Start) -> None:
        mechanism = "EXTERNAL" if self.login.external else "PLAIN"
        offered = str(found.mechanisms).split()
        if (found.version_major, found.version_minor) != (0, 9):
            raise FrameError(501, f"the broker speaks {found.version_major}-{found.version_minor}")
        if mechanism not in offered:
            raise FrameError(504, f"the broker offers {' '.join(offered)[:100]}, and not {mechanism}")
        answer = "" if self.login.external else f"\0{self.login.user}\0{self.login.password}"
        can: dict[str, Any] = {
            "publisher_confirms": True,
            "basic.nack": True,
            "connection.blocked": True,
            "consumer_cancel_notify": True,
        }
        self._send(
            commands.Connection.StartOk(
                {"product": "linnetstile", "connection_name": self.login.name, "capabilities": can},
                mechanism,
                answer,
            )
        )
        self.state = State.SECURE

    def _tune(self, found: commands.Connection.Tune) -> None:
        """The lower of both, where 0 is no limit (1.4.2.6)."""

        def lower(ours: int, theirs: int) -> int:
            return min(ours, theirs) if ours and theirs else ours or theirs

        self.frame_max = lower(FRAME_MAX, found.frame_max or 0)
        if self.frame_max < MIN_FRAME_BYTES:
            raise FrameError(
                501, f"the broker wants frames of {self.frame_max} bytes: {MIN_FRAME_BYTES} are the least"
            )
        self.channel_max = lower(CHANNEL_MAX, found.channel_max or 0)
        beats = (self.login.heartbeat_s, found.heartbeat or 0)
        self.heartbeat_s = float(min(beats) if all(beats) else 0)
        self.reader.max_frame_bytes = self.frame_max
        self._send(commands.Connection.TuneOk(self.channel_max, self.frame_max, int(self.heartbeat_s)))
        self._send(commands.Connection.Open(self.login.host))
        self.state = State.OPENING

    def _open_ok(self, found: commands.Connection.OpenOk) -> None:
        self.state = State.OPEN
        self.events.append(Opened(self.heartbeat_s, self.frame_max))

    def _blocked(self, found: commands.Connection.Blocked) -> None:
        self.blocked = True
        self.events.append(Blocked(True, str(found.reason)[:200]))

    def _unblocked(self, found: commands.Connection.Unblocked) -> None:
        self.blocked = False
        self.events.append(Blocked(False))

    def _channel_frame(self, channel: Channel, found: base.Frame) -> None:
        number = channel.number
        if channel.state is Lane.CLOSING:
            if isinstance(found, commands.Channel.CloseOk):
                del self.channels[number]
                self.events.append(ChannelClosed(number, 200, "done"))
            elif isinstance(found, commands.Channel.Close):
                self._send(commands.Channel.CloseOk(), number)
            return
        if channel.content is not None:
            raise FrameError(505, f"{found.name} in the midst of a content")
        if isinstance(found, commands.Channel.Close):
            self._send(commands.Channel.CloseOk(), number)
            self._drop(channel, f"the broker closed the channel: {found.reply_text}")
            del self.channels[number]
            self.events.append(ChannelClosed(number, found.reply_code or 0, str(found.reply_text)[:200]))
            return
        match found:
            case commands.Channel.OpenOk() if channel.state is Lane.OPENING:
                channel.state = Lane.SETTING
                self._send(
                    commands.Basic.Qos(prefetch_count=channel.prefetch)
                    if channel.prefetch
                    else commands.Confirm.Select(),
                    number,
                )
            case commands.Confirm.SelectOk() | commands.Basic.QosOk() if channel.state is Lane.SETTING:
                channel.state = Lane.READY
                self.events.append(ChannelReady(number))
            case commands.Channel.Flow() if channel.state is Lane.READY:
                channel.active = bool(found.active)
                self._send(commands.Channel.FlowOk(channel.active), number)
                self.events.append(Flow(number, channel.active))
            case commands.Basic.Ack() if channel.prefetch == 0:
                self._confirm(channel, found.delivery_tag or 0, bool(found.multiple), Fate.ACKED)
            case commands.Basic.Nack() if channel.prefetch == 0:
                self._confirm(channel, found.delivery_tag or 0, bool(found.multiple), Fate.NACKED)
            case commands.Basic.Return() | commands.Basic.Deliver():
                channel.content = Content(found)
            case commands.Basic.ConsumeOk():
                self.events.append(Consuming(number, str(found.consumer_tag)))
            case commands.Basic.Cancel():
                self.events.append(Cancelled(number, str(found.consumer_tag)))
            case commands.Basic.CancelOk():
                pass
            case _:
                raise FrameError(503, f"{found.name} on channel {number}, which is {channel.state.name}")

    # -- content -----------------------------------------------------------------------------------------

    def _content_header(self, channel: Channel, found: header.ContentHeader) -> None:
        if channel.state is Lane.CLOSING:
            return
        content_ = channel.content
        if content_ is None or content_.properties is not None:
            raise FrameError(505, "a content header that nothing announced")
        content_.properties, content_.size = found.properties, found.body_size or 0
        self._whole(channel, content_)

    def _content_body(self, channel: Channel, found: body.ContentBody) -> None:
        if channel.state is Lane.CLOSING:
            return
        content_ = channel.content
        if content_ is None or content_.properties is None:
            raise FrameError(505, "a content body without its header")
        data = found.value or b""
        content_.come += len(data)
        if content_.come > content_.size:
            raise FrameError(501, f"a content of {content_.come} bytes that was to be {content_.size}")
        if content_.size <= CONTENT_MOST and not isinstance(content_.method, commands.Basic.Return):
            content_.parts.append(data)
        self._whole(channel, content_)

    def _whole(self, channel: Channel, content_: Content) -> None:
        if content_.come < content_.size:
            return
        channel.content = None
        properties, method = content_.properties, content_.method
        assert properties is not None
        if isinstance(method, commands.Basic.Return):
            self._returned(channel, method, properties)
        elif isinstance(method, commands.Basic.Deliver):
            self.events.append(
                Delivered(
                    channel.number,
                    str(method.consumer_tag),
                    method.delivery_tag or 0,
                    bool(method.redelivered),
                    str(method.routing_key),
                    properties,
                    b"".join(content_.parts),
                    content_.size if content_.size > CONTENT_MOST else 0,
                )
            )

    def _returned(
        self, channel: Channel, method: commands.Basic.Return, properties: commands.Basic.Properties
    ) -> None:
        for publish in channel.out.values():
            if publish.ident == properties.message_id and publish.fate is Fate.OUT:
                publish.why = f"{method.reply_code} {method.reply_text}"[:200]
                self._settle(publish, Fate.RETURNED)
                return
        self.odd += 1

    # -- confirms ----------------------------------------------------------------------------------------

    def _confirm(self, channel: Channel, tag: int, multiple: bool, fate: Fate) -> None:
        if tag > channel.last or tag == 0 and not multiple:
            raise FrameError(530, f"a confirm for tag {tag}, and {channel.last} is the latest")
        if not multiple:
            publish = channel.out.pop(tag, None)
            if publish is None:
                self.odd += 1
            else:
                self._settle(publish, fate)
            return
        upto = tag or channel.last
        while channel.out and next(iter(channel.out)) <= upto:
            self._settle(channel.out.popitem(last=False)[1], fate)

    def _settle(self, publish: Publish, fate: Fate) -> None:
        if publish.fate is not Fate.OUT:
            return  # it was returned, and now its ack is booked
        publish.fate = fate
        self.events.append(Settled(publish, publish.given_up))

    def _drop(self, channel: Channel, why: str) -> None:
        """All that is out on it is told: lost, or never written."""
        for publish in channel.out.values():
            publish.why = publish.why or why
            self._settle(publish, Fate.LOST if publish.end <= self.written else Fate.UNWRITTEN)
        channel.out.clear()
        channel.content = None

    # -- the end -----------------------------------------------------------------------------------------

    def _break(self, code: int, text: str) -> None:
        """Nonsense came: the broker is told, if it listens, and nothing of it is believed any more."""
        if self.state not in (State.START, State.CLOSING):
            self._send(commands.Connection.Close(code, text[:120], 0, 0))
        self._end(State.BROKEN, Ended(text, code))

    def _end(self, state: State, event: Ended) -> None:
        for channel in self.channels.values():
            self._drop(channel, event.why)
        self.channels.clear()
        self.reader.buffer.clear()
        self.state = state
        self.events.append(event)
