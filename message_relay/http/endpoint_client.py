"""The transport over HTTP/1.1: makes attempts at endpoints, and reports what the result of each proves.

A connection carries one attempt at a time. The endpoint processes an attempt only once it has the last byte
of the request: a failure before that byte was sent proves that the attempt had no effect.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from ..core.ports import Attempt, AttemptResult, EndpointKey
from ..decisions.model import Outcome
from .attempt_results import attempt_result, parse_load_report
from .connection import EndpointConnection
from .connection_pool import ConnectionPool
from .errors import ConnectionLostError
from .keep_alive import is_connection_rejection

IDLE_LIMIT_SHARE = (
    0.8  # of the idle limit: the endpoint may close an older connection while a request is written
)
BODY_TIMEOUT_S = 1.0  # after that the connection is closed, and a rejection no longer proves that nothing ran
MAX_BODY_BYTES = 64 * 1024
# How long the last byte of an unsafe message is withheld, in case the endpoint is closing the connection.
UNSAFE_WITHHOLD_S = 0.025
# The same for other attempts, after a connection broke recently; most closes arrive within this time.
WITHHOLD_S = 0.005
LATE_CONNECTION_S = 0.025  # far longer than a connection takes unless its endpoint or the network is slow
BREAK_MEMORY_S = 10.0  # how long WITHHOLD_S applies after an idle connection broke


@dataclass(slots=True)
class AttemptConnection:
    """The connection of one attempt, and the wait time that its response requested."""

    connection: EndpointConnection | None = None
    retry_after_ms: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the last byte was sent. Before that the endpoint cannot have the complete request."""
        return self.connection is not None and self.connection.is_request_sent

    def assign(self, connection: EndpointConnection) -> EndpointConnection:
        """Use this connection; earlier requests on it do not count as sent."""
        self.connection = connection
        connection.is_request_sent = False
        return connection

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class EndpointClient:
    """Makes attempts on pooled connections. Times are in ms; a connect timeout of 0 means none."""

    def __init__(
        self,
        idle_ms: float,
        connect_timeout_ms: float,
        max_idle: int,
        max_receiving_bodies: int = 16,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.report_fields = report_fields
        self.connect_timeout_s = connect_timeout_ms / 1000 or None
        self.pool = ConnectionPool(IDLE_LIMIT_SHARE * idle_ms / 1000, max_idle)
        # Connections with a known result and an incomplete response body; oldest first.
        self.receiving_bodies: dict[EndpointConnection, None] = {}
        self.max_receiving_bodies = max_receiving_bodies
        # When a reused connection last broke before a response, on the loop's clock.
        self.last_break_at = -BREAK_MEMORY_S

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Make one attempt; cancelling it closes the connection, which frees the slot at the endpoint."""
        current = AttemptConnection()
        key = (attempt.endpoint, attempt.address)
        try:
            async with asyncio.timeout_at(attempt.deadline_s):
                connection = await self._write_request(attempt, key, current)
                if connection is None:
                    return AttemptResult(Outcome.NOT_SENT, is_withheld=True)
                result = await self._read_result(attempt, connection, current)
            current.connection = None
            self._release_after_body(key, connection)
            return result
        except TimeoutError:
            outcome = Outcome.TIMEOUT if current.may_have_run else Outcome.CONNECT_FAILED
            return AttemptResult(outcome, retry_after_ms=current.retry_after_ms)
        except ConnectionLostError:
            broken = current.connection
            if broken is not None and current.may_have_run and broken.request_count > 1:
                self.last_break_at = asyncio.get_running_loop().time()
            outcome = Outcome.RESET if current.may_have_run else Outcome.CONNECT_FAILED
            return AttemptResult(outcome, retry_after_ms=current.retry_after_ms)
        finally:
            current.close()

    async def _read_result(
        self, attempt: Attempt, connection: EndpointConnection, current: AttemptConnection
    ) -> AttemptResult:
        """Return the result of a request that was sent in full."""
        if await connection.status == 200:
            # The message is delivered even if the rest of the response is malformed.
            report = self._available_report(connection)
            return AttemptResult(Outcome.OK, is_finished=True, load_report=report)
        head = await connection.head
        result = replace(attempt_result(head), load_report=parse_load_report(head, self.report_fields))
        if is_connection_rejection(
            head.status, head.headers, connection.request_count, result.retry_after_ms
        ):
            self.pool.record_rejection(attempt.kind)
        if result.outcome.proves_no_effect:
            # Protects unsafe messages: a rejection whose body is not complete counts as a malformed response,
            # after which the request may have run.
            current.retry_after_ms = result.retry_after_ms
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await connection.complete_body
        return result

    def _available_report(self, connection: EndpointConnection) -> tuple[float, ...]:
        """Return the load report if the head has arrived already; the result needs only the status line."""
        if not connection.head.done() or connection.head.exception() is not None:
            return ()
        return parse_load_report(connection.head.result(), self.report_fields)

    async def _write_request(
        self, attempt: Attempt, key: EndpointKey, current: AttemptConnection
    ) -> EndpointConnection | None:
        """Write the complete request; returns the connection, or None if sending is no longer permitted.

        If an idle connection breaks before the last byte, that does not indicate a problem of the endpoint:
        the request is retried on another connection at once.
        """
        for may_reuse in (True, True, False):
            idle = self.pool.pop(key) if may_reuse else None
            connection = current.assign(idle or await self._connect(attempt))
            try:
                if not attempt.may_write():
                    current.connection = None
                    self.pool.add(key, connection)
                    return None
                withhold_s = self._withhold_s(attempt, is_reused=idle is not None)
                await connection.send("POST", "/inbox", _headers(attempt), attempt.body, withhold_s)
                if withhold_s:
                    if not attempt.may_write():  # the permission may have ended in the meantime
                        return None
                    await connection.send_withheld_byte()
                return connection
            except ConnectionLostError:
                if idle is None or current.may_have_run:
                    raise
                self.last_break_at = asyncio.get_running_loop().time()
                current.close()
        raise ConnectionLostError("no connection stayed open")

    def _withhold_s(self, attempt: Attempt, is_reused: bool) -> float:
        """Return how long the last byte is withheld, in seconds.

        A reset after the last byte is ambiguous. If the connection had been closed by the endpoint unnoticed,
        it breaks while the last byte is withheld, which proves that nothing ran.
        """
        if attempt.ambiguity_is_final:
            return UNSAFE_WITHHOLD_S
        if is_reused and asyncio.get_running_loop().time() < self.last_break_at + BREAK_MEMORY_S:
            return WITHHOLD_S
        return 0.0

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Close the idle connections to all other endpoints."""
        self.pool.retain_only(listed)

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """Close the idle connections to one endpoint if it is no longer listed."""
        self.pool.endpoint_changed(key, listed)

    def sweep(self) -> None:
        """Close connections that have ended or were idle too long."""
        self.pool.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.retain_only(set())

    async def _connect(self, attempt: Attempt) -> EndpointConnection:
        loop = asyncio.get_running_loop()
        late = loop.call_later(LATE_CONNECTION_S, attempt.on_late_connection)
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                connection = await EndpointConnection.open(attempt.address, MAX_BODY_BYTES, keeps_body=False)
        finally:
            late.cancel()
        connection.endpoint_kind = attempt.kind
        return connection

    def _release_after_body(self, key: EndpointKey, connection: EndpointConnection) -> None:
        """Return a connection to the pool once its response is complete, after the result was returned."""
        if connection.complete_body.done():
            self.pool.add(key, connection)
            return
        timeout = asyncio.get_running_loop().call_later(BODY_TIMEOUT_S, connection.close)
        if len(self.receiving_bodies) >= self.max_receiving_bodies:
            # Limits the descriptors used by response bodies that never end.
            next(iter(self.receiving_bodies)).close()
        self.receiving_bodies[connection] = None

        def on_complete(body: asyncio.Future[bytes]) -> None:
            timeout.cancel()
            self.receiving_bodies.pop(connection, None)
            if not body.cancelled() and body.exception() is None:
                self.pool.add(key, connection)

        connection.complete_body.add_done_callback(on_complete)


def _headers(attempt: Attempt) -> list[tuple[str, str]]:
    remaining_ms = max(1, int((attempt.deadline_s - asyncio.get_running_loop().time()) * 1000))
    headers = [
        ("Host", f"{attempt.address[0]}:{attempt.address[1]}"),
        ("X-Trace-Id", attempt.trace_id),
        ("X-Expires-In-Ms", str(remaining_ms)),
    ]
    if attempt.policy_label is not None:
        headers.append(("X-Rules", attempt.policy_label()))
    if attempt.idempotency_key is not None:
        headers.append(("Idempotency-Key", attempt.idempotency_key))
    return headers
