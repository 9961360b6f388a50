"""Datagrams between instances: msgpack arrays, sealed (HMAC) where a secret is set.

The order, types and tags of all fields are the wire format; their names are not part of it. A datagram that
can't be decoded, is too long or has no valid seal is dropped and counted, and changes nothing.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import IntEnum

import msgspec

PACKET_BYTES = 1400  # a datagram of this size passes a usual path unfragmented
SEAL_BYTES = 16  # of HMAC-SHA256: forging a seal takes 2^128 attempts
NAME_BYTES = 64

Address = tuple[str, int]


class MemberState(IntEnum):
    """State of a member. Of two claims of the same incarnation the one with the higher state wins."""

    JOINING = 0  # does not know the other members yet
    ALIVE = 1
    SUSPECT = 2  # answered no probe
    DEAD = 3
    LEFT = 4  # by its own announcement


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Claim about one member.

    `id` is bound to its state folder, `process_epoch` counts the processes started from that folder, and
    `nonce` belongs to one process.
    """

    name: str
    id: str
    process_epoch: int
    nonce: int
    incarnation: int
    state: MemberState
    host: str
    port: int
    zone: str = ""
    capabilities: int = 0  # of its build, one bit each
    suspected_by: str = ""  # for SUSPECT: the member whose probe failed

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Order of claims about one identity; part of the checksums on the wire."""
        return self.process_epoch, self.incarnation, int(self.state)

    @property
    def address(self) -> Address:
        """Where the member receives datagrams and connections."""
        return self.host, self.port

    @property
    def has_departed(self) -> bool:
        """Whether the member is dead or has left."""
        return self.state in (MemberState.DEAD, MemberState.LEFT)


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Probe of a member, with piggybacked claims."""

    sequence: int
    target: str  # the address may belong to another member by now
    claims: tuple[Claim, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer to a ping."""

    sequence: int
    claims: tuple[Claim, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Request to ping a member that did not answer the sender."""

    sequence: int
    target: str
    claims: tuple[Claim, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """The target of an indirect ping did not answer either; the link to the requester works."""

    sequence: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A part of all claims that the sender knows, or a request for the recipient's claims that differ."""

    wants_reply: bool  # a request
    claims: tuple[Claim, ...]
    checksum: int = 0  # over all claims that the sender knows
    slice_checksums: bytes = b""  # by slice (member_table.py): the reply holds those that differ


class IdentityConflict(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The recipient can't be who it claims to be: the claim about its name that the sender holds."""

    claim: Claim


class AppMessage(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Message of another part of the relay, by kind."""

    kind: str
    body: bytes


Body = Ping | Ack | IndirectPing | Nack | Sync | IdentityConflict | AppMessage


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram."""

    sender: str
    nonce: int  # of the sending process
    body: Body


class UnreadablePacketError(ValueError):
    """A datagram is not a valid packet of a member; the text gives the reason."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)


def seal_packet(packet: Packet, secret: bytes) -> bytes:
    """Encode a packet and seal it if there is a secret. Raises ValueError if it exceeds one datagram."""
    raw = _ENCODER.encode(packet)
    if secret:
        raw = hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES] + raw
    if len(raw) > PACKET_BYTES:
        raise ValueError(f"packet too long: {len(raw)} bytes, {PACKET_BYTES} at most")
    return raw


def open_packet(raw: bytes, secret: bytes) -> Packet:
    """Check the seal of a datagram and decode it. Raises UnreadablePacketError."""
    if len(raw) > PACKET_BYTES:
        raise UnreadablePacketError(f"{len(raw)} bytes: {PACKET_BYTES} at most")
    if secret:
        seal, raw = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
        if not hmac.compare_digest(seal, hmac.digest(secret, raw, hashlib.sha256)[:SEAL_BYTES]):
            raise UnreadablePacketError("its seal does not match this fleet's secret")
    try:
        packet = _DECODER.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadablePacketError(str(error)) from error
    if not 0 < len(packet.sender) <= NAME_BYTES:
        raise UnreadablePacketError(
            f"the sender's name has {len(packet.sender)} characters: 1 to {NAME_BYTES} are valid"
        )
    return packet


def encoded_size(claim: Claim) -> int:
    """Return the bytes that a claim takes in a packet."""
    return len(_ENCODER.encode(claim))
