"""Notices: how the platform learns the end of a message that was taken on and not delivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from ..structured_logging import LogEvent
from .agent import AgentClient, AgentError, Backoff

log = logging.getLogger(__name__)

MAX_BATCH_LINES = 200  # lines in one request
# The agent answers at once, and an end is owed 0.3 s after its message's time: a connection that has fallen
# silent is found out within that, and the batch sent once more on another.
MIN_TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 1.0  # of an agent that is slow: no wait is longer
TIMEOUT_MULTIPLE = 4.0  # so many times what its latest answer took
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.5  # between failed requests


class OutcomeNotifier:
    """Sends each notice until it is answered 204: at least once, also over a restart (see the journal)."""

    def __init__(self, agent: AgentClient, on_notified: Callable[[list[str]], None]) -> None:
        self.agent, self.on_notified = agent, on_notified
        self.pending: dict[str, str] = {}
        self.wake = asyncio.Event()
        self.batch_size = MAX_BATCH_LINES
        self.timeout_s = MIN_TIMEOUT_S

    def add(self, ident: str, state: str, after_ms: float = 0.0) -> None:
        line: dict[str, object] = {"id": ident, "state": state}
        if after_ms > 0:
            line["after_ms"] = round(after_ms)
        self.pending[ident] = json.dumps(line) + "\n"
        self.wake.set()

    def switch_agent(self, agent: AgentClient) -> None:
        """What waits, or was out unanswered, goes to this agent: a notice told twice does no harm."""
        self.agent = agent
        if self.pending:
            self.wake.set()

    async def run(self) -> None:
        backoff = Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.pending:
                try:
                    await self._send(list(self.pending)[: self.batch_size])
                    backoff.reset()
                except AgentError as error:
                    log.warning(LogEvent("notices failed", waiting=len(self.pending), why=error))
                    self.timeout_s = min(MAX_TIMEOUT_S, 2 * self.timeout_s)
                    await backoff.pause()
                except Exception:
                    log.exception("notices: a batch could not be sent")
                    await backoff.pause()

    async def _send(self, idents: list[str]) -> None:
        body = "".join(self.pending[ident] for ident in idents).encode()
        clock = asyncio.get_running_loop().time
        begun = clock()
        status, _ = await self.agent.request("POST", "/v1/outcomes", body, self.timeout_s)
        self.timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, TIMEOUT_MULTIPLE * (clock() - begun)))
        if status != 204:
            # Guards the others against one line that is not taken: from here on, one by one and in turn.
            self.batch_size = 1
            self.pending[idents[0]] = self.pending.pop(idents[0])
            raise AgentError(f"{len(idents)} notices answered {status}")
        self.batch_size = min(MAX_BATCH_LINES, 2 * self.batch_size)
        for ident in idents:
            del self.pending[ident]
        self.on_notified(idents)
