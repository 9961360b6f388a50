"""Clients: reads a message, has it taken on, and answers; never ends a request it has read without one.

Every connection ends in one way (`_end_sending`): a last answer, if one is owed, and the end of our
sending; then what still comes is read and thrown away until the client has ended too, or a bound is
reached. A close over unread bytes would reset the connection, and with it an answer that is on its way.
What is first read after our end is no request: its client sees an end without an answer, and hands it in
elsewhere."""

from __future__ import annotations

import asyncio
import logging
import re
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import h11

from .connection import headers_by_name, is_socket_ready
from .listener import Listener

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
SILENT_TIMEOUT_S = (
    2.2  # a new connection may say nothing for so long: one on which no request is open is owed 2 s
)
FIRST_REQUEST_TIMEOUT_S = (
    2.5  # from connecting until its first request is whole; an answer or an end is due within 3 s
)
REQUEST_TIMEOUT_S = 2.0  # a later request takes no longer to come; its client gives up after 0.4 s
IDLE_TIMEOUT_S = 10.0  # a connection is kept so long for its next request, while few stand idle
MIN_IDLE_S = 2.05  # so long it is kept also when many do, or others want its place: clients are owed 2 s
FIRST_BYTES_S = 0.25  # a client's first bytes follow its connection more quickly than this
LINGER_S = 1.0  # after a last answer: closing on unread bytes would reset that answer away
OVERSIZED_LINGER_S = 4.0  # the same for a body that is far too long
MAX_DISCARDED_BYTES = 64 << 20  # and how much of it is read and thrown away
DURABILITY_TIMEOUT_S = 5.0  # an answer waits for a sync no longer; its client gives up after 0.4 s
PENALTY_S = 0.1  # what follows a request that made no sense is read so much later
SWEEP_INTERVAL_S = 0.1  # how often it is looked whose time is up
# A message whose head says one of these twice has two meanings: ours and that of whoever reads it next.
SINGLE_VALUE_HEADERS = frozenset(
    (
        "host",
        "transfer-encoding",
        "idempotency-key",
        "x-addressing",
        "x-customer",
        "x-expires-in-ms",
        "x-qos",
        "x-second-try",
        "x-trace-id",
    )
)
INVALID_REQUEST_STATUSES = frozenset((400, 404, 405))
# A request that is written in the ordinary way and has come whole. What this takes, h11 takes in the same way
# (tests/test_plain.py); all else goes to h11, which is strict.
PLAIN_REQUEST = re.compile(
    rb"(GET|POST) (/[!-~]{0,500}) HTTP/1\.1\r\n"
    rb"((?:[A-Za-z0-9-]{1,60}: ?[!-~](?:[ !-~]{0,400}[!-~])?\r\n){1,40})\r\n"
)
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
)  # what an ordinary one may say; others can change what its bytes mean


@dataclass(slots=True)
class ClientRequest:
    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True, slots=True)
class ClientResponse:
    status: int
    text: str = ""
    accepted_id: str | None = None  # id of the message that this answer says is taken on
    retry_after_s: float = 0.0  # when the client may come again; 0 = not told
    durable: asyncio.Future[None] | None = None  # not before; cancelled: never


def parse_plain_request(data: bytes) -> ClientRequest | None:
    """An ordinary request with nothing behind it; None: h11 has to look at it."""
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
    length = headers.get("content-length", "0")
    if "host" not in headers or not length.isdecimal() or len(length) > 5 or int(length) > MAX_BODY_BYTES:
        return None
    if len(data) != head.end() + int(length):
        return None
    return ClientRequest(
        head[1].decode("ascii"), head[2].decode("ascii"), headers, bytearray(data[head.end() :])
    )


def encode_response(response: ClientResponse, closes: bool) -> bytes:
    """An answer's bytes, as h11 would write them."""
    text = (response.text + "\n" if response.text else "").encode()
    wait = f"Retry-After: {response.retry_after_s:.3f}\r\n" if response.retry_after_s > 0 else ""
    close = "Connection: close\r\n" if closes else ""
    return (
        f"HTTP/1.1 {response.status} \r\nContent-Length: {len(text)}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\n{wait}{close}\r\n"
    ).encode("ascii") + text


RequestHandler = Callable[[ClientRequest], ClientResponse]
CancelMessage = Callable[[str], bool]


def find_head_fault(head: h11.Request) -> ClientResponse | None:
    """What h11 lets through and this relay does not."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Guards against a second request hidden in the body: which length holds is a matter of opinion.
        return ClientResponse(400, "Content-Length and Transfer-Encoding exclude each other")
    for name in set(names):
        if names.count(name) > 1 and name.decode("latin-1") in SINGLE_VALUE_HEADERS:
            return ClientResponse(400, f"{name.decode('latin-1')}: given more than once")
    length = dict(head.headers).get(b"content-length", b"0")
    if int(length) > MAX_BODY_BYTES:
        return ClientResponse(413, f"a body holds {MAX_BODY_BYTES} bytes at most")
    return None


class ClientConnection(asyncio.Protocol):
    def __init__(self, server: ClientListener) -> None:
        self.server = server
        self.parser: h11.Connection | None = None  # made with the first byte: many never say anything
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        self.unsent_ids: list[str] = []  # accepted, but the answer is not fully written
        self.first_request_deadline = self.first_bytes_deadline = self.deadline = 0.0
        self.is_new = True  # no request has begun yet
        self.has_submitted = False  # a message has come on it
        self.closes_after_response = False  # no request after this one
        self.is_lingering = False  # answered for the last time: what still comes is thrown away
        self.discarded_bytes = 0

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        now = asyncio.get_running_loop().time()
        self.deadline, self.first_request_deadline, self.first_bytes_deadline = (
            now + SILENT_TIMEOUT_S,
            now + FIRST_REQUEST_TIMEOUT_S,
            now + FIRST_BYTES_S,
        )
        self.server.add(self)
        if self.server.is_stopped:
            self.drain()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.remove(self)
        # Guards against work for a client that never heard of it: it hands the message in again.
        for ident in self.unsent_ids:
            self.server.cancel(ident)

    def pause_writing(self) -> None:
        if self.transport is not None and not self.is_lingering:
            self.transport.pause_reading()  # a client that reads no answers gets no more

    def resume_writing(self) -> None:
        self.unsent_ids.clear()
        self._resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.is_lingering:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        self._feed(data)

    def eof_received(self) -> bool | None:
        if not self.is_lingering:
            self._feed(b"")
        return None

    # -- requests ----------------------------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """No request has begun."""
        return self.request is None and (self.parser is None or not self.parser.trailing_data[0])

    @property
    def is_idle_and_unread(self) -> bool:
        """Idle, and no bytes wait to be read: closing it crosses no request that has come."""
        return self.is_idle and not is_socket_ready(self.transport, select.POLLIN)

    def drain(self) -> None:
        """Ends it now if no request has begun, else with the answer to that one. One that has just come has
        the time for its first bytes."""
        self.closes_after_response = True
        if self.is_lingering or not self.is_idle:
            return
        if self.is_new:
            self.deadline = min(self.deadline, self.first_bytes_deadline)
        elif self.is_idle_and_unread:
            self._start_lingering()

    def on_deadline(self) -> None:
        if self.is_lingering:
            self.abort()
        elif self.is_idle_and_unread:
            self._start_lingering()
        elif self.unsent_ids and self.request is not None:
            self._respond_and_end(self._cancel_unsent())
        elif not self.is_idle:
            self._respond_and_end(ClientResponse(408, "the request did not come in time"))

    def _cancel_unsent(self) -> ClientResponse:
        """For one that was taken on, but must not be told so: it is dropped before its client hears the
        end."""
        taken, self.unsent_ids = self.unsent_ids, []
        cancelled = [self.server.cancel(ident) for ident in taken]  # each of them, whatever the first says
        if all(cancelled):
            return ClientResponse(503, "the message could not be kept")
        return ClientResponse(500, "the message could not be kept")  # a call was out: it may run

    def _feed(self, data: bytes) -> None:
        if self.is_idle and data:
            now = asyncio.get_running_loop().time()
            self.deadline = self.first_request_deadline if self.is_new else now + REQUEST_TIMEOUT_S
            self.is_new = False
            self.server.mark_active(self)
        try:
            if self.parser is None:
                if (request := parse_plain_request(data)) is not None:
                    self.request = request
                    self._on_request_complete(None, request)
                    return
                self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
            self.parser.receive_data(data)
            while not self.is_lingering and self._handle_next_event(self.parser):
                pass
        except h11.RemoteProtocolError as error:
            self._respond_and_end(ClientResponse(error.error_status_hint, str(error)))
        except Exception:
            # A fault of ours must not cost the client its answer.
            log.exception("a request failed")
            self._respond_and_end(ClientResponse(500, "internal error"))

    def _handle_next_event(self, http: h11.Connection) -> bool:
        """Handles one h11 event; False if there is nothing more to handle now."""
        match http.next_event():
            case h11.Request() as head:
                if (fault := find_head_fault(head)) is not None:
                    self._respond_and_end(fault)
                    return False
                self.request = ClientRequest(
                    head.method.decode("ascii"), head.target.decode("latin-1"), headers_by_name(head.headers)
                )
                if http.they_are_waiting_for_100_continue:
                    self._write_events(h11.InformationalResponse(status_code=100, headers=[]))
            case h11.Data(data=chunk) if self.request is not None:
                if len(self.request.body) + len(chunk) > MAX_BODY_BYTES:
                    self._respond_and_end(ClientResponse(413, f"a body holds {MAX_BODY_BYTES} bytes at most"))
                    return False
                self.request.body += chunk
            case h11.EndOfMessage() if self.request is not None:
                self._on_request_complete(http, self.request)
                return False
            case h11.ConnectionClosed():
                self._close()
                return False
            case _:
                return False
        return True

    def _on_request_complete(self, http: h11.Connection | None, request: ClientRequest) -> None:
        if http is not None and http.trailing_data[0].strip(b"\r\n"):
            # Guards the loop against requests by the hundred, and against a body longer than it says: a
            # client sends one at a time. It is turned away before its first message is taken on.
            self._respond_and_end(
                ClientResponse(400, "one request at a time on a connection, and no more than its length")
            )
            return
        reply = self._handle(request)
        if reply.durable is None or reply.durable.done():
            self._respond(http, reply)
            return
        if reply.accepted_id is not None:
            self.unsent_ids.append(
                reply.accepted_id
            )  # if the client goes away meanwhile, it has not heard of it
        if self.transport is not None:
            self.transport.pause_reading()
        self.deadline = asyncio.get_running_loop().time() + DURABILITY_TIMEOUT_S
        reply.durable.add_done_callback(lambda when: self._on_durable(http, reply, when))

    def _on_durable(
        self, http: h11.Connection | None, reply: ClientResponse, when: asyncio.Future[None]
    ) -> None:
        """What its answer had to wait for has come."""
        if self.transport is None or self.transport.is_closing() or self.is_lingering or when.cancelled():
            return  # the connection's end has withdrawn it, or does
        if is_socket_ready(self.transport, select.POLLRDHUP):
            self._respond_and_end(
                self._cancel_unsent()
            )  # it has stopped waiting, unnoticed while nothing was read
            return
        self.unsent_ids.clear()
        self._respond(http, reply)
        self._resume_reading()

    def _respond(self, http: h11.Connection | None, reply: ClientResponse) -> None:
        # Guards clients that may hold only so many connections against those that ask once and stay.
        self.closes_after_response = self.closes_after_response or self.server.is_crowded
        self._write_response(reply)
        self.request = None
        if self.closes_after_response or http is not None and http.our_state is not h11.DONE:
            self._start_lingering()
            return
        if http is not None:
            http.start_next_cycle()
            if not http.trailing_data[0]:
                self.parser = None  # the next request may be an ordinary one
        self.has_submitted = self.has_submitted or reply.status == 202
        self.deadline = asyncio.get_running_loop().time() + IDLE_TIMEOUT_S
        self.server.mark_idle(self)
        if reply.status in INVALID_REQUEST_STATUSES and self.transport is not None:
            # Guards the others' share of the processor against one that asks the same again at once.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(PENALTY_S, self._resume_reading)

    def _handle(self, request: ClientRequest) -> ClientResponse:
        if is_socket_ready(self.transport, select.POLLRDHUP):
            # Guards against a second copy: it has stopped waiting and hands the message in again. One that
            # merely ended its sending still reads this, and that coming again is harmless.
            return ClientResponse(503, "the client has hung up")
        return self.server.handle(request)

    # -- answers -----------------------------------------------------------------------------------------

    def _respond_and_end(self, reply: ClientResponse) -> None:
        """The last answer, as far as one can still be given."""
        self.closes_after_response = True
        if self.parser is None or self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write_response(reply)
        self._start_lingering(OVERSIZED_LINGER_S if reply.status == 413 else LINGER_S)

    def _start_lingering(self, linger_s: float = LINGER_S) -> None:
        """The one way to end a connection: no answer follows, and what still comes is read and dropped."""
        self.closes_after_response = self.is_lingering = True
        self.request = None
        self.deadline = asyncio.get_running_loop().time() + linger_s
        self.server.mark_lingering(self)
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # it has gone
                self.transport.write_eof()
            self.transport.resume_reading()

    def _write_response(self, reply: ClientResponse) -> None:
        if self.parser is None:
            if self.transport is not None:
                self.transport.write(encode_response(reply, self.closes_after_response))
        else:
            text = (reply.text + "\n" if reply.text else "").encode()
            headers = [("Content-Length", str(len(text))), ("Content-Type", "text/plain; charset=utf-8")]
            if reply.retry_after_s > 0:
                headers.append(("Retry-After", f"{reply.retry_after_s:.3f}"))
            if self.closes_after_response:
                headers.append(("Connection", "close"))
            self._write_events(
                h11.Response(status_code=reply.status, headers=headers),
                h11.Data(data=text),
                h11.EndOfMessage(),
            )
        if reply.accepted_id is not None:
            self._track_unsent(reply.accepted_id)

    def _track_unsent(self, ident: str) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            self.server.cancel(ident)
        elif transport.get_write_buffer_size():
            self.unsent_ids.append(ident)

    def _write_events(self, *events: h11.Event) -> None:
        if self.transport is not None and self.parser is not None:
            self.transport.write(b"".join(self.parser.send(event) or b"" for event in events))

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def evict(self) -> None:
        """Frees its descriptor now: nothing was unread, or our end of sending has gone out behind the
        answer."""
        self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class ClientListener:
    """All connections of clients, `most` at once, and which of them makes room for another."""

    def __init__(
        self, handle: RequestHandler, cancel: CancelMessage, max_connections: int, crowding_threshold: int
    ) -> None:
        self.handle, self.cancel, self.max_connections = handle, cancel, max_connections
        self.crowding_threshold = crowding_threshold  # so many idle connections are few
        self.connections: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # nothing has come on them; oldest first
        self.idle_visitors: dict[ClientConnection, None] = {}  # between requests, none of them a message
        self.idle_submitters: dict[ClientConnection, None] = {}  # between messages; longest idle first
        self.lingering: dict[ClientConnection, None] = {}  # answered for the last time
        self.listener = Listener(lambda: ClientConnection(self), self._has_capacity)
        self.is_stopped = False

    def listen(self, host: str, port: int, inherited_socket: socket.socket | None = None) -> None:
        """At an address, or on a socket that was handed over."""
        self.listener.listen(host, port, inherited_socket)

    async def watch(self) -> None:
        """Ends what takes too long; one look at all costs less than a timer for each."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.listener.resume()
            now = loop.time()
            for connection in self._overdue(now):
                try:
                    connection.on_deadline()
                except Exception:
                    log.exception("a connection could not be ended")
                    connection.abort()

    @property
    def is_crowded(self) -> bool:
        """So many stand idle that the next ones are not kept: their answers say so."""
        return len(self.idle_visitors) + len(self.idle_submitters) >= self.crowding_threshold

    def _overdue(self, now: float) -> set[ClientConnection]:
        due = {each for each in self.connections if each.deadline <= now}
        if self.is_crowded:
            by = now - MIN_IDLE_S + IDLE_TIMEOUT_S
            due.update(each for each in (*self.idle_visitors, *self.idle_submitters) if each.deadline <= by)
        return due

    # -- where each connection stands --------------------------------------------------------------------

    def _has_capacity(self) -> bool:
        return (
            len(self.connections) + self.listener.starting_count < self.max_connections or self._evict_one()
        )

    def add(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        self.silent[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self._remove_from_groups(connection)
        self.listener.resume()

    def mark_active(self, connection: ClientConnection) -> None:
        self._remove_from_groups(connection)

    def mark_idle(self, connection: ClientConnection) -> None:
        self._remove_from_groups(connection)
        (self.idle_submitters if connection.has_submitted else self.idle_visitors)[connection] = None

    def mark_lingering(self, connection: ClientConnection) -> None:
        self._remove_from_groups(connection)
        self.lingering[connection] = None

    def _remove_from_groups(self, connection: ClientConnection) -> None:
        for place in (self.silent, self.idle_visitors, self.idle_submitters, self.lingering):
            place.pop(connection, None)

    def _evict_one(self) -> bool:
        """Guards the descriptors that calls need, and the way in for messages: ends a connection that has no
        request open. A newcomer says nothing yet either: no victim before its first bytes could come."""
        now = asyncio.get_running_loop().time()
        victims = (
            next(iter(self.lingering), None),
            next((each for each in self.idle_visitors if each.is_idle_and_unread), None),
            self._oldest_before(self.silent, now - FIRST_BYTES_S + SILENT_TIMEOUT_S),
            self._oldest_before(self.idle_submitters, now - MIN_IDLE_S + IDLE_TIMEOUT_S),
        )
        victim = next((each for each in victims if each is not None), None)
        if victim is None:
            return False
        self.remove(victim)
        victim.evict()
        return True

    @staticmethod
    def _oldest_before(place: dict[ClientConnection, None], by: float) -> ClientConnection | None:
        """The one that came to it first, if its deadline says that this was long enough ago."""
        first = next(iter(place), None)
        return first if first is not None and first.deadline <= by and first.is_idle_and_unread else None

    @property
    def port(self) -> int:
        return self.listener.port

    def stop(self) -> None:
        """Takes no more connections, and ends each as soon as it has no request to answer."""
        self.is_stopped = True
        self.listener.close()
        for connection in list(self.connections):
            connection.drain()
