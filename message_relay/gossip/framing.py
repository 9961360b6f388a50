"""Frames on connections between instances: a length, an optional seal (HMAC), and the message."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import socket
import struct

import msgspec

from .wire import SEAL_BYTES

FRAME_HEADER = struct.Struct("<I")
FRAME_BYTES_MAX = 8 << 20  # of one message: a set of rules, or a snapshot of all state
WRITE_TIMEOUT_S = 5.0  # a connection whose peer reads nothing for this long is aborted


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First frame on a connection: the sender, and the kind of all messages that follow."""

    sender: str
    kind: str
    nonce: int = 0  # of the sending process; 0: a build that does not send it


def set_write_timeout(writer: asyncio.StreamWriter) -> None:
    """Let the kernel end a connection whose data is not acknowledged: a lost host sends no reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(1000 * WRITE_TIMEOUT_S))


def encode_frame(message: bytes, secret: bytes) -> bytes:
    """Return a frame, sealed if there is a secret."""
    seal = hmac.digest(secret, message, hashlib.sha256)[:SEAL_BYTES] if secret else b""
    return FRAME_HEADER.pack(len(seal) + len(message)) + seal + message


async def read_frame(reader: asyncio.StreamReader, secret: bytes) -> bytes:
    """Read one message.

    Raises ValueError if it is too long or badly sealed, asyncio.IncompleteReadError at the end of the
    connection.
    """
    length = FRAME_HEADER.unpack(await reader.readexactly(FRAME_HEADER.size))[0]
    if length > FRAME_BYTES_MAX:
        raise ValueError(f"message too long: {length} bytes, {FRAME_BYTES_MAX} at most")
    raw = await reader.readexactly(length)
    if not secret:
        return raw
    seal, message = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not hmac.compare_digest(seal, hmac.digest(secret, message, hashlib.sha256)[:SEAL_BYTES]):
        raise ValueError("the message's seal does not match this fleet's secret")
    return message
