"""Clients over HTTP/1.1 as an intake: requests become offers, and ends become notices to the platform."""

from __future__ import annotations

import asyncio
import socket

from ..config import Config
from ..core.ports import FinalOutcome, InvalidMessageError, MessageAcceptor, Submission
from ..core.tasks import BackgroundTasks
from .agent import AgentClient
from .client_connection import ClientListener, Reply, Request
from .outcome_notifier import OutcomeNotifier

NAME = "http"
FIELDS = {
    "id": "X-Trace-Id",
    "key": "Idempotency-Key",
    "tenant": "X-Customer",
    "left": "X-Expires-In-Ms",
    "dest": "X-Addressing",
}  # what a client calls the fields of an offer


class ClientIntake:
    """`most` connections of clients at once; so many idle ones as `roomy` says are few."""

    def __init__(
        self,
        desk: MessageAcceptor,
        config: Config,
        most: int,
        roomy: int,
        handed: socket.socket | None = None,
    ) -> None:
        self.desk, self.listen, self.handed = desk, config.listen, handed
        self.clients = ClientListener(self.take, desk.cancel, most, roomy)
        self.notices = OutcomeNotifier(AgentClient(config.discovery), desk.mark_notified)
        self.tasks = BackgroundTasks()
        self.telling: asyncio.Task[None] | None = None

    async def open(self) -> None:
        self.telling = self.tasks.start(self.notices.run())
        self.tasks.start(self.clients.watch())
        self.clients.listen(*self.listen, self.handed)

    def notify_outcome(self, end: FinalOutcome) -> None:
        self.notices.add(end.id, end.state, end.retry_after_ms)

    def reload(self, config: Config) -> None:
        if self.telling is not None:
            self.telling.cancel()
        self.notices.agent.close()
        self.notices.move(AgentClient(config.discovery))
        self.telling = self.tasks.start(self.notices.run())

    def stop(self) -> None:
        self.clients.stop()

    @property
    def open_requests(self) -> int:
        return len(self.clients.connections)

    @property
    def pending_outcomes(self) -> int:
        return len(self.notices.waiting)

    async def close(self) -> None:
        self.clients.stop()
        await self.tasks.cancel()
        self.notices.agent.close()

    def take(self, request: Request) -> Reply:
        """One request of a client."""
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == "/healthz":
            return Reply(200 if self.desk.is_ready else 503)
        if request.method != "POST":
            return Reply(405, "POST a message, or GET /healthz")
        try:
            offer = offer_of(request, path)
            receipt = self.desk.accept(offer)
        except InvalidMessageError as error:
            return Reply(400, f"{FIELDS.get(error.field, error.field)}: {error.text}")
        if receipt.accepted:
            return Reply(202, accepted=offer.id, when=receipt.durable)
        return Reply(503, receipt.reason, retry_s=receipt.retry_after_s)


def offer_of(request: Request, path: str) -> Submission:
    """Raises Malformed where a header cannot be read; what it means is the desk's to check."""
    get = request.headers.get
    class_ = path.strip("/").partition("/")[0]
    if get("x-qos", "") != class_:
        raise InvalidMessageError("class", f"path {path!r} and X-Qos {get('x-qos', '')!r} must name the same")
    left = get("x-expires-in-ms", "")
    if not (left.isascii() and left.isdecimal() and len(left) <= 9):
        raise InvalidMessageError("left", "whole milliseconds are needed")
    return Submission(
        get("x-trace-id", ""),
        class_,
        get("x-customer", ""),
        _dest(get("x-addressing", "")),
        get("idempotency-key"),
        int(left),
        get("x-second-try", ""),
        bytes(request.body),
        NAME,
    )


def _dest(text: str) -> int:
    for part in text.replace(",", ";").split(";"):
        name, _, value = part.strip().partition("=")
        if name == "dest" and value.isascii() and value.isdecimal() and len(value) < 10:
            return int(value)
    raise InvalidMessageError("dest", "dest=NUMBER is needed")
