"""Checks commands and proposes them to the replicated log, through a voter if this instance is none."""

from __future__ import annotations

import msgspec

from ..gossip.framing import Hello
from . import capabilities
from .context import PROPOSE_TIMEOUT_S, REQUEST_TIMEOUT_S, ConsensusContext
from .rules import Rules, RulesError
from .rules_codec import decode_rules
from .rules_intersection import is_subset
from .rules_validation import validate_rules
from .version_history import ChangeVoters, Command, CommandResult, Propose, decode_command
from .voter import Voter

COMMAND = "command"  # request on a connection
NOT_VOTING = "this voter does not vote"

_RESULT: msgspec.json.Decoder[CommandResult] = msgspec.json.Decoder(CommandResult)


class Proposer:
    """Proposes commands to the replicated log, and answers those that other instances forward."""

    def __init__(
        self, context: ConsensusContext, voter: Voter, classes: list[str], zones: tuple[str, ...]
    ) -> None:
        self.context = context
        self.voter = voter
        self.classes = classes
        self.zones = zones

    async def propose(self, command: Command) -> CommandResult:
        """Propose a command locally if this instance votes, otherwise at the first instance that does."""
        raw = msgspec.json.encode(command)
        if self.voter.replicated_log is not None:
            return await self._propose_locally(command, raw)
        result = CommandResult(refused="no voter can be reached")
        for name in self.voter.all_known_voters():
            try:
                answer = await self.context.gossip.request(
                    name, COMMAND, raw, PROPOSE_TIMEOUT_S + REQUEST_TIMEOUT_S
                )
                result = _RESULT.decode(answer)
            except (OSError, TimeoutError, msgspec.MsgspecError):
                continue
            if result.refused != NOT_VOTING:  # the refusal of one that starts or is disabled isn't final
                break
        return result

    async def on_command(self, hello: Hello, raw: bytes) -> bytes:
        """Answer a command that an instance without a vote forwards."""
        try:
            if self.voter.replicated_log is None:
                raise RulesError(NOT_VOTING)
            result = await self._propose_locally(decode_command(raw), raw)
        except RulesError as error:
            result = CommandResult(refused=str(error))
        return msgspec.json.encode(result)

    async def _propose_locally(self, command: Command, raw: bytes) -> CommandResult:
        assert self.voter.replicated_log is not None
        reason = self.refusal_reason(command)
        if reason:
            return CommandResult(refused=reason)
        return await self.voter.replicated_log.propose(command, raw, PROPOSE_TIMEOUT_S)

    def refusal_reason(self, command: Command) -> str:
        """Return why a command is refused, or an empty text: once agreed on, every relay has to act on it."""
        try:
            if isinstance(command, Propose):
                self._check_rules(decode_rules(command.rules))
            if isinstance(command, ChangeVoters):
                self._check_voters_change()
            return ""
        except RulesError as error:
            return str(error)

    def _check_rules(self, rules: Rules) -> None:
        validate_rules(rules, self.classes, self.zones)
        if not is_subset(self.context.config.floor, rules):
            raise RulesError("rules: they forbid what accord.floor allows an instance that is cut off")
        for claim in self.context.gossip.swim.present_members():
            unsupported = capabilities.unsupported_fields(rules, claim.capabilities)
            if unsupported:
                raise RulesError(
                    f"rules: {claim.name} runs a build that does not know "
                    f"{', '.join(unsupported)}: upgrade it first"
                )

    def _check_voters_change(self) -> None:
        elapsed = self.voter.seconds_since_voters_changed()
        wait = self.context.terms.grantor_duration(self.context.terms.horizon_s)
        if elapsed < wait:
            raise RulesError(f"voters: they changed {elapsed:.0f} s ago: wait until {wait:.0f} s have passed")
