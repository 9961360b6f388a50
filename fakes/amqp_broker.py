"""A fake AMQP 0-9-1 broker on loopback, strict about the protocol, with random and scripted faults.

    python -m fakes.amqp_broker --listen 127.0.0.1:0 [--ledger FILE] [--seed 1] [--user guest --password
            guest]
                            [--queue NAME[=DEAD_LETTER_EXCHANGE]]... [--drop 0.1] [--nack 0.1] [--refuse 0.1]
                            [--stall 0.1 --stall-ms 500] [--close-before 0.01] [--close-after 0.01]
                            [--cut-before 0.01] [--cut-after 0.01] [--half 0.01] [--wrong 0.01]
                            [--heartbeat 10] [--no-heartbeats] [--mute] [--script FILE]
                            [--cert FILE --key FILE [--ca FILE]]

It has the default exchange, `amq.direct` and `amq.fanout`, and what clients declare: queues, direct and
fanout exchanges, bindings. A message has its effect when it is routed to a queue: then the ledger gets a line
`UNIX_MS MESSAGE_ID KEY`, with KEY from the header `idempotency-key`.

Each publish has at most one of these faults, with the given chance: its confirm is never sent (`drop`); it is
rejected with a nack; it is returned although its queue exists (`refuse`); its confirm is late (`stall`); its
channel is closed, or its connection cut, before or after it is routed; only half of its confirm is written;
a confirm for an unknown tag is sent (`wrong`). `--mute` accepts connections and never sends anything. With a
certificate it speaks TLS, and with `--ca` requests client certificates, which EXTERNAL needs.

A script is TOML: `[[at]]` with `s`, in seconds from the start, and `do`: `block`, `unblock`, `flow-off`,
`flow-on`, `cut`, `cancel` (all consumers), `delete` with `queue`, `publish` with `queue`, `body`, `id`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import ssl
import struct
import time
import tomllib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, TextIO

from pamqp import base, body, commands, exceptions, frame, header, heartbeat

from .serving import address, arguments, serve

FRAME_MAX, CHANNEL_MAX = 131_072, 2047
FAULT_NAMES = (
    "drop",
    "nack",
    "refuse",
    "stall",
    "close-before",
    "close-after",
    "cut-before",
    "cut-after",
    "half",
    "wrong",
)


class ProtocolError(Exception):
    """A client has violated the protocol: closes its channel, or its connection, with a reply code."""

    def __init__(self, code: int, text: str, channel: bool = False) -> None:
        super().__init__(text)
        self.code, self.channel = code, channel


@dataclass(eq=False)
class Message:
    exchange: str
    routing_key: str
    properties: commands.Basic.Properties
    body: bytes
    redelivered: bool = False
    mandatory: bool = False


@dataclass(eq=False)
class Consumer:
    session: Session
    channel: int
    tag: str
    queue: Queue
    no_ack: bool


@dataclass(eq=False)
class Queue:
    name: str
    dead_letter: str | None = None
    waiting: deque[Message] = field(default_factory=deque)
    consumers: deque[Consumer] = field(default_factory=deque)


@dataclass(eq=False)
class Channel:
    number: int
    confirms: bool = False
    published: int = 0
    prefetch: int = 0
    last_delivery_tag: int = 0
    unacked: dict[int, tuple[Message, Queue]] = field(default_factory=dict)
    method: commands.Basic.Publish | None = None
    properties: commands.Basic.Properties | None = None
    size: int = 0
    received: bytearray = field(default_factory=bytearray)
    closing: bool = False


@dataclass
class Faults:
    chances: dict[str, float] = field(default_factory=dict)
    stall_ms: float = 500.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def draw(self) -> str:
        """Draws the fault of a publish; empty: none."""
        remaining = self.rng.random()
        for name, chance in self.chances.items():
            remaining -= chance
            if remaining < 0:
                return name
        return ""


class Broker:
    def __init__(
        self,
        faults: Faults | None = None,
        ledger: TextIO | None = None,
        heartbeat_s: int = 10,
        user: str = "guest",
        password: str = "guest",
    ) -> None:
        self.faults, self.ledger, self.heartbeat_s = faults or Faults(), ledger, heartbeat_s
        self.user, self.password = user, password
        self.queues: dict[str, Queue] = {}
        self.exchange_types = {"": "direct", "amq.direct": "direct", "amq.fanout": "fanout"}
        self.bindings: dict[str, list[tuple[str, str]]] = {}  # exchange -> (key, queue)
        self.sessions: set[Session] = set()
        self.effects: list[tuple[str, str]] = []  # message id and key of each routed message
        self.sends_heartbeats, self.unresponsive, self.name_counter = True, False, itertools.count(1)
        self.blocked = False

    # -- routing -----------------------------------------------------------------------------------------

    def declare(self, name: str, dead_letter: str | None = None) -> Queue:
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = Queue(name, dead_letter)
        return queue

    def routes(self, exchange: str, key: str) -> list[Queue]:
        if exchange not in self.exchange_types:
            raise ProtocolError(404, f"no exchange '{exchange}'", channel=True)
        if exchange == "":
            return [self.queues[key]] if key in self.queues else []
        is_fanout = self.exchange_types[exchange] == "fanout"
        names = {
            queue for binding_key, queue in self.bindings.get(exchange, []) if is_fanout or binding_key == key
        }
        return [self.queues[name] for name in sorted(names) if name in self.queues]

    def route(self, message: Message) -> bool:
        queues = self.routes(message.exchange, message.routing_key)
        for queue in queues:
            queue.waiting.append(replace(message))
        if queues:
            message_id = str(message.properties.message_id or "")
            key = str((message.properties.headers or {}).get("idempotency-key", ""))
            self.effects.append((message_id, key))
            if self.ledger is not None:
                self.ledger.write(f"{time.time() * 1000:.0f} {message_id} {key}\n")
                self.ledger.flush()
        for queue in queues:
            self.deliver_waiting(queue)
        return bool(queues)

    def deliver_waiting(self, queue: Queue) -> None:
        """Delivers waiting messages to the consumers in turn, as far as their prefetch allows."""
        idle_consumers = 0
        while queue.waiting and queue.consumers and idle_consumers < len(queue.consumers):
            consumer = queue.consumers[0]
            queue.consumers.rotate(-1)
            channel = consumer.session.channels.get(consumer.channel)
            if (
                channel is None
                or channel.closing
                or (channel.prefetch and len(channel.unacked) >= channel.prefetch)
            ):
                idle_consumers += 1
                continue
            idle_consumers = 0
            consumer.session.deliver(consumer, channel, queue.waiting.popleft())

    def dead_letter_message(self, message: Message, queue: Queue, reason: str) -> None:
        if queue.dead_letter is None:
            return
        headers = dict(message.properties.headers or {})
        headers["x-first-death-reason"], headers["x-first-death-queue"] = reason, queue.name
        properties = commands.Basic.Properties(
            headers=headers,
            message_id=message.properties.message_id,
            correlation_id=message.properties.correlation_id,
            delivery_mode=message.properties.delivery_mode,
        )
        with contextlib.suppress(ProtocolError):
            for target in self.routes(queue.dead_letter, message.routing_key):
                target.waiting.append(
                    Message(queue.dead_letter, message.routing_key, properties, message.body)
                )
                self.deliver_waiting(target)

    # -- commands of scripts and tests -------------------------------------------------------------------

    def run_command(self, command: str, options: dict[str, Any]) -> None:
        for session in list(self.sessions):
            if command in ("block", "unblock"):
                self.blocked = command == "block"
                session.send_blocked()
            elif command in ("flow-off", "flow-on"):
                for number in session.channels:
                    session.send(commands.Channel.Flow(command == "flow-on"), number)
            elif command == "cut":
                session.transport.abort()
        if command in ("cancel", "delete"):
            for queue in list(self.queues.values()):
                if command == "cancel" or queue.name == options["queue"]:
                    for consumer in list(queue.consumers):
                        consumer.session.send(commands.Basic.Cancel(consumer.tag, True), consumer.channel)
                    queue.consumers.clear()
            if command == "delete":
                self.queues.pop(str(options["queue"]), None)
        elif command == "publish":
            properties = commands.Basic.Properties(message_id=str(options.get("id", "")))
            self.route(Message("", str(options["queue"]), properties, str(options.get("body", "")).encode()))

    async def run_script(self, script: list[dict[str, Any]]) -> None:
        started_at = time.monotonic()
        for step in sorted(script, key=lambda each: float(each["s"])):
            await asyncio.sleep(max(0.0, started_at + float(step["s"]) - time.monotonic()))
            self.run_command(str(step["do"]), step)


class Session(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, broker: Broker) -> None:
        self.broker, self.data = broker, bytearray()
        self.state, self.frame_max, self.negotiated_heartbeat_s = "header", 4096, 0
        self.channels: dict[int, Channel] = {}
        self.last_received_at = time.monotonic()
        self.heartbeat_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.broker.sessions.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.broker.sessions.discard(self)
        self.state = "closed"
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        for channel in list(self.channels.values()):
            self.release(channel)
        self.channels.clear()

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        if self.broker.unresponsive:
            return
        self.data += data
        try:
            for number, frame_ in self.frames():
                try:
                    self.handle_frame(number, frame_)
                except ProtocolError as error:
                    if not error.channel or number == 0:
                        raise
                    self.close_channel(number, error.code, str(error))
        except ProtocolError as error:
            self.send(commands.Connection.Close(error.code, str(error)[:120], 0, 0))
            self.state = "closing"

    def frames(self) -> Iterator[tuple[int, Any]]:
        if self.state == "header" and len(self.data) >= 8:
            if bytes(self.data[:8]) != b"AMQP\x00\x00\x09\x01":
                self.transport.write(b"AMQP\x00\x00\x09\x01")
                self.transport.close()
                return
            del self.data[:8]
            self.state = "start"
            self.send(
                commands.Connection.Start(
                    0,
                    9,
                    {
                        "product": "stand-in",
                        "capabilities": {
                            "publisher_confirms": True,
                            "basic.nack": True,
                            "connection.blocked": True,
                            "consumer_cancel_notify": True,
                        },
                    },
                    "PLAIN EXTERNAL",
                    "en_US",
                )
            )
        while self.state not in ("header", "closed") and len(self.data) >= 7:
            frame_type, number, size = struct.unpack_from(">BHI", self.data)
            if frame_type not in (1, 2, 3, 8):
                raise ProtocolError(501, f"{frame_type} is no type of frame")
            if size + 8 > self.frame_max:
                raise ProtocolError(501, f"a frame of {size + 8} bytes, and {self.frame_max} were agreed")
            if len(self.data) < size + 8:
                return
            raw = bytes(self.data[: size + 8])
            del self.data[: size + 8]
            try:
                yield number, frame.unmarshal(raw)[2]
            except (
                exceptions.AMQPError,
                exceptions.UnmarshalingException,
                ValueError,
                struct.error,
            ) as error:
                raise ProtocolError(502, f"a frame that cannot be read: {error}") from error

    def send(self, value: Any, number: int = 0) -> None:
        if self.state != "closed":
            self.transport.write(frame.marshal(value, number))

    # -- connection --------------------------------------------------------------------------------------

    def handle_frame(self, number: int, frame_: Any) -> None:
        if isinstance(frame_, heartbeat.Heartbeat):
            return
        if self.state == "closing":
            if isinstance(frame_, commands.Connection.CloseOk):
                self.transport.close()
            return
        if number == 0:
            self.handle_connection_method(frame_)
            return
        if self.state != "open":
            raise ProtocolError(503, "the connection is not open")
        channel = self.channels.get(number)
        if channel is None:
            if not isinstance(frame_, commands.Channel.Open):
                raise ProtocolError(504, f"channel {number} is not open")
            self.channels[number] = Channel(number)
            self.send(commands.Channel.OpenOk(), number)
        elif channel.closing:
            if isinstance(frame_, commands.Channel.CloseOk):
                del self.channels[number]
        else:
            self.handle_channel_frame(channel, frame_)

    def handle_connection_method(self, frame_: Any) -> None:
        match frame_:
            case commands.Connection.StartOk() if self.state == "start":
                if frame_.mechanism == "EXTERNAL" and not self.transport.get_extra_info("peercert"):
                    raise ProtocolError(403, "ACCESS_REFUSED")
                if frame_.mechanism == "PLAIN":
                    credentials = str(frame_.response).split("\0")
                    if credentials[1:] != [self.broker.user, self.broker.password]:
                        raise ProtocolError(403, "ACCESS_REFUSED")
                self.state = "tune"
                self.send(commands.Connection.Tune(CHANNEL_MAX, FRAME_MAX, self.broker.heartbeat_s))
            case commands.Connection.TuneOk() if self.state == "tune":
                if not 4096 <= (frame_.frame_max or FRAME_MAX) <= FRAME_MAX:
                    raise ProtocolError(530, f"frame_max {frame_.frame_max}")
                self.frame_max, self.negotiated_heartbeat_s = (
                    frame_.frame_max or FRAME_MAX,
                    frame_.heartbeat or 0,
                )
                self.state = "opening"
                if (
                    self.negotiated_heartbeat_s
                ):  # not sent before the connection is open, since aiormq rejects that
                    self.heartbeat_timer = asyncio.get_running_loop().call_later(
                        self.negotiated_heartbeat_s / 2, self.on_heartbeat_timer
                    )
            case commands.Connection.Open() if self.state == "opening":
                self.state = "open"
                self.send(commands.Connection.OpenOk())
                if self.broker.blocked:
                    self.send_blocked()
            case commands.Connection.Close():
                self.send(commands.Connection.CloseOk())
                self.transport.close()
            case _:
                raise ProtocolError(503, f"{getattr(frame_, 'name', frame_)} in state {self.state}")

    def send_blocked(self) -> None:
        if self.state == "open":
            self.send(
                commands.Connection.Blocked("low on memory")
                if self.broker.blocked
                else commands.Connection.Unblocked()
            )

    def on_heartbeat_timer(self) -> None:
        if self.state in ("closed", "closing"):
            return
        if time.monotonic() - self.last_received_at > 2 * self.negotiated_heartbeat_s + 0.5:
            self.transport.abort()
            return
        if self.broker.sends_heartbeats:
            self.send(heartbeat.Heartbeat())
        self.heartbeat_timer = asyncio.get_running_loop().call_later(
            self.negotiated_heartbeat_s / 2, self.on_heartbeat_timer
        )

    # -- channels ----------------------------------------------------------------------------------------

    def handle_channel_frame(self, channel: Channel, frame_: Any) -> None:
        number, broker = channel.number, self.broker
        if isinstance(frame_, header.ContentHeader | body.ContentBody):
            self.handle_content(channel, frame_)
            return
        if channel.method is not None:
            raise ProtocolError(505, f"{frame_.name} in the midst of a content")
        match frame_:
            case commands.Channel.Close():
                self.release(channel)
                del self.channels[number]
                self.send(commands.Channel.CloseOk(), number)
            case commands.Channel.FlowOk() | commands.Channel.CloseOk():
                pass
            case commands.Confirm.Select():
                channel.confirms = True
                self.reply_unless_nowait(frame_, commands.Confirm.SelectOk(), number)
            case commands.Basic.Publish():
                if frame_.exchange not in broker.exchange_types:
                    raise ProtocolError(404, f"no exchange '{frame_.exchange}'", channel=True)
                channel.method = frame_
            case commands.Basic.Qos():
                channel.prefetch = frame_.prefetch_count or 0
                self.send(commands.Basic.QosOk(), number)
            case commands.Exchange.Declare():
                if frame_.exchange_type not in ("direct", "fanout"):
                    raise ProtocolError(503, f"exchanges are direct or fanout, not {frame_.exchange_type}")
                broker.exchange_types.setdefault(str(frame_.exchange), str(frame_.exchange_type))
                self.reply_unless_nowait(frame_, commands.Exchange.DeclareOk(), number)
            case commands.Queue.Declare():
                self.declare(channel, frame_)
            case commands.Queue.Bind():
                if frame_.exchange not in broker.exchange_types or frame_.queue not in broker.queues:
                    raise ProtocolError(
                        404, f"'{frame_.exchange}' or '{frame_.queue}' is not there", channel=True
                    )
                broker.bindings.setdefault(str(frame_.exchange), []).append(
                    (str(frame_.routing_key), str(frame_.queue))
                )
                self.reply_unless_nowait(frame_, commands.Queue.BindOk(), number)
            case commands.Basic.Consume():
                self.consume(channel, frame_)
            case commands.Basic.Cancel():
                for queue in broker.queues.values():
                    for each in [
                        each
                        for each in queue.consumers
                        if each.session is self and each.tag == frame_.consumer_tag
                    ]:
                        queue.consumers.remove(each)
                self.reply_unless_nowait(frame_, commands.Basic.CancelOk(str(frame_.consumer_tag)), number)
            case commands.Basic.Ack() | commands.Basic.Nack() | commands.Basic.Reject():
                self.settle_deliveries(channel, frame_)
            case _:
                raise ProtocolError(540, f"{frame_.name} is not implemented")

    def reply_unless_nowait(self, frame_: Any, value: Any, number: int) -> None:
        if not getattr(frame_, "nowait", False):
            self.send(value, number)

    def declare(self, channel: Channel, frame_: commands.Queue.Declare) -> None:
        name = str(frame_.queue) or f"amq.gen-{next(self.broker.name_counter)}"
        if frame_.passive and name not in self.broker.queues:
            raise ProtocolError(404, f"no queue '{name}'", channel=True)
        dead_letter = (frame_.arguments or {}).get("x-dead-letter-exchange")
        queue = self.broker.declare(name, None if dead_letter is None else str(dead_letter))
        self.reply_unless_nowait(
            frame_, commands.Queue.DeclareOk(name, len(queue.waiting), len(queue.consumers)), channel.number
        )

    def consume(self, channel: Channel, frame_: commands.Basic.Consume) -> None:
        queue = self.broker.queues.get(str(frame_.queue))
        if queue is None:
            raise ProtocolError(404, f"no queue '{frame_.queue}'", channel=True)
        tag = str(frame_.consumer_tag) or f"ctag-{next(self.broker.name_counter)}"
        queue.consumers.append(Consumer(self, channel.number, tag, queue, bool(frame_.no_ack)))
        self.reply_unless_nowait(frame_, commands.Basic.ConsumeOk(tag), channel.number)
        self.broker.deliver_waiting(queue)

    def deliver(self, consumer: Consumer, channel: Channel, message: Message) -> None:
        channel.last_delivery_tag += 1
        if not consumer.no_ack:
            channel.unacked[channel.last_delivery_tag] = message, consumer.queue
        self.send_content(
            commands.Basic.Deliver(
                consumer.tag,
                channel.last_delivery_tag,
                message.redelivered,
                message.exchange,
                message.routing_key,
            ),
            message,
            channel.number,
        )

    def send_content(self, method: base.Frame, message: Message, number: int) -> None:
        self.send(method, number)
        self.send(header.ContentHeader(0, len(message.body), message.properties), number)
        max_payload_bytes = self.frame_max - 8
        for start in range(0, len(message.body), max_payload_bytes):
            self.send(body.ContentBody(message.body[start : start + max_payload_bytes]), number)

    def settle_deliveries(self, channel: Channel, frame_: Any) -> None:
        tag, multiple = frame_.delivery_tag or 0, bool(getattr(frame_, "multiple", False))
        tags = [each for each in channel.unacked if each <= tag or tag == 0] if multiple else [tag]
        if not multiple and tag not in channel.unacked:
            raise ProtocolError(406, f"unknown delivery tag {tag}", channel=True)
        changed_queues = set[str]()
        for each in tags:
            message, queue = channel.unacked.pop(each)
            changed_queues.add(queue.name)
            if isinstance(frame_, commands.Basic.Ack):
                continue
            if frame_.requeue:
                message.redelivered = True
                queue.waiting.appendleft(message)
            else:
                self.broker.dead_letter_message(message, queue, "rejected")
        for name in changed_queues:
            if name in self.broker.queues:
                self.broker.deliver_waiting(self.broker.queues[name])

    def release(self, channel: Channel) -> None:
        """Removes the consumers of a channel, and requeues its unacknowledged deliveries in order."""
        for queue in self.broker.queues.values():
            for each in [
                each for each in queue.consumers if each.session is self and each.channel == channel.number
            ]:
                queue.consumers.remove(each)
        unacknowledged = list(channel.unacked.values())
        channel.unacked.clear()
        for message, queue in reversed(unacknowledged):
            message.redelivered = True
            queue.waiting.appendleft(message)
        for _, queue in unacknowledged:
            self.broker.deliver_waiting(queue)

    def close_channel(self, number: int, code: int, text: str) -> None:
        channel = self.channels.get(number)
        if channel is not None and not channel.closing:
            channel.closing, channel.method, channel.properties = True, None, None
            self.release(channel)
            self.send(commands.Channel.Close(code, text[:120], 0, 0), number)

    # -- publishes ---------------------------------------------------------------------------------------

    def handle_content(self, channel: Channel, frame_: header.ContentHeader | body.ContentBody) -> None:
        if channel.method is None:
            raise ProtocolError(505, "a content that nothing announced")
        if isinstance(frame_, header.ContentHeader):
            if channel.properties is not None:
                raise ProtocolError(505, "a second content header")
            channel.properties, channel.size, channel.received = (
                frame_.properties,
                frame_.body_size or 0,
                bytearray(),
            )
        else:
            if channel.properties is None:
                raise ProtocolError(505, "a content body without its header")
            channel.received += frame_.value or b""
            if len(channel.received) > channel.size:
                raise ProtocolError(501, "a content longer than it said")
        if channel.properties is not None and len(channel.received) >= channel.size:
            method, properties = channel.method, channel.properties
            channel.method = channel.properties = None
            self.published(
                channel,
                Message(
                    str(method.exchange),
                    str(method.routing_key),
                    properties,
                    bytes(channel.received),
                    mandatory=bool(method.mandatory),
                ),
            )

    def published(self, channel: Channel, message: Message) -> None:
        channel.published += 1
        tag, fault = channel.published, self.broker.faults.draw() if channel.confirms else ""
        if fault == "close-before":
            self.close_channel(channel.number, 541, "closed by chance")
            return
        if fault == "cut-before":
            self.transport.abort()
            return
        if fault == "refuse":
            self.send_return(channel, message, 313, "NO_CONSUMERS")
            self.send_ack(channel, tag)
            return
        if fault == "nack":
            self.send(commands.Basic.Nack(tag, False, False), channel.number)
            return
        if not self.broker.route(message) and message.mandatory:
            self.send_return(channel, message, 312, "NO_ROUTE")
        if not channel.confirms:
            return
        match fault:
            case "close-after":
                self.close_channel(channel.number, 541, "closed by chance")
            case "cut-after":
                self.transport.abort()
            case "half":
                self.transport.write(frame.marshal(commands.Basic.Ack(tag, False), channel.number)[:9])
                self.transport.close()
            case "wrong":
                self.send(commands.Basic.Ack(tag + 1000, False), channel.number)
            case "drop":
                pass
            case "stall":
                asyncio.get_running_loop().call_later(
                    self.broker.faults.stall_ms / 1000, self.send_ack, channel, tag
                )
            case _:
                self.send_ack(channel, tag)

    def send_ack(self, channel: Channel, tag: int) -> None:
        if self.channels.get(channel.number) is channel and not channel.closing:
            self.send(commands.Basic.Ack(tag, False), channel.number)

    def send_return(self, channel: Channel, message: Message, code: int, text: str) -> None:
        self.send_content(
            commands.Basic.Return(code, text, message.exchange, message.routing_key), message, channel.number
        )


def main() -> None:
    parser = arguments("amqp")
    for name in FAULT_NAMES:
        parser.add_argument(f"--{name}", type=float, default=0.0, help="chance from 0 to 1")
    parser.add_argument("--stall-ms", type=float, default=500.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--user", default="guest")
    parser.add_argument("--password", default="guest")
    parser.add_argument("--queue", action="append", default=[], metavar="NAME[=DEAD_LETTER_EXCHANGE]")
    parser.add_argument("--heartbeat", type=int, default=10)
    parser.add_argument("--no-heartbeats", action="store_true")
    parser.add_argument("--mute", action="store_true")
    parser.add_argument("--ledger", type=lambda path: open(path, "a"))  # noqa: SIM115  it stays open
    parser.add_argument("--script", type=lambda path: tomllib.load(open(path, "rb")))  # noqa: SIM115
    for name in ("cert", "key", "ca"):
        parser.add_argument(f"--{name}", metavar="FILE")
    args = parser.parse_args()
    tls: ssl.SSLContext | None = None
    if args.cert:
        tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=args.ca)
        tls.load_cert_chain(args.cert, args.key)
        tls.verify_mode = ssl.CERT_REQUIRED if args.ca else ssl.CERT_NONE
    chances = {name: getattr(args, name.replace("-", "_")) for name in FAULT_NAMES}
    if sum(chances.values()) > 1:
        parser.error("the chances add up to more than 1")
    broker = Broker(
        Faults(chances, args.stall_ms, random.Random(args.seed)),
        args.ledger,
        args.heartbeat,
        args.user,
        args.password,
    )
    broker.sends_heartbeats, broker.unresponsive = not args.no_heartbeats, args.mute
    for queue in args.queue:
        name, _, dead_letter = queue.partition("=")
        broker.declare(name, dead_letter or None)
    script_tasks = set[asyncio.Task[None]]()

    async def start() -> asyncio.Server:
        if args.script:
            script_tasks.add(asyncio.ensure_future(broker.run_script(args.script.get("at", []))))
        return await asyncio.get_running_loop().create_server(
            lambda: Session(broker), *address(args.listen), ssl=tls
        )

    serve(start)


if __name__ == "__main__":
    main()
