"""Decodes and encodes frames of AMQP 0-9-1 (specification, 4.2.3) with pamqp; no I/O.

pamqp decodes one frame from bytes that contain all of it. This module splits a stream into frames and checks
their limits: a frame longer than negotiated is an error before its bytes have arrived.
"""

from __future__ import annotations

import struct

from pamqp import base, body, commands, constants, exceptions, frame, header, heartbeat

Frame = base.Frame | body.ContentBody | header.ContentHeader | header.ProtocolHeader | heartbeat.Heartbeat

FRAME_START = struct.Struct(">BHI")  # type, channel, length of the payload
FRAME_OVERHEAD_BYTES = FRAME_START.size + 1  # with the end octet
MIN_FRAME_BYTES = 4096  # 4.2.3: the limit before the negotiation, and the lowest that may be negotiated
FRAME_TYPES = (
    constants.FRAME_METHOD,
    constants.FRAME_HEADER,
    constants.FRAME_BODY,
    constants.FRAME_HEARTBEAT,
)
PROTOCOL_NAME = b"AMQP"
PROTOCOL_HEADER_BYTES = 8
# Reply codes of the specification.
FRAME_ERROR = 501
SYNTAX_ERROR = 502
# What pamqp raises for a malformed frame, its own exceptions and those of the code below it.
DECODE_ERRORS = (
    exceptions.AMQPError,
    exceptions.UnmarshalingException,
    ValueError,
    struct.error,
    KeyError,
    IndexError,
    TypeError,
    OverflowError,
    UnicodeError,
)


class FrameError(Exception):
    """The stream holds no valid frame; `reply_code` is the specification's code for that."""

    def __init__(self, reply_code: int, text: str) -> None:
        super().__init__(text)
        self.reply_code = reply_code


class FrameReader:
    """Splits a stream into frames; buffers one incomplete frame at most."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.max_frame_bytes = MIN_FRAME_BYTES  # including the overhead

    def feed(self, data: bytes) -> None:
        """Append bytes of the stream."""
        self.buffer += data

    def next_frame(self) -> tuple[int, Frame] | None:
        """The channel and content of the next frame; None if it is incomplete. Raises FrameError."""
        buffer = self.buffer
        if len(buffer) < FRAME_START.size:
            self._check_first_octet()
            return None
        if buffer.startswith(PROTOCOL_NAME):
            self._check_protocol_header()
            return None
        kind, channel, size = FRAME_START.unpack_from(buffer)
        if kind not in FRAME_TYPES:
            raise FrameError(FRAME_ERROR, f"{kind} is no type of frame")
        length = size + FRAME_OVERHEAD_BYTES
        if length > self.max_frame_bytes:
            text = f"a frame of {length} bytes, and {self.max_frame_bytes} are the most"
            raise FrameError(FRAME_ERROR, text)
        if len(buffer) < length:
            return None
        if buffer[length - 1] != constants.FRAME_END:
            raise FrameError(FRAME_ERROR, f"a frame ends with octet {buffer[length - 1]}")
        encoded = bytes(buffer[:length])
        del buffer[:length]
        if kind == constants.FRAME_BODY:
            return channel, body.ContentBody(encoded[FRAME_START.size : -1])
        return channel, _decode(encoded)

    def _check_first_octet(self) -> None:
        """Reject data that cannot begin a frame, before the rest of it has arrived."""
        start = self.buffer[:4]
        if start and start[0] not in FRAME_TYPES and not PROTOCOL_NAME.startswith(bytes(start)):
            raise FrameError(FRAME_ERROR, f"octet {start[0]} begins no frame")

    def _check_protocol_header(self) -> None:
        """Reject a protocol header: the peer sends one if it does not speak this version."""
        header_ = self.buffer[:PROTOCOL_HEADER_BYTES]
        if len(header_) == PROTOCOL_HEADER_BYTES:
            version = "-".join(str(octet) for octet in header_[len(PROTOCOL_NAME) :])
            raise FrameError(FRAME_ERROR, f"the other side speaks AMQP {version}")


def _decode(encoded: bytes) -> Frame:
    try:
        _, _, decoded = frame.unmarshal(encoded)
    except DECODE_ERRORS as error:
        raise FrameError(SYNTAX_ERROR, f"a frame that cannot be read: {error}") from error
    return decoded


def encode_frame(value: Frame, channel: int) -> bytes:
    """The bytes of one frame."""
    return frame.marshal(value, channel)


def encode_content(
    method: base.Frame, properties: commands.Basic.Properties, data: bytes, channel: int, frame_max: int
) -> bytes:
    """A method with its content: the header and as many body frames as are needed (4.2.6)."""
    frames = [
        frame.marshal(method, channel),
        frame.marshal(header.ContentHeader(0, len(data), properties), channel),
    ]
    max_payload_bytes = frame_max - FRAME_OVERHEAD_BYTES
    frames += [
        frame.marshal(body.ContentBody(data[start : start + max_payload_bytes]), channel)
        for start in range(0, len(data), max_payload_bytes)
    ]
    return b"".join(frames)
