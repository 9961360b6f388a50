"""One connection of a client: reads requests, has their messages accepted, and writes the responses.

A request that was read is always answered. Every connection ends in one way (`_start_lingering`): a last
response, if one is due, and the end of our sending; then whatever still arrives is read and thrown away until
the client has ended its side too, or a limit is reached (a lingering close). A close over unread bytes would
reset the connection, and with it a response that is on its way. What is first read after our end is not
handled as a request: its client sees an end without a response, and submits the message elsewhere.
"""

from __future__ import annotations

import asyncio
import logging
import select
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import h11

from . import client_limits
from .client_limits import MAX_BODY_BYTES, MAX_DISCARDED_BYTES, MAX_HEAD_BYTES
from .client_messages import (
    ClientRequest,
    ClientResponse,
    encode_response,
    find_head_fault,
    oversized_response,
    parse_plain_request,
    response_events,
)
from .headers import headers_by_name
from .socket_state import is_socket_ready

log = logging.getLogger(__name__)

RequestHandler = Callable[[ClientRequest], ClientResponse]
CancelMessage = Callable[[str], bool]  # by id; False if it may have been delivered
# A client that was rejected submits its next message on the same connection, as one that was accepted.
SUBMISSION_STATUSES = frozenset((202, 503))
INVALID_REQUEST_STATUSES = frozenset((400, 404, 405))


class ConnectionGroup(Protocol):
    """What a connection needs of the listener that it belongs to."""

    @property
    def handle(self) -> RequestHandler:
        """Has the message of a request accepted, or rejects it."""

    @property
    def cancel(self) -> CancelMessage:
        """Cancels an accepted message whose client has no response."""

    @property
    def is_stopped(self) -> bool:
        """Whether new connections are to end at once."""

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are idle that no further one is kept open."""

    @property
    def is_stopping(self) -> bool:
        """Whether each response ends its connection, since the process ends soon."""

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, on which nothing has arrived yet."""

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""

    def mark_active(self, connection: ClientConnection) -> None:
        """Note that a request has started on it."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Note that it waits for its next request."""

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Note that it has sent its last response."""


class ClientConnection(asyncio.Protocol):
    """The server's side of one HTTP/1.1 connection, with one request at a time.

    `deadline`, on the loop's clock, is when `on_deadline` is due; the listener checks it.
    """

    def __init__(self, group: ConnectionGroup) -> None:
        self.group = group
        # Created for the first request that is not a plain one: many connections never send anything.
        self.parser: h11.Connection | None = None
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        # Ids of messages that were accepted, and whose responses are not fully written.
        self.unsent_ids: list[str] = []
        self.first_request_deadline = 0.0
        self.first_bytes_deadline = 0.0
        self.deadline = 0.0
        self.idle_since = 0.0  # on the loop's clock; while it is between two requests
        self.is_new = True  # no request has started yet
        self.has_submitted = False  # a message was accepted or rejected on it
        self.closes_after_response = False
        self.is_lingering = False  # the last response was sent: what still arrives is thrown away
        self.discarded_bytes = 0

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener and start the first deadline."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means: all is written
        now = asyncio.get_running_loop().time()
        self.deadline = now + client_limits.SILENT_TIMEOUT_S
        self.first_request_deadline = now + client_limits.FIRST_REQUEST_TIMEOUT_S
        self.first_bytes_deadline = now + client_limits.FIRST_BYTES_S
        self.group.add(self)
        if self.group.is_stopped:
            self.drain()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the messages whose clients never received a response."""
        self.group.remove(self)
        # Guards against work for a client that got no response: it submits the message again.
        for message_id in self.unsent_ids:
            self.group.cancel(message_id)

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its responses."""
        if self.transport is not None and not self.is_lingering:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """All responses are written."""
        self.unsent_ids.clear()
        self._resume_reading()

    def data_received(self, data: bytes) -> None:
        """Handle bytes of a request, or discard them after the last response."""
        if self.is_lingering:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        self._feed(data)

    def eof_received(self) -> bool | None:
        """Answer a request that is cut off; the transport closes itself."""
        if not self.is_lingering:
            self._feed(b"")
        return None

    # -- requests ----------------------------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether no request has started."""
        return self.request is None and (self.parser is None or not self.parser.trailing_data[0])

    @property
    def is_idle_and_unread(self) -> bool:
        """Whether it is idle and no bytes wait to be read: closing it then crosses no request."""
        return self.is_idle and not is_socket_ready(self.transport, select.POLLIN)

    def drain(self) -> None:
        """End it with its next response, or once it has been idle for as long as clients rely on.

        A new connection keeps the time for its first bytes.
        """
        self.closes_after_response = True
        if self.is_lingering or not self.is_idle:
            return
        if self.is_new:
            self.deadline = min(self.deadline, self.first_bytes_deadline)
        else:
            self.deadline = min(self.deadline, self.idle_since + client_limits.MIN_IDLE_S)

    def on_deadline(self) -> None:
        """End what has taken too long."""
        if self.is_lingering:
            self.abort()
        elif self.is_idle_and_unread:
            self._start_lingering()
        elif self.unsent_ids and self.request is not None:
            self._respond_and_end(self._cancel_unsent())
        elif not self.is_idle:
            self._respond_and_end(ClientResponse(408, "the request did not come in time"))

    def _cancel_unsent(self) -> ClientResponse:
        """Cancel what was accepted but must not be reported as such, before its client sees the end."""
        message_ids = self.unsent_ids
        self.unsent_ids = []
        # All of them are cancelled, whatever the first call returns.
        cancelled = [self.group.cancel(message_id) for message_id in message_ids]
        if all(cancelled):
            return ClientResponse(503, "the message could not be kept")
        return ClientResponse(500, "the message could not be kept")  # an attempt was out: it may take effect

    def _feed(self, data: bytes) -> None:
        if self.is_idle and data:
            now = asyncio.get_running_loop().time()
            later_deadline = now + client_limits.REQUEST_TIMEOUT_S
            self.deadline = self.first_request_deadline if self.is_new else later_deadline
            self.is_new = False
            self.group.mark_active(self)
        try:
            if self.parser is None:
                request = parse_plain_request(data)
                if request is not None:
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
            # A fault of ours must not cost the client its response.
            log.exception("client request failed")
            self._respond_and_end(ClientResponse(500, "internal error"))

    def _handle_next_event(self, parser: h11.Connection) -> bool:
        """Handle one h11 event; False if there is nothing more to handle now."""
        match parser.next_event():
            case h11.Request() as head:
                return self._on_request_head(parser, head)
            case h11.Data(data=chunk) if self.request is not None:
                if len(self.request.body) + len(chunk) > MAX_BODY_BYTES:
                    self._respond_and_end(oversized_response())
                    return False
                self.request.body += chunk
                return True
            case h11.EndOfMessage() if self.request is not None:
                self._on_request_complete(parser, self.request)
                return False
            case h11.ConnectionClosed():
                self._close()
                return False
            case _:
                return False

    def _on_request_head(self, parser: h11.Connection, head: h11.Request) -> bool:
        """Start a request, or reject it by its head; whether its body is to be read."""
        fault = find_head_fault(head)
        if fault is not None:
            self._respond_and_end(fault)
            return False
        self.request = ClientRequest(
            head.method.decode("ascii"), head.target.decode("latin-1"), headers_by_name(head.headers)
        )
        if parser.they_are_waiting_for_100_continue:
            self._write_events(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def _on_request_complete(self, parser: h11.Connection | None, request: ClientRequest) -> None:
        if parser is not None and parser.trailing_data[0].strip(b"\r\n"):
            # Guards the loop against requests by the hundred, and against a body longer than it says: a
            # client sends one at a time. It is rejected before its first message is accepted.
            self._respond_and_end(
                ClientResponse(400, "one request at a time on a connection, and no more than its length")
            )
            return
        response = self._handle(request)
        if response.durable is None or response.durable.done():
            self._respond(parser, response)
            return
        if response.accepted_id is not None:
            # If the client goes away meanwhile, it has not received the response.
            self.unsent_ids.append(response.accepted_id)
        if self.transport is not None:
            self.transport.pause_reading()
        self.deadline = asyncio.get_running_loop().time() + client_limits.DURABILITY_TIMEOUT_S
        response.durable.add_done_callback(lambda durable: self._on_durable(parser, response, durable))

    def _on_durable(
        self, parser: h11.Connection | None, response: ClientResponse, durable: asyncio.Future[None]
    ) -> None:
        """Send a response that had to wait for the journal's sync."""
        if self.transport is None or self.transport.is_closing() or self.is_lingering or durable.cancelled():
            return  # the end of the connection has cancelled the message, or will
        if is_socket_ready(self.transport, select.POLLRDHUP):
            # The client has stopped waiting, unnoticed while nothing was read.
            self._respond_and_end(self._cancel_unsent())
            return
        self.unsent_ids.clear()
        self._respond(parser, response)
        self._resume_reading()

    def _handle(self, request: ClientRequest) -> ClientResponse:
        if is_socket_ready(self.transport, select.POLLRDHUP):
            # Guards against a second copy: it has stopped waiting and submits the message again. One that
            # merely ended its sending still reads this, and submitting again is harmless.
            return ClientResponse(503, "the client has hung up")
        return self.group.handle(request)

    # -- responses ---------------------------------------------------------------------------------------

    def _respond(self, parser: h11.Connection | None, response: ClientResponse) -> None:
        """Write a response, then wait for the next request or end the connection."""
        # Guards clients that may hold only so many connections against those that ask once and stay.
        ends = self.group.is_crowded or self.group.is_stopping
        self.closes_after_response = self.closes_after_response or ends
        self._write_response(response)
        self.request = None
        is_reusable = parser is None or parser.our_state is h11.DONE
        if self.closes_after_response or not is_reusable:
            self._start_lingering()
            return
        if parser is not None:
            parser.start_next_cycle()
            if not parser.trailing_data[0]:
                self.parser = None  # the next request may be a plain one
        self.has_submitted = self.has_submitted or response.status in SUBMISSION_STATUSES
        self.idle_since = asyncio.get_running_loop().time()
        self.deadline = self.idle_since + client_limits.IDLE_TIMEOUT_S
        self.group.mark_idle(self)
        if response.status in INVALID_REQUEST_STATUSES and self.transport is not None:
            # Guards the others' share of the processor against one that sends the same again at once.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(client_limits.PENALTY_S, self._resume_reading)

    def _respond_and_end(self, response: ClientResponse) -> None:
        """Write the last response, as far as one can still be sent, and end the connection."""
        self.closes_after_response = True
        if self.parser is None or self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write_response(response)
        is_oversized = response.status == 413
        self._start_lingering(client_limits.OVERSIZED_LINGER_S if is_oversized else client_limits.LINGER_S)

    def _start_lingering(self, linger_s: float | None = None) -> None:
        """End the connection, the only way to do so: no response follows, and input is discarded."""
        self.closes_after_response = True
        self.is_lingering = True
        self.request = None
        now = asyncio.get_running_loop().time()
        self.deadline = now + (client_limits.LINGER_S if linger_s is None else linger_s)
        self.group.mark_lingering(self)
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # the client has gone
                self.transport.write_eof()
            self.transport.resume_reading()

    def _write_response(self, response: ClientResponse) -> None:
        if self.parser is not None:
            self._write_events(*response_events(response, self.closes_after_response))
        elif self.transport is not None:
            self.transport.write(encode_response(response, self.closes_after_response))
        if response.accepted_id is not None:
            self._track_unsent(response.accepted_id)

    def _track_unsent(self, message_id: str) -> None:
        """Note or cancel a message whose response has not left in full."""
        transport = self.transport
        if transport is None or transport.is_closing():
            self.group.cancel(message_id)
        elif transport.get_write_buffer_size():
            self.unsent_ids.append(message_id)

    def _write_events(self, *events: h11.Event) -> None:
        if self.transport is not None and self.parser is not None:
            self.transport.write(b"".join(self.parser.send(event) or b"" for event in events))

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def evict(self) -> None:
        """Free the descriptor now: nothing was unread, or our end of sending has followed the response."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; what is unsent is lost."""
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()
