"""The client side of one HTTP/1.1 connection: one request at a time, with its exact progress.

It uses an asyncio protocol instead of streams: those do not report when the last byte was written, and buffer
unsolicited responses. A request passes through these steps, each of which may be the last:

    written except for a withheld byte -> sent (it may run from here on) -> status -> head -> complete body

`status`, `head` and `complete_body` are futures of the latest request; those not done when the connection
ends fail with ConnectionLostError.
"""

from __future__ import annotations

import asyncio
import re
import select

import h11

from ..config import Address
from .endpoint_messages import Headers, ResponseHead, encode_request, parse_plain_response
from .errors import ConnectionLostError
from .headers import headers_by_name
from .socket_state import is_socket_ready

MAX_HEAD_BYTES = 16 * 1024  # limit for a response's status line and headers
# A peer may write a response in pieces of any size, so their number is not limited; but one read may contain
# so many tiny chunks that they would block the loop.
MAX_EVENTS_PER_TURN = 64
MAX_HEADER_FIELDS = 100  # of a response
READ_BYTES = 16 * 1024  # one read
MAX_INFORMATIONAL_HEADS = 256  # ahead of one response; only time would end an endless number of them
# Something behind a response (a second copy of it, noise) may arrive so much later. Nothing in HTTP/1.1
# distinguishes it from the response to a request sent meanwhile, so a connection rests for this time.
REST_S = 0.5
STATUS_LINE = re.compile(rb"HTTP/\d\.\d (\d{3})(?: [^\r\n]*)?\r?\n")
HEAD_END = re.compile(rb"\r?\n\r?\n")
SWITCHING_PROTOCOLS = 101
FIRST_PRINTABLE = 0x21  # h11 rejects a status line that begins with any byte below
PLACEHOLDER_HEADERS = [("Host", "x")]  # h11 only needs to know that a request was sent


READ_BUFFER = memoryview(bytearray(READ_BYTES))  # of all connections: its content is used at once


class EndpointConnection(asyncio.BufferedProtocol):
    """A connection to an endpoint or to the agent. `idle_since` is on the loop's clock.

    With `keeps_body` False a body is only counted: an endpoint's means nothing.
    """

    def __init__(self, max_body_bytes: int, keeps_body: bool = True) -> None:
        loop = asyncio.get_running_loop()
        self.parser: h11.Connection | None = None  # only where `parse_plain_response` does not apply
        self.method = "GET"
        self.max_body_bytes = max_body_bytes
        self.keeps_body = keeps_body
        self.transport: asyncio.Transport | None = None
        self.idle_since = loop.time()
        self.is_busy = False
        self.withheld_byte = b""  # last byte of a request whose other bytes are written
        self.is_request_sent = False  # the last byte of the latest request was sent: it may run
        self.is_sending_last_byte = False  # the last write ends with that byte
        self.status: asyncio.Future[int] = loop.create_future()  # from the status line, whatever follows it
        self.head: asyncio.Future[ResponseHead] = loop.create_future()
        self.complete_body: asyncio.Future[bytes] = loop.create_future()
        self.flushed: asyncio.Future[None] | None = None
        self.received_head = bytearray()  # head of the response, until its status is known
        self.received_body = bytearray()
        self.received_body_bytes = 0
        self.informational_count = 0  # heads ahead of the response
        self.request_count = 0  # including the current one
        self.endpoint_kind = ""  # kind of the endpoint that it is connected to

    @classmethod
    async def open(cls, address: Address, max_body_bytes: int, keeps_body: bool = True) -> EndpointConnection:
        """Connect. Raises ConnectionLostError."""
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: cls(max_body_bytes, keeps_body), *address)
            return connection
        except OSError as error:
            raise ConnectionLostError(f"cannot connect to {address[0]}:{address[1]}: {error}") from error

    @property
    def is_usable(self) -> bool:
        """Whether it is open and between requests; unsolicited input closes it."""
        return self.transport is not None and not self.transport.is_closing() and not self.is_busy

    @property
    def is_rested(self) -> bool:
        """Whether nothing that belongs to its latest response can still arrive."""
        is_new = self.request_count == 0
        return is_new or asyncio.get_running_loop().time() - self.idle_since >= REST_S

    @property
    def has_no_unread_input(self) -> bool:
        """Whether the socket has no unread input.

        Checked before reuse: unread input is an unsolicited response, or an end not noticed yet.
        """
        return not is_socket_ready(self.transport, select.POLLIN | select.POLLRDHUP)

    def close(self) -> None:
        """Close it at once; unsent data is lost."""
        if self.transport is not None:
            self.transport.abort()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes, withhold_s: float = 0
    ) -> None:
        """Write a request, and return once its last byte was sent.

        With `withhold_s` all but the last byte is written, and this returns after that many seconds;
        `send_withheld_byte` then completes the request. Raises ConnectionLostError if the last byte was not
        sent.
        """
        if not self.is_usable or self.transport is None:
            raise ConnectionLostError("the connection is closed")
        self._start_request(method)
        data = encode_request(method, target, headers, body)
        if withhold_s > 0:
            self.withheld_byte = data[-1:]
            await self._write(self.transport, data[:-1], is_last=False)
            await asyncio.wait([self.status], timeout=withhold_s)
            if self.status.done():
                raise ConnectionLostError("the connection broke before the request was complete")
        else:
            await self._write(self.transport, data, is_last=True)

    def _start_request(self, method: str) -> None:
        loop = asyncio.get_running_loop()
        self.is_busy = True
        self.informational_count = 0  # heads ahead of the response
        self.request_count += 1
        self.status = loop.create_future()
        self.head = loop.create_future()
        self.complete_body = loop.create_future()
        self.received_head.clear()
        self.received_body = bytearray()
        self.received_body_bytes = 0
        self.parser = None
        self.method = method
        self.is_request_sent = False

    async def send_withheld_byte(self) -> None:
        """Write the byte that `send` withheld. Raises ConnectionLostError on failure."""
        if self.transport is None or self.status.done():
            raise ConnectionLostError("the connection broke before the request was complete")
        last_byte = self.withheld_byte
        self.withheld_byte = b""
        if last_byte:
            await self._write(self.transport, last_byte, is_last=True)

    async def _write(self, transport: asyncio.Transport, data: bytes, is_last: bool) -> None:
        """Write and flush.

        `is_request_sent` is set when the last byte is sent, not when this task resumes, as the task may be
        cancelled in between.
        """
        self.is_sending_last_byte = is_last
        transport.write(data)
        # If the first write fails, the transport is closed at once and the complete request was not sent.
        if transport.is_closing():
            raise ConnectionLostError("the connection broke while the request was written")
        if transport.get_write_buffer_size():
            self.flushed = asyncio.get_running_loop().create_future()
            await self.flushed
        else:
            self.is_request_sent = is_last

    async def request(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> tuple[ResponseHead, bytes]:
        """Send one request and return the head and the body of its response. Raises ConnectionLostError."""
        await self.send(method, target, headers, body)
        head = await self.head
        return head, await self.complete_body

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing is called when the buffer is empty

    def pause_writing(self) -> None:
        """Nothing to do: `_write` waits until the buffer is empty."""

    def resume_writing(self) -> None:
        """Note that the write buffer is empty."""
        self.is_request_sent = self.is_request_sent or self.is_sending_last_byte
        if self.flushed is not None and not self.flushed.done():
            self.flushed.set_result(None)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle one read."""
        self.data_received(bytes(READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes of a response; close the connection if none is expected."""
        if not self.is_busy:
            # Unsolicited bytes would be taken for the response to the next request.
            self.close()
            return
        if self.withheld_byte:
            self._fail("data arrived before the request was complete")
            return
        self._feed(data)

    def eof_received(self) -> None:
        """Complete a response that ends with the connection; fail a truncated one."""
        if self.is_busy:
            self._feed(b"")
        self._fail("the connection ended")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the futures that are still pending."""
        self._fail("the connection broke" if exc else "the connection was closed")

    # -- responses ---------------------------------------------------------------------------------------

    def _is_head_complete(self) -> bool:
        """Parse the status without h11, which rejects a malformed head with a valid status line.

        Skips informational heads. Returns whether h11 can parse or reject the head; fails one that exceeds
        a limit.
        """
        switches_protocols = False
        while line := STATUS_LINE.match(self.received_head):
            status = int(line[1])
            switches_protocols = switches_protocols or status == SWITCHING_PROTOCOLS
            if status >= 200 and not self.status.done():
                self.status.set_result(status)
            end = HEAD_END.search(self.received_head, line.end() - 2)
            head_bytes = end.end() if end is not None else len(self.received_head)
            if head_bytes > MAX_HEAD_BYTES:
                self._fail(f"the answer's head has over {MAX_HEAD_BYTES} bytes")
                return False
            if self.received_head.count(b"\n", 0, head_bytes) > MAX_HEADER_FIELDS + 2:
                self._fail(f"the answer's head has over {MAX_HEADER_FIELDS} fields")
                return False
            if status >= 200 and switches_protocols:
                break
            if end is None or status >= 200:
                return end is not None
            self.informational_count += 1
            if self.informational_count > MAX_INFORMATIONAL_HEADS:
                self._fail("the answer has too many informational heads")
                return False
            del self.received_head[:head_bytes]
        if switches_protocols:
            self._fail("the answer switches protocols")
            return False
        is_noise = bool(self.received_head) and self.received_head[0] < FIRST_PRINTABLE
        return is_noise or b"\n" in self.received_head or len(self.received_head) > MAX_HEAD_BYTES

    def _feed(self, data: bytes) -> None:
        if self.parser is None:
            plain = None if self.received_head else parse_plain_response(data)
            if plain is not None:
                self._complete_plain_response(*plain)
                return
            self.received_head += data
            if not self._is_head_complete():
                return
            self.parser = self._response_parser()
            data = bytes(self.received_head)
            self.received_head = bytearray()
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail_malformed(error)
            return
        self._handle_events(self.parser)

    def _response_parser(self) -> h11.Connection:
        """Create an h11 connection that expects the response to the latest request."""
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        parser.send(h11.Request(method=self.method, target="/", headers=PLACEHOLDER_HEADERS))
        parser.send(h11.EndOfMessage())
        return parser

    def _handle_events(self, parser: h11.Connection) -> None:
        """Handle all complete events, but no more than MAX_EVENTS_PER_TURN in one turn of the loop.

        Guards the loop against a read with very many tiny chunks. Nothing more is read until it is handled.
        """
        if self.transport is None or self.transport.is_closing():
            return
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                if not self._handle_event(parser.next_event()):
                    self.transport.resume_reading()
                    return
        except h11.RemoteProtocolError as error:
            self._fail_malformed(error)
            return
        self.transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._handle_events, parser)

    def _handle_event(self, event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]) -> bool:
        """Handle one event of a response; False if there is nothing more to handle now."""
        match event:
            case h11.Response() if not self.head.done():
                if not self.status.done():
                    self.status.set_result(event.status_code)
                self.head.set_result(ResponseHead(event.status_code, headers_by_name(event.headers)))
            case h11.Data(data=chunk):
                self.received_body_bytes += len(chunk)
                if self.keeps_body:
                    self.received_body += chunk
                if self.received_body_bytes > self.max_body_bytes:
                    self._fail_oversized()
                    return False
            case h11.EndOfMessage():
                self._complete_response()
                return False
            case _:
                return False
        return True

    def _fail_malformed(self, error: h11.RemoteProtocolError) -> None:
        self._fail(f"not an HTTP response: {error}")

    def _fail_oversized(self) -> None:
        received = f"over {self.received_body_bytes}"
        length = self.head.result().headers.get("content-length", received)
        self._fail(f"the answer is too long: {length} bytes, {self.max_body_bytes} at most")

    def _complete_plain_response(self, head: ResponseHead, body: bytes) -> None:
        self.is_busy = False
        self.idle_since = asyncio.get_running_loop().time()
        self.status.set_result(head.status)
        self.head.set_result(head)
        self.complete_body.set_result(body)

    def _complete_response(self) -> None:
        parser = self.parser
        self.parser = None
        if parser is not None and parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            has_stray_input = bool(parser.trailing_data[0])
            self.is_busy = has_stray_input
            self.idle_since = asyncio.get_running_loop().time()
            if has_stray_input:
                self.close()
        else:
            self.close()
        if not self.complete_body.done():
            self.complete_body.set_result(bytes(self.received_body))
        self.received_body = bytearray()

    def _fail(self, reason: str) -> None:
        """Close the connection and fail the futures that are still pending."""
        self.close()
        for future in (self.flushed, self.status, self.head, self.complete_body):
            if future is not None and not future.done():
                future.set_exception(ConnectionLostError(reason))
                future.exception()  # marks it as retrieved: there may be no waiter
