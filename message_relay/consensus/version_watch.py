"""Watches the newest version in force, and reverts or promotes it according to its guard."""

from __future__ import annotations

import asyncio
import logging
import time

from ..structured_logging import LogEvent
from .canary_guard import CanaryWatch, RecentOutcomes, Verdict, total_counts
from .context import ConsensusContext
from .lease_grantor import LeaseGrantor
from .lease_protocol import DeliveryCounts
from .proposer import Proposer
from .replicated_log import ReplicatedLog
from .rules import RulesError
from .version_history import Promote, Propose, Stage, Version, Withdraw
from .voter import Voter

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
AUTHOR = "guard"  # author of the commands that the guard proposes


class VersionWatch:
    """Runs on each voter; only the log's leader proposes commands."""

    def __init__(self, context: ConsensusContext, voter: Voter, proposer: Proposer) -> None:
        self.context = context
        self.voter = voter
        self.proposer = proposer
        self.watch: CanaryWatch | None = None
        self.recent_outcomes = RecentOutcomes()
        self.latest_counts: DeliveryCounts | None = None  # of all relays, at the previous check

    async def run(self) -> None:
        """Check at each interval."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                self.voter.clear_current_version()
                replicated_log, grantor = self.voter.replicated_log, self.voter.lease_grantor
                if replicated_log is not None and grantor is not None:
                    await self._check(replicated_log, grantor)
            except Exception:
                log.exception("canary guard check failed")

    async def _check(self, replicated_log: ReplicatedLog, grantor: LeaseGrantor) -> None:
        """Evaluate the newest version. Commands name their version, so that a late one changes nothing."""
        now = self.context.clock.now()
        newest = self.voter.history.newest
        watch = self._watch_of(newest, grantor, now)
        if watch is None:
            return
        self.recent_outcomes.add(now, grantor.leases.values())
        self.latest_counts = total_counts(grantor.leases.values())
        if not replicated_log.is_leader or newest.guard is None or newest.stage is Stage.WITHDRAWN:
            return
        verdict, cause = watch.evaluate(now, grantor.leases.items())
        is_canary = newest.stage is Stage.CANARY
        if verdict is Verdict.HARMFUL and is_canary:
            await self.proposer.propose(Withdraw(newest.number, AUTHOR, cause))
        elif verdict is Verdict.HARMFUL:
            await self.proposer.propose(self._rollback(newest, cause))
        elif verdict is Verdict.HEALTHY and is_canary and newest.guard.promote:
            await self.proposer.propose(Promote(newest.number, AUTHOR))

    def _watch_of(self, newest: Version, grantor: LeaseGrantor, now: float) -> CanaryWatch | None:
        """Return the watch over the newest version, started if needed; None: it is not in force yet."""
        if self.watch is not None and self.watch.version.number == newest.number:
            return self.watch
        applies_to_all = newest.stage is Stage.CURRENT and newest.share >= 1
        if applies_to_all and grantor.cleared_version < newest.number:
            return None
        least_count = newest.guard.least_count if newest.guard is not None else 1
        baseline_share = self.recent_outcomes.delivered_share(least_count, self.latest_counts)
        if newest.guard is not None and applies_to_all and baseline_share is None:
            log.warning(LogEvent("canary guard has no baseline", version=newest.number, least=least_count))
        self.watch = CanaryWatch(newest, now, baseline_share)
        self.recent_outcomes = RecentOutcomes(self.recent_outcomes.span_s)
        return self.watch

    def _rollback(self, version: Version, cause: str) -> Propose:
        """Return a proposal of the rules before this version. Raises RulesError if there are none."""
        older = [
            other
            for other in self.voter.history.versions
            if other.number < version.number
            and other.stage is not Stage.WITHDRAWN
            and other.digest != version.digest
        ]
        if not older:
            raise RulesError("there is no earlier version to restore")
        return Propose(
            self.voter.history.newest.number,
            older[-1].rules,
            AUTHOR,
            cause,
            time.time() * 1000,
            restored_from=older[-1].number,
        )
