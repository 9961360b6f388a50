"""Outcome notifications: how the platform learns what became of an accepted message that is not delivered."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from ..core.backoff import ExponentialBackoff
from ..structured_logging import LogEvent
from .agent import AgentClient
from .errors import AgentError

log = logging.getLogger(__name__)

MAX_BATCH_LINES = 200  # in one request
# The agent answers at once, and an outcome is due 0.3 s after its message's deadline: a connection that has
# fallen silent is found out within this time, and the batch is sent once more on another.
MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 1.0  # of an agent that is slow
TIMEOUT_MULTIPLE = 4.0  # of the time that its latest response took
# Between failed requests.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


class OutcomeNotifier:
    """Sends each notification until it is answered with 204: at least once.

    The journal retains it until `on_notified` is called with its id, so this holds over a restart too.
    """

    def __init__(self, agent: AgentClient, on_notified: Callable[[list[str]], None]) -> None:
        self.agent = agent
        self.on_notified = on_notified
        self.pending: dict[str, str] = {}  # message id -> line of the request
        self.wake = asyncio.Event()
        self.batch_size = MAX_BATCH_LINES
        self.timeout_s = MIN_TIMEOUT_S

    def add(self, message_id: str, state: str, after_ms: float = 0.0) -> None:
        """Queue a notification; `after_ms` is when the client may submit the message again."""
        line: dict[str, object] = {"id": message_id, "state": state}
        if after_ms > 0:
            line["after_ms"] = round(after_ms)
        self.pending[message_id] = json.dumps(line) + "\n"
        self.wake.set()

    def switch_agent(self, agent: AgentClient) -> None:
        """Send what is queued or unanswered to this agent: a notification sent twice does no harm."""
        self.agent = agent
        if self.pending:
            self.wake.set()

    async def run(self) -> None:
        """Send what is queued, batch by batch, until cancelled."""
        backoff = ExponentialBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S, random.Random())
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.pending:
                message_ids = list(self.pending)[: self.batch_size]
                try:
                    await self._send_batch(message_ids)
                    backoff.reset()
                except AgentError as error:
                    log.warning(LogEvent("outcome notification failed", waiting=len(self.pending), why=error))
                    self._move_to_end(message_ids)
                    self.timeout_s = min(MAX_TIMEOUT_S, 2 * self.timeout_s)
                    await asyncio.sleep(backoff.next_delay())
                except Exception:
                    log.exception("outcome notification batch failed")
                    await asyncio.sleep(backoff.next_delay())

    def _move_to_end(self, message_ids: list[str]) -> None:
        """Let the others go first: an agent that never answers in time still gets each notification."""
        for message_id in message_ids:
            if message_id in self.pending:
                self.pending[message_id] = self.pending.pop(message_id)

    async def _send_batch(self, message_ids: list[str]) -> None:
        body = "".join(self.pending[message_id] for message_id in message_ids).encode()
        clock = asyncio.get_running_loop().time
        started_at = clock()
        status, _ = await self.agent.request("POST", "/v1/outcomes", body, self.timeout_s)
        self.timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_MULTIPLE * (clock() - started_at)))
        if status != 204:
            # Guards the others against one line that is rejected: from here on, one by one and in turn.
            self.batch_size = 1
            raise AgentError(f"{len(message_ids)} notices answered {status}")
        self.batch_size = min(MAX_BATCH_LINES, 2 * self.batch_size)
        for message_id in message_ids:
            del self.pending[message_id]
        self.on_notified(message_ids)
