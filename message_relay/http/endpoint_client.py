"""Calls to endpoints: one at a time on a connection, and what each one's end proves."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from dataclasses import dataclass, replace

from ..core.ports import Attempt, AttemptResult, EndpointKey
from ..decisions.model import Outcome
from .connection import ConnectionLostError, EndpointConnection, Head
from .keep_alive import KeepAlivePolicy, connection_rejected

IDLE_SHARE = 0.8  # of the idle limit: an older connection may be closed while a call is written to it
BODY_S = 1.0  # a body that takes longer costs its connection, and a refusal its proof
BODY_BYTES = 64 * 1024
CAREFUL_HOLD_S = 0.025  # the last byte of what must not run twice waits for an end that is on its way
HOLD_S = 0.005  # and that of other calls, while connections break: most ends come as quickly as this
WARY_S = 10.0  # so long after one that was kept has broken


def answer_of(head: Head) -> AttemptResult:
    """Each row of the protocol's table in which an answer came back."""
    wait = retry_after_ms(head.headers.get("x-ratelimit-wait-ms", ""))
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


def report_of(head: Head, fields: tuple[str, ...]) -> tuple[float, ...]:
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


def retry_after_ms(text: str) -> float:
    try:
        wait = float(text)
    except ValueError:
        return 0.0
    return wait if wait > 0 and math.isfinite(wait) else 0.0


@dataclass(slots=True)
class Out:
    """The connection that one call is on."""

    link: EndpointConnection | None = None

    @property
    def may_run(self) -> bool:
        """Its last byte has left. Before that the endpoint never had the whole call."""
        return self.link is not None and self.link.sent

    def take(self, link: EndpointConnection) -> EndpointConnection:
        self.link, link.sent = link, False  # what was sent on it before is over
        return link

    def drop(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None


class EndpointClient:
    def __init__(
        self,
        idle_ms: float,
        connect_timeout_ms: float,
        most_idle: int,
        most_ending: int = 16,
        report_fields: tuple[str, ...] = (),
    ) -> None:
        self.report_fields, self.keeping = report_fields, KeepAlivePolicy()
        self.idle_s = IDLE_SHARE * idle_ms / 1000
        self.connect_s = connect_timeout_ms / 1000 or None
        self.most_idle = most_idle
        self.idle: dict[
            EndpointKey, list[EndpointConnection]
        ] = {}  # each list and all of them: longest idle first
        self.aged: OrderedDict[EndpointConnection, EndpointKey] = OrderedDict()
        self.listed: set[EndpointKey] | None = None  # None: not told yet
        self.ending: dict[
            EndpointConnection, None
        ] = {}  # answered, but their bodies have not come; oldest first
        self.most_ending = most_ending
        self.broke_at = -WARY_S  # when a connection that was kept broke before its call was answered

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        """Makes one call; giving up closes its connection, which frees the slot at the endpoint."""
        out, key, wait = Out(), (attempt.endpoint, attempt.address), 0.0
        try:
            async with asyncio.timeout_at(attempt.deadline_s):
                link = await self._written(attempt, key, out)
                if link is None:
                    return AttemptResult(Outcome.NOT_SENT, withheld=True)
                if await link.status == 200:
                    # True also if the rest of the answer is spoilt: the message is over.
                    answer = AttemptResult(Outcome.OK, finished=True, load_report=self._report(link))
                else:
                    head = await link.head
                    answer = replace(answer_of(head), load_report=report_of(head, self.report_fields))
                    if connection_rejected(head.status, head.headers, link.calls, answer.retry_after_ms):
                        self._no_place(attempt.kind)
                if answer.outcome.proves_no_effect:
                    # Guards unsafe messages: what looks like a refusal but does not end as one is spoilt,
                    # and a spoilt answer's request has run.
                    wait = answer.retry_after_ms
                    async with asyncio.timeout(BODY_S):
                        await link.whole
            out.link = None
            self._after_body(key, link)
            return answer
        except TimeoutError:
            return AttemptResult(
                Outcome.TIMEOUT if out.may_run else Outcome.CONNECT_FAILED, retry_after_ms=wait
            )
        except ConnectionLostError:
            if out.link is not None and out.may_run and out.link.calls > 1:
                self.broke_at = asyncio.get_running_loop().time()
            return AttemptResult(
                Outcome.RESET if out.may_run else Outcome.CONNECT_FAILED, retry_after_ms=wait
            )
        finally:
            out.drop()

    def _report(self, link: EndpointConnection) -> tuple[float, ...]:
        """Of an answer whose first line is enough, as far as the rest has come."""
        come = link.head.done() and link.head.exception() is None
        return report_of(link.head.result(), self.report_fields) if come else ()

    def _no_place(self, kind: str) -> None:
        """Frees the places that this relay holds at other endpoints of that kind, idle."""
        if self.keeping.refused(kind, asyncio.get_running_loop().time()):
            for link, key in [(link, key) for link, key in self.aged.items() if link.kind == kind]:
                self._remove(link, key)
                link.close()

    async def _written(self, attempt: Attempt, key: EndpointKey, out: Out) -> EndpointConnection | None:
        """A connection with the whole call on it; None if it may not go out after all. One that was kept and
        breaks before the last byte tells nothing of the endpoint: the call goes on another at once."""
        for may_be_kept in (True, True, False):
            link = self._pooled(key) if may_be_kept else None
            kept = link is not None
            link = out.take(link or await self._connect(attempt))
            try:
                if not attempt.may_write():
                    out.link = None
                    self._keep(key, link)
                    return None
                hold_s = self._hold_s(attempt, kept)
                await link.send("POST", "/inbox", self._headers(attempt), attempt.body, hold_s)
                if hold_s:
                    if not attempt.may_write():  # the time until the last byte counts too
                        return None
                    await link.finish()
                return link
            except ConnectionLostError:
                if not kept or out.may_run:
                    raise
                self.broke_at = asyncio.get_running_loop().time()
                out.drop()
        raise ConnectionLostError("no connection stays up")

    def _hold_s(self, attempt: Attempt, kept: bool) -> float:
        """Guards against resets that say nothing: a call begins with its last byte, so a connection that
        breaks before it, as one does that had ended unnoticed, proves that nothing ran."""
        if attempt.ambiguity_is_final:
            return CAREFUL_HOLD_S
        wary = kept and asyncio.get_running_loop().time() < self.broke_at + WARY_S
        return HOLD_S if wary else 0.0

    def retain_only(self, listed: set[EndpointKey]) -> None:
        """Closes the idle connections to endpoints that drain, are gone or have moved."""
        self.listed = listed
        for key in set(self.idle) - listed:
            self._drop_all(key)

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        """The same for one endpoint, at no cost for the others."""
        if self.listed is None:
            self.listed = set()
        if listed:
            self.listed.add(key)
        else:
            self.listed.discard(key)
            self._drop_all(key)

    def close(self) -> None:
        self.retain_only(set())

    def _drop_all(self, key: EndpointKey) -> None:
        for link in self.idle.pop(key, ()):
            del self.aged[link]
            link.close()

    def sweep(self) -> None:
        """Drops connections that have ended or stood idle too long; endpoints hold only so many."""
        for link, key in list(self.aged.items()):
            if not self._fresh(link):
                self._remove(link, key)
                link.close()

    def _remove(self, link: EndpointConnection, key: EndpointKey) -> None:
        del self.aged[link]
        links = self.idle[key]
        links.remove(link)
        if not links:
            del self.idle[key]

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

    def _fresh(self, link: EndpointConnection) -> bool:
        return link.usable and asyncio.get_running_loop().time() - link.idle_since < self.idle_s

    def _pooled(self, key: EndpointKey) -> EndpointConnection | None:
        while links := self.idle.get(key):
            link = links[-1]
            self._remove(link, key)
            if self._fresh(link) and link.quiet:
                return link
            link.close()
        return None

    async def _connect(self, attempt: Attempt) -> EndpointConnection:
        async with asyncio.timeout(self.connect_s):
            link = await EndpointConnection.open(attempt.address, BODY_BYTES)
        link.kind = attempt.kind
        return link

    def _keep(self, key: EndpointKey, link: EndpointConnection) -> None:
        wanted = self.listed is None or key in self.listed
        if not (link.usable and wanted and self.keeping.keeps(link.kind, asyncio.get_running_loop().time())):
            link.close()
            return
        if len(self.aged) >= self.most_idle:
            oldest, its = next(iter(self.aged.items()))
            self._remove(oldest, its)
            oldest.close()
        self.aged[link] = key
        self.idle.setdefault(key, []).append(link)

    def _after_body(self, key: EndpointKey, link: EndpointConnection) -> None:
        """The outcome is known before the body; the connection is free once the body has come."""
        if link.whole.done():
            self._keep(key, link)
            return
        cut = asyncio.get_running_loop().call_later(BODY_S, link.close)
        if len(self.ending) >= self.most_ending:  # Guards the descriptors against bodies that never end
            next(iter(self.ending)).close()
        self.ending[link] = None

        def ended(whole: asyncio.Future[bytes]) -> None:
            cut.cancel()
            self.ending.pop(link, None)
            if not whole.cancelled() and whole.exception() is None:
                self._keep(key, link)

        link.whole.add_done_callback(ended)
