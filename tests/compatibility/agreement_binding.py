"""Plain values of the messages about leases, versions of rules, voters and observations between instances.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

from __future__ import annotations

from typing import Any

import msgspec

from message_relay.consensus import capabilities
from message_relay.consensus.admin_socket import AdminRequest
from message_relay.consensus.lease_grantor import LeaseGrantor, is_in_canary
from message_relay.consensus.lease_holder import LeaseHolder
from message_relay.consensus.lease_protocol import LeaseGrant, LeaseTerms, LeaseRenewal
from message_relay.consensus.rules import DENY_ALL, Rules, RulesError
from message_relay.consensus.rules_codec import decode_rules, digest
from message_relay.consensus.rules_diff import diff_rules
from message_relay.consensus.version_history import CommandResult as CommandAnswer
from message_relay.consensus.version_history import (
    Command,
    Forget,
    Guard,
    Promote,
    Propose,
    Version,
    VersionHistory,
    ChangeVoters,
)
from message_relay.failover.call_counter import CallCounter
from message_relay.failover.observations import Demand, ObservationReport, WindowSample

Values = dict[str, Any]

_pack = msgspec.msgpack.encode


def renewal_values(renewal: LeaseRenewal) -> Values:
    return {
        "boot": renewal.epoch,
        "process nonce": renewal.nonce,
        "sequence": renewal.sequence,
        "digest of the first version": renewal.first_digest,
        "versions acted on": list(renewal.active_versions),
        "refused before": renewal.refused_before,
        "delivered": renewal.counts.delivered,
        "ended": renewal.counts.completed,
        "leaving": renewal.is_leaving,
    }


def grant_values(grant: LeaseGrant) -> Values:
    return {
        "sequence": grant.sequence,
        "noted": grant.is_recorded,
        "granted version": grant.granted_version,
        "cleared version": grant.cleared_version,
        "current version": grant.current_version,
        "trial version": grant.canary_version,
        "refusal": grant.reason,
    }


def _guard(guard: Guard | None) -> Values | None:
    if guard is None:
        return None
    return {
        "ratio": guard.least_ratio,
        "count": guard.least_count,
        "seconds": guard.watch_s,
        "promote": guard.promote,
    }


def version_values(version: Version) -> Values:
    return {
        "number": version.number,
        "digest": version.digest,
        "rules text": version.rules.decode(),
        "voters": list(version.voters),
        "author": version.author,
        "cause": version.cause,
        "unix ms": version.at_ms,
        "stage": version.stage.value,
        "trial share": version.share,
        "guard": _guard(version.guard),
        "rules of version": version.restored_from,
    }


def command_values(command: Command) -> Values:
    match command:
        case Propose():
            return {
                "proposal on": command.base,
                "rules text": command.rules.decode(),
                "author": command.author,
                "cause": command.cause,
                "unix ms": command.at_ms,
                "trial share": command.share,
                "guard": _guard(command.guard),
                "rules of version": command.restored_from,
            }
        case Promote():
            return {"promotion of": command.number, "author": command.author}
        case ChangeVoters():
            return {
                "voters changed on": command.base,
                "added": command.add,
                "removed": command.remove,
                "author": command.author,
                "unix ms": command.at_ms,
            }
        case Forget():
            return {
                "forgotten": command.name,
                "boot": command.epoch,
                "author": command.author,
                "unix ms": command.at_ms,
            }
        case _:
            return {"withdrawal of": command.number, "author": command.author, "cause": command.cause}


def command_answer_values(answer: CommandAnswer) -> Values:
    return {"version": answer.number, "refusal": answer.refused}


def admin_request_values(request: AdminRequest) -> Values:
    return {
        "question": request.operation,
        "rules text": bytes(request.rules).decode(),
        "author": request.author,
        "cause": request.cause,
        "on version": request.base,
        "version": request.number,
        "trial share": request.share,
        "guard": _guard(request.guard),
        "voter added": request.add,
        "voter removed": request.remove,
        "member or zone": request.name,
        "message": request.message,
    }


def rules_values(rules: Rules) -> Values:
    zones = rules.policies.zones
    return {
        "destinations": {
            name: {
                "rate": rule.rate,
                "slots": rule.slots,
                "endpoints": None if rule.endpoints is None else sorted(rule.endpoints),
                "closed": rule.closed,
            }
            for name, rule in rules.destinations.items()
        },
        "classes": {
            name: {"effect": rule.effect, "attempts": rule.attempts, "closed": rule.closed}
            for name, rule in rules.classes.items()
        },
        "zones that may be called": None if zones is None else sorted(zones),
        "evacuated zones": sorted(rules.policies.evacuated),
        "flows": {
            name: {"bounds": rule.bound, "spare": rule.spare, "shares": rule.share}
            for name, rule in rules.flows.items()
        },
        "instances by zone": rules.zones,
    }


def rules_digest(text: str) -> str:
    return digest(decode_rules(text.encode()))


def rules_difference(text: str, other: str) -> list[str]:
    """Returns a line for each changed field, as `rules diff` prints it."""
    return diff_rules(decode_rules(text.encode()), decode_rules(other.encode()))


def rules_error(text: str) -> str:
    try:
        decode_rules(text.encode())
    except RulesError as error:
        return str(error)
    return ""


def rules_capabilities(text: str, bits: int) -> list[Any]:
    rules = decode_rules(text.encode())
    return [
        capabilities.SUPPORTED,
        capabilities.required_capabilities(rules),
        capabilities.unsupported_fields(rules, bits),
    ]


def canary_members(number: int, rules_text: str, share: float, names: list[str]) -> list[str]:
    """Returns which of these relays are in the canary of a version."""
    history = VersionHistory(Rules(), ("n0",))
    rules = rules_text.encode()
    history.apply(Propose(1, rules, "operator", "a trial", 5.0, share))
    version = msgspec.structs.replace(history.newest, number=number)
    return [name for name in names if is_in_canary(name, version)]


def version_history_after(rules_text: str) -> tuple[list[str], str]:
    """Applies a log of commands; returns each result and the dump for another voter."""
    history, rules = VersionHistory(Rules(), ("n1", "n0")), rules_text.encode()
    commands = (
        Propose(1, rules, "operator", "stricter", 5.0, 0.25, Guard(0.8, 10, 5.0, True)),
        Promote(2, "operator"),
        Promote(2, "operator"),
        Propose(1, rules, "another", "late", 6.0),
        ChangeVoters(2, "n2", "", "operator", 7.0),
        Forget("n9", 4, "operator", 8.0),
    )
    results = [msgspec.json.encode(history.apply(command)).decode() for command in commands]
    return results, history.dump().decode()


def lease_round(rules_text: str) -> list[str]:
    """Renewals and grants in hex: a relay renews before and after a second version, then leaves."""
    history, terms = VersionHistory(Rules(), ("n0",)), LeaseTerms()
    first = digest(Rules()) + "/n0"
    relay = LeaseHolder(3, 77, first, terms, DENY_ALL)
    relay.add_version(history.newest)
    voter = LeaseGrantor("n0", history, terms, first, 0, 100.0)
    voter.clear_current_version(100.0)
    frames: list[str] = []

    def exchange(now: float, leaving: bool = False) -> None:
        renewal = relay.renew(now, is_leaving=leaving)
        grant = voter.on_renewal(now, "n5", renewal)
        relay.on_grant(now, "n0", grant)
        frames.extend((_pack(renewal).hex(), _pack(grant).hex()))

    exchange(100.0)
    exchange(100.3)
    history.apply(Propose(1, rules_text.encode(), "operator", "stricter", 5.0))
    exchange(100.6)
    exchange(100.9, leaving=True)
    return frames


# -- observations ------------------------------------------------------------------------------------------


def _sample_values(sample: WindowSample) -> Values:
    return {
        "destination": sample.destination,
        "zone": sample.zone,
        "calls": sample.calls,
        "good": sample.succeeded,
        "proven harmless": sample.proven_no_effect,
        "told to wait": sample.overloaded,
        "latency sketch": [list(pair) for pair in sample.latency_sketch],
        "avoided after failures": sample.avoided_after,
    }


def _demand_values(demand: Demand) -> Values:
    return {"destination": demand.destination, "group": demand.group, "per second": demand.rate}


def report_values(report: ObservationReport) -> Values:
    return {
        "origin": report.relay,
        "process nonce": report.nonce,
        "window": report.window,
        "part": report.part,
        "zone": report.zone,
        "age s": report.age_s,
        "load": report.load,
        "demand": [_demand_values(record) for record in report.demand],
        "cells": [_sample_values(record) for record in report.samples],
    }


def observations_of_calls() -> list[str]:
    """Encodes two windows of one relay: calls that succeeded, that had no effect, or were to wait."""
    counter = CallCounter("n1", 9, "z-1")
    counter.record_submission(7, "anywhere 1")
    counter.record_call(7, "z-1", True, False, False, 12.5)
    counter.record_call(7, "z-2", False, True, False, 0.0)
    counter.record_call(7, "z-2", False, False, True, 0.0)
    reports = counter.close_window(2.0, 0.25)
    counter.record_submission(7, "anywhere 1")
    reports += counter.close_window(2.0, 0.5)
    return [_pack(report).hex() for report in reports]
