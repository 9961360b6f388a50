"""An AMQP 0-9-1 broker on loopback, strict about the protocol, with faults by chance or by a script.

    python -m fakes.amqp_broker --listen 127.0.0.1:0 [--ledger FILE] [--seed 1] [--user guest --password
            guest]
                            [--queue NAME[=DEAD_LETTER_EXCHANGE]]... [--drop 0.1] [--nack 0.1] [--refuse 0.1]
                            [--stall 0.1 --stall-ms 500] [--close-before 0.01] [--close-after 0.01]
                            [--cut-before 0.01] [--cut-after 0.01] [--half 0.01] [--wrong 0.01]
                            [--heartbeat 10] [--no-heartbeats] [--mute] [--script FILE]
                            [--cert FILE --key FILE [--ca FILE]]

It has the default exchange, `amq.direct` and `amq.fanout`, and what clients declare: queues, direct and
fanout exchanges, bindings. A message has its effect when it is routed to a queue: then the ledger gets a line
`UNIX_MS MESSAGE_ID KEY`, KEY from the header `idempotency-key`. The chances are of a publish: its confirm
never comes; it is refused by a nack; or by a return although its queue is there; its confirm comes late; the
channel is closed before or after it is routed; the connection is cut so; only half of its confirm is
written; a confirm that makes no sense comes instead. `--mute` takes connections and never speaks. With a
certificate it speaks TLS, and with `--ca` asks clients for theirs, which EXTERNAL needs. A script
is TOML: `[[at]]` with `s` from the start and `do`: `block`, `unblock`, `flow-off`, `flow-on`, `cut`,
`cancel` (all consumers), `delete` with `queue`, `publish` with `queue`, `body`, `id`.
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
MOST = 64 * 1024 * 1024  # bytes that one queue holds
CHANCES = (
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


class Close(Exception):
    """A client broke the protocol: its channel, or its connection, is closed with a code."""

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
    given: int = 0
    unacked: dict[int, tuple[Message, Queue]] = field(default_factory=dict)
    method: commands.Basic.Publish | None = None
    properties: commands.Basic.Properties | None = None
    size: int = 0
    come: bytearray = field(default_factory=bytearray)
    closing: bool = False


@dataclass
class Faults:
    chances: dict[str, float] = field(default_factory=dict)
    stall_ms: float = 500.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def draw(self) -> str:
        """What happens to this publish; empty: nothing."""
        place = self.rng.random()
        for name, chance in self.chances.items():
            place -= chance
            if place < 0:
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
        self.kinds = {"": "direct", "amq.direct": "direct", "amq.fanout": "fanout"}
        self.bindings: dict[str, list[tuple[str, str]]] = {}  # exchange -> (key, queue)
        self.sessions: set[Session] = set()
        self.effects: list[tuple[str, str]] = []  # id and key of each message that was routed
        self.beats, self.mute, self.names = True, False, itertools.count(1)
        self.blocked = False

    # -- routing -----------------------------------------------------------------------------------------

    def declare(self, name: str, dead_letter: str | None = None) -> Queue:
        queue = self.queues.get(name)
        if queue is None:
            queue = self.queues[name] = Queue(name, dead_letter)
        return queue

    def routes(self, exchange: str, key: str) -> list[Queue]:
        if exchange not in self.kinds:
            raise Close(404, f"no exchange '{exchange}'", channel=True)
        if exchange == "":
            return [self.queues[key]] if key in self.queues else []
        every = self.kinds[exchange] == "fanout"
        names = {queue for bound, queue in self.bindings.get(exchange, []) if every or bound == key}
        return [self.queues[name] for name in sorted(names) if name in self.queues]

    def route(self, message: Message) -> bool:
        queues = self.routes(message.exchange, message.routing_key)
        for queue in queues:
            queue.waiting.append(replace(message))
        if queues:
            ident = str(message.properties.message_id or "")
            key = str((message.properties.headers or {}).get("idempotency-key", ""))
            self.effects.append((ident, key))
            if self.ledger is not None:
                self.ledger.write(f"{time.time() * 1000:.0f} {ident} {key}\n")
                self.ledger.flush()
        for queue in queues:
            self.pump(queue)
        return bool(queues)

    def pump(self, queue: Queue) -> None:
        """Hands on what waits, to each consumer in turn, as far as its prefetch goes."""
        idle = 0
        while queue.waiting and queue.consumers and idle < len(queue.consumers):
            consumer = queue.consumers[0]
            queue.consumers.rotate(-1)
            channel = consumer.session.channels.get(consumer.channel)
            if (
                channel is None
                or channel.closing
                or (channel.prefetch and len(channel.unacked) >= channel.prefetch)
            ):
                idle += 1
                continue
            idle = 0
            consumer.session.deliver(consumer, channel, queue.waiting.popleft())

    def dead(self, message: Message, queue: Queue, why: str) -> None:
        if queue.dead_letter is None:
            return
        headers = dict(message.properties.headers or {})
        headers["x-first-death-reason"], headers["x-first-death-queue"] = why, queue.name
        properties = commands.Basic.Properties(
            headers=headers,
            message_id=message.properties.message_id,
            correlation_id=message.properties.correlation_id,
            delivery_mode=message.properties.delivery_mode,
        )
        with contextlib.suppress(Close):
            for target in self.routes(queue.dead_letter, message.routing_key):
                target.waiting.append(
                    Message(queue.dead_letter, message.routing_key, properties, message.body)
                )
                self.pump(target)

    # -- what a script does ------------------------------------------------------------------------------

    def do(self, what: str, told: dict[str, Any]) -> None:
        for session in list(self.sessions):
            if what in ("block", "unblock"):
                self.blocked = what == "block"
                session.tell_blocked()
            elif what in ("flow-off", "flow-on"):
                for number in session.channels:
                    session.send(commands.Channel.Flow(what == "flow-on"), number)
            elif what == "cut":
                session.transport.abort()
        if what in ("cancel", "delete"):
            for queue in list(self.queues.values()):
                if what == "cancel" or queue.name == told["queue"]:
                    for consumer in list(queue.consumers):
                        consumer.session.send(commands.Basic.Cancel(consumer.tag, True), consumer.channel)
                    queue.consumers.clear()
            if what == "delete":
                self.queues.pop(str(told["queue"]), None)
        elif what == "publish":
            properties = commands.Basic.Properties(message_id=str(told.get("id", "")))
            self.route(Message("", str(told["queue"]), properties, str(told.get("body", "")).encode()))

    async def play(self, script: list[dict[str, Any]]) -> None:
        begun = time.monotonic()
        for step in sorted(script, key=lambda each: float(each["s"])):
            await asyncio.sleep(max(0.0, begun + float(step["s"]) - time.monotonic()))
            self.do(str(step["do"]), step)


class Session(asyncio.Protocol):
    """One connection."""

    def __init__(self, broker: Broker) -> None:
        self.broker, self.data = broker, bytearray()
        self.state, self.frame_max, self.beat_s = "header", 4096, 0
        self.channels: dict[int, Channel] = {}
        self.heard = time.monotonic()
        self.beating: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.broker.sessions.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.broker.sessions.discard(self)
        self.state = "closed"
        if self.beating is not None:
            self.beating.cancel()
        for channel in list(self.channels.values()):
            self.leave(channel)
        self.channels.clear()

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        if self.broker.mute:
            return
        self.data += data
        try:
            for number, found in self.frames():
                try:
                    self.handle(number, found)
                except Close as error:
                    if not error.channel or number == 0:
                        raise
                    self.close_channel(number, error.code, str(error))
        except Close as error:
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
            kind, number, size = struct.unpack_from(">BHI", self.data)
            if kind not in (1, 2, 3, 8):
                raise Close(501, f"{kind} is no type of frame")
            if size + 8 > self.frame_max:
                raise Close(501, f"a frame of {size + 8} bytes, and {self.frame_max} were agreed")
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
                raise Close(502, f"a frame that cannot be read: {error}") from error

    def send(self, value: Any, number: int = 0) -> None:
        if self.state != "closed":
            self.transport.write(frame.marshal(value, number))

    # -- the connection ----------------------------------------------------------------------------------

    def handle(self, number: int, found: Any) -> None:
        if isinstance(found, heartbeat.Heartbeat):
            return
        if self.state == "closing":
            if isinstance(found, commands.Connection.CloseOk):
                self.transport.close()
            return
        if number == 0:
            self.connection(found)
            return
        if self.state != "open":
            raise Close(503, "the connection is not open")
        channel = self.channels.get(number)
        if channel is None:
            if not isinstance(found, commands.Channel.Open):
                raise Close(504, f"channel {number} is not open")
            self.channels[number] = Channel(number)
            self.send(commands.Channel.OpenOk(), number)
        elif channel.closing:
            if isinstance(found, commands.Channel.CloseOk):
                del self.channels[number]
        else:
            self.channel(channel, found)

    def connection(self, found: Any) -> None:
        match found:
            case commands.Connection.StartOk() if self.state == "start":
                if found.mechanism == "EXTERNAL" and not self.transport.get_extra_info("peercert"):
                    raise Close(403, "ACCESS_REFUSED")
                if found.mechanism == "PLAIN":
                    given = str(found.response).split("\0")
                    if given[1:] != [self.broker.user, self.broker.password]:
                        raise Close(403, "ACCESS_REFUSED")
                self.state = "tune"
                self.send(commands.Connection.Tune(CHANNEL_MAX, FRAME_MAX, self.broker.heartbeat_s))
            case commands.Connection.TuneOk() if self.state == "tune":
                if not 4096 <= (found.frame_max or FRAME_MAX) <= FRAME_MAX:
                    raise Close(530, f"frame_max {found.frame_max}")
                self.frame_max, self.beat_s = found.frame_max or FRAME_MAX, found.heartbeat or 0
                self.state = "opening"
                if self.beat_s:  # the first one not before the connection is open: aiormq would not have it
                    self.beating = asyncio.get_running_loop().call_later(self.beat_s / 2, self.beat)
            case commands.Connection.Open() if self.state == "opening":
                self.state = "open"
                self.send(commands.Connection.OpenOk())
                if self.broker.blocked:
                    self.tell_blocked()
            case commands.Connection.Close():
                self.send(commands.Connection.CloseOk())
                self.transport.close()
            case _:
                raise Close(503, f"{getattr(found, 'name', found)} in state {self.state}")

    def tell_blocked(self) -> None:
        if self.state == "open":
            self.send(
                commands.Connection.Blocked("low on memory")
                if self.broker.blocked
                else commands.Connection.Unblocked()
            )

    def beat(self) -> None:
        if self.state in ("closed", "closing"):
            return
        if time.monotonic() - self.heard > 2 * self.beat_s + 0.5:
            self.transport.abort()
            return
        if self.broker.beats:
            self.send(heartbeat.Heartbeat())
        self.beating = asyncio.get_running_loop().call_later(self.beat_s / 2, self.beat)

    # -- channels ----------------------------------------------------------------------------------------

    def channel(self, channel: Channel, found: Any) -> None:
        number, broker = channel.number, self.broker
        if isinstance(found, header.ContentHeader | body.ContentBody):
            self.content(channel, found)
            return
        if channel.method is not None:
            raise Close(505, f"{found.name} in the midst of a content")
        match found:
            case commands.Channel.Close():
                self.leave(channel)
                del self.channels[number]
                self.send(commands.Channel.CloseOk(), number)
            case commands.Channel.FlowOk() | commands.Channel.CloseOk():
                pass
            case commands.Confirm.Select():
                channel.confirms = True
                self.answer(found, commands.Confirm.SelectOk(), number)
            case commands.Basic.Publish():
                if found.exchange not in broker.kinds:
                    raise Close(404, f"no exchange '{found.exchange}'", channel=True)
                channel.method = found
            case commands.Basic.Qos():
                channel.prefetch = found.prefetch_count or 0
                self.send(commands.Basic.QosOk(), number)
            case commands.Exchange.Declare():
                if found.exchange_type not in ("direct", "fanout"):
                    raise Close(503, f"exchanges are direct or fanout, not {found.exchange_type}")
                broker.kinds.setdefault(str(found.exchange), str(found.exchange_type))
                self.answer(found, commands.Exchange.DeclareOk(), number)
            case commands.Queue.Declare():
                self.declare(channel, found)
            case commands.Queue.Bind():
                if found.exchange not in broker.kinds or found.queue not in broker.queues:
                    raise Close(404, f"'{found.exchange}' or '{found.queue}' is not there", channel=True)
                broker.bindings.setdefault(str(found.exchange), []).append(
                    (str(found.routing_key), str(found.queue))
                )
                self.answer(found, commands.Queue.BindOk(), number)
            case commands.Basic.Consume():
                self.consume(channel, found)
            case commands.Basic.Cancel():
                for queue in broker.queues.values():
                    for each in [
                        each
                        for each in queue.consumers
                        if each.session is self and each.tag == found.consumer_tag
                    ]:
                        queue.consumers.remove(each)
                self.answer(found, commands.Basic.CancelOk(str(found.consumer_tag)), number)
            case commands.Basic.Ack() | commands.Basic.Nack() | commands.Basic.Reject():
                self.acked(channel, found)
            case _:
                raise Close(540, f"{found.name} is not implemented")

    def answer(self, found: Any, value: Any, number: int) -> None:
        if not getattr(found, "nowait", False):
            self.send(value, number)

    def declare(self, channel: Channel, found: commands.Queue.Declare) -> None:
        name = str(found.queue) or f"amq.gen-{next(self.broker.names)}"
        if found.passive and name not in self.broker.queues:
            raise Close(404, f"no queue '{name}'", channel=True)
        told = (found.arguments or {}).get("x-dead-letter-exchange")
        queue = self.broker.declare(name, None if told is None else str(told))
        self.answer(
            found, commands.Queue.DeclareOk(name, len(queue.waiting), len(queue.consumers)), channel.number
        )

    def consume(self, channel: Channel, found: commands.Basic.Consume) -> None:
        queue = self.broker.queues.get(str(found.queue))
        if queue is None:
            raise Close(404, f"no queue '{found.queue}'", channel=True)
        tag = str(found.consumer_tag) or f"ctag-{next(self.broker.names)}"
        queue.consumers.append(Consumer(self, channel.number, tag, queue, bool(found.no_ack)))
        self.answer(found, commands.Basic.ConsumeOk(tag), channel.number)
        self.broker.pump(queue)

    def deliver(self, consumer: Consumer, channel: Channel, message: Message) -> None:
        channel.given += 1
        if not consumer.no_ack:
            channel.unacked[channel.given] = message, consumer.queue
        self.send_content(
            commands.Basic.Deliver(
                consumer.tag, channel.given, message.redelivered, message.exchange, message.routing_key
            ),
            message,
            channel.number,
        )

    def send_content(self, method: base.Frame, message: Message, number: int) -> None:
        self.send(method, number)
        self.send(header.ContentHeader(0, len(message.body), message.properties), number)
        most = self.frame_max - 8
        for at in range(0, len(message.body), most):
            self.send(body.ContentBody(message.body[at : at + most]), number)

    def acked(self, channel: Channel, found: Any) -> None:
        tag, multiple = found.delivery_tag or 0, bool(getattr(found, "multiple", False))
        tags = [each for each in channel.unacked if each <= tag or tag == 0] if multiple else [tag]
        if not multiple and tag not in channel.unacked:
            raise Close(406, f"unknown delivery tag {tag}", channel=True)
        touched = set[str]()
        for each in tags:
            message, queue = channel.unacked.pop(each)
            touched.add(queue.name)
            if isinstance(found, commands.Basic.Ack):
                continue
            if found.requeue:
                message.redelivered = True
                queue.waiting.appendleft(message)
            else:
                self.broker.dead(message, queue, "rejected")
        for name in touched:
            if name in self.broker.queues:
                self.broker.pump(self.broker.queues[name])

    def leave(self, channel: Channel) -> None:
        """What it had not acknowledged goes back, in its order."""
        for queue in self.broker.queues.values():
            for each in [
                each for each in queue.consumers if each.session is self and each.channel == channel.number
            ]:
                queue.consumers.remove(each)
        back = list(channel.unacked.values())
        channel.unacked.clear()
        for message, queue in reversed(back):
            message.redelivered = True
            queue.waiting.appendleft(message)
        for _, queue in back:
            self.broker.pump(queue)

    def close_channel(self, number: int, code: int, text: str) -> None:
        channel = self.channels.get(number)
        if channel is not None and not channel.closing:
            channel.closing, channel.method, channel.properties = True, None, None
            self.leave(channel)
            self.send(commands.Channel.Close(code, text[:120], 0, 0), number)

    # -- a publish ---------------------------------------------------------------------------------------

    def content(self, channel: Channel, found: header.ContentHeader | body.ContentBody) -> None:
        if channel.method is None:
            raise Close(505, "a content that nothing announced")
        if isinstance(found, header.ContentHeader):
            if channel.properties is not None:
                raise Close(505, "a second content header")
            channel.properties, channel.size, channel.come = (
                found.properties,
                found.body_size or 0,
                bytearray(),
            )
        else:
            if channel.properties is None:
                raise Close(505, "a content body without its header")
            channel.come += found.value or b""
            if len(channel.come) > channel.size:
                raise Close(501, "a content longer than it said")
        if channel.properties is not None and len(channel.come) >= channel.size:
            method, properties = channel.method, channel.properties
            channel.method = channel.properties = None
            self.published(
                channel,
                Message(
                    str(method.exchange),
                    str(method.routing_key),
                    properties,
                    bytes(channel.come),
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
            self.returned(channel, message, 313, "NO_CONSUMERS")
            self.confirm(channel, tag)
            return
        if fault == "nack":
            self.send(commands.Basic.Nack(tag, False, False), channel.number)
            return
        if not self.broker.route(message) and message.mandatory:
            self.returned(channel, message, 312, "NO_ROUTE")
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
                    self.broker.faults.stall_ms / 1000, self.confirm, channel, tag
                )
            case _:
                self.confirm(channel, tag)

    def confirm(self, channel: Channel, tag: int) -> None:
        if self.channels.get(channel.number) is channel and not channel.closing:
            self.send(commands.Basic.Ack(tag, False), channel.number)

    def returned(self, channel: Channel, message: Message, code: int, text: str) -> None:
        self.send_content(
            commands.Basic.Return(code, text, message.exchange, message.routing_key), message, channel.number
        )


def main() -> None:
    parser = arguments("amqp")
    for name in CHANCES:
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
    chances = {name: getattr(args, name.replace("-", "_")) for name in CHANCES}
    if sum(chances.values()) > 1:
        parser.error("the chances make more than 1 together")
    broker = Broker(
        Faults(chances, args.stall_ms, random.Random(args.seed)),
        args.ledger,
        args.heartbeat,
        args.user,
        args.password,
    )
    broker.beats, broker.mute = not args.no_heartbeats, args.mute
    for told in args.queue:
        name, _, dead = told.partition("=")
        broker.declare(name, dead or None)
    playing = set[asyncio.Task[None]]()

    async def start() -> asyncio.Server:
        if args.script:
            playing.add(asyncio.ensure_future(broker.play(args.script.get("at", []))))
        return await asyncio.get_running_loop().create_server(
            lambda: Session(broker), *address(args.listen), ssl=tls
        )

    serve(start)


if __name__ == "__main__":
    main()
