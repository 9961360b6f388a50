"""An instance that does not vote forwards commands to one that does."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import msgspec
import pytest

from message_relay.consensus.context import ConsensusContext
from message_relay.consensus.proposer import COMMAND, NOT_VOTING, Proposer
from message_relay.consensus.version_history import CommandResult, Withdraw
from message_relay.consensus.voter import Voter
from message_relay.gossip.framing import Hello

SILENT, STARTING = "silent", "starting"
WITHDRAWAL = Withdraw(2, "test", "a test")


class ScriptedPeers:
    """Voters with a scripted answer each."""

    def __init__(self, voters: dict[str, str | CommandResult]) -> None:
        self.voters, self.requested = voters, list[str]()

    async def request(self, name: str, kind: int, raw: bytes, seconds: float) -> bytes:
        self.requested.append(name)
        answer = self.voters[name]
        if answer == SILENT:
            raise TimeoutError
        if answer == STARTING:  # the real answer of a voter whose log is not open yet, or no longer
            return await proposer(self).on_command(Hello("n9", COMMAND), raw)
        return msgspec.json.encode(answer)


def proposer(peers: ScriptedPeers) -> Proposer:
    """Returns the proposer of an instance without a log."""
    context = cast(ConsensusContext, SimpleNamespace(gossip=peers))
    voter = SimpleNamespace(replicated_log=None, all_known_voters=lambda: sorted(peers.voters))
    return Proposer(context, cast(Voter, voter), [], ())


def propose(peers: ScriptedPeers) -> CommandResult:
    return asyncio.run(proposer(peers).propose(WITHDRAWAL))


@pytest.mark.parametrize(
    ("voters", "number", "refused", "requested"),
    [
        ({"n0": STARTING, "n1": CommandResult(number=3), "n2": CommandResult(number=4)}, 3, "", ["n0", "n1"]),
        ({"n0": SILENT, "n1": STARTING, "n2": CommandResult(number=4)}, 4, "", ["n0", "n1", "n2"]),
        (
            {"n0": STARTING, "n1": CommandResult(refused="no"), "n2": CommandResult(number=4)},
            0,
            "no",
            ["n0", "n1"],
        ),
        ({"n0": STARTING, "n1": SILENT}, 0, NOT_VOTING, ["n0", "n1"]),
        ({"n0": SILENT, "n1": SILENT}, 0, "no voter can be reached", ["n0", "n1"]),
    ],
)
def test_starting_voter_does_not_answer_for_the_others(
    voters: dict[str, str | CommandResult], number: int, refused: str, requested: list[str]
) -> None:
    """Guards against the first voter's refusal being final.

    On a busy machine the first of three voters was the last to open its log, and a command was refused that
    the two others would have accepted.
    """
    peers = ScriptedPeers(voters)
    assert propose(peers) == CommandResult(number, refused) and peers.requested == requested
