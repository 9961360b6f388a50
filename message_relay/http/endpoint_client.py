"""Calls to endpoints: one at a time on a connection, and what each one's end proves."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from dataclasses import dataclass, replace

from ..core.ports import Attempt, AttemptResult, EndpointKey
from ..decisions.model import Outcome
from .connection import ConnectionLostError, EndpointConnection, ResponseHead
from .keep_alive import KeepAlivePolicy, is_connection_rejection

IDLE_LIMIT_SHARE = 0.8  # of the idle limit: an older connection may be closed while a call is written to it
BODY_TIMEOUT_S = 1.0  # a body that takes longer costs its connection, and a refusal its proof
MAX_BODY_BYTES = 64 * 1024
UNSAFE_WITHHOLD_S = 0.025  # the last byte of what must not run twice waits for an end that is on its way
WITHHOLD_S = 0.005  # and that of other calls, while connections break: most ends come as quickly as this
BREAK_MEMORY_S = 10.0  # so long after one that was kept has broken


def attempt_result(head: ResponseHead) -> AttemptResult:
    """Each row of the protocol's table in which an answer came back."""
    wait = parse_wait_ms(head.headers.get("x-ratelimit-wait-ms", ""))
    match head.status:
        case 200:
            return AttemptResult(Outcome.OK, finished=True)
        case 429:
            return AttemptResult(Outcome.FULL, retry_after_ms=wait)
        case 503 if head.headers.get("x-over-slots") == "1":
            return AttemptResult(Outcome.NOT_SENT, no_connection_slot=True)
        case 503:  # the protocol names no wait here, but one that is told is kept
            return AttemptResult(Outcome.FULL, retry_after_ms=wait)
        case 504:
            return AttemptResult(Outcome.NOT_SENT)
        case 410:
            return AttemptResult(Outcome.NOT_SENT, finished=True)
        case _:  # 500, and whatever else the protocol does not name: it may have run
            return AttemptResult(Outcome.ERROR)


def parse_load_report(head: ResponseHead, fields: tuple[str, ...]) -> tuple[float, ...]:
    """What an answer says of the endpoint's load, in this order; empty if it cannot be read whole."""
    kind, _, text = head.headers.get("endpoint-load-metrics", "").partition(" ")
    if not fields or kind != "TEXT":
        return ()
    pairs = (part.split("=", 1) for part in text.split(",") if "=" in part)
    said = {name.strip(): value for name, value in pairs}
    try:
        found = tuple(float(said[field]) for field in fields)
    except (KeyError, ValueError):
        return ()
    return found if all(math.isfinite(value) and value >= 0 for value in found) else ()


def parse_wait_ms(text: str) -> float:
    try:
        wait = float(text)
    except ValueError:
        return 0.0
    return wait if wait > 0 and math.isfinite(wait) else 0.0


@dataclass(slots=True)
class AttemptConnection:
    """The connection that one call is on."""

    connection: EndpointConnection | None = None

    @property
    def may_have_run(self) -> bool:
        """Its last byte has left. Before that the endpoint never had the whole call."""
        return self.connection is not None and self.connection.is_request_sent

    def assign(self, connection: EndpointConnection) -> EndpointConnection:
        self.connection, connection.is_request_sent = connection, False  # what was sent on it before is over
        return connection

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class EndpointClient:
    def __init__(
        self,
        idle_ms: float,
        connect_timeout_ms: float,
        max_idle: int,
        max_receiving_bodies: int = 16,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.report_fields, self.keep_alive = report_fields, KeepAlivePolicy()
        self.idle_s = IDLE_LIMIT_SHARE * idle_ms / 1000
        self.connect_timeout_s = connect_timeout_ms / 1000 or None
        self.max_idle = max_idle
        self.idle_by_endpoint: dict[
            EndpointKey, list[EndpointConnection]
        ] = {}  # each list and all of them: longest idle first
        self.idle_by_age: OrderedDict[EndpointConnection, EndpointKey] = OrderedDict()
        self.listed_endpoints: set[EndpointKey] | None = None  # None: not told yet
        self.receiving_bodies: dict[
            EndpointConnection, None
        ] = {}  # answered, but their bodies have not come; oldest first
        self.max_receiving_bodies = max_receiving_bodies
        self.last_break_at = (
            -BREAK_MEMORY_S
        )  # when a connection that was kept broke before its call was answered

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Makes one call; giving up closes its connection, which frees the slot at the endpoint."""
        out, key, wait = AttemptConnection(), (attempt.endpoint, attempt.address), 0.0
        try:
            async with asyncio.timeout_at(attempt.deadline_s):
                link = await self._write_request(attempt, key, out)
                if link is None:
                    return AttemptResult(Outcome.NOT_SENT, withheld=True)
                if await link.status == 200:
                    # True also if the rest of the answer is spoilt: the message is over.
                    answer = AttemptResult(
                        Outcome.OK, finished=True, load_report=self._available_report(link)
                    )
                else:
                    head = await link.head
                    answer = replace(
                        attempt_result(head), load_report=parse_load_report(head, self.report_fields)
                    )
                    if is_connection_rejection(
                        head.status, head.headers, link.request_count, answer.retry_after_ms
                    ):
                        self._on_connection_rejected(attempt.kind)
                if answer.outcome.proves_no_effect:
                    # Guards unsafe messages: what looks like a refusal but does not end as one is spoilt,
                    # and a spoilt answer's request has run.
                    wait = answer.retry_after_ms
                    async with asyncio.timeout(BODY_TIMEOUT_S):
                        await link.complete_body
            out.connection = None
            self._release_after_body(key, link)
            return answer
        except TimeoutError:
            return AttemptResult(
                Outcome.TIMEOUT if out.may_have_run else Outcome.CONNECT_FAILED, retry_after_ms=wait
            )
        except ConnectionLostError:
            if out.connection is not None and out.may_have_run and out.connection.request_count > 1:
                self.last_break_at = asyncio.get_running_loop().time()
            return AttemptResult(
                Outcome.RESET if out.may_have_run else Outcome.CONNECT_FAILED, retry_after_ms=wait
            )
        finally:
            out.close()

    def _available_report(self, link: EndpointConnection) -> tuple[float, ...]:
        """Of an answer whose first line is enough, as far as the rest has come."""
        come = link.head.done() and link.head.exception() is None
        return parse_load_report(link.head.result(), self.report_fields) if come else ()

    def _on_connection_rejected(self, kind: str) -> None:
        """Frees the places that this relay holds at other endpoints of that kind, idle."""
        if self.keep_alive.record_rejection(kind, asyncio.get_running_loop().time()):
            for link, key in [
                (link, key) for link, key in self.idle_by_age.items() if link.endpoint_kind == kind
            ]:
                self._remove_idle(link, key)
                link.close()

    async def _write_request(
        self, attempt: Attempt, key: EndpointKey, out: AttemptConnection
    ) -> EndpointConnection | None:
        """A connection with the whole call on it; None if it may not go out after all. One that was kept and
        breaks before the last byte tells nothing of the endpoint: the call goes on another at once."""
        for may_be_kept in (True, True, False):
            link = self._pop_idle(key) if may_be_kept else None
            kept = link is not None
            link = out.assign(link or await self._connect(attempt))
            try:
                if not attempt.may_write():
                    out.connection = None
                    self._return_to_pool(key, link)
                    return None
                hold_s = self._withhold_s(attempt, kept)
                await link.send("POST", "/inbox", self._headers(attempt), attempt.body, hold_s)
                if hold_s:
                    if not attempt.may_write():  # the time until the last byte counts too
                        return None
                    await link.send_withheld_byte()
                return link
            except ConnectionLostError:
                if not kept or out.may_have_run:
                    raise
                self.last_break_at = asyncio.get_running_loop().time()
                out.close()
        raise ConnectionLostError("no connection stays up")

    def _withhold_s(self, attempt: Attempt, kept: bool) -> float:
        """Guards against resets that say nothing: a call begins with its last byte, so a connection that
        breaks before it, as one does that had ended unnoticed, proves that nothing ran."""
        if attempt.ambiguity_is_final:
            return UNSAFE_WITHHOLD_S
        wary = kept and asyncio.get_running_loop().time() < self.last_break_at + BREAK_MEMORY_S
        return WITHHOLD_S if wary else 0.0

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Closes the idle connections to endpoints that drain, are gone or have moved."""
        self.listed_endpoints = listed
        for key in set(self.idle_by_endpoint) - listed:
            self._close_idle(key)

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """The same for one endpoint, at no cost for the others."""
        if self.listed_endpoints is None:
            self.listed_endpoints = set()
        if listed:
            self.listed_endpoints.add(key)
        else:
            self.listed_endpoints.discard(key)
            self._close_idle(key)

    def close(self) -> None:
        self.retain_only(set())

    def _close_idle(self, key: EndpointKey) -> None:
        for link in self.idle_by_endpoint.pop(key, ()):
            del self.idle_by_age[link]
            link.close()

    def sweep(self) -> None:
        """Drops connections that have ended or stood idle too long; endpoints hold only so many."""
        for link, key in list(self.idle_by_age.items()):
            if not self._is_reusable(link):
                self._remove_idle(link, key)
                link.close()

    def _remove_idle(self, link: EndpointConnection, key: EndpointKey) -> None:
        del self.idle_by_age[link]
        links = self.idle_by_endpoint[key]
        links.remove(link)
        if not links:
            del self.idle_by_endpoint[key]

    @staticmethod
    def _headers(attempt: Attempt) -> list[tuple[str, str]]:
        left = max(1, int((attempt.deadline_s - asyncio.get_running_loop().time()) * 1000))
        headers = [
            ("Host", f"{attempt.address[0]}:{attempt.address[1]}"),
            ("X-Trace-Id", attempt.trace_id),
            ("X-Expires-In-Ms", str(left)),
        ]
        if attempt.policy_label is not None:
            headers.append(("X-Rules", attempt.policy_label()))
        return (
            headers
            if attempt.idempotency_key is None
            else [*headers, ("Idempotency-Key", attempt.idempotency_key)]
        )

    def _is_reusable(self, link: EndpointConnection) -> bool:
        return link.is_usable and asyncio.get_running_loop().time() - link.idle_since < self.idle_s

    def _pop_idle(self, key: EndpointKey) -> EndpointConnection | None:
        while links := self.idle_by_endpoint.get(key):
            link = links[-1]
            self._remove_idle(link, key)
            if self._is_reusable(link) and link.has_no_unread_input:
                return link
            link.close()
        return None

    async def _connect(self, attempt: Attempt) -> EndpointConnection:
        async with asyncio.timeout(self.connect_timeout_s):
            link = await EndpointConnection.open(attempt.address, MAX_BODY_BYTES)
        link.endpoint_kind = attempt.kind
        return link

    def _return_to_pool(self, key: EndpointKey, link: EndpointConnection) -> None:
        wanted = self.listed_endpoints is None or key in self.listed_endpoints
        if not (
            link.is_usable
            and wanted
            and self.keep_alive.allows_idle(link.endpoint_kind, asyncio.get_running_loop().time())
        ):
            link.close()
            return
        if len(self.idle_by_age) >= self.max_idle:
            oldest, its = next(iter(self.idle_by_age.items()))
            self._remove_idle(oldest, its)
            oldest.close()
        self.idle_by_age[link] = key
        self.idle_by_endpoint.setdefault(key, []).append(link)

    def _release_after_body(self, key: EndpointKey, link: EndpointConnection) -> None:
        """The outcome is known before the body; the connection is free once the body has come."""
        if link.complete_body.done():
            self._return_to_pool(key, link)
            return
        cut = asyncio.get_running_loop().call_later(BODY_TIMEOUT_S, link.close)
        if (
            len(self.receiving_bodies) >= self.max_receiving_bodies
        ):  # Guards the descriptors against bodies that never end
            next(iter(self.receiving_bodies)).close()
        self.receiving_bodies[link] = None

        def ended(whole: asyncio.Future[bytes]) -> None:
            cut.cancel()
            self.receiving_bodies.pop(link, None)
            if not whole.cancelled() and whole.exception() is None:
                self._return_to_pool(key, link)

        link.complete_body.add_done_callback(ended)
