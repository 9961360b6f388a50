"""Handles operators' requests to an instance: queries, and changes that become commands of the log."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from .admin_socket import AdminRequest
from .call_observer import CallObserver
from .context import PROPOSE_TIMEOUT_S, ConsensusContext
from .proposer import Proposer
from .rule_enforcement import RuleEnforcer
from .rules import Rules, RulesError
from .rules_codec import decode_rules, encode_rules
from .version_history import ChangeVoters, Command, Forget, Promote, Propose, Version, Withdraw
from .voter import Voter

CHANGES = ("propose", "promote", "withdraw", "revert", "voters", "forget", "evacuate", "return")
EVACUATE = "evacuate"
NO_PLANS = "failover.zones: failover planning is not enabled on this instance"


class AdminRequestHandler:
    """Answers `AdminRequest`s; `call_observer` is set while failover planning is enabled."""

    def __init__(
        self,
        context: ConsensusContext,
        voter: Voter,
        proposer: Proposer,
        rule_enforcer: RuleEnforcer,
        zones: tuple[str, ...],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self.context = context
        self.voter = voter
        self.proposer = proposer
        self.rule_enforcer = rule_enforcer
        self.zones = zones
        self.status = status
        self.call_observer: CallObserver | None = None

    async def handle(self, request: AdminRequest) -> dict[str, Any]:
        """Return the answer to a request. Raises RulesError if the request is invalid."""
        now_ms = time.time() * 1000
        if request.operation in CHANGES:
            result = await self.proposer.propose(await self._command(request, now_ms))
            return {"number": result.number, "refused": result.refused}
        match request.operation:
            case "zones":
                return self._observer().status()
            case "plan":
                return self._observer().plan(request)
            case "status":
                return self.status()
            case "history":
                return {"versions": [_summary(version) for version in self.voter.known_versions()]}
            case "explain":
                return {"calls": self._decisions_on(request.message)}
            case "version":
                requested = self._version(request.number)
                return {**_summary(requested), "rules": msgspec.json.decode(requested.rules)}
        raise RulesError(f"ask: {request.operation!r} is no question")

    def _observer(self) -> CallObserver:
        if self.call_observer is None:
            raise RulesError(NO_PLANS)
        return self.call_observer

    def _decisions_on(self, message: str) -> list[Any]:
        decisions = self.rule_enforcer.decisions
        return [msgspec.to_builtins(decision) for decision in decisions if decision.message == message]

    def _version(self, number: int) -> Version:
        for version in self.voter.known_versions():
            if version.number == number:
                return version
        raise RulesError(f"number: version {number} is not known here")

    def _base(self, request: AdminRequest) -> int:
        return request.base if request.base is not None else self.voter.newest_number()

    # -- commands of the log ---------------------------------------------------------------------------------

    async def _command(self, request: AdminRequest, now_ms: float) -> Command:
        match request.operation:
            case "propose":
                return self._propose(request, now_ms)
            case "promote":
                return Promote(request.number, request.author)
            case "withdraw":
                return Withdraw(request.number, request.author, request.cause)
            case "revert":
                return self._revert(request, now_ms)
            case "evacuate" | "return":
                return self._evacuate_or_return(request, now_ms)
            case "voters":
                return await self._change_voters(request, now_ms)
            case _:
                return self._forget(request, now_ms)

    def _propose(self, request: AdminRequest, now_ms: float) -> Propose:
        rules = self._with_plans(decode_rules(bytes(request.rules)))
        return Propose(
            self._base(request),
            encode_rules(rules),
            request.author,
            request.cause,
            now_ms,
            request.share,
            request.guard,
        )

    def _revert(self, request: AdminRequest, now_ms: float) -> Propose:
        version = self._version(request.number)
        return Propose(
            self._base(request),
            version.rules,
            request.author,
            request.cause or f"back to {version.number}",
            now_ms,
            restored_from=version.number,
        )

    def _evacuate_or_return(self, request: AdminRequest, now_ms: float) -> Propose:
        rules = self._rules_with_zone(request.name, evacuated=request.operation == EVACUATE)
        return Propose(
            self._base(request),
            encode_rules(rules),
            request.author,
            request.cause or f"{request.operation} {request.name}",
            now_ms,
        )

    async def _change_voters(self, request: AdminRequest, now_ms: float) -> ChangeVoters:
        """Change pysyncobj's members first; the returned command records the change in the history."""
        add = "" if request.add is None else f"n{request.add}"
        remove = "" if request.remove is None else f"n{request.remove}"
        replicated_log = self.voter.replicated_log
        if replicated_log is None:
            raise RulesError("voters: ask an instance that votes")
        if add and self.context.gossip.address_of(add) is None:
            raise RulesError(f"voters: {add} is not a member at present")
        command = ChangeVoters(self._base(request), add, remove, request.author, now_ms)
        reason = self.proposer.refusal_reason(command)
        if not reason:
            reason = await replicated_log.change_voters(add, remove, PROPOSE_TIMEOUT_S)
        if reason:
            raise RulesError(reason)
        return command

    def _forget(self, request: AdminRequest, now_ms: float) -> Forget:
        claim = self.context.gossip.swim.members.get(request.name)
        if claim is None:
            raise RulesError(f"name: {request.name!r} is no member")
        return Forget(request.name, claim.process_epoch, request.author, now_ms)

    # -- rules -----------------------------------------------------------------------------------------------

    def _with_plans(self, rules: Rules) -> Rules:
        """Return an operator's rules with the failover plans in force, which operators do not write."""
        newest = self.voter.newest_rules()
        if self.call_observer is None or rules.flows:
            return rules
        policies = rules.policies
        if not policies.evacuated:
            policies = msgspec.structs.replace(policies, evacuated=newest.policies.evacuated)
        return msgspec.structs.replace(rules, flows=newest.flows, zones=newest.zones, policies=policies)

    def _rules_with_zone(self, zone: str, evacuated: bool) -> Rules:
        """Return the newest rules with one zone evacuated, or returned to use. Raises RulesError."""
        newest = self.voter.newest_rules()
        before = newest.policies.evacuated
        self._observer()
        if zone not in self.zones:
            raise RulesError(f"zone: {zone!r} is none of {', '.join(self.zones)}")
        if evacuated == (zone in before):
            raise RulesError(f"zone: {zone} is {'' if evacuated else 'not '}evacuated already")
        after = before | {zone} if evacuated else before - {zone}
        if not set(self.zones) - after:
            raise RulesError(f"zone: {zone} is the last zone that is not evacuated")
        policies = msgspec.structs.replace(newest.policies, evacuated=after)
        return msgspec.structs.replace(newest, policies=policies)


def _summary(version: Version) -> dict[str, Any]:
    return {
        "number": version.number,
        "digest": version.digest,
        "author": version.author,
        "cause": version.cause,
        "at_ms": version.at_ms,
        "stage": version.stage.value,
        "share": version.share,
        "of": version.restored_from,
        "voters": list(version.voters),
    }
