"""Reads one request that does not arrive in one piece, within limits of bytes, fields and chunks. No I/O.

A head is collected as plain bytes and parsed once it is complete: h11 turns each header field into objects
of many times its size. After that only the fields that the intake uses are kept. A request in the common form
is read without h11; the memory for its body is known, and counts as held, before it arrives.
"""

from __future__ import annotations

import re
from enum import Enum, auto

import h11

from .client_limits import MAX_BODY_BYTES, MAX_CHUNKS, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, READ_BYTES
from .client_messages import (
    SUBMISSION_HEADERS,
    ClientRequest,
    ClientResponse,
    find_head_fault,
    oversized_response,
    parse_plain_head,
)
from .headers import headers_by_name

HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_BYTES = 3  # at most
FIRST_PRINTABLE = 0x21  # h11 rejects a request line that begins with any byte below
MAX_EVENTS_PER_PART = 64  # h11 events; one takes some 10 us
READER_BYTES = 500  # a reader without the request
PLAIN_REQUEST_BYTES = 2_000  # a request in the common form without its body
PARSER_BYTES = 4_000  # an h11 connection with the request


class Progress(Enum):
    """What the reader needs next."""

    NEEDS_DATA = auto()
    HAS_MORE = auto()  # unparsed data: call `advance` again
    COMPLETE = auto()


class RejectedRequestError(Exception):
    """The request cannot be handled; `response` ends its connection."""

    def __init__(self, response: ClientResponse) -> None:
        super().__init__(response.text)
        self.response = response


class RequestReader:
    """Collects the bytes of one request. `request` is set once its head is parsed."""

    __slots__ = ("chunk_count", "content_length", "has_unparsed", "head", "parser", "request")

    def __init__(self) -> None:
        self.head = bytearray()  # until the head is complete
        self.parser: h11.Connection | None = None
        self.request: ClientRequest | None = None
        self.content_length: int | None = None  # of a request in the common form
        self.chunk_count = 0
        self.has_unparsed = False

    @property
    def held_bytes(self) -> int:
        """Memory that the unfinished request takes or will take."""
        if self.content_length is not None:
            return READER_BYTES + PLAIN_REQUEST_BYTES + self.content_length
        size = READER_BYTES + len(self.head) + (PARSER_BYTES if self.parser is not None else 0)
        size += READ_BYTES if self.has_unparsed else 0
        return size + (len(self.request.body) if self.request is not None else 0)

    def receive(self, data: bytes) -> None:
        """Adds received bytes, none of which is parsed yet."""
        if self.parser is not None:
            self.parser.receive_data(data)
        elif self.request is not None:
            self.request.body += data
        else:
            self.head += data
        self.has_unparsed = True

    def advance(self) -> Progress:
        """Parses a bounded part. Raises RejectedRequestError, h11.RemoteProtocolError."""
        if self.parser is None and self.request is None:
            if not self._is_head_complete():
                self.has_unparsed = False
                return Progress.NEEDS_DATA
            self._start_parsing()
        if self.parser is None:
            return self._advance_plain()
        for _ in range(MAX_EVENTS_PER_PART):
            progress = self._handle_event(self.parser, self.parser.next_event())
            if progress is not Progress.HAS_MORE:
                self.has_unparsed = False
                return progress
        return Progress.HAS_MORE

    def _start_parsing(self) -> None:
        plain = parse_plain_head(self.head)
        if plain is not None:
            self.request = plain.request
            self.request.body += self.head[plain.body_start :]
            self.content_length = plain.content_length
        else:
            self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
            self.parser.receive_data(bytes(self.head))
        self.head = bytearray()

    def _advance_plain(self) -> Progress:
        assert self.request is not None and self.content_length is not None
        self.has_unparsed = False
        is_complete = len(self.request.body) >= self.content_length
        return Progress.COMPLETE if is_complete else Progress.NEEDS_DATA

    def drop_trailing_data(self) -> bool:
        """Drops what follows the request; returns whether that was anything but line breaks."""
        if self.parser is not None:
            return bool(self.parser.trailing_data[0].strip(b"\r\n"))
        if self.request is None or self.content_length is None:
            return False
        trailing = self.request.body[self.content_length :]
        del self.request.body[self.content_length :]
        return bool(trailing.strip(b"\r\n"))

    def _is_head_complete(self) -> bool:
        """Checks the limits of a head. Raises RejectedRequestError."""
        end = HEAD_END.search(self.head)
        head_bytes = end.end() if end is not None else len(self.head)
        if head_bytes > MAX_HEAD_BYTES:
            raise RejectedRequestError(ClientResponse(431, f"a head holds {MAX_HEAD_BYTES} bytes at most"))
        if self.head.count(b"\n", 0, head_bytes) > MAX_HEADER_FIELDS + 2:  # request line and empty line
            raise RejectedRequestError(
                ClientResponse(431, f"a head holds {MAX_HEADER_FIELDS} header fields at most")
            )
        return end is not None or (bool(self.head) and self.head[0] < FIRST_PRINTABLE)

    def _handle_event(
        self, parser: h11.Connection, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
    ) -> Progress:
        match event:
            case h11.Request() as head:
                self._start_request(head)
            case h11.Data(data=chunk, chunk_end=is_end) if self.request is not None:
                self.chunk_count += is_end
                if len(self.request.body) + len(chunk) > MAX_BODY_BYTES:
                    raise RejectedRequestError(oversized_response())
                if self.chunk_count > MAX_CHUNKS:
                    raise RejectedRequestError(
                        ClientResponse(413, f"a body comes in {MAX_CHUNKS} chunks at most")
                    )
                self.request.body += chunk
            case h11.EndOfMessage() if self.request is not None:
                return Progress.COMPLETE
            case _:
                return Progress.NEEDS_DATA
        return Progress.HAS_MORE

    def _start_request(self, head: h11.Request) -> None:
        fault = find_head_fault(head)
        if fault is not None:
            raise RejectedRequestError(fault)
        headers = headers_by_name((name, value) for name, value in head.headers if name in SUBMISSION_HEADERS)
        self.request = ClientRequest(head.method.decode("ascii"), head.target.decode("latin-1"), headers)
