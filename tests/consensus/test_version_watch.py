"""The watch over the newest version, with a voter whose leases the test sets at each check."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from message_relay.consensus import version_watch
from message_relay.consensus.context import ConsensusContext
from message_relay.consensus.lease_grantor import RelayLease
from message_relay.consensus.lease_protocol import DeliveryCounts
from message_relay.consensus.proposer import Proposer
from message_relay.consensus.rules import DestinationRule, Rules
from message_relay.consensus.rules_codec import encode_rules
from message_relay.consensus.version_history import Guard, Propose, VersionHistory
from message_relay.consensus.version_watch import VersionWatch
from message_relay.consensus.voter import Voter

CHECK_INTERVAL_S = 0.5  # on the clock of the test, which moves once a check


class ScriptedVoter:
    """The leader of a cluster of one relay; `script` is called with the number of each check before it."""

    def __init__(self, script: Callable[[ScriptedVoter, int], None]) -> None:
        self.script = script
        self.checks = 0
        self.history = VersionHistory(Rules(), ("n0", "n1", "n2"))
        self.lease = RelayLease(1, 7)
        self.replicated_log = SimpleNamespace(is_leader=True)
        self.proposed: list[Any] = []

    @property
    def lease_grantor(self) -> Any:
        return SimpleNamespace(leases={"n0": self.lease}, cleared_version=self.history.newest.number)

    def now(self) -> float:
        return self.checks * CHECK_INTERVAL_S

    def clear_current_version(self) -> None:
        self.script(self, self.checks)
        self.checks += 1

    async def propose(self, command: Any) -> None:
        self.proposed.append(command)

    def set_counts(self, delivered: int, completed: int) -> None:
        self.lease.counts = DeliveryCounts(delivered, completed)

    def change_rules(self, rate: float, guard: Guard | None = None) -> None:
        rules = Rules({"1": DestinationRule(rate=rate)})
        base = self.history.newest.number
        self.history.apply(Propose(base, encode_rules(rules), "ana", "", 0.0, guard=guard))


def watched(
    monkeypatch: pytest.MonkeyPatch, checks: int, script: Callable[[ScriptedVoter, int], None]
) -> ScriptedVoter:
    """Runs the watch for so many checks."""

    async def run() -> ScriptedVoter:
        voter = ScriptedVoter(script)
        context = cast(ConsensusContext, SimpleNamespace(clock=voter))
        watch = VersionWatch(context, cast(Voter, voter), cast(Proposer, voter))
        task = asyncio.ensure_future(watch.run())
        while voter.checks < checks:
            await asyncio.sleep(0)
        task.cancel()
        return voter

    monkeypatch.setattr(version_watch, "CHECK_INTERVAL_S", 0)
    return asyncio.run(run())


def test_harmful_version_soon_after_another_is_rolled_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a baseline up to a second old, which had too few messages: the guard never acted."""

    def script(voter: ScriptedVoter, check: int) -> None:
        if check == 0:
            voter.change_rules(500.0)
        if check <= 3:  # the newest sample is of check 2, with 16 messages
            voter.set_counts(8 * check, 8 * check)
        elif check == 4:
            voter.change_rules(1.0, Guard(least_ratio=0.8, least_count=20, watch_s=5.0))
        else:  # nothing is delivered any longer
            voter.set_counts(24, 24 + 10 * (check - 4))

    voter = watched(monkeypatch, 10, script)
    assert voter.proposed and voter.proposed[0].restored_from == 2
    assert "delivered 0.000 of 20 messages with this version, 1.000 without" in voter.proposed[0].cause


def test_guard_without_a_baseline_is_reported(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def script(voter: ScriptedVoter, check: int) -> None:
        voter.set_counts(0, 10 * check)
        if check == 1:
            voter.change_rules(1.0, Guard(least_ratio=0.8, least_count=20, watch_s=5.0))

    with caplog.at_level(logging.WARNING):
        voter = watched(monkeypatch, 10, script)
    assert not voter.proposed
    messages = [record.getMessage() for record in caplog.records]
    assert sum("canary guard has no baseline" in message for message in messages) == 1


def test_restart_of_a_relay_does_not_spoil_the_baseline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The counts of a process begin at zero again: they are not compared with those before the restart."""

    def script(voter: ScriptedVoter, check: int) -> None:
        if check == 0:
            voter.change_rules(500.0)
        if check <= 4:
            voter.set_counts(30 * check, 30 * check)
        elif check == 5:
            voter.set_counts(1, 50)
        elif check == 6:
            voter.change_rules(1.0, Guard(least_ratio=0.8, least_count=20, watch_s=5.0))
        else:
            voter.set_counts(1, 50 + 10 * (check - 6))

    voter = watched(monkeypatch, 12, script)
    assert voter.proposed and "1.000 without" in voter.proposed[0].cause
