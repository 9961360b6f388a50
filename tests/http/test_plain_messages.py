"""The parsers that bypass h11 accept only input that h11 also accepts, and return the same values."""

from __future__ import annotations

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from message_relay.http.client_messages import (
    PLAIN_HEADERS,
    ClientResponse,
    encode_response,
    find_head_fault,
    parse_plain_request,
)
from message_relay.http.connection import PLACEHOLDER_HEADERS
from message_relay.http.endpoint_messages import ResponseHead, encode_request, parse_plain_response
from message_relay.http.errors import ConnectionLostError
from message_relay.http.headers import headers_by_name

NAMES = [
    *sorted(PLAIN_HEADERS),
    "Connection",
    "Transfer-Encoding",
    "Expect",
    "Upgrade",
    "X-Other",
]
ODD_TEXTS = st.sampled_from(
    [
        "",
        " ",
        "\t",
        "\0",
        "\r",
        "\n",
        "\r\n",
        "\r\n ",
        ":",
        "é",
        "chunked",
        "0",
        "+5",
        "5, 5",
        "close",
        "100-continue",
    ]
)
VALUES = st.one_of(st.text("abcXYZ019 -_=;,/.", max_size=12), ODD_TEXTS)
HEADERS = st.lists(
    st.tuples(st.one_of(st.sampled_from(NAMES), ODD_TEXTS), st.sampled_from([":", ": ", " : ", ""]), VALUES),
    max_size=5,
)


def encode_message(
    start: str, headers: list[tuple[str, str, str]], length: str, body: bytes, cut: int
) -> bytes:
    lines = [start, "Host: x", *(f"{n}{colon}{v}" for n, colon, v in headers)]
    lines += [f"Content-Length: {length}"] if length else []
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    return data[: len(data) - cut] if cut else data


@settings(max_examples=600)
@example("POST", "/safe", "HTTP/1.1", [("X-Qos", ": ", "safe")], "5", b"hello", 0)
@example("GET", "/healthz", "HTTP/1.1", [], "", b"", 0)
@given(
    st.sampled_from(["GET", "POST", "post", "PUT", "P\0ST"]),
    st.sampled_from(["/safe", "/a b", "*", "/é", ""]),
    st.sampled_from(["HTTP/1.1"] * 4 + ["HTTP/1.0", "HTTP/2.0", "http/1.1"]),
    HEADERS,
    st.sampled_from(["5"] * 4 + ["", "4", "6", "05", "-5", "+5", "5 ", "99999"]),
    st.sampled_from([b"hello", b"", b"hello!", b"hell"]),
    st.integers(0, 3),
)
def test_plain_requests_are_parsed_as_by_h11(
    method: str,
    target: str,
    version: str,
    headers: list[tuple[str, str, str]],
    length: str,
    body: bytes,
    cut: int,
) -> None:
    data = encode_message(f"{method} {target} {version}", headers, length, body, cut)
    plain = parse_plain_request(data)
    if plain is None:
        return
    http = h11.Connection(h11.SERVER)
    http.receive_data(data)
    head, received_body = http.next_event(), b""
    assert isinstance(head, h11.Request) and find_head_fault(head) is None
    while isinstance(event := http.next_event(), h11.Data):
        received_body += event.data
    assert isinstance(event, h11.EndOfMessage) and not http.trailing_data[0]
    assert not http.they_are_waiting_for_100_continue
    assert (plain.method, plain.target) == (head.method.decode(), head.target.decode())
    assert plain.headers == headers_by_name(head.headers) and plain.body == received_body
    http.send(h11.Response(status_code=202, headers=[("Content-Length", "0")]))
    http.send(h11.EndOfMessage())
    assert http.our_state is h11.DONE  # it may be reused, as after a plain request


def test_usual_request_is_parsed_without_h11() -> None:
    headers = [("X-Trace-Id", ": ", "a"), ("X-Qos", ": ", "safe")]
    data = encode_message("POST /safe HTTP/1.1", headers, "5", b"hello", 0)
    plain = parse_plain_request(data)
    assert plain is not None and plain.headers["x-trace-id"] == "a" and plain.body == b"hello"


@settings(max_examples=600)
@example("HTTP/1.1 200 OK", [("X-RateLimit-Wait-Ms", ": ", "5")], "5", b"hello", 0)
@given(
    st.sampled_from(
        [
            "HTTP/1.1 200 OK",
            "HTTP/1.1 503 X",
            "HTTP/1.1 200",
            "HTTP/1.1 204 X",
            "HTTP/1.1 304 X",
            "HTTP/1.1 100 Continue",
            "HTTP/1.0 200 OK",
            "HTTP/1.1 2000 X",
            "rubbish",
        ]
    ),
    HEADERS,
    st.sampled_from(["5"] * 4 + ["", "4", "6", "05", "-5", "3000000000"]),
    st.sampled_from([b"hello", b"", b"hello!", b"hell"]),
    st.integers(0, 3),
)
def test_plain_responses_are_parsed_as_by_h11(
    start: str, headers: list[tuple[str, str, str]], length: str, body: bytes, cut: int
) -> None:
    data = encode_message(start, headers, length, body, cut)
    plain = parse_plain_response(data)
    if plain is None:
        return
    http = h11.Connection(h11.CLIENT)
    for event_sent in (
        h11.Request(method="POST", target="/", headers=PLACEHOLDER_HEADERS),
        h11.EndOfMessage(),
    ):
        http.send(event_sent)
    http.receive_data(data)
    head, received_body = http.next_event(), b""
    assert isinstance(head, h11.Response)
    while isinstance(event := http.next_event(), h11.Data):
        received_body += event.data
    assert isinstance(event, h11.EndOfMessage) and not http.trailing_data[0] and http.their_state is h11.DONE
    assert plain == (ResponseHead(head.status_code, headers_by_name(head.headers)), received_body)


@pytest.mark.parametrize(
    "reply",
    [
        ClientResponse(202),
        ClientResponse(503, "full", retry_after_s=1.0),
        ClientResponse(400, "X-Qos: no"),
    ],
)
@pytest.mark.parametrize("last", [False, True])
def test_encoded_responses_are_readable_by_h11(reply: ClientResponse, last: bool) -> None:
    http = h11.Connection(h11.CLIENT)
    for event_sent in (
        h11.Request(method="POST", target="/", headers=PLACEHOLDER_HEADERS),
        h11.EndOfMessage(),
    ):
        http.send(event_sent)
    http.receive_data(encode_response(reply, last))
    head, received_body = http.next_event(), b""
    assert isinstance(head, h11.Response) and head.status_code == reply.status
    while isinstance(event := http.next_event(), h11.Data):
        received_body += event.data
    headers = headers_by_name(head.headers)
    assert received_body.decode().strip() == reply.text and isinstance(event, h11.EndOfMessage)
    assert (headers.get("connection") == "close") == last
    assert headers.get("retry-after") == ("1.000" if reply.retry_after_s else None)


def test_header_with_line_break_is_rejected() -> None:
    for value in ("a\r\nX: y", "a\nb", "a\0"):
        with pytest.raises(ConnectionLostError, match="line break"):
            encode_request("POST", "/inbox", [("X-Trace-Id", value)], b"")
