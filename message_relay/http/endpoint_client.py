"""The transport over HTTP/1.1: makes attempts at endpoints, and says what the end of each one proves.

A connection carries one attempt at a time. An attempt starts at the endpoint with the last byte of its
request: whatever happens before that byte has left proves that nothing ran.
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
    0.8  # of the idle limit: an older connection may be closed while a request is written to it
)
BODY_TIMEOUT_S = 1.0  # a body that takes longer costs its connection, and a rejection its proof
MAX_BODY_BYTES = 64 * 1024
# The last byte of a message that must not run twice is withheld, in case an end is on its way.
UNSAFE_WITHHOLD_S = 0.025
# And that of other attempts, while connections break: most ends arrive as quickly as this.
WITHHOLD_S = 0.005
BREAK_MEMORY_S = 10.0  # so long after an idle connection has broken


@dataclass(slots=True)
class AttemptConnection:
    """The connection that one attempt is on, and the time to wait that its response has asked for."""

    connection: EndpointConnection | None = None
    retry_after_ms: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the last byte has left. Before that the endpoint never had the complete request."""
        return self.connection is not None and self.connection.is_request_sent

    def assign(self, connection: EndpointConnection) -> EndpointConnection:
        """Use this connection; what was sent on it before does not count."""
        self.connection = connection
        connection.is_request_sent = False
        return connection

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class EndpointClient:
    """Makes attempts on pooled connections. Times are in milliseconds; a connect timeout of 0 is none."""

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
        # Connections whose result is known, and whose response is not complete; oldest first.
        self.receiving_bodies: dict[EndpointConnection, None] = {}
        self.max_receiving_bodies = max_receiving_bodies
        # When an idle connection broke before its attempt was answered, on the loop's clock.
        self.last_break_at = -BREAK_MEMORY_S

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Make one attempt; giving up closes its connection, which frees the slot at the endpoint."""
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
        """The result of a request that was written in full."""
        if await connection.status == 200:
            # True also if the rest of the response is malformed: the message is delivered.
            report = self._available_report(connection)
            return AttemptResult(Outcome.OK, is_finished=True, load_report=report)
        head = await connection.head
        result = replace(attempt_result(head), load_report=parse_load_report(head, self.report_fields))
        if is_connection_rejection(
            head.status, head.headers, connection.request_count, result.retry_after_ms
        ):
            self.pool.record_rejection(attempt.kind)
        if result.outcome.proves_no_effect:
            # Guards unsafe messages: what looks like a rejection but does not end as one is malformed,
            # and the request of a malformed response has run.
            current.retry_after_ms = result.retry_after_ms
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await connection.complete_body
        return result

    def _available_report(self, connection: EndpointConnection) -> tuple[float, ...]:
        """The load report, as far as the head has arrived, of a response whose first line is enough."""
        if not connection.head.done() or connection.head.exception() is not None:
            return ()
        return parse_load_report(connection.head.result(), self.report_fields)

    async def _write_request(
        self, attempt: Attempt, key: EndpointKey, current: AttemptConnection
    ) -> EndpointConnection | None:
        """Write the complete request; the connection, or None if it may not be sent after all.

        An idle connection that breaks before the last byte says nothing of the endpoint: the request goes
        out on another at once.
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
                    if not attempt.may_write():  # the time until the last byte counts too
                        return None
                    await connection.send_withheld_byte()
                return connection
            except ConnectionLostError:
                if idle is None or current.may_have_run:
                    raise
                self.last_break_at = asyncio.get_running_loop().time()
                current.close()
        raise ConnectionLostError("no connection stays up")

    def _withhold_s(self, attempt: Attempt, is_reused: bool) -> float:
        """How long the last byte is withheld, in seconds.

        Guards against resets that prove nothing: a connection that breaks before the last byte, as one does
        that had ended unnoticed, proves that nothing ran.
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
        async with asyncio.timeout(self.connect_timeout_s):
            connection = await EndpointConnection.open(attempt.address, MAX_BODY_BYTES)
        connection.endpoint_kind = attempt.kind
        return connection

    def _release_after_body(self, key: EndpointKey, connection: EndpointConnection) -> None:
        """Return a connection to the pool once its response is complete; the result is known before."""
        if connection.complete_body.done():
            self.pool.add(key, connection)
            return
        timeout = asyncio.get_running_loop().call_later(BODY_TIMEOUT_S, connection.close)
        if len(self.receiving_bodies) >= self.max_receiving_bodies:
            # Guards the descriptors against bodies that never end.
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
