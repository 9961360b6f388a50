"""Clients over HTTP/1.1 as an intake: requests become offers, and ends become notices to the platform."""

from __future__ import annotations

import asyncio
import socket

from ..config import Config
from ..core.ports import FinalOutcome, InvalidMessageError, MessageAcceptor, Submission
from ..core.tasks import BackgroundTasks
from .agent import AgentClient
from .client_connection import ClientListener, ClientRequest, ClientResponse
from .outcome_notifier import OutcomeNotifier

NAME = "http"
HEADER_OF_FIELD = {
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
        acceptor: MessageAcceptor,
        config: Config,
        max_connections: int,
        crowding_threshold: int,
        inherited_socket: socket.socket | None = None,
    ) -> None:
        self.acceptor, self.listen_address, self.inherited_socket = acceptor, config.listen, inherited_socket
        self.listener = ClientListener(
            self.handle_request, acceptor.cancel, max_connections, crowding_threshold
        )
        self.notifier = OutcomeNotifier(AgentClient(config.discovery), acceptor.mark_notified)
        self.tasks = BackgroundTasks()
        self.notifier_task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        self.notifier_task = self.tasks.start(self.notifier.run())
        self.tasks.start(self.listener.watch())
        self.listener.listen(*self.listen_address, self.inherited_socket)

    def notify_outcome(self, outcome: FinalOutcome) -> None:
        self.notifier.add(outcome.id, outcome.state, outcome.retry_after_ms)

    def reload(self, config: Config) -> None:
        if self.notifier_task is not None:
            self.notifier_task.cancel()
        self.notifier.agent.close()
        self.notifier.switch_agent(AgentClient(config.discovery))
        self.notifier_task = self.tasks.start(self.notifier.run())

    def stop(self) -> None:
        self.listener.stop()

    @property
    def open_requests(self) -> int:
        return len(self.listener.connections)

    @property
    def pending_outcomes(self) -> int:
        return len(self.notifier.pending)

    async def close(self) -> None:
        self.listener.stop()
        await self.tasks.cancel()
        self.notifier.agent.close()

    def handle_request(self, request: ClientRequest) -> ClientResponse:
        """One request of a client."""
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == "/healthz":
            return ClientResponse(200 if self.acceptor.is_ready else 503)
        if request.method != "POST":
            return ClientResponse(405, "POST a message, or GET /healthz")
        try:
            offer = parse_submission(request, path)
            receipt = self.acceptor.accept(offer)
        except InvalidMessageError as error:
            return ClientResponse(400, f"{HEADER_OF_FIELD.get(error.field, error.field)}: {error.text}")
        if receipt.accepted:
            return ClientResponse(202, accepted_id=offer.id, durable=receipt.durable)
        return ClientResponse(503, receipt.reason, retry_after_s=receipt.retry_after_s)


def parse_submission(request: ClientRequest, path: str) -> Submission:
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
        _parse_destination(get("x-addressing", "")),
        get("idempotency-key"),
        int(left),
        get("x-second-try", ""),
        bytes(request.body),
        NAME,
    )


def _parse_destination(text: str) -> int:
    for part in text.replace(",", ";").split(";"):
        name, _, value = part.strip().partition("=")
        if name == "dest" and value.isascii() and value.isdecimal() and len(value) < 10:
            return int(value)
    raise InvalidMessageError("dest", "dest=NUMBER is needed")
