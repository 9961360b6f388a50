"""One connection of a client: reads requests, has their messages accepted, and writes the responses.

A request that was read is always answered. Every connection ends with a lingering close (`_start_lingering`):
the relay sends a last response, if one is due, and shuts down its sending side; then it reads and discards
input until the client has closed its side too, or a limit is reached. Closing with unread bytes would reset
the connection, and could lose a response in transit. Bytes that are first read after the shutdown are not
handled as a request: the client sees the end of the connection without a response, and submits the message
elsewhere.
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
from .client_limits import MAX_DISCARDED_BYTES
from .client_messages import (
    ClientRequest,
    ClientResponse,
    encode_response,
    parse_plain_request,
    response_events,
)
from .input_budget import InputBudget
from .parse_turns import ParseTurns
from .request_reader import Progress, RejectedRequestError, RequestReader
from .socket_state import is_socket_ready, pending_events

log = logging.getLogger(__name__)

RequestHandler = Callable[[ClientRequest], ClientResponse]
CancelMessage = Callable[[str], bool]  # argument: message id; returns False if it may have been delivered
# After a rejection a client submits its next message on the same connection, as after an acceptance.
SUBMISSION_STATUSES = frozenset((202, 503))
COSTLY_REQUEST_STATUSES = frozenset((413, 431))  # the end of the connection is delayed
PIPELINED_TEXT = "one request at a time on a connection, and no more than its length"
INVALID_REQUEST_STATUSES = frozenset((400, 404, 405))


class ConnectionGroup(Protocol):
    """The part of the listener that its connections use."""

    @property
    def handle(self) -> RequestHandler:
        """Handles a request and returns its response."""

    @property
    def cancel(self) -> CancelMessage:
        """Cancels an accepted message whose client got no response."""

    @property
    def is_stopped(self) -> bool:
        """Whether new connections are drained at once."""

    @property
    def is_crowded(self) -> bool:
        """Whether so many connections are idle that no further one is kept open."""

    @property
    def is_stopping(self) -> bool:
        """Whether each response ends its connection, because the process is stopping."""

    @property
    def read_buffer(self) -> memoryview:
        """Receives one read of a connection; its content is valid until the next one."""

    @property
    def parse_turns(self) -> ParseTurns:
        """Parses the input that h11 has to parse."""

    @property
    def input_budget(self) -> InputBudget:
        """The memory of all unfinished requests."""

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, on which nothing has arrived yet."""

    def remove(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""

    def mark_active(self, connection: ClientConnection) -> None:
        """Note that a request has started on the connection."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Note that the connection waits for its next request."""

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Note that the connection has sent its last response."""


class ClientConnection(asyncio.BufferedProtocol):
    """The server side of one HTTP/1.1 connection, with one request at a time.

    The listener calls `on_deadline` once `deadline`, on the loop's clock, has passed.
    """

    def __init__(self, group: ConnectionGroup) -> None:
        self.group = group
        self.reader: RequestReader | None = None  # of a request that `parse_plain_request` does not parse
        self.request_started_at = 0.0  # on the loop's clock; valid during a request
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        # Ids of accepted messages whose responses are not fully written.
        self.unsent_ids: list[str] = []
        self.first_request_deadline = 0.0
        self.first_bytes_deadline = 0.0
        self.deadline = 0.0
        self.idle_since = 0.0  # on the loop's clock; valid between two requests
        self.is_new = True  # no request has started yet
        self.has_submitted = False  # a message was accepted or rejected on this connection
        self.closes_after_response = False
        self.is_lingering = False  # the last response was sent; further input is discarded
        self.is_end_sent = False  # the sending side is shut down
        self.linger_s = client_limits.LINGER_S
        self.discarded_bytes = 0

    # -- called by the loop ------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener and start the first deadline."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing is called when the buffer is empty
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
        self._drop_input()
        # A client that got no response submits the message again; the first copy must not be processed.
        for message_id in self.unsent_ids:
            self.group.cancel(message_id)

    def pause_writing(self) -> None:
        """Pause reading while the client does not read its responses."""
        if self.transport is not None and not self.is_lingering:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading once all responses are written."""
        self.unsent_ids.clear()
        self._resume_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self.group.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes of a request, or discard them after the last response."""
        if self.is_lingering:
            self.discarded_bytes += nbytes
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        self._receive(bytes(self.group.read_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Answer a truncated request; the transport closes itself."""
        if self.is_lingering:
            return None
        if self.is_idle:
            self._close()
        else:
            self._respond_and_end(ClientResponse(400, "the request is incomplete"))
        return None

    # -- requests ----------------------------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether no request has started."""
        return self.request is None and self.reader is None

    @property
    def is_idle_and_unread(self) -> bool:
        """Whether it is idle without unread bytes, so that closing it does not cross a request."""
        return self.is_idle and not is_socket_ready(self.transport, select.POLLIN)

    def drain(self) -> None:
        """End the connection with its next response, or once it was idle for the time that clients rely on.

        A new connection still has the usual time for its first bytes.
        """
        self.closes_after_response = True
        if self.is_lingering or not self.is_idle:
            return
        if self.is_new:
            self.deadline = min(self.deadline, self.first_bytes_deadline)
        else:
            self.deadline = min(self.deadline, self.idle_since + client_limits.MIN_IDLE_S)

    def on_deadline(self) -> None:
        """End the connection, or answer its request, when its deadline has passed."""
        if self.is_lingering and not self.is_end_sent:
            self._send_end()
        elif self.is_lingering:
            self.abort()
        elif self.is_idle_and_unread:
            self._start_lingering()
        elif self.unsent_ids and self.request is not None:
            self._respond_and_end(self._cancel_unsent())
        elif not self.is_idle:
            self._respond_and_end(ClientResponse(408, "the request did not come in time"))

    def _cancel_unsent(self) -> ClientResponse:
        """Cancel messages that cannot be reported as accepted, and return the response to send instead."""
        message_ids = self.unsent_ids
        self.unsent_ids = []
        # A list, not a generator: all of them are cancelled, whatever the first call returns.
        cancelled = [self.group.cancel(message_id) for message_id in message_ids]
        if all(cancelled):
            return ClientResponse(503, "the message could not be kept")
        return ClientResponse(500, "the message could not be kept")  # an attempt may take effect

    def _receive(self, data: bytes) -> None:
        if self.is_idle:
            self._start_request()
        try:
            if self.reader is None:
                request = parse_plain_request(data)
                if request is not None:
                    self.request = request
                    self._on_request_complete(None, request)
                    return
                self.reader = RequestReader()
            self.reader.receive(data)
            if self.group.parse_turns.parse(self) and self.transport is not None:
                self.transport.pause_reading()
        except Exception as error:
            self._reject(error)

    def _start_request(self) -> None:
        now = asyncio.get_running_loop().time()
        later_deadline = now + client_limits.REQUEST_TIMEOUT_S
        self.deadline = self.first_request_deadline if self.is_new else later_deadline
        self.request_started_at = now
        self.is_new = False
        self.group.mark_active(self)

    def parse_some(self) -> bool:
        """Parse a bounded part of the input; returns whether there is more to parse now."""
        reader = self.reader
        if reader is None or self.transport is None or self.transport.is_closing():
            return False
        try:
            progress = reader.advance()
            self.request = reader.request
            if progress is Progress.COMPLETE and self.request is not None:
                self.group.input_budget.release(self)
                self.transport.resume_reading()
                self._on_request_complete(reader, self.request)
                return False
            if not self._hold(reader.held_bytes):
                return False
            if progress is Progress.HAS_MORE:
                return True
            self.transport.resume_reading()
            self._continue_if_expected(reader)
        except Exception as error:
            self._reject(error)
        return False

    def _reject(self, error: Exception) -> None:
        """End the connection with the response to a request that cannot be handled."""
        match error:
            case RejectedRequestError(response=response):
                self._respond_and_end(response)
            case h11.RemoteProtocolError():
                self._respond_and_end(ClientResponse(error.error_status_hint, str(error)))
            case _:
                # An internal error must not leave the client without a response.
                log.error("client request failed", exc_info=error)
                self._respond_and_end(ClientResponse(500, "internal error"))

    def _continue_if_expected(self, reader: RequestReader) -> None:
        if reader.parser is not None and reader.parser.they_are_waiting_for_100_continue:
            self._write_events(reader.parser, h11.InformationalResponse(status_code=100, headers=[]))

    # -- memory of the unfinished request ----------------------------------------------------------------

    def _hold(self, held_bytes: int) -> bool:
        """Charge what the unfinished request holds; without room, turn its client away and return False."""
        if self.group.input_budget.hold(self, held_bytes):
            return True
        retry_after_s = client_limits.MEMORY_RETRY_AFTER_S
        self._respond_and_end(
            ClientResponse(503, "unfinished requests use the memory", retry_after_s=retry_after_s),
            delays_end=True,
        )
        return False

    def _drop_input(self) -> None:
        self.request = None
        self.reader = None
        self.group.input_budget.release(self)

    def end_slow_request(self) -> None:
        """End an unfinished request whose memory others need."""
        self._respond_and_end(ClientResponse(408, "the request did not come in time"))

    def _on_request_complete(self, reader: RequestReader | None, request: ClientRequest) -> None:
        if reader is not None and reader.drop_trailing_data():
            # Clients send one request at a time. Pipelined requests, which could occupy the loop by the
            # hundred, and a body longer than its Content-Length are rejected before the first message is
            # accepted.
            self._respond_and_end(ClientResponse(400, PIPELINED_TEXT))
            return
        response = self._handle(request)
        if response.durable is None or response.durable.done():
            self._respond(response)
            return
        if response.accepted_id is not None:
            # If the connection is lost meanwhile, the client has not received the response.
            self.unsent_ids.append(response.accepted_id)
        if self.transport is not None:
            self.transport.pause_reading()
        self.deadline = asyncio.get_running_loop().time() + client_limits.DURABILITY_TIMEOUT_S
        response.durable.add_done_callback(lambda durable: self._on_durable(response, durable))

    def _on_durable(self, response: ClientResponse, durable: asyncio.Future[None]) -> None:
        """Send a response that waited for the journal's sync."""
        if self.transport is None or self.transport.is_closing() or self.is_lingering or durable.cancelled():
            return  # the message is cancelled where the connection ends
        if is_socket_ready(self.transport, select.POLLRDHUP):
            # The client has closed its side, which was not noticed because reading was paused.
            self._respond_and_end(self._cancel_unsent())
            return
        self.unsent_ids.clear()
        self._respond(response)
        self._resume_reading()

    def _handle(self, request: ClientRequest) -> ClientResponse:
        events = pending_events(self.transport, select.POLLRDHUP | select.POLLIN)
        if events & ~select.POLLIN:
            # Prevents a second copy: a client that closed the connection submits the message again. One that
            # only shut down its sending side reads this response, and may safely submit it again.
            return ClientResponse(503, "the client has hung up")
        if events:
            self.closes_after_response = True
            return ClientResponse(400, PIPELINED_TEXT)
        return self.group.handle(request)

    # -- responses ---------------------------------------------------------------------------------------

    def _respond(self, response: ClientResponse) -> None:
        """Write a response, then wait for the next request or end the connection."""
        # The number of client connections is limited: clients that send one request and stay connected must
        # not exclude others.
        ends = self.group.is_crowded or self.group.is_stopping
        self.closes_after_response = self.closes_after_response or ends
        parser = None if self.reader is None else self.reader.parser
        self._write_response(response)
        self._drop_input()
        is_reusable = parser is None or parser.our_state is h11.DONE
        if self.closes_after_response or not is_reusable:
            self._start_lingering()
            return
        self.has_submitted = self.has_submitted or response.status in SUBMISSION_STATUSES
        self.idle_since = asyncio.get_running_loop().time()
        self.deadline = self.idle_since + client_limits.IDLE_TIMEOUT_S
        self.group.mark_idle(self)
        if response.status in INVALID_REQUEST_STATUSES and self.transport is not None:
            # Limits the processor time of a client that repeats an invalid request at once.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(client_limits.PENALTY_S, self._resume_reading)

    def _respond_and_end(self, response: ClientResponse, delays_end: bool = False) -> None:
        """Write the last response, if one can still be sent, and end the connection."""
        self.closes_after_response = True
        parser = None if self.reader is None else self.reader.parser
        if parser is None or parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write_response(response)
        is_oversized = response.status == 413
        self.linger_s = client_limits.OVERSIZED_LINGER_S if is_oversized else client_limits.LINGER_S
        self._start_lingering(delays_end or response.status in COSTLY_REQUEST_STATUSES)

    def _start_lingering(self, delays_end: bool = False) -> None:
        """Start the lingering close, as for every connection: no response follows, input is discarded.

        With `delays_end` the client sees the end of the connection later than the response. Clients that
        submit the same again as soon as it ends must not take the time of the others.
        """
        self.closes_after_response = True
        self.is_lingering = True
        self._drop_input()
        self.group.mark_lingering(self)
        if delays_end:
            self.deadline = asyncio.get_running_loop().time() + client_limits.END_DELAY_S
            self._resume_reading()
        else:
            self._send_end()

    def _send_end(self) -> None:
        """Shut down the sending side, and wait for the client to close its own."""
        self.is_end_sent = True
        self.deadline = asyncio.get_running_loop().time() + self.linger_s
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # the client has disconnected
                self.transport.write_eof()
            self.transport.resume_reading()

    def _write_response(self, response: ClientResponse) -> None:
        if self.reader is not None and self.reader.parser is not None:
            self._write_events(self.reader.parser, *response_events(response, self.closes_after_response))
        elif self.transport is not None:
            self.transport.write(encode_response(response, self.closes_after_response))
        if response.accepted_id is not None:
            self._track_unsent(response.accepted_id)

    def _track_unsent(self, message_id: str) -> None:
        """Track a message whose response is not fully written; cancel it if the connection is closed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            self.group.cancel(message_id)
        elif transport.get_write_buffer_size():
            self.unsent_ids.append(message_id)

    def _write_events(self, parser: h11.Connection, *events: h11.Event) -> None:
        if self.transport is not None:
            self.transport.write(b"".join(parser.send(event) or b"" for event in events))

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def evict(self) -> None:
        """Free the descriptor now: there was no unread input, or the sending side is shut down already."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once; unsent data is lost."""
        if self.transport is not None:
            self.transport.abort()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()
