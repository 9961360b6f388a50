"""SWIM membership (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar et al. 2017).

No I/O; the clock is passed in, in seconds; `outbox` collects packets to send, `changes` the changed claims.

Each period one member is pinged, in an order that is shuffled each round, so that every member is probed
within two rounds. A member that does not answer is probed by others; one that answers none of them is a
suspect, and dead once its suspicion has expired (suspicion.py). Claims about members are piggybacked on these
packets, so that a member's traffic does not grow with their number, except for the length of a round.

Special cases:
- A suspect learns of the suspicion with the next ping that it receives (Lifeguard's buddy system), so that it
  may still refute it.
- A process that was frozen or is short of CPU finds its own timers late; its claims about others are then
  unreliable. The local health score stretches its periods and suspicions, and a tick that is much too late
  restarts its probe instead of counting it as failed.
- Identities, the order of claims and conflicts between processes are in claim_rules.py, full exchanges in
  anti_entropy.py.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from . import claim_rules
from .anti_entropy import SyncSchedule, sync_targets
from .claim_packing import CLAIMS_EXAMINED_MAX, pack_claims, select_claims
from .dissemination_queue import DisseminationQueue
from .member_table import MemberTable
from .rate_limited_replies import RateLimitedReplies
from .settings import INSTANCES_MAX
from .suspicion import IndirectProbes, Probe, ProbeOrder, SuspicionTimers
from .wire import (
    Ack,
    Address,
    AppMessage,
    Body,
    Claim,
    IdentityConflict,
    IndirectPing,
    MemberState,
    Nack,
    Ping,
    Sync,
)

INDIRECT_PROBE_HELPERS = 3  # members asked to ping the target for this one
PROBE_TIMEOUT_SHARE = 0.3  # of a period, after which indirect probes start
LOCAL_HEALTH_MAX = 8  # of the local health multiplier, as in Lifeguard
STALLED_AFTER_PERIODS = 0.5  # a tick that is late by this much means that this process stalled
DEPARTED_RETENTION_S = 600.0  # departed members are retained, so that an old claim about them is not new
# Members known at a time: the size of a fleet. Guards against a flood of names, by mistake or by attack.
MEMBERS_MAX = INSTANCES_MAX


@dataclass
class Swim:
    """State machine of one member, driven by `tick` and `receive`; its owner empties outbox and changes."""

    own_claim: Claim
    seeds: tuple[Address, ...]
    rng: random.Random
    period_s: float = 1.0
    member_table: MemberTable = field(default_factory=MemberTable)
    outbox: list[tuple[Address, Body]] = field(default_factory=list)
    changes: list[Claim] = field(default_factory=list)
    identity_conflict: Claim | None = None  # of another process that has this one's identity
    newer_epoch_seen: int = 0  # epoch that others have seen for this folder, not below this process's
    highest_epochs: dict[str, int] = field(default_factory=dict)  # highest process epoch by identity

    def __post_init__(self) -> None:
        self.local_health_score = 0
        self.sequence = 0
        self.dissemination_queue = DisseminationQueue()
        self.rate_limited_replies = RateLimitedReplies()
        self.sync = SyncSchedule(self.seeds, self.rng, self.period_s)
        self.suspicions = SuspicionTimers()
        self.probe_order = ProbeOrder(self.rng)
        self.probe: Probe | None = None
        self.indirect_probes = IndirectProbes(self.period_s)
        self.next_period_at = 0.0
        self.next_tick_due = 0.0
        self.rejected_claims = 0  # about new members beyond MEMBERS_MAX
        self.last_rejected = ""  # the name of the latest of them
        self.dissemination_queue.add(self.own_claim.name)

    @property
    def members(self) -> dict[str, Claim]:
        """All known members except this one, by name."""
        return self.member_table.members

    def tick(self, now: float) -> None:
        """Run all due actions; to be called at `next_at` at the latest."""
        if self.next_tick_due and now > self.next_tick_due + STALLED_AFTER_PERIODS * self.period_s:
            self._on_stall(now)
        if now >= self.sync.next_at:
            self._start_sync(now)
        self._expire_indirect_probes(now)
        self.outbox += self.rate_limited_replies.next_burst(now)
        self._run_probe(now)
        self._expire_suspicions(now)
        self._evict_departed(now)
        self.next_tick_due = self.next_at()

    def next_at(self) -> float:
        """Return when the next `tick` is due."""
        times = [self.next_period_at, self.sync.next_at]
        if self.probe is not None and not self.probe.is_indirect and not self.probe.is_answered:
            times.append(self.probe.started_at + self._probe_timeout_s())
        if self.indirect_probes:
            times.append(self.indirect_probes.next_expiry_at())
        if self.suspicions:
            times.append(self.suspicions.next_expiry_at)
        if self.rate_limited_replies.in_progress:
            times.append(self.rate_limited_replies.next_burst_at)
        return min(times)

    def _expire_indirect_probes(self, now: float) -> None:
        while (expired := self.indirect_probes.pop_expired(now)) is not None:
            self._send_to_member(expired.requester, Nack(expired.sequence))

    def _on_stall(self, now: float) -> None:
        """Suspect no member for what this process missed: answers may be waiting unread."""
        self.local_health_score = LOCAL_HEALTH_MAX
        self.probe = None
        self.next_period_at = now
        self.indirect_probes.clear()
        self.suspicions.postpone(now - self.next_tick_due)

    def _period_span_s(self) -> float:
        return self.period_s * (1 + self.local_health_score)

    def _probe_timeout_s(self) -> float:
        return PROBE_TIMEOUT_SHARE * self._period_span_s()

    # -- probes and suspicions -------------------------------------------------------------------------------

    def _run_probe(self, now: float) -> None:
        probe = self.probe
        is_waiting = probe is not None and not probe.is_answered and not probe.is_indirect
        if is_waiting and probe is not None and now >= probe.started_at + self._probe_timeout_s():
            self._probe_indirectly(probe)
        if now < self.next_period_at:
            return
        if probe is not None:
            self._complete_probe(now, probe)
        self.probe = None
        target = self.probe_order.next_target(self.members)
        if target is not None:
            self.sequence += 1
            self.probe = Probe(target, self.sequence, now)
            self._ping(target)
        self.next_period_at = now + self._period_span_s()

    def _ping(self, target: str) -> None:
        self._send_to_member(target, Ping(self.sequence, target, self._piggybacked_claims(target)))

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.is_indirect = True
        helpers = self.member_table.sample(self.rng, INDIRECT_PROBE_HELPERS, MemberState.ALIVE, probe.target)
        probe.helpers = len(helpers)
        for name in helpers:
            claims = self._piggybacked_claims(name)
            self._send_to_member(name, IndirectPing(probe.sequence, probe.target, claims))

    def _complete_probe(self, now: float, probe: Probe) -> None:
        if probe.is_answered:
            self.local_health_score = max(0, self.local_health_score - 1)
            return
        # A nack shows that this member's link works; each missing one suggests that the fault may be its own.
        missing = probe.helpers - probe.nacks if probe.helpers else 1
        self.local_health_score = min(LOCAL_HEALTH_MAX, self.local_health_score + missing)
        claim = self.members.get(probe.target)
        if claim is not None and not claim.has_departed:
            self._apply_claim(now, self._claim_as(claim, MemberState.SUSPECT))

    def _claim_as(self, claim: Claim, state: MemberState) -> Claim:
        """Return this member's claim that the other one is in `state`."""
        return msgspec.structs.replace(claim, state=state, suspected_by=self.own_claim.name)

    def _expire_suspicions(self, now: float) -> None:
        if not self.suspicions.is_due(now):
            return
        for name in self.suspicions.expired(now):
            self._apply_claim(now, self._claim_as(self.members[name], MemberState.DEAD))
        self.suspicions.update_next_expiry()

    def _start_suspicion(self, now: float, claim: Claim) -> None:
        members, stretch = 1 + self.member_table.present_count, 1 + self.local_health_score
        self.suspicions.start(now, claim.name, claim.suspected_by, members, self.period_s, stretch)

    def _evict_departed(self, now: float) -> None:
        for name in self.member_table.evict_departed(now - DEPARTED_RETENTION_S):
            self.dissemination_queue.drop(name)

    # -- claims about members --------------------------------------------------------------------------------

    def _apply_claim(self, now: float, claim: Claim, is_sync_reply: bool = False) -> None:
        """Accept a claim if it outranks the known one. `is_sync_reply`: it is part of a full exchange."""
        if claim.name == self.own_claim.name:
            self._on_claim_about_self(claim)
            return
        known = self.members.get(claim.name)
        if known is None:
            if claim.has_departed or self._rejects_new_member(claim):
                return
        elif not self._outranks_known(known, claim):
            return
        if claim.process_epoch < self.highest_epochs.get(claim.id, 0):
            return
        self.highest_epochs[claim.id] = claim.process_epoch
        self.member_table.put(now, claim)
        self.sync.claims_learned += is_sync_reply
        if not (is_sync_reply and claim_rules.is_join(known, claim)):
            self.dissemination_queue.add(claim.name)
        self.suspicions.cancel(claim.name)
        if claim.state is MemberState.SUSPECT:
            self._start_suspicion(now, claim)
        if claim_rules.is_visible_change(known, claim):
            self.changes.append(claim)

    def _outranks_known(self, known: Claim, claim: Claim) -> bool:
        """Return whether `claim` replaces `known`; report conflicts of identity to the loser."""
        if claim.id != known.id:
            if known.has_departed:
                return True
            if not claim.has_departed:  # the name belongs to another instance, which is alive
                self._send(claim.address, IdentityConflict(known))
            return False
        if claim.process_epoch == known.process_epoch and claim.nonce != known.nonce:
            # Two processes of one folder. The higher nonce wins; the other process is informed.
            winner, loser = (known, claim) if claim.nonce < known.nonce else (claim, known)
            self._send(loser.address, IdentityConflict(winner))
            return winner is claim
        if claim.precedence <= known.precedence:
            self._confirm_suspicion(known, claim)
            if claim_rules.is_restored_folder(known, claim):
                self._send(claim.address, IdentityConflict(known))
            return False
        return True

    def _rejects_new_member(self, claim: Claim) -> bool:
        if len(self.members) < MEMBERS_MAX:
            return False
        self.rejected_claims += 1
        self.last_rejected = claim.name
        return True

    def _confirm_suspicion(self, known: Claim, claim: Claim) -> None:
        is_suspected = claim.name in self.suspicions.by_member and claim.precedence == known.precedence
        if is_suspected and self.suspicions.confirm(claim.name, claim.suspected_by):
            self.member_table.replace_equal(claim)  # disseminated under the name of its confirmer
            self.dissemination_queue.add(claim.name)

    def _on_claim_about_self(self, claim: Claim) -> None:
        """Refute a false claim, or record that another process outranks this one."""
        verdict = claim_rules.judge_claim_about_self(self.own_claim, claim)
        if verdict is claim_rules.SelfClaimVerdict.NEWER_EPOCH:
            self.newer_epoch_seen = max(self.newer_epoch_seen, claim.process_epoch)
        elif verdict is claim_rules.SelfClaimVerdict.IDENTITY_CONFLICT:
            self.identity_conflict = claim
        elif verdict is claim_rules.SelfClaimVerdict.TO_REFUTE:
            self.local_health_score = min(LOCAL_HEALTH_MAX, self.local_health_score + 1)
            self._raise_incarnation(claim.incarnation + 1)

    def _raise_incarnation(self, incarnation: int) -> None:
        self.own_claim = msgspec.structs.replace(self.own_claim, incarnation=incarnation)
        self.dissemination_queue.add(self.own_claim.name)

    def restart_as(self, process_epoch: int) -> None:
        """Rejoin with a process epoch above all those of this folder that others have seen."""
        self.own_claim = msgspec.structs.replace(
            self.own_claim, process_epoch=process_epoch, incarnation=0, state=MemberState.JOINING
        )
        self.identity_conflict = None
        self.newer_epoch_seen = 0
        self.sync.restart()
        self.dissemination_queue.add(self.own_claim.name)

    def leave(self) -> None:
        """Announce a deliberate stop to some members, which disseminate it."""
        self.own_claim = msgspec.structs.replace(self.own_claim, state=MemberState.LEFT)
        self.dissemination_queue.add(self.own_claim.name)
        present = [name for name, claim in self.members.items() if not claim.has_departed]
        for name in self.rng.sample(present, min(2 * INDIRECT_PROBE_HELPERS, len(present))):
            self._send_to_member(name, Sync(False, (self.own_claim,)))

    # -- packets received ------------------------------------------------------------------------------------

    def receive(self, now: float, sender: str, nonce: int, body: Body) -> AppMessage | None:
        """Handle one packet; return the message if it is for another part of the relay."""
        match body:
            case Ping(sequence, target, claims):
                self._apply_claims(now, claims)
                if target == self.own_claim.name and not self.own_claim.has_departed:
                    self._send_to_member(sender, Ack(sequence, self._piggybacked_claims(sender)))
            case Ack(sequence, claims):
                self._apply_claims(now, claims)
                self._on_ack(sequence)
            case IndirectPing(sequence, target, claims):
                self._apply_claims(now, claims)
                self._on_indirect_ping(now, sender, sequence, target)
            case Nack(sequence):
                if self.probe is not None and self.probe.sequence == sequence:
                    self.probe.nacks += 1
            case Sync():
                self._on_sync(now, body)
            case IdentityConflict(claim):
                self._on_claim_about_self(claim)
            case AppMessage():
                return body
        return None

    def _apply_claims(self, now: float, claims: Iterable[Claim], is_sync_reply: bool = False) -> None:
        for claim in claims:
            self._apply_claim(now, claim, is_sync_reply)

    def _on_indirect_ping(self, now: float, sender: str, sequence: int, target: str) -> None:
        if target not in self.members or len(self.indirect_probes) >= MEMBERS_MAX:
            return
        self.sequence += 1
        self.indirect_probes.add(now, self.sequence, sender, sequence)
        self._ping(target)

    def _on_ack(self, sequence: int) -> None:
        indirect = self.indirect_probes.pop(sequence)
        if indirect is not None:
            claims = self._piggybacked_claims(indirect.requester)
            self._send_to_member(indirect.requester, Ack(indirect.sequence, claims))
        elif self.probe is not None and self.probe.sequence == sequence:
            self.probe.is_answered = True

    def _complete_join(self) -> None:
        self.sync.is_synced = True
        if self.own_claim.state is MemberState.JOINING:
            self.own_claim = msgspec.structs.replace(self.own_claim, state=MemberState.ALIVE)
            self.dissemination_queue.add(self.own_claim.name)
            self.changes.append(self.own_claim)

    # -- packets sent ----------------------------------------------------------------------------------------

    def _start_sync(self, now: float) -> None:
        """Start a full exchange: with one seed until one has replied, then with some members."""
        if not self.sync.is_synced:
            self._send(self.sync.next_seed(now), Sync(True, (self.own_claim,)))  # replies hold all claims
            return
        if self.own_claim.state is MemberState.JOINING:
            self._complete_join()
        self.sync.on_started(now)
        for address in sync_targets(self.rng, self.own_claim, self.members, self.seeds):
            self._send(address, self._sync_request())

    def _sync_request(self) -> Sync:
        table, own = self.member_table, self.own_claim
        return Sync(True, (own,), table.checksum(own), table.slice_checksums(own))

    def _on_sync(self, now: float, sync: Sync) -> None:
        self._apply_claims(now, sync.claims, is_sync_reply=not sync.wants_reply)
        if not sync.wants_reply:
            if not self.sync.is_synced:
                self._complete_join()
            self.sync.on_reply(now)
        elif sync.claims:
            self._reply_to_sync(now, sync.claims[0].address, sync)

    def _reply_to_sync(self, now: float, to: Address, request: Sync) -> None:
        """Send all claims that differ, in full or, if too many replies are in progress, in part."""
        table = self.member_table
        slices = table.differing_slices(self.own_claim, request.checksum, request.slice_checksums)
        if slices is not None and not slices:
            return
        if self.rate_limited_replies.start(to, self._sync_packets(table.claims_in(slices))):
            self.outbox += self.rate_limited_replies.next_burst(now)
            return
        names = table.sample(self.rng, CLAIMS_EXAMINED_MAX, MemberState.ALIVE)  # enough to ask other members
        self._send(to, next(self._sync_packets(self.members[name] for name in names)))

    def _sync_packets(self, claims: Iterable[Claim]) -> Iterator[Sync]:
        return pack_claims(lambda: self.own_claim, claims)

    def _piggybacked_claims(self, recipient: str) -> tuple[Claim, ...]:
        """Return the claims to send along in a packet to this member."""
        return select_claims(self.own_claim, self.members, self.dissemination_queue, recipient)

    def _send_to_member(self, name: str, body: Body) -> None:
        claim = self.members.get(name)
        if claim is not None:
            self._send(claim.address, body)

    def _send(self, to: Address, body: Body) -> None:
        if to != self.own_claim.address:
            self.outbox.append((to, body))

    def present_members(self) -> list[Claim]:
        """Return the claims about all members that are joining, alive or suspect, this one included."""
        return [self.own_claim, *(claim for claim in self.members.values() if not claim.has_departed)]
