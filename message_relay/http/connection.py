"""One HTTP/1.1 connection as its client: a request at a time, and exactly how far it got.

It is built on a bare asyncio protocol: streams do not show when the last byte was written, and keep responses
that nobody requested. A request passes through these steps, each of which may be the last:

    written but for a withheld byte -> sent (it may run from here on) -> status -> head -> complete body

`status`, `head` and `complete_body` are futures of the latest request; all of them fail with
ConnectionLostError when the connection ends before.
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

MAX_HEAD_BYTES = 16 * 1024  # of a response's first line and headers
# Heads and chunks of one response: reading an endless number of tiny ones would hold up the loop. One more
# is allowed for each so many bytes: a long response arrives in as many reads as it takes.
MAX_PIECES = 256
BYTES_PER_EXTRA_PIECE = 1024
STATUS_LINE = re.compile(rb"HTTP/\d\.\d (\d{3})(?: [^\r\n]*)?\r?\n")
HEAD_END = re.compile(rb"\r?\n\r?\n")
PLACEHOLDER_HEADERS = [("Host", "x")]  # h11 only has to know that a request was sent


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint or to the agent. `idle_since` is on the loop's clock."""

    def __init__(self, max_body_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        self.parser: h11.Connection | None = None  # only for a response that is not a plain one
        self.method = "GET"
        self.max_body_bytes = max_body_bytes
        self.transport: asyncio.Transport | None = None
        self.idle_since = loop.time()
        self.is_busy = False
        self.withheld_byte = b""  # the last one of a request that is written otherwise
        self.is_request_sent = False  # the last byte of the latest request has left: from then on it may run
        self.is_sending_last_byte = False  # the write buffer ends with that byte
        self.status: asyncio.Future[int] = loop.create_future()  # by the first line, whatever follows it
        self.head: asyncio.Future[ResponseHead] = loop.create_future()
        self.complete_body: asyncio.Future[bytes] = loop.create_future()
        self.flushed: asyncio.Future[None] | None = None
        self.received_head = bytearray()  # of the response, until its status is known
        self.received_body = bytearray()
        self.piece_count = 0
        self.request_count = 0  # this one included
        self.endpoint_kind = ""  # of the endpoint that it leads to

    @classmethod
    async def open(cls, address: Address, max_body_bytes: int) -> EndpointConnection:
        """Connect. Raises ConnectionLostError."""
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: cls(max_body_bytes), *address)
            return connection
        except OSError as error:
            raise ConnectionLostError(f"cannot connect to {address[0]}:{address[1]}: {error}") from error

    @property
    def is_usable(self) -> bool:
        """Whether it is open and between requests, and nothing has arrived that was not requested."""
        return self.transport is not None and not self.transport.is_closing() and not self.is_busy

    @property
    def has_no_unread_input(self) -> bool:
        """Whether nothing lies unread on it.

        Guards the next request against a second response, or an end that is not yet noticed.
        """
        return not is_socket_ready(self.transport, select.POLLIN | select.POLLRDHUP)

    def close(self) -> None:
        """Close it at once; what is unsent is lost."""
        if self.transport is not None:
            self.transport.abort()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes, withhold_s: float = 0
    ) -> None:
        """Write a request, and return once its last byte has left.

        With `withhold_s` only what precedes that byte is written, and this returns after so many seconds:
        `send_withheld_byte` completes the request. Raises ConnectionLostError if the last byte has not left.
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
                raise ConnectionLostError("the connection broke before the request was whole")
        else:
            await self._write(self.transport, data, is_last=True)

    def _start_request(self, method: str) -> None:
        loop = asyncio.get_running_loop()
        self.is_busy = True
        self.piece_count = 0
        self.request_count += 1
        self.status = loop.create_future()
        self.head = loop.create_future()
        self.complete_body = loop.create_future()
        self.received_head.clear()
        self.received_body.clear()
        self.parser = None
        self.method = method
        self.is_request_sent = False

    async def send_withheld_byte(self) -> None:
        """Write what `send` withheld. Raises ConnectionLostError if that can't be done."""
        if self.transport is None or self.status.done():
            raise ConnectionLostError("the connection broke before the request was whole")
        last_byte = self.withheld_byte
        self.withheld_byte = b""
        if last_byte:
            await self._write(self.transport, last_byte, is_last=True)

    async def _write(self, transport: asyncio.Transport, data: bytes, is_last: bool) -> None:
        """Write and flush.

        `is_request_sent` is set where the byte leaves, not where this task resumes: the task may be cancelled
        in between.
        """
        self.is_sending_last_byte = is_last
        transport.write(data)
        # A first write that fails closes the transport at once, and has not sent the complete request.
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
        """Note the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written

    def pause_writing(self) -> None:
        """Nothing to do: `_write` waits until the buffer is empty."""

    def resume_writing(self) -> None:
        """All that was written has left."""
        self.is_request_sent = self.is_request_sent or self.is_sending_last_byte
        if self.flushed is not None and not self.flushed.done():
            self.flushed.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Handle bytes of a response; the connection ends if none is due."""
        if not self.is_busy:
            # Guards the next request: what was not requested would be taken for its response.
            self.close()
            return
        if self.withheld_byte:
            self._fail("something came before the request was whole")
            return
        self._feed(data)

    def eof_received(self) -> None:
        """Complete a response that ends with the connection; fail one that is cut off."""
        if self.is_busy:
            self._feed(b"")
        self._fail("the connection ended")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is still awaited."""
        self._fail("the connection broke" if exc else "the connection was closed")

    # -- responses ---------------------------------------------------------------------------------------

    def _read_status(self, data: bytes) -> None:
        """Read the status apart from h11, which rejects a malformed head with a valid first line."""
        self.received_head += data[:MAX_HEAD_BYTES]
        while line := STATUS_LINE.match(self.received_head):
            status = int(line[1])
            if status >= 200:
                self.status.set_result(status)
                self.received_head.clear()
                return
            end = HEAD_END.search(self.received_head, line.end() - 2)
            if end is None:
                return
            del self.received_head[: end.end()]

    def _feed(self, data: bytes) -> None:
        if self.parser is None:
            plain = parse_plain_response(data)
            if plain is not None:
                self._complete_plain_response(*plain)
                return
            self.parser = self._response_parser()
        if not self.status.done():
            self._read_status(data)
        try:
            self.parser.receive_data(data)
            self._handle_events(self.parser)
        except h11.RemoteProtocolError as error:
            self._fail(f"not an HTTP answer: {error}")

    def _response_parser(self) -> h11.Connection:
        """An h11 connection that waits for the response to the latest request."""
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        parser.send(h11.Request(method=self.method, target="/", headers=PLACEHOLDER_HEADERS))
        parser.send(h11.EndOfMessage())
        return parser

    def _handle_events(self, parser: h11.Connection) -> None:
        """Handle all events that are complete."""
        while True:
            event = parser.next_event()
            self.piece_count += 1
            if self.piece_count > MAX_PIECES + len(self.received_body) // BYTES_PER_EXTRA_PIECE:
                self._fail("the answer has too many pieces")
                return
            match event:
                case h11.Response() if not self.head.done():
                    if not self.status.done():
                        self.status.set_result(event.status_code)
                    self.head.set_result(ResponseHead(event.status_code, headers_by_name(event.headers)))
                case h11.Data(data=chunk):
                    self.received_body += chunk
                    if len(self.received_body) > self.max_body_bytes:
                        self._fail_oversized()
                        return
                case h11.EndOfMessage():
                    self._complete_response()
                    return
                case h11.InformationalResponse():
                    pass
                case _:
                    return

    def _fail_oversized(self) -> None:
        received = f"over {len(self.received_body)}"
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

    def _fail(self, reason: str) -> None:
        """Close the connection and fail whatever is still awaited."""
        self.close()
        for future in (self.flushed, self.status, self.head, self.complete_body):
            if future is not None and not future.done():
                future.set_exception(ConnectionLostError(reason))
                future.exception()  # marks it as retrieved: nobody may be waiting for it
