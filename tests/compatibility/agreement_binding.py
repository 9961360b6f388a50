"""The product's names for leases, versions of rules, voters and evidence, as instances send them."""

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


def command_values(told: Command) -> Values:
    match told:
        case Propose():
            return {
                "proposal on": told.base,
                "rules text": told.rules.decode(),
                "author": told.author,
                "cause": told.cause,
                "unix ms": told.at_ms,
                "trial share": told.share,
                "guard": _guard(told.guard),
                "rules of version": told.restored_from,
            }
        case Promote():
            return {"promotion of": told.number, "author": told.author}
        case ChangeVoters():
            return {
                "voters changed on": told.base,
                "added": told.add,
                "removed": told.remove,
                "author": told.author,
                "unix ms": told.at_ms,
            }
        case Forget():
            return {"forgotten": told.name, "boot": told.epoch, "author": told.author, "unix ms": told.at_ms}
        case _:
            return {"withdrawal of": told.number, "author": told.author, "cause": told.cause}


def command_answer_values(answer: CommandAnswer) -> Values:
    return {"version": answer.number, "refusal": answer.refused}


def question_values(question: AdminRequest) -> Values:
    return {
        "question": question.operation,
        "rules text": bytes(question.rules).decode(),
        "author": question.author,
        "cause": question.cause,
        "on version": question.base,
        "version": question.number,
        "trial share": question.share,
        "guard": _guard(question.guard),
        "voter added": question.add,
        "voter removed": question.remove,
        "member or zone": question.name,
        "message": question.message,
    }


def rules_values(rules: Rules) -> Values:
    zones = rules.policies.zones
    return {
        "destinations": {
            name: {
                "rate": each.rate,
                "slots": each.slots,
                "endpoints": None if each.endpoints is None else sorted(each.endpoints),
                "closed": each.closed,
            }
            for name, each in rules.destinations.items()
        },
        "classes": {
            name: {"effect": each.effect, "attempts": each.attempts, "closed": each.closed}
            for name, each in rules.classes.items()
        },
        "zones that may be called": None if zones is None else sorted(zones),
        "evacuated zones": sorted(rules.policies.evacuated),
        "flows": {
            name: {"bounds": each.bound, "spare": each.spare, "shares": each.share}
            for name, each in rules.flows.items()
        },
        "instances by zone": rules.zones,
    }


def rules_digest(text: str) -> str:
    return digest(decode_rules(text.encode()))


def rules_difference(text: str, other: str) -> list[str]:
    """A line for each field that changes, as `rules diff` prints it."""
    return diff_rules(decode_rules(text.encode()), decode_rules(other.encode()))


def rules_fault(text: str) -> str:
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


def trial_members(number: int, rules_text: str, share: float, names: list[str]) -> list[str]:
    """Who tries a version, of these."""
    book = VersionHistory(Rules(), ("n0",))
    rules = rules_text.encode()
    book.apply(Propose(1, rules, "operator", "a trial", 5.0, share))
    version = msgspec.structs.replace(book.newest, number=number)
    return [name for name in names if is_in_canary(name, version)]


def book_after(rules_text: str) -> tuple[list[str], str]:
    """A log of commands: each answer, and the whole state that is handed to another voter."""
    book, rules = VersionHistory(Rules(), ("n1", "n0")), rules_text.encode()
    told = (
        Propose(1, rules, "operator", "stricter", 5.0, 0.25, Guard(0.8, 10, 5.0, True)),
        Promote(2, "operator"),
        Promote(2, "operator"),
        Propose(1, rules, "another", "late", 6.0),
        ChangeVoters(2, "n2", "", "operator", 7.0),
        Forget("n9", 4, "operator", 8.0),
    )
    answers = [msgspec.json.encode(book.apply(each)).decode() for each in told]
    return answers, book.dump().decode()


def lease_round(rules_text: str) -> list[str]:
    """A relay renews, a voter grants, before and after a second version, and the relay leaves."""
    book, terms = VersionHistory(Rules(), ("n0",)), LeaseTerms()
    first = digest(Rules()) + "/n0"
    relay = LeaseHolder(3, 77, first, terms, DENY_ALL)
    relay.add_version(book.newest)
    voter = LeaseGrantor("n0", book, terms, first, 0, 100.0)
    voter.clear_current_version(100.0)
    frames: list[str] = []

    def exchange(now: float, leaving: bool = False) -> None:
        renewal = relay.renew(now, is_leaving=leaving)
        grant = voter.on_renewal(now, "n5", renewal)
        relay.on_grant(now, "n0", grant)
        frames.extend((_pack(renewal).hex(), _pack(grant).hex()))

    exchange(100.0)
    exchange(100.3)
    book.apply(Propose(1, rules_text.encode(), "operator", "stricter", 5.0))
    exchange(100.6)
    exchange(100.9, leaving=True)
    return frames


# -- evidence ----------------------------------------------------------------------------------------------


def _cell(cell: WindowSample) -> Values:
    return {
        "destination": cell.destination,
        "zone": cell.zone,
        "calls": cell.calls,
        "good": cell.succeeded,
        "proven harmless": cell.proven_no_effect,
        "told to wait": cell.overloaded,
        "latency sketch": [list(pair) for pair in cell.latency_sketch],
        "avoided after failures": cell.avoided_after,
    }


def _demand(demand: Demand) -> Values:
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
        "demand": [_demand(each) for each in report.demand],
        "cells": [_cell(each) for each in report.samples],
    }


def evidence_of_calls() -> list[str]:
    """Two windows of one relay, as sent: calls that went well, failed, and were left out."""
    counting = CallCounter("n1", 9, "z-1")
    counting.record_submission(7, "anywhere 1")
    counting.record_call(7, "z-1", True, False, False, 12.5)
    counting.record_call(7, "z-2", False, True, False, 0.0)
    counting.record_call(7, "z-2", False, False, True, 0.0)
    sent = counting.close_window(2.0, 0.25)
    counting.record_submission(7, "anywhere 1")
    sent += counting.close_window(2.0, 0.5)
    return [_pack(each).hex() for each in sent]
