"""Clients: reads a message, has it taken on, and answers; never ends a request it has read without one."""

from __future__ import annotations

import asyncio
import logging
import select
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from .link import named

log = logging.getLogger(__name__)

BODY_BYTES = 64 * 1024
HEAD_BYTES = 16 * 1024
REQUEST_S = 10.0  # a request that takes longer to come is answered 408
SPARE = 32  # connections past the most that are served once each; further ones are not taken
IDLE_S = 120.0  # an idle client connection is kept so long


@dataclass(slots=True)
class Request:
    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytearray = field(default_factory=bytearray)
    too_long: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str = ""
    accepted: str | None = None  # id of the message that this answer takes on, if it is new


Handler = Callable[[Request], Reply]
Withdraw = Callable[[str], None]


class ClientConnection(asyncio.Protocol):
    def __init__(self, server: Ingress) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self.unsent: list[str] = []  # accepted, but the answer is not fully written
        self.clock: asyncio.TimerHandle | None = None
        self.last = False  # no request after this one

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        if len(self.server.connections) >= self.server.most + SPARE:
            transport.abort()  # nothing of it has been read: its client asks once more, on another
            return
        self.server.connections.add(self)
        self._time(IDLE_S)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        if self.clock is not None:
            self.clock.cancel()
        # Guards against work for a client that never heard of it: it hands the message in again.
        for ident in self.unsent:
            self.server.withdraw(ident)

    def pause_writing(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()  # a client that reads no answers gets no more

    def resume_writing(self) -> None:
        self.unsent.clear()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self._feed(data)

    def eof_received(self) -> bool | None:
        self._feed(b"")
        return None

    # -- requests ----------------------------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        return self.request is None and not self.http.trailing_data[0]

    def finish(self) -> None:
        """Closes now if no request has begun, else with the answer to that one."""
        self.last = True
        if self.idle:
            self._close()

    def _feed(self, data: bytes) -> None:
        try:
            self.http.receive_data(data)
            while self._next():
                pass
        except h11.RemoteProtocolError as error:
            self.last = True
            if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self._answer(Reply(error.error_status_hint, str(error)))
            self._close()
        except Exception:
            # A fault of ours must not cost the client its answer.
            log.exception("a request failed")
            self.last = True
            if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self._answer(Reply(500, "internal error"))
            self._close()

    def _next(self) -> bool:
        """Handles one h11 event; False if there is nothing more to handle now."""
        match self.http.next_event():
            case h11.Request(method=method, target=target, headers=headers):
                self._time(REQUEST_S)
                self.request = Request(method.decode("ascii"), target.decode("latin-1"), named(headers))
                if self.http.they_are_waiting_for_100_continue:
                    self._send(h11.InformationalResponse(status_code=100, headers=[]))
            case h11.Data(data=chunk) if self.request is not None:
                if len(self.request.body) + len(chunk) > BODY_BYTES:
                    # Read on to its end: closing on unread bytes would reset the answer away.
                    self.request.too_long = True
                    self.request.body.clear()
                else:
                    self.request.body += chunk
            case h11.EndOfMessage() if self.request is not None:
                self._answer(self._handled(self.request))
                self.request = None
                if self.last or self.http.our_state is not h11.DONE:
                    self._close()
                    return False
                self.http.start_next_cycle()
                self._time(IDLE_S)
            case h11.ConnectionClosed():
                self._close()
                return False
            case _:
                return False
        return True

    def _handled(self, request: Request) -> Reply:
        if self._hung_up():
            # Guards against a second copy: it has stopped waiting and hands the message in again. One that
            # merely ended its sending still reads this, and that coming again is harmless.
            return Reply(503, "the client has hung up")
        if request.too_long:
            return Reply(413, f"a body holds {BODY_BYTES} bytes at most")
        return self.server.handle(request)

    def _hung_up(self) -> bool:
        sock = self.transport.get_extra_info("socket") if self.transport else None
        if sock is None or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    # -- answers -----------------------------------------------------------------------------------------

    def _answer(self, reply: Reply) -> None:
        text = (reply.text + "\n" if reply.text else "").encode()
        headers = [("Content-Length", str(len(text))), ("Content-Type", "text/plain; charset=utf-8")]
        if self.last:
            headers.append(("Connection", "close"))
        self._send(h11.Response(status_code=reply.status, headers=headers), h11.Data(data=text),
                   h11.EndOfMessage())
        if reply.accepted is not None:
            self._heard(reply.accepted)

    def _heard(self, ident: str) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            self.server.withdraw(ident)
        elif transport.get_write_buffer_size():
            self.unsent.append(ident)

    def _send(self, *events: h11.Event) -> None:
        if self.transport is not None:
            self.transport.write(b"".join(self.http.send(event) or b"" for event in events))

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def _time(self, seconds: float) -> None:
        if self.clock is not None:
            self.clock.cancel()
        self.clock = asyncio.get_running_loop().call_later(seconds, self._too_long)

    def _too_long(self) -> None:
        self.last = True
        if not self.idle and self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._answer(Reply(408, "the request did not come in time"))
        self._close()


class Ingress:
    def __init__(self, handle: Handler, withdraw: Withdraw, most: int) -> None:
        self.handle, self.withdraw, self.most = handle, withdraw, most
        self.connections: set[ClientConnection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._connection, host, port, backlog=256)

    def _connection(self) -> ClientConnection:
        connection = ClientConnection(self)
        if len(self.connections) >= self.most:
            # Guards the descriptors that calls need: an idle one makes room, else this one serves once.
            idle = next((other for other in self.connections if other.idle), None)
            if idle is not None:
                idle.finish()
            connection.last = idle is None
        return connection

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Takes no more connections, and ends each as soon as it has no request to answer."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.finish()
