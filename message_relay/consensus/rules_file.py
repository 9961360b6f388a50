"""Proposes the rules in a file as a new version whenever the file changes."""

from __future__ import annotations

import asyncio
import logging
import time
from pathlib import Path

from ..structured_logging import LogEvent
from .context import ConsensusContext
from .proposer import Proposer
from .rules import Rules, RulesError
from .rules_codec import decode_rules, digest, encode_rules
from .version_history import FIRST_NUMBER, Propose

log = logging.getLogger(__name__)

RULES_FILE = "rules.json"
POLL_INTERVAL_S = 1.0


class RulesFile:
    """Polls the file; its rules are checked like those that an operator's command proposes."""

    def __init__(self, context: ConsensusContext, proposer: Proposer) -> None:
        self.context = context
        self.proposer = proposer
        self.path = Path(context.config.folder) / RULES_FILE
        self.seen_digest = ""

    async def run(self) -> None:
        """Poll at each interval."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                await self._poll()
            except FileNotFoundError:
                continue
            except (OSError, RulesError) as error:
                log.error(LogEvent("rules file unusable", file=self.path, why=error))

    async def _poll(self) -> None:
        """Propose the file's rules unless they were seen before or the newest version already has them."""
        rules = decode_rules(self.path.read_bytes())
        file_digest = digest(rules)
        if file_digest == self.seen_digest:
            return
        self.seen_digest = file_digest
        latest = self.context.lease_holder.latest_version
        if latest is not None and latest.digest == file_digest:
            return
        base = latest.number if latest is not None else FIRST_NUMBER
        result = await self.proposer.propose(self._proposal(rules, base))
        if result.refused:
            log.error(LogEvent("rules file rejected", file=self.path, why=result.refused))

    def _proposal(self, rules: Rules, base: int) -> Propose:
        author = f"{self.context.name}:{self.path.name}"
        return Propose(base, encode_rules(rules), author, "the file has changed", time.time() * 1000)
