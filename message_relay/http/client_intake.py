"""The intake for clients over HTTP/1.1.

Converts requests to submissions, and final outcomes to notifications of the platform.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..config import Config
from ..core.memory_account import MemoryAccount
from ..core.ports import FinalOutcome, InvalidMessageError, MessageAcceptor, Submission
from ..core.tasks import BackgroundTasks
from .agent import AgentClient
from .client_listener import ClientListener
from .client_messages import ClientRequest, ClientResponse
from .outcome_notifier import OutcomeNotifier

NAME = "http"
MAX_REMAINING_MS_DIGITS = 9
MAX_DESTINATION_DIGITS = 9
# The header of each submission field, so that errors name the header that the client sent.
HEADER_OF_FIELD = {
    "id": "X-Trace-Id",
    "key": "Idempotency-Key",
    "tenant": "X-Customer",
    "left": "X-Expires-In-Ms",
    "dest": "X-Addressing",
}


class ClientIntake:
    """Accepts messages on up to `max_connections` client connections.

    With `crowding_threshold` or more idle connections, no further one is kept open. `input_account`: the
    memory of unfinished requests.
    """

    def __init__(
        self,
        acceptor: MessageAcceptor,
        config: Config,
        max_connections: int,
        crowding_threshold: int,
        input_account: MemoryAccount | None = None,
        on_connection_closed: Callable[[], None] = lambda: None,
        inherited_socket: socket.socket | None = None,
    ) -> None:
        self.acceptor = acceptor
        self.listen_address = config.listen
        self.inherited_socket = inherited_socket
        self.listener = ClientListener(
            self.handle_request,
            acceptor.cancel,
            max_connections,
            crowding_threshold,
            input_account,
            on_connection_closed,
        )
        self.notifier = OutcomeNotifier(AgentClient(config.discovery), acceptor.mark_notified)
        self.tasks = BackgroundTasks()
        self.notifier_task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Start to accept messages and to send notifications. Raises OSError if it cannot listen."""
        self.notifier_task = self.tasks.start(self.notifier.run())
        self.tasks.start(self.listener.watch())
        self.listener.listen(*self.listen_address, self.inherited_socket)

    def notify_outcome(self, outcome: FinalOutcome) -> None:
        """Queue a notification to the platform."""
        self.notifier.add(outcome.id, outcome.state, outcome.retry_after_ms)

    def reload(self, config: Config) -> None:
        """Send notifications to the newly configured agent; none is lost."""
        if self.notifier_task is not None:
            self.notifier_task.cancel()
        self.notifier.agent.close()
        self.notifier.switch_agent(AgentClient(config.discovery))
        self.notifier_task = self.tasks.start(self.notifier.run())

    def announce_stop(self) -> None:
        """End each connection with its next response."""
        self.listener.announce_stop()

    def stop(self) -> None:
        """Accept no more connections; open ones are closed once the promised idle time has passed."""
        self.listener.stop()

    @property
    def open_requests(self) -> int:
        """Number of open connections; even an idle one may receive a request until it is closed."""
        return len(self.listener.connections)

    @property
    def pending_outcomes(self) -> int:
        """Number of notifications not yet acknowledged."""
        return len(self.notifier.pending)

    async def close(self) -> None:
        """Stop, and drop the queued notifications."""
        self.listener.stop()
        await self.tasks.cancel()
        self.notifier.agent.close()

    def handle_request(self, request: ClientRequest) -> ClientResponse:
        """Return the response to a client's request."""
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == "/healthz":
            return ClientResponse(200 if self.acceptor.is_ready else 503)
        if request.method != "POST":
            return ClientResponse(405, "POST a message, or GET /healthz")
        try:
            submission = parse_submission(request, path)
            result = self.acceptor.accept(submission)
        except InvalidMessageError as error:
            return ClientResponse(400, f"{HEADER_OF_FIELD.get(error.field, error.field)}: {error.text}")
        if result.accepted:
            return ClientResponse(202, accepted_id=submission.id, durable=result.durable)
        if result.may_have_run:
            return ClientResponse(500, result.reason)
        return ClientResponse(503, result.reason, retry_after_s=result.retry_after_s)


def parse_submission(request: ClientRequest, path: str) -> Submission:
    """Parse a submission from a request; the acceptor validates its values.

    Raises InvalidMessageError if a header cannot be parsed.
    """
    get = request.headers.get
    class_name = path.strip("/").partition("/")[0]
    if get("x-qos", "") != class_name:
        raise InvalidMessageError("class", f"path {path!r} and X-Qos {get('x-qos', '')!r} must name the same")
    remaining_ms = get("x-expires-in-ms", "")
    if not _is_decimal(remaining_ms, MAX_REMAINING_MS_DIGITS):
        raise InvalidMessageError("left", "whole milliseconds are needed")
    return Submission(
        id=get("x-trace-id", ""),
        class_name=class_name,
        tenant=get("x-customer", ""),
        destination=_parse_destination(get("x-addressing", "")),
        idempotency_key=get("idempotency-key"),
        remaining_ms=int(remaining_ms),
        resubmission=get("x-second-try", ""),
        body=bytes(request.body),
        origin=NAME,
    )


def _is_decimal(text: str, max_digits: int) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= max_digits


def _parse_destination(addressing: str) -> int:
    for part in addressing.replace(",", ";").split(";"):
        name, _, value = part.strip().partition("=")
        if name == "dest" and _is_decimal(value, MAX_DESTINATION_DIGITS):
            return int(value)
    raise InvalidMessageError("dest", "dest=NUMBER is needed")
