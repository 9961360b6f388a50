"""Notifies the platform of the final outcomes of accepted messages that are not delivered."""

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

MAX_BATCH_LINES = 200  # notifications per request
# A notification is due 0.3 s after its message's deadline, and the agent normally responds at once. With this
# timeout an unresponsive connection is detected in time to resend the batch on another.
MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 1.0  # for a slow agent
TIMEOUT_MULTIPLE = 4.0  # timeout as a multiple of the latest response time
# Backoff between failed requests.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


class OutcomeNotifier:
    """Sends each notification until it is acknowledged with 204 (at-least-once delivery).

    The journal retains a notification until `on_notified` is called with its id, so this also holds across
    restarts.
    """

    def __init__(self, agent: AgentClient, on_notified: Callable[[list[str]], None]) -> None:
        self.agent = agent
        self.on_notified = on_notified
        self.pending: dict[str, str] = {}  # line of the request body, by message id
        self.wake = asyncio.Event()
        self.batch_size = MAX_BATCH_LINES
        self.timeout_s = MIN_TIMEOUT_S

    def add(self, message_id: str, state: str, after_ms: float = 0.0) -> None:
        """Queue a notification; `after_ms`: delay until the client may submit the message again."""
        line: dict[str, object] = {"id": message_id, "state": state}
        if after_ms > 0:
            line["after_ms"] = round(after_ms)
        self.pending[message_id] = json.dumps(line) + "\n"
        self.wake.set()

    def switch_agent(self, agent: AgentClient) -> None:
        """Send queued and unacknowledged notifications to this agent; sending one twice is harmless."""
        self.agent = agent
        if self.pending:
            self.wake.set()

    async def run(self) -> None:
        """Send queued notifications in batches until cancelled."""
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
        """Move a batch behind the others, so that an agent that never responds in time gets them all."""
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
            # One rejected line must not block the others: send them one by one until batches succeed again.
            self.batch_size = 1
            raise AgentError(f"{len(message_ids)} notifications got status {status}")
        self.batch_size = min(MAX_BATCH_LINES, 2 * self.batch_size)
        for message_id in message_ids:
            del self.pending[message_id]
        self.on_notified(message_ids)
