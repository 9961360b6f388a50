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

from .connection import named, polled
from .listener import Listener

log = logging.getLogger(__name__)

BODY_BYTES = 64 * 1024
HEAD_BYTES = 16 * 1024
SILENT_S = 2.2  # a new connection may say nothing for so long: one on which no request is open is owed 2 s
FIRST_S = 2.5  # from connecting until its first request is whole; an answer or an end is due within 3 s
REQUEST_S = 2.0  # a later request takes no longer to come; its client gives up after 0.4 s
IDLE_S = 10.0  # a connection is kept so long for its next request, while few stand idle
SPARED_S = 2.05  # so long it is kept also when many do, or others want its place: clients are owed 2 s
HEARD_S = 0.25  # a client's first bytes follow its connection more quickly than this
LINGER_S = 1.0  # after a last answer: closing on unread bytes would reset that answer away
DISCARD_S = 4.0  # the same for a body that is far too long
DISCARD_BYTES = 64 << 20  # and how much of it is read and thrown away
WAIT_S = 5.0  # an answer waits for a sync no longer; its client gives up after 0.4 s
PENALTY_S = 0.1  # what follows a request that made no sense is read so much later
SWEEP_S = 0.1  # how often it is looked whose time is up
# A message whose head says one of these twice has two meanings: ours and that of whoever reads it next.
ONCE = frozenset(
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
SENSELESS = frozenset((400, 404, 405))
# A request that is written in the ordinary way and has come whole. What this takes, h11 takes in the same way
# (tests/test_plain.py); all else goes to h11, which is strict.
REQUEST = re.compile(
    rb"(GET|POST) (/[!-~]{0,500}) HTTP/1\.1\r\n"
    rb"((?:[A-Za-z0-9-]{1,60}: ?[!-~](?:[ !-~]{0,400}[!-~])?\r\n){1,40})\r\n"
)
PLAIN = frozenset(
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
class Request:
    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytearray = field(default_factory=bytearray)


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str = ""
    accepted: str | None = None  # id of the message that this answer says is taken on
    retry_s: float = 0.0  # when the client may come again; 0 = not told
    when: asyncio.Future[None] | None = None  # not before; cancelled: never


def plain_request(data: bytes) -> Request | None:
    """An ordinary request with nothing behind it; None: h11 has to look at it."""
    head = REQUEST.match(data)
    if head is None or head.end() > HEAD_BYTES // 2:
        return None
    headers: dict[str, str] = {}
    for line in head[3].decode("ascii").split("\r\n")[:-1]:
        name, _, value = line.partition(":")
        name = name.lower()
        if name in headers or name not in PLAIN:
            return None
        headers[name] = value.strip()
    length = headers.get("content-length", "0")
    if "host" not in headers or not length.isdecimal() or len(length) > 5 or int(length) > BODY_BYTES:
        return None
    if len(data) != head.end() + int(length):
        return None
    return Request(head[1].decode("ascii"), head[2].decode("ascii"), headers, bytearray(data[head.end() :]))


def plain_answer(reply: Reply, last: bool) -> bytes:
    """An answer's bytes, as h11 would write them."""
    text = (reply.text + "\n" if reply.text else "").encode()
    wait = f"Retry-After: {reply.retry_s:.3f}\r\n" if reply.retry_s > 0 else ""
    close = "Connection: close\r\n" if last else ""
    return (
        f"HTTP/1.1 {reply.status} \r\nContent-Length: {len(text)}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\n{wait}{close}\r\n"
    ).encode("ascii") + text


Handler = Callable[[Request], Reply]
Withdraw = Callable[[str], bool]


def fault_of(head: h11.Request) -> Reply | None:
    """What h11 lets through and this relay does not."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # Guards against a second request hidden in the body: which length holds is a matter of opinion.
        return Reply(400, "Content-Length and Transfer-Encoding exclude each other")
    for name in set(names):
        if names.count(name) > 1 and name.decode("latin-1") in ONCE:
            return Reply(400, f"{name.decode('latin-1')}: given more than once")
    length = dict(head.headers).get(b"content-length", b"0")
    if int(length) > BODY_BYTES:
        return Reply(413, f"a body holds {BODY_BYTES} bytes at most")
    return None


class ClientConnection(asyncio.Protocol):
    def __init__(self, server: ClientListener) -> None:
        self.server = server
        self.http: h11.Connection | None = None  # made with the first byte: many never say anything
        self.transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self.unsent: list[str] = []  # accepted, but the answer is not fully written
        self.first_by = self.heard_by = self.deadline = 0.0
        self.fresh = True  # no request has begun yet
        self.useful = False  # a message has come on it
        self.last = False  # no request after this one
        self.over = False  # answered for the last time: what still comes is thrown away
        self.discarded = 0

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        now = asyncio.get_running_loop().time()
        self.deadline, self.first_by, self.heard_by = now + SILENT_S, now + FIRST_S, now + HEARD_S
        self.server.admit(self)
        if self.server.stopped:
            self.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.forget(self)
        # Guards against work for a client that never heard of it: it hands the message in again.
        for ident in self.unsent:
            self.server.withdraw(ident)

    def pause_writing(self) -> None:
        if self.transport is not None and not self.over:
            self.transport.pause_reading()  # a client that reads no answers gets no more

    def resume_writing(self) -> None:
        self.unsent.clear()
        self._read_on()

    def data_received(self, data: bytes) -> None:
        if self.over:
            self.discarded += len(data)
            if self.discarded > DISCARD_BYTES:
                self.abort()
            return
        self._feed(data)

    def eof_received(self) -> bool | None:
        if not self.over:
            self._feed(b"")
        return None

    # -- requests ----------------------------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """No request has begun."""
        return self.request is None and (self.http is None or not self.http.trailing_data[0])

    @property
    def unheard(self) -> bool:
        """Idle, and no bytes wait to be read: closing it crosses no request that has come."""
        return self.idle and not polled(self.transport, select.POLLIN)

    def finish(self) -> None:
        """Ends it now if no request has begun, else with the answer to that one. One that has just come has
        the time for its first bytes."""
        self.last = True
        if self.over or not self.idle:
            return
        if self.fresh:
            self.deadline = min(self.deadline, self.heard_by)
        elif self.unheard:
            self._end_sending()

    def overdue(self) -> None:
        if self.over:
            self.abort()
        elif self.unheard:
            self._end_sending()
        elif self.unsent and self.request is not None:
            self._end(self._taken_back())
        elif not self.idle:
            self._end(Reply(408, "the request did not come in time"))

    def _taken_back(self) -> Reply:
        """For one that was taken on, but must not be told so: it is dropped before its client hears the
        end."""
        taken, self.unsent = self.unsent, []
        cancelled = [self.server.withdraw(ident) for ident in taken]  # each of them, whatever the first says
        if all(cancelled):
            return Reply(503, "the message could not be kept")
        return Reply(500, "the message could not be kept")  # a call was out: it may run

    def _feed(self, data: bytes) -> None:
        if self.idle and data:
            now = asyncio.get_running_loop().time()
            self.deadline = self.first_by if self.fresh else now + REQUEST_S
            self.fresh = False
            self.server.begun(self)
        try:
            if self.http is None:
                if (request := plain_request(data)) is not None:
                    self.request = request
                    self._whole(None, request)
                    return
                self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES)
            self.http.receive_data(data)
            while not self.over and self._next(self.http):
                pass
        except h11.RemoteProtocolError as error:
            self._end(Reply(error.error_status_hint, str(error)))
        except Exception:
            # A fault of ours must not cost the client its answer.
            log.exception("a request failed")
            self._end(Reply(500, "internal error"))

    def _next(self, http: h11.Connection) -> bool:
        """Handles one h11 event; False if there is nothing more to handle now."""
        match http.next_event():
            case h11.Request() as head:
                if (fault := fault_of(head)) is not None:
                    self._end(fault)
                    return False
                self.request = Request(
                    head.method.decode("ascii"), head.target.decode("latin-1"), named(head.headers)
                )
                if http.they_are_waiting_for_100_continue:
                    self._send(h11.InformationalResponse(status_code=100, headers=[]))
            case h11.Data(data=chunk) if self.request is not None:
                if len(self.request.body) + len(chunk) > BODY_BYTES:
                    self._end(Reply(413, f"a body holds {BODY_BYTES} bytes at most"))
                    return False
                self.request.body += chunk
            case h11.EndOfMessage() if self.request is not None:
                self._whole(http, self.request)
                return False
            case h11.ConnectionClosed():
                self._close()
                return False
            case _:
                return False
        return True

    def _whole(self, http: h11.Connection | None, request: Request) -> None:
        if http is not None and http.trailing_data[0].strip(b"\r\n"):
            # Guards the loop against requests by the hundred, and against a body longer than it says: a
            # client sends one at a time. It is turned away before its first message is taken on.
            self._end(Reply(400, "one request at a time on a connection, and no more than its length"))
            return
        reply = self._handled(request)
        if reply.when is None or reply.when.done():
            self._reply(http, reply)
            return
        if reply.accepted is not None:
            self.unsent.append(reply.accepted)  # if the client goes away meanwhile, it has not heard of it
        if self.transport is not None:
            self.transport.pause_reading()
        self.deadline = asyncio.get_running_loop().time() + WAIT_S
        reply.when.add_done_callback(lambda when: self._late(http, reply, when))

    def _late(self, http: h11.Connection | None, reply: Reply, when: asyncio.Future[None]) -> None:
        """What its answer had to wait for has come."""
        if self.transport is None or self.transport.is_closing() or self.over or when.cancelled():
            return  # the connection's end has withdrawn it, or does
        if polled(self.transport, select.POLLRDHUP):
            self._end(self._taken_back())  # it has stopped waiting, unnoticed while nothing was read
            return
        self.unsent.clear()
        self._reply(http, reply)
        self._read_on()

    def _reply(self, http: h11.Connection | None, reply: Reply) -> None:
        # Guards clients that may hold only so many connections against those that ask once and stay.
        self.last = self.last or self.server.crowded
        self._answer(reply)
        self.request = None
        if self.last or http is not None and http.our_state is not h11.DONE:
            self._end_sending()
            return
        if http is not None:
            http.start_next_cycle()
            if not http.trailing_data[0]:
                self.http = None  # the next request may be an ordinary one
        self.useful = self.useful or reply.status == 202
        self.deadline = asyncio.get_running_loop().time() + IDLE_S
        self.server.rests(self)
        if reply.status in SENSELESS and self.transport is not None:
            # Guards the others' share of the processor against one that asks the same again at once.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(PENALTY_S, self._read_on)

    def _handled(self, request: Request) -> Reply:
        if polled(self.transport, select.POLLRDHUP):
            # Guards against a second copy: it has stopped waiting and hands the message in again. One that
            # merely ended its sending still reads this, and that coming again is harmless.
            return Reply(503, "the client has hung up")
        return self.server.handle(request)

    # -- answers -----------------------------------------------------------------------------------------

    def _end(self, reply: Reply) -> None:
        """The last answer, as far as one can still be given."""
        self.last = True
        if self.http is None or self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._answer(reply)
        self._end_sending(DISCARD_S if reply.status == 413 else LINGER_S)

    def _end_sending(self, linger_s: float = LINGER_S) -> None:
        """The one way to end a connection: no answer follows, and what still comes is read and dropped."""
        self.last = self.over = True
        self.request = None
        self.deadline = asyncio.get_running_loop().time() + linger_s
        self.server.lingers(self)
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # it has gone
                self.transport.write_eof()
            self.transport.resume_reading()

    def _answer(self, reply: Reply) -> None:
        if self.http is None:
            if self.transport is not None:
                self.transport.write(plain_answer(reply, self.last))
        else:
            text = (reply.text + "\n" if reply.text else "").encode()
            headers = [("Content-Length", str(len(text))), ("Content-Type", "text/plain; charset=utf-8")]
            if reply.retry_s > 0:
                headers.append(("Retry-After", f"{reply.retry_s:.3f}"))
            if self.last:
                headers.append(("Connection", "close"))
            self._send(
                h11.Response(status_code=reply.status, headers=headers),
                h11.Data(data=text),
                h11.EndOfMessage(),
            )
        if reply.accepted is not None:
            self._heard(reply.accepted)

    def _heard(self, ident: str) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            self.server.withdraw(ident)
        elif transport.get_write_buffer_size():
            self.unsent.append(ident)

    def _send(self, *events: h11.Event) -> None:
        if self.transport is not None and self.http is not None:
            self.transport.write(b"".join(self.http.send(event) or b"" for event in events))

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def make_way(self) -> None:
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

    def __init__(self, handle: Handler, withdraw: Withdraw, most: int, roomy: int) -> None:
        self.handle, self.withdraw, self.most = handle, withdraw, most
        self.roomy = roomy  # so many idle connections are few
        self.connections: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # nothing has come on them; oldest first
        self.visiting: dict[ClientConnection, None] = {}  # between requests, none of them a message
        self.resting: dict[ClientConnection, None] = {}  # between messages; longest idle first
        self.lingering: dict[ClientConnection, None] = {}  # answered for the last time
        self.listener = Listener(lambda: ClientConnection(self), self._room)
        self.stopped = False

    def listen(self, host: str, port: int, handed: socket.socket | None = None) -> None:
        """At an address, or on a socket that was handed over."""
        self.listener.listen(host, port, handed)

    async def watch(self) -> None:
        """Ends what takes too long; one look at all costs less than a timer for each."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            self.listener.again()
            now = loop.time()
            for connection in self._due(now):
                try:
                    connection.overdue()
                except Exception:
                    log.exception("a connection could not be ended")
                    connection.abort()

    @property
    def crowded(self) -> bool:
        """So many stand idle that the next ones are not kept: their answers say so."""
        return len(self.visiting) + len(self.resting) >= self.roomy

    def _due(self, now: float) -> set[ClientConnection]:
        due = {each for each in self.connections if each.deadline <= now}
        if self.crowded:
            by = now - SPARED_S + IDLE_S
            due.update(each for each in (*self.visiting, *self.resting) if each.deadline <= by)
        return due

    # -- where each connection stands --------------------------------------------------------------------

    def _room(self) -> bool:
        return len(self.connections) + self.listener.coming < self.most or self._make_room()

    def admit(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        self.silent[connection] = None

    def forget(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self._leave(connection)
        self.listener.again()

    def begun(self, connection: ClientConnection) -> None:
        self._leave(connection)

    def rests(self, connection: ClientConnection) -> None:
        self._leave(connection)
        (self.resting if connection.useful else self.visiting)[connection] = None

    def lingers(self, connection: ClientConnection) -> None:
        self._leave(connection)
        self.lingering[connection] = None

    def _leave(self, connection: ClientConnection) -> None:
        for place in (self.silent, self.visiting, self.resting, self.lingering):
            place.pop(connection, None)

    def _make_room(self) -> bool:
        """Guards the descriptors that calls need, and the way in for messages: ends a connection that has no
        request open. A newcomer says nothing yet either: no victim before its first bytes could come."""
        now = asyncio.get_running_loop().time()
        victims = (
            next(iter(self.lingering), None),
            next((each for each in self.visiting if each.unheard), None),
            self._oldest(self.silent, now - HEARD_S + SILENT_S),
            self._oldest(self.resting, now - SPARED_S + IDLE_S),
        )
        victim = next((each for each in victims if each is not None), None)
        if victim is None:
            return False
        self.forget(victim)
        victim.make_way()
        return True

    @staticmethod
    def _oldest(place: dict[ClientConnection, None], by: float) -> ClientConnection | None:
        """The one that came to it first, if its deadline says that this was long enough ago."""
        first = next(iter(place), None)
        return first if first is not None and first.deadline <= by and first.unheard else None

    @property
    def port(self) -> int:
        return self.listener.port

    def stop(self) -> None:
        """Takes no more connections, and ends each as soon as it has no request to answer."""
        self.stopped = True
        self.listener.close()
        for connection in list(self.connections):
            connection.finish()
