"""Frames of AMQP 0-9-1 (specification, 4.2.3) in and out of bytes, by pamqp; no I/O.

pamqp reads one frame from bytes that hold it whole. What is kept here is the rest of a stream that does not,
and the limits: a frame longer than was negotiated is an error before its bytes have come."""

from __future__ import annotations

import struct

from pamqp import base, body, commands, constants, exceptions, frame, header, heartbeat

Frame = base.Frame | body.ContentBody | header.ContentHeader | header.ProtocolHeader | heartbeat.Heartbeat

HEAD = struct.Struct(">BHI")  # type, channel, length of the payload
OVERHEAD = HEAD.size + 1  # and the end octet
MIN_FRAME = 4096  # 4.2.3: before the negotiation, and the least that either side may ask for
TYPES = (constants.FRAME_METHOD, constants.FRAME_HEADER, constants.FRAME_BODY, constants.FRAME_HEARTBEAT)


class FrameError(Exception):
    """The stream holds what is no frame; `code` is the reply code of the specification for it."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class FrameReader:
    """Bytes in, frames out; holds one frame in part at the most."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.frame_max = MIN_FRAME  # bytes, the overhead included

    def feed(self, data: bytes) -> None:
        self.data += data

    def next(self) -> tuple[int, Frame] | None:
        """The next frame and its channel; None: it has not come whole. Raises FrameError."""
        data = self.data
        if len(data) < HEAD.size:
            if data and data[0] not in TYPES and not b"AMQP".startswith(bytes(data[:4])):
                raise FrameError(501, f"octet {data[0]} begins no frame")
            return None
        if data.startswith(b"AMQP"):
            if len(data) < 8:
                return None
            raise FrameError(501, f"the other side speaks AMQP {data[4]}-{data[5]}-{data[6]}-{data[7]}")
        kind, channel, size = HEAD.unpack_from(data)
        if kind not in TYPES:
            raise FrameError(501, f"{kind} is no type of frame")
        if size + OVERHEAD > self.frame_max:
            raise FrameError(501, f"a frame of {size + OVERHEAD} bytes, and {self.frame_max} are the most")
        end = HEAD.size + size + 1
        if len(data) < end:
            return None
        if data[end - 1] != constants.FRAME_END:
            raise FrameError(501, f"a frame ends with octet {data[end - 1]}")
        raw = bytes(data[:end])
        del data[:end]
        if kind == constants.FRAME_BODY:
            return channel, body.ContentBody(raw[HEAD.size : -1])
        try:
            _, _, found = frame.unmarshal(raw)
        except (
            exceptions.AMQPError,
            exceptions.UnmarshalingException,
            ValueError,
            struct.error,
            KeyError,
            IndexError,
            TypeError,
            OverflowError,
            UnicodeError,
        ) as error:
            raise FrameError(502, f"a frame that cannot be read: {error}") from error
        return channel, found


def encoded(value: Frame, channel: int) -> bytes:
    return frame.marshal(value, channel)


def content(
    method: base.Frame, properties: commands.Basic.Properties, data: bytes, channel: int, frame_max: int
) -> bytes:
    """A method with its content: the header and as many body frames as it takes (4.2.6)."""
    out = [
        frame.marshal(method, channel),
        frame.marshal(header.ContentHeader(0, len(data), properties), channel),
    ]
    most = frame_max - OVERHEAD
    out += [
        frame.marshal(body.ContentBody(data[at : at + most]), channel) for at in range(0, len(data), most)
    ]
    return b"".join(out)
