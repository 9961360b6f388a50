"""Claim rules: what a claim means compared with the known claim. Pure functions.

- Claims about a member are ordered by (process epoch, incarnation, state), and the highest wins. So they may
  arrive late, twice and in any order, and all members converge. Only a member itself raises its incarnation,
  to refute a suspicion. A restart raises the epoch, which outranks all claims about earlier processes.
- A name belongs to one identity while that is alive. A second process of the same folder (copied, or started
  twice) has another nonce: both learn of each other by gossip, and the one with the lower (process epoch,
  nonce) has to stop. A folder restored from a backup has an epoch that others have already seen.
"""

from __future__ import annotations

from enum import Enum, auto

from .wire import Claim, MemberState


class SelfClaimVerdict(Enum):
    """Consequence of a claim about this member itself."""

    IGNORED = auto()
    NEWER_EPOCH = auto()  # a later process of this folder has ended: the folder was restored from a backup
    IDENTITY_CONFLICT = auto()  # another live process has this member's name and outranks it
    TO_REFUTE = auto()  # the claim that this process is suspect or departed is false


def judge_claim_about_self(own: Claim, claim: Claim) -> SelfClaimVerdict:
    """Return the verdict on a claim about this member.

    A live claim about another process under this name counts by process epoch and nonce.
    """
    is_other_process = claim.nonce != own.nonce
    is_other_identity = claim.id != own.id
    is_earlier = claim.process_epoch < own.process_epoch
    if is_other_process and not is_other_identity and claim.has_departed and not is_earlier:
        return SelfClaimVerdict.NEWER_EPOCH
    if is_other_identity or (claim.process_epoch, claim.nonce) > (own.process_epoch, own.nonce):
        if not claim.has_departed and (is_other_process or is_other_identity):
            return SelfClaimVerdict.IDENTITY_CONFLICT
        return SelfClaimVerdict.IGNORED
    is_accused = not is_other_process and claim.state >= MemberState.SUSPECT and not own.has_departed
    if is_accused and claim.incarnation >= own.incarnation:
        return SelfClaimVerdict.TO_REFUTE
    return SelfClaimVerdict.IGNORED


def is_join(known: Claim | None, claim: Claim) -> bool:
    """Return whether the claim only states that a member joins or has joined."""
    return claim.state <= MemberState.ALIVE and (known is None or known.state is MemberState.JOINING)


def is_restored_folder(known: Claim, claim: Claim) -> bool:
    """Return whether the claim is of a live process whose state folder was restored from a backup."""
    return claim.process_epoch < known.process_epoch and claim.nonce != known.nonce and not claim.has_departed


def is_visible_change(known: Claim | None, claim: Claim) -> bool:
    """Return whether other parts of the relay must learn of the claim."""
    return known is None or (
        known.state is not claim.state
        or known.process_epoch != claim.process_epoch
        or known.capabilities != claim.capabilities
    )
