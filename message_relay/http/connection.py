"""One HTTP/1.1 connection as its client: a request at a time, and exactly how far it got."""

from __future__ import annotations

import asyncio
import re
import select
from collections.abc import Iterable
from dataclasses import dataclass

import h11

from ..config import Address

MAX_HEAD_BYTES = 16 * 1024  # an answer's first line and headers, at most
MAX_PIECES = 256  # heads and chunks of one answer, at most: reading endless tiny ones would hold up the loop,
BYTES_PER_EXTRA_PIECE = (
    1024  # and one more for each so many bytes: a long answer comes in as many reads as it takes
)
STATUS_LINE = re.compile(rb"HTTP/\d\.\d (\d{3})(?: [^\r\n]*)?\r?\n")
HEAD_END = re.compile(rb"\r?\n\r?\n")
# An answer that is written in the ordinary way and has come whole. What this takes, h11 takes in the same way
# (tests/test_plain.py); all else goes to h11.
PLAIN_RESPONSE = re.compile(
    rb"HTTP/1\.1 ([2-5]\d\d)(?: [ -~]*)?\r\n((?:[A-Za-z0-9-]{1,60}: ?[!-~]*\r\n){1,24})\r\n"
)
CONTENT_LENGTH = re.compile(rb"(?:^|\n)content-length: ?(\d{1,5})\r\n", re.IGNORECASE)
MAX_PLAIN_RESPONSE_BYTES = 2048  # longer ones are rare
UNUSUAL_FIELDS = (b"transfer-encoding:", b"connection:", b"upgrade:")
LINE_BREAK = re.compile(r"[\r\n\0]")
Headers = list[tuple[str, str]]
PLACEHOLDER_HEADERS = [("Host", "x")]  # h11 only has to know that something was asked


class ConnectionLostError(Exception):
    """The connection cannot be used, or broke, or the other side does not speak HTTP."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    status: int
    headers: dict[str, str]  # names in lower case


def headers_by_name(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """By name in lower case; HTTP headers are Latin-1."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in headers}


def parse_plain_response(data: bytes) -> tuple[int, dict[str, str], bytes] | None:
    """Status, headers and body of an ordinary answer with nothing behind it; None: h11 has to look at it."""
    head = PLAIN_RESPONSE.match(data) if len(data) <= MAX_PLAIN_RESPONSE_BYTES else None
    if head is None:
        return None
    fields = head[2].lower()
    lengths = CONTENT_LENGTH.findall(fields)
    if len(lengths) != 1 or head[1] in (b"204", b"304") or any(name in fields for name in UNUSUAL_FIELDS):
        return None
    if len(data) != head.end() + int(lengths[0]):
        return None
    lines = head[2].decode("ascii").split("\r\n")[:-1]
    pairs = (line.split(":", 1) for line in lines)
    return int(head[1]), {name.lower(): value.strip() for name, value in pairs}, data[head.end() :]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """A request's bytes. LinkLost if a header holds a line break, which would begin another."""
    lines = [
        f"{method} {target} HTTP/1.1\r\n",
        *(f"{name}: {value}\r\n" for name, value in headers),
        f"Content-Length: {len(body)}\r\n\r\n",
    ]
    if any(LINE_BREAK.search(value) for _, value in headers):
        raise ConnectionLostError("a header's value holds a line break")
    return "".join(lines).encode("latin-1") + body


def is_socket_ready(transport: asyncio.BaseTransport | None, events: int) -> bool:
    """Whether the socket says any of these by now, also if the loop has not been told yet; or is closed."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


class EndpointConnection(asyncio.Protocol):
    """Built on a bare protocol: streams hide when the last byte was written, and keep stray answers."""

    def __init__(self, max_body_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        self.parser: h11.Connection | None = None  # only for an answer that is not an ordinary one
        self.method = "GET"
        self.max_body_bytes = max_body_bytes
        self.transport: asyncio.Transport | None = None
        self.idle_since = loop.time()
        self.is_busy = False
        self.withheld_byte = b""  # of a request that is written but for it
        self.is_request_sent = False  # the last byte of the latest request has left: from then on it may run
        self.is_sending_last_byte = False  # what waits in the buffer ends with that byte
        self.status: asyncio.Future[int] = loop.create_future()  # by the first line, whatever comes after it
        self.head: asyncio.Future[ResponseHead] = loop.create_future()
        self.complete_body: asyncio.Future[bytes] = loop.create_future()
        self.flushed: asyncio.Future[None] | None = None
        self.received_head = bytearray()  # of the answer, until its status is known
        self.received_body = bytearray()
        self.piece_count = 0
        self.request_count = 0  # this one included
        self.endpoint_kind = ""  # of the endpoint that it leads to

    @classmethod
    async def open(cls, address: Address, max_body_bytes: int) -> EndpointConnection:
        try:
            loop = asyncio.get_running_loop()
            _, link = await loop.create_connection(lambda: cls(max_body_bytes), *address)
            return link
        except OSError as error:
            raise ConnectionLostError(f"cannot connect to {address[0]}:{address[1]}: {error}") from error

    @property
    def is_usable(self) -> bool:
        """Open, between requests, and nothing has come on it that nobody asked for."""
        return self.transport is not None and not self.transport.is_closing() and not self.is_busy

    @property
    def has_no_unread_input(self) -> bool:
        """Guards the next call against a second answer that lies unread, or an end not yet noticed."""
        return not is_socket_ready(self.transport, select.POLLIN | select.POLLRDHUP)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes, withhold_s: float = 0
    ) -> None:
        """Returns once the last byte is written; LinkLost means that it was not. If it is to be held back,
        only what comes before it is written, and `finish` is still to be called."""
        if not self.is_usable or self.transport is None:
            raise ConnectionLostError("the connection is closed")
        loop = asyncio.get_running_loop()
        self.is_busy, self.piece_count, self.request_count = True, 0, self.request_count + 1
        self.status, self.head, self.complete_body = (
            loop.create_future(),
            loop.create_future(),
            loop.create_future(),
        )
        self.received_head.clear()
        self.received_body.clear()
        self.parser, self.method, self.is_request_sent = None, method, False
        data = encode_request(method, target, headers, body)
        if withhold_s > 0:
            self.withheld_byte = data[-1:]
            await self._write(self.transport, data[:-1], last=False)
            await asyncio.wait([self.status], timeout=withhold_s)
            if self.status.done():
                raise ConnectionLostError("the connection broke before the request was whole")
        else:
            await self._write(self.transport, data, last=True)

    async def send_withheld_byte(self) -> None:
        """Writes what `send` held back."""
        if self.transport is None or self.status.done():
            raise ConnectionLostError("the connection broke before the request was whole")
        last, self.withheld_byte = self.withheld_byte, b""
        if last:
            await self._write(self.transport, last, last=True)

    async def _write(self, transport: asyncio.Transport, data: bytes, last: bool) -> None:
        """`sent` is set where the byte leaves, not where this task is woken: it may be given up between."""
        self.is_sending_last_byte = last
        transport.write(data)
        # A first write that fails closes the transport at once, and has not taken the whole request.
        if transport.is_closing():
            raise ConnectionLostError("the connection broke while the request was written")
        if transport.get_write_buffer_size():
            self.flushed = asyncio.get_running_loop().create_future()
            await self.flushed
        else:
            self.is_request_sent = last

    async def request(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> tuple[ResponseHead, bytes]:
        """One request and its whole answer."""
        await self.send(method, target, headers, body)
        head = await self.head
        return head, await self.complete_body

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written

    def pause_writing(self) -> None:
        pass

    def resume_writing(self) -> None:
        self.is_request_sent = self.is_request_sent or self.is_sending_last_byte
        if self.flushed is not None and not self.flushed.done():
            self.flushed.set_result(None)

    def data_received(self, data: bytes) -> None:
        if not self.is_busy:
            # Guards the next call: what comes unasked would be taken for its answer.
            self.close()
            return
        if self.withheld_byte:
            self._fail("something came before the request was whole")
            return
        self._feed(data)

    def eof_received(self) -> None:
        if self.is_busy:
            self._feed(b"")
        self._fail("the connection ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("the connection broke" if exc else "the connection was closed")

    def _read_status(self, data: bytes) -> None:
        """Apart from h11, which drops a spoilt head whole: its first line may still tell the truth."""
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
            if (plain := parse_plain_response(data)) is not None:
                self._complete_plain_response(*plain)
                return
            self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
            for asked in (
                h11.Request(method=self.method, target="/", headers=PLACEHOLDER_HEADERS),
                h11.EndOfMessage(),
            ):
                self.parser.send(asked)
        if not self.status.done():
            self._read_status(data)
        try:
            self.parser.receive_data(data)
            while True:
                event = self.parser.next_event()
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
                            come = self.head.result().headers.get(
                                "content-length", f"over {len(self.received_body)}"
                            )
                            self._fail(f"the answer is too long: {come} bytes, {self.max_body_bytes} at most")
                            return
                    case h11.EndOfMessage():
                        self._complete_response()
                        return
                    case h11.InformationalResponse():
                        pass
                    case _:
                        return
        except h11.RemoteProtocolError as error:
            self._fail(f"not an HTTP answer: {error}")

    def _complete_plain_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.is_busy, self.idle_since = False, asyncio.get_running_loop().time()
        self.status.set_result(status)
        self.head.set_result(ResponseHead(status, headers))
        self.complete_body.set_result(body)

    def _complete_response(self) -> None:
        http, self.parser = self.parser, None
        if http is not None and http.our_state is h11.DONE and http.their_state is h11.DONE:
            stray = bool(http.trailing_data[0])
            self.is_busy, self.idle_since = stray, asyncio.get_running_loop().time()
            if stray:
                self.close()
        else:
            self.close()
        if not self.complete_body.done():
            self.complete_body.set_result(bytes(self.received_body))

    def _fail(self, reason: str) -> None:
        self.close()
        for future in (self.flushed, self.status, self.head, self.complete_body):
            if future is not None and not future.done():
                future.set_exception(ConnectionLostError(reason))
                future.exception()  # nobody may be waiting for it
