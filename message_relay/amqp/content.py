"""Assembles the content that follows a method: one header frame, then body frames up to its size. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from pamqp import base, body, commands, header

from .frames import FrameError

MAX_CONTENT_BYTES = 64 * 1024  # a longer delivery is skipped, and reported with its size only


@dataclass(frozen=True, slots=True)
class Content:
    """A method with its complete content. The data of a return, or of too long a content, is skipped."""

    method: base.Frame
    properties: commands.Basic.Properties
    size: int
    data: bytes

    @property
    def is_too_long(self) -> bool:
        """Whether its data was skipped for its size."""
        return self.size > MAX_CONTENT_BYTES


@dataclass(slots=True)
class PartialContent:
    """A method that carries content, and the part of that content received so far."""

    method: base.Frame
    properties: commands.Basic.Properties | None = None
    size: int = 0
    received_size: int = 0
    parts: list[bytes] = field(default_factory=list)

    def add_header(self, frame: header.ContentHeader) -> None:
        """Adds the content header. Raises FrameError for a second one."""
        if self.properties is not None:
            raise FrameError(505, "a content header that nothing announced")
        self.properties, self.size = frame.properties, frame.body_size or 0

    def add_body(self, frame: body.ContentBody) -> None:
        """Adds a part of the body. Raises FrameError before the header, or beyond the announced size."""
        if self.properties is None:
            raise FrameError(505, "a content body without its header")
        data = frame.value or b""
        self.received_size += len(data)
        if self.received_size > self.size:
            raise FrameError(501, f"a content of {self.received_size} bytes that was to be {self.size}")
        if self.size <= MAX_CONTENT_BYTES and not isinstance(self.method, commands.Basic.Return):
            self.parts.append(data)

    def complete(self) -> Content | None:
        """Returns the content if all of it was received."""
        if self.properties is None or self.received_size < self.size:
            return None
        return Content(self.method, self.properties, self.size, b"".join(self.parts))
