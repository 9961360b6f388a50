"""Notices: how the platform learns the end of a message that was taken on and not delivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from ..structured_logging import LogEvent
from .agent import AgentClient, AgentError, Backoff

log = logging.getLogger(__name__)

BATCH = 200  # lines in one request
# The agent answers at once, and an end is owed 0.3 s after its message's time: a connection that has fallen
# silent is found out within that, and the batch sent once more on another.
ANSWER_S = 0.1
ANSWER_MAX_S = 1.0  # of an agent that is slow: no wait is longer
SLOW = 4.0  # so many times what its latest answer took
PAUSE_S, PAUSE_MAX_S = 0.05, 0.5  # between failed requests


class OutcomeNotifier:
    """Sends each notice until it is answered 204: at least once, also over a restart (see the journal)."""

    def __init__(self, agent: AgentClient, told: Callable[[list[str]], None]) -> None:
        self.agent, self.told = agent, told
        self.waiting: dict[str, str] = {}
        self.wake = asyncio.Event()
        self.batch = BATCH
        self.patience = ANSWER_S

    def add(self, ident: str, state: str, after_ms: float = 0.0) -> None:
        line: dict[str, object] = {"id": ident, "state": state}
        if after_ms > 0:
            line["after_ms"] = round(after_ms)
        self.waiting[ident] = json.dumps(line) + "\n"
        self.wake.set()

    def move(self, agent: AgentClient) -> None:
        """What waits, or was out unanswered, goes to this agent: a notice told twice does no harm."""
        self.agent = agent
        if self.waiting:
            self.wake.set()

    async def run(self) -> None:
        backoff = Backoff(PAUSE_S, PAUSE_MAX_S)
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.waiting:
                try:
                    await self._send(list(self.waiting)[: self.batch])
                    backoff.reset()
                except AgentError as error:
                    log.warning(LogEvent("notices failed", waiting=len(self.waiting), why=error))
                    self.patience = min(ANSWER_MAX_S, 2 * self.patience)
                    await backoff.pause()
                except Exception:
                    log.exception("notices: a batch could not be sent")
                    await backoff.pause()

    async def _send(self, idents: list[str]) -> None:
        body = "".join(self.waiting[ident] for ident in idents).encode()
        clock = asyncio.get_running_loop().time
        begun = clock()
        status, _ = await self.agent.request("POST", "/v1/outcomes", body, self.patience)
        self.patience = min(ANSWER_MAX_S, max(ANSWER_S, SLOW * (clock() - begun)))
        if status != 204:
            # Guards the others against one line that is not taken: from here on, one by one and in turn.
            self.batch = 1
            self.waiting[idents[0]] = self.waiting.pop(idents[0])
            raise AgentError(f"{len(idents)} notices answered {status}")
        self.batch = min(BATCH, 2 * self.batch)
        for ident in idents:
            del self.waiting[ident]
        self.told(idents)
