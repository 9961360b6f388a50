"""Removes a guard from the leases, to show that the checks find the faults that it prevents."""

from __future__ import annotations

from collections.abc import Callable

from message_relay.consensus.lease_grantor import LeaseGrantor
from message_relay.consensus.lease_holder import NEVER, LeaseHolder
from message_relay.consensus.lease_protocol import LeaseGrant, LeaseTerms

# "kept", "start", "byte" and "drift" are removed in world.py.
REMOVABLE_GUARDS = ("majority", "kept", "start", "wait", "standby", "byte", "drift", "asked")


def remove_holder_guard(holder: LeaseHolder, guard: str) -> None:
    """Remove a guard from a relay's lease, if it belongs there."""
    if guard == "asked":
        _start_lease_at_answer(holder)
    if guard == "majority":
        holder._majority_time = _any_voter_time(holder)  # type: ignore[method-assign]


def remove_grantor_guard(grantor: LeaseGrantor, guard: str, terms: LeaseTerms) -> None:
    """Remove a guard from a voter, if it belongs there."""
    if guard == "wait":
        grantor._is_possible_set_bounded = lambda *_: True  # type: ignore[method-assign]
    if guard == "standby":
        lease_s = terms.grantor_duration(terms.lease_s)
        grantor._is_bounded_by_age = lambda age, numbers, version: (  # type: ignore[method-assign]
            age > lease_s or grantor._is_intersection_subset(numbers, version)
        )


def _start_lease_at_answer(holder: LeaseHolder) -> None:
    on_grant = holder.on_grant

    def on_late_grant(now: float, voter: str, grant: LeaseGrant) -> bool:
        renewal = holder.sent_renewals.get(grant.sequence)
        if renewal is not None:
            holder.sent_renewals[grant.sequence] = renewal._replace(sent_at=now)
        return on_grant(now, voter, grant)

    holder.on_grant = on_late_grant  # type: ignore[method-assign]


def _any_voter_time(holder: LeaseHolder) -> Callable[..., float]:
    def latest_time(voters: tuple[str, ...], granted_version: int = 0) -> float:
        states = [holder.grant_states[name] for name in voters if name in holder.grant_states]
        return max((state.confirmed_at(granted_version) for state in states), default=NEVER)

    return latest_time
