"""Clients over HTTP/1.1 as an intake: requests become offers, and ends become notices to the platform."""

from __future__ import annotations

import asyncio
import socket

from ..config import Config
from ..core.seams import Desk, End, Malformed, Offer
from ..core.tasks import Tasks
from .agent import Agent
from .intake import Clients, Reply, Request
from .notices import Notices

NAME = "http"
FIELDS = {
    "id": "X-Trace-Id",
    "key": "Idempotency-Key",
    "tenant": "X-Customer",
    "left": "X-Expires-In-Ms",
    "dest": "X-Addressing",
}  # what a client calls the fields of an offer


class Front:
    """`most` connections of clients at once; so many idle ones as `roomy` says are few."""

    def __init__(
        self, desk: Desk, config: Config, most: int, roomy: int, handed: socket.socket | None = None
    ) -> None:
        self.desk, self.listen, self.handed = desk, config.listen, handed
        self.clients = Clients(self.take, desk.withdraw, most, roomy)
        self.notices = Notices(Agent(config.discovery), desk.told)
        self.tasks = Tasks()
        self.telling: asyncio.Task[None] | None = None

    async def open(self) -> None:
        self.telling = self.tasks.start(self.notices.run())
        self.tasks.start(self.clients.watch())
        self.clients.listen(*self.listen, self.handed)

    def end(self, end: End) -> None:
        self.notices.add(end.id, end.state, end.after_ms)

    def reload(self, config: Config) -> None:
        if self.telling is not None:
            self.telling.cancel()
        self.notices.agent.close()
        self.notices.move(Agent(config.discovery))
        self.telling = self.tasks.start(self.notices.run())

    def stop(self) -> None:
        self.clients.stop()

    @property
    def reading(self) -> int:
        return len(self.clients.connections)

    @property
    def unsettled(self) -> int:
        return len(self.notices.waiting)

    async def close(self) -> None:
        self.clients.stop()
        await self.tasks.cancel()
        self.notices.agent.close()

    def take(self, request: Request) -> Reply:
        """One request of a client."""
        path = request.target.partition("?")[0]
        if request.method == "GET" and path == "/healthz":
            return Reply(200 if self.desk.ready else 503)
        if request.method != "POST":
            return Reply(405, "POST a message, or GET /healthz")
        try:
            offer = offer_of(request, path)
            receipt = self.desk.take(offer)
        except Malformed as error:
            return Reply(400, f"{FIELDS.get(error.field, error.field)}: {error.text}")
        if receipt.taken:
            return Reply(202, accepted=offer.id, when=receipt.when)
        return Reply(503, receipt.why, retry_s=receipt.retry_s)


def offer_of(request: Request, path: str) -> Offer:
    """Raises Malformed where a header cannot be read; what it means is the desk's to check."""
    get = request.headers.get
    class_ = path.strip("/").partition("/")[0]
    if get("x-qos", "") != class_:
        raise Malformed("class", f"path {path!r} and X-Qos {get('x-qos', '')!r} must name the same")
    left = get("x-expires-in-ms", "")
    if not (left.isascii() and left.isdecimal() and len(left) <= 9):
        raise Malformed("left", "whole milliseconds are needed")
    return Offer(
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
    raise Malformed("dest", "dest=NUMBER is needed")
