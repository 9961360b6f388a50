"""Encoding of requests to endpoints and the agent, and parsing of their responses.

Responses in the most common form are parsed here with one regular expression; all others by h11.
`client_messages` is for the opposite direction.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from .errors import ConnectionLostError

Headers = list[tuple[str, str]]

MAX_PLAIN_RESPONSE_BYTES = 2048  # longer responses are rare and left to h11
# A complete response in the most common form. h11 parses everything that this accepts to the same response
# (tests/http/test_plain_messages.py).
PLAIN_RESPONSE = re.compile(
    rb"HTTP/1\.1 ([2-5]\d\d)(?: [ -~]*)?\r\n((?:[A-Za-z0-9-]{1,60}: ?[!-~]*\r\n){1,24})\r\n"
)
CONTENT_LENGTH = re.compile(rb"(?:^|\n)content-length: ?(\d{1,5})\r\n", re.IGNORECASE)
UNUSUAL_FIELDS = (b"transfer-encoding:", b"connection:", b"upgrade:")
BODILESS_STATUSES = (b"204", b"304")
LINE_BREAK = re.compile(r"[\r\n\0]")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]


def parse_plain_response(data: bytes) -> tuple[ResponseHead, bytes] | None:
    """Parse a complete response in the common form without trailing bytes; None if h11 has to parse it.

    Returns the head and the body.
    """
    head = PLAIN_RESPONSE.match(data) if len(data) <= MAX_PLAIN_RESPONSE_BYTES else None
    if head is None:
        return None
    fields = head[2].lower()
    lengths = CONTENT_LENGTH.findall(fields)
    if len(lengths) != 1 or head[1] in BODILESS_STATUSES or any(name in fields for name in UNUSUAL_FIELDS):
        return None
    if len(data) != head.end() + int(lengths[0]):
        return None
    lines = head[2].decode("ascii").split("\r\n")[:-1]
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    return ResponseHead(int(head[1]), headers), data[head.end() :]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Encode a request.

    Raises ConnectionLostError for a line break in a header value, which would start another header.
    """
    lines = [
        f"{method} {target} HTTP/1.1\r\n",
        *(f"{name}: {value}\r\n" for name, value in headers),
        f"Content-Length: {len(body)}\r\n\r\n",
    ]
    if any(LINE_BREAK.search(value) for _, value in headers):
        raise ConnectionLostError("a header value contains a line break")
    return "".join(lines).encode("latin-1") + body
