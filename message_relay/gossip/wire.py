"""What instances say to each other in one datagram: msgpack, as arrays, and a seal where a secret is set.

Nothing that comes is believed for its shape: what can't be read, is too long or has no valid seal is dropped
and counted, and changes nothing.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import IntEnum
from typing import Union

import msgspec

PACKET_BYTES = 1400  # one datagram crosses a usual path unsplit
SEAL_BYTES = 16  # of HMAC-SHA256: forging one takes 2^128 tries
NAME_BYTES = 64

Address = tuple[str, int]


class MemberState(IntEnum):
    """What is held true of a member. Of two words of the same incarnation the higher one stands."""

    JOINING = 0  # it has not heard yet who is there
    ALIVE = 1
    SUSPECT = 2  # it answered nobody who asked
    DEAD = 3
    LEFT = 4  # it said so itself


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One word on one member. `id` is bound to its state folder, `boot` counts the starts of that folder's
    process, and `nonce` is of this one process."""

    name: str
    id: str
    process_epoch: int
    nonce: int
    incarnation: int
    state: MemberState
    host: str
    port: int
    zone: str = ""
    capabilities: int = 0  # what its build understands: one bit for each capability
    suspected_by: str = ""  # of SUSPECT: who asked in vain

    @property
    def precedence(self) -> tuple[int, int, int]:
        return self.process_epoch, self.incarnation, int(self.state)

    @property
    def address(self) -> Address:
        """Where the member receives datagrams and connections."""
        return self.host, self.port

    @property
    def is_gone(self) -> bool:
        return self.state in (MemberState.DEAD, MemberState.LEFT)


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    sequence: int
    target: str  # an address may be another's by now
    claims: tuple[Claim, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    sequence: int
    claims: tuple[Claim, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Ask this one for me: I get no answer."""

    sequence: int
    target: str
    claims: tuple[Claim, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """I asked it for you and got no answer either, so my link to you works."""

    sequence: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A slice of all that the sender knows. `want`: answer with all of yours, unless it comes to the same."""

    wants_reply: bool
    claims: tuple[Claim, ...]
    checksum: int = 0  # a sum over what the sender knows
    slice_checksums: bytes = (
        b""  # sums over parts of it (gossip/member_table.py): the answer holds those that differ
    )


class IdentityConflict(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """You can't be who you say: the word on your name that stands here."""

    claim: Claim


class AppMessage(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Of another part of the relay."""

    kind: str
    body: bytes


Body = Union[Ping, Ack, IndirectPing, Nack, Sync, IdentityConflict, AppMessage]


class Packet(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    nonce: int  # of the sending process
    body: Body


class UnreadablePacketError(ValueError):
    """What came is no packet of a member's; the text says why."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)


def seal_packet(packet: Packet, secret: bytes) -> bytes:
    """ValueError if it is longer than one datagram may be."""
    raw = _ENCODER.encode(packet)
    if secret:
        raw = hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES] + raw
    if len(raw) > PACKET_BYTES:
        raise ValueError(f"a packet of {len(raw)} bytes: {PACKET_BYTES} at most")
    return raw


def open_packet(raw: bytes, secret: bytes) -> Packet:
    """Raises UnreadablePacketError."""
    if len(raw) > PACKET_BYTES:
        raise UnreadablePacketError(f"{len(raw)} bytes: {PACKET_BYTES} at most")
    if secret:
        seal, raw = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
        if not hmac.compare_digest(seal, hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES]):
            raise UnreadablePacketError("its seal is not of this fleet's secret")
    try:
        packet = _DECODER.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadablePacketError(str(error)) from error
    if not 0 < len(packet.sender) <= NAME_BYTES:
        raise UnreadablePacketError(f"the sender's name has {len(packet.sender)} letters: 1 to {NAME_BYTES}")
    return packet


def encoded_size(claim: Claim) -> int:
    """Bytes in a packet."""
    return len(_ENCODER.encode(claim))
