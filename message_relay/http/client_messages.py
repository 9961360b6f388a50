"""Client requests and the responses to them: data classes, parsing and encoding.

Requests in the most common form are parsed here with one regular expression; all others by h11, which is
strict. `endpoint_messages` is for the opposite direction, where the relay is the client: it encodes requests
and parses responses, so the two modules have nothing in common but the form of headers.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field

import h11

from .client_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_RESPONSE_TEXT

# The headers that describe a message.
SUBMISSION_HEADERS = frozenset(
    (
        b"idempotency-key",
        b"x-addressing",
        b"x-customer",
        b"x-expires-in-ms",
        b"x-qos",
        b"x-second-try",
        b"x-trace-id",
    )
)
# Rejected if repeated: the next HTTP implementation to read the message might use the other value.
SINGLE_VALUE_HEADERS = SUBMISSION_HEADERS | {b"host", b"transfer-encoding"}
# A complete request in the most common form. h11 parses everything that this accepts to the same request
# (tests/http/test_plain_messages.py).
PLAIN_REQUEST = re.compile(
    rb"(GET|POST) (/[!-~]{0,500}) HTTP/1\.1\r\n"
    rb"((?:[A-Za-z0-9-]{1,60}: ?[!-~](?:[ !-~]{0,400}[!-~])?\r\n){1,40})\r\n"
)
# Headers that a plain request may have; other headers can change how its bytes are interpreted.
PLAIN_HEADERS = frozenset(
    (
        "accept",
        "accept-encoding",
        "content-length",
        "content-type",
        "host",
        "idempotency-key",
        "user-agent",
        "x-addressing",
        "x-customer",
        "x-expires-in-ms",
        "x-qos",
        "x-second-try",
        "x-trace-id",
    )
)
MAX_LENGTH_DIGITS = 5  # maximum digits of a plain request's Content-Length


@dataclass(slots=True)
class ClientRequest:
    """A client's request. Names in `headers` are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A response to a client, and the condition under which it may be sent.

    `accepted_id` is the id of the message that this response reports as accepted. With `retry_after_s` 0 no
    Retry-After is sent. The response is sent once `durable` is done, and never if it is cancelled.
    """

    status: int
    text: str = ""
    accepted_id: str | None = None
    retry_after_s: float = 0.0
    durable: asyncio.Future[None] | None = None

    @property
    def body(self) -> bytes:
        """The text as one line."""
        return (self.text[:MAX_RESPONSE_TEXT] + "\n" if self.text else "").encode()


@dataclass(frozen=True, slots=True)
class PlainHead:
    """The head of a request in the common form. `request` has no body yet."""

    request: ClientRequest
    body_start: int  # offset in the parsed data
    content_length: int


def parse_plain_head(data: bytes | bytearray) -> PlainHead | None:
    """Parse a complete head in the common form; None if h11 has to parse it."""
    head = PLAIN_REQUEST.match(data)
    if head is None or head.end() > MAX_HEAD_BYTES // 2:
        return None
    headers: dict[str, str] = {}
    for line in head[3].decode("ascii").split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        name = name.lower()
        if name in headers or name not in PLAIN_HEADERS:
            return None
        headers[name] = value.strip()
    if "host" not in headers:
        return None
    length = headers.get("content-length", "0")
    if not length.isdecimal() or len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        return None
    request = ClientRequest(head[1].decode("ascii"), head[2].decode("ascii"), headers)
    return PlainHead(request, head.end(), int(length))


def parse_plain_request(data: bytes) -> ClientRequest | None:
    """Parse a complete request in the common form without trailing bytes; None if it is any other."""
    head = parse_plain_head(data)
    if head is None or len(data) != head.body_start + head.content_length:
        return None
    head.request.body += data[head.body_start :]
    return head.request


def encode_response(response: ClientResponse, closes: bool) -> bytes:
    """Encode a response, byte for byte as h11 does; `closes`: it is the last on its connection."""
    body = response.body
    retry_after = f"Retry-After: {response.retry_after_s:.3f}\r\n" if response.retry_after_s > 0 else ""
    close = "Connection: close\r\n" if closes else ""
    head = (
        f"HTTP/1.1 {response.status} \r\nContent-Length: {len(body)}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\n{retry_after}{close}\r\n"
    )
    return head.encode("ascii") + body


def response_events(response: ClientResponse, closes: bool) -> tuple[h11.Event, ...]:
    """Convert a response to events for the h11 connection that parsed the request."""
    body = response.body
    headers = [("Content-Length", str(len(body))), ("Content-Type", "text/plain; charset=utf-8")]
    if response.retry_after_s > 0:
        headers.append(("Retry-After", f"{response.retry_after_s:.3f}"))
    if closes:
        headers.append(("Connection", "close"))
    head = h11.Response(status_code=response.status, headers=headers)
    return head, h11.Data(data=body), h11.EndOfMessage()


def oversized_response() -> ClientResponse:
    """Return the response to a body that is too long."""
    return ClientResponse(413, f"a body holds {MAX_BODY_BYTES} bytes at most")


def find_head_fault(head: h11.Request) -> ClientResponse | None:
    """Return the rejection of a head that h11 accepts but this relay does not; None if it is acceptable."""
    seen: set[bytes] = set()
    for name, _ in head.headers:
        if name in seen and name in SINGLE_VALUE_HEADERS:
            return ClientResponse(400, f"{name.decode('ascii')}: given more than once")
        seen.add(name)
    if b"transfer-encoding" in seen and b"content-length" in seen:
        # Prevents request smuggling: implementations differ in which of the two they use.
        return ClientResponse(400, "Content-Length and Transfer-Encoding exclude each other")
    length = dict(head.headers).get(b"content-length", b"0")
    if int(length) > MAX_BODY_BYTES:
        return oversized_response()
    return None
