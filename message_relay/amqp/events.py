"""Events of an AMQP connection: what its state machine (protocol.py) reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from pamqp import commands


class PublishStatus(Enum):
    """What is known of a publish: whether the broker has routed it."""

    OUT = "out"
    ACKED = "acked"
    NACKED = "nacked"
    RETURNED = "returned"  # not routed to any queue
    UNWRITTEN = "unwritten"  # its last byte was never written: it has had no effect
    LOST = "lost"  # it may have had an effect


@dataclass(eq=False, slots=True)
class Publish:
    """A message that was published, and what is known of it."""

    channel: int
    tag: int
    message_id: str
    end_offset: int  # offset behind its last byte among all bytes that the connection has produced
    status: PublishStatus = PublishStatus.OUT
    given_up: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Opened:
    """The connection is open, with the negotiated limits."""

    heartbeat_s: float
    frame_max: int


@dataclass(frozen=True, slots=True)
class ChannelReady:
    """A channel may be used: for publishing, or to start a consumer."""

    channel: int


@dataclass(frozen=True, slots=True)
class PublishSettled:
    """A publish has its final status; `late`: it was given up before."""

    publish: Publish
    late: bool


@dataclass(frozen=True, slots=True)
class Delivered:
    """A message from a queue; it is settled by its tag, on its own channel."""

    channel: int
    consumer: str
    tag: int
    redelivered: bool
    routing_key: str
    properties: commands.Basic.Properties
    body: bytes
    skipped_bytes: int = 0  # announced size of a body that was too long to keep; else 0


@dataclass(frozen=True, slots=True)
class AcksProcessed:
    """The broker has processed these tracked acks: it will not deliver their messages again."""

    channel: int
    tags: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ConsumerStarted:
    """The broker has started a consumer."""

    channel: int
    consumer: str


@dataclass(frozen=True, slots=True)
class ConsumerCancelled:
    """The broker has cancelled a consumer, for example because its queue was deleted."""

    channel: int
    consumer: str


@dataclass(frozen=True, slots=True)
class Blocked:
    """The broker takes no publishes on this connection, or takes them again."""

    blocked: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Flow:
    """The broker has stopped or restarted the publishes of a channel."""

    channel: int
    active: bool


@dataclass(frozen=True, slots=True)
class ChannelClosed:
    """A channel has ended; its unconfirmed publishes have been reported as settled before."""

    channel: int
    code: int
    text: str


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The connection has ended; every unconfirmed publish has been reported as settled before."""

    reason: str
    code: int = 0
    orderly: bool = False


Event = (
    Opened
    | ChannelReady
    | PublishSettled
    | Delivered
    | AcksProcessed
    | ConsumerStarted
    | ConsumerCancelled
    | Blocked
    | Flow
    | ChannelClosed
    | ConnectionClosed
)
