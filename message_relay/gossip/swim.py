"""SWIM membership (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar et al. 2017).

No I/O; the clock is passed in, in seconds; `outbox` collects what is to be sent, `changes` what is new.

Each period one member is pinged, in an order that is shuffled each round, so that every member is probed
within two rounds. One that does not answer is probed by others; one that answers nobody is a suspect, and
dead once its suspicion has expired (suspicion.py). Claims about members are piggybacked on these packets, so
that a member's traffic does not grow with their number, except for the length of a round.

Why the odd cases are as they are:
- Claims about a member are ordered by (process epoch, incarnation, state), and the highest wins. So they may
  arrive late, twice and in any order, and all members converge. Only a member itself raises its incarnation,
  to refute a suspicion. A restart raises the epoch, which outranks all claims about earlier processes.
- A suspect learns of it with the next ping that it receives (Lifeguard's buddy system): it may still refute.
- A process that was frozen or is short of CPU finds its own timers late; then its claims about others are
  worth little. The local health score stretches its periods and suspicions, and a tick that comes much too
  late restarts its probe in place of counting it as failed.
- Dead members are contacted now and then for some time, and the seeds for good: so that the two sides of a
  partition find each other again.
- A joining member asks one seed at a time. What it learns from a reply is not disseminated: all others know
  it. One that learns much asks another member soon, so that a fleet that starts together knows all members
  within some rounds, and not by piggybacked claims, of which a packet holds a dozen.
- A name belongs to one identity while that lives. A second process of the same folder (copied, or started
  twice) has another nonce: both learn of the other by gossip, and the one with the lower (process epoch,
  nonce) knows that it is the one to stop. A folder restored from a backup has an epoch that was seen already.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from . import claim_rules
from .claim_packing import pack_claims, select_claims
from .dissemination_queue import DisseminationQueue
from .member_table import MemberTable
from .paced_replies import PacedReplies
from .settings import INSTANCES_MAX
from .suspicion import IndirectProbe, IndirectProbes, Probe, SuspicionTimers
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

DISSEMINATION_FACTOR = 3.0  # each claim is sent this often times log2(members): nearly all get it (SWIM, 4.1)
INDIRECT_PROBE_HELPERS = 3  # members requested to ping for us
PROBE_TIMEOUT_SHARE = 0.3  # of a period, after which indirect probes start
INDIRECT_TIMEOUT_SHARE = 0.55  # of a period: the base of the time after which a nack is due
INDIRECT_TIMEOUT_FACTOR = 0.6
LOCAL_HEALTH_MAX = 8  # of the local health multiplier, as in Lifeguard
STALLED_AFTER_PERIODS = 0.5  # a tick that is late by this much means that this process stalled
GONE_RETENTION_S = 600.0  # gone members are remembered: an old claim about them is not news
SYNC_PERIODS = 15.0  # between two full exchanges with one member
SYNC_SOON_PERIODS = 1.0  # until the next exchange after a reply with as many new claims as a packet has,
SYNC_LATER_PERIODS = 4.0  # and after one with fewer
FULL_PACKET_CLAIMS = 8  # least number of claims in a full packet
JOIN_RETRY_S = 0.5  # until a joining member asks the next seed
CLAIMS_EXAMINED_MAX = 40  # for one packet, which has room for 25 at most
# Known at once, as many as a fleet has. Guards against a flood of names, by mistake or worse.
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
    newer_epoch_seen: int = 0  # seen by others for this folder, at least as high as ours
    highest_epochs: dict[str, int] = field(default_factory=dict)  # highest process epoch by identity

    def __post_init__(self) -> None:
        self.local_health_score = 0
        self.sequence = 0
        self.dissemination_queue = DisseminationQueue()
        self.paced_replies = PacedReplies()
        self.claims_learned = 0  # new claims from replies since the last exchange was started
        self.next_seed = self.rng.randrange(len(self.seeds)) if self.seeds else 0
        self.suspicions = SuspicionTimers()
        self.probe_order: list[str] = []
        self.probe: Probe | None = None
        self.indirect_probes = IndirectProbes()
        self.next_period_at = 0.0
        self.next_sync_at = 0.0
        self.next_tick_due = 0.0
        self.rejected_claims = 0  # about new members beyond MEMBERS_MAX
        self.last_rejected = ""  # the name of the latest of them
        self.is_synced = not self.seeds
        self.dissemination_queue.add(self.own_claim.name)

    @property
    def members(self) -> dict[str, Claim]:
        """All known members but this one, by name."""
        return self.member_table.members

    # -- time ------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do what is due; to be called at `next_at` at the latest."""
        if self.next_tick_due and now > self.next_tick_due + STALLED_AFTER_PERIODS * self.period_s:
            self._on_stall(now)
        if now >= self.next_sync_at:
            if self.is_synced:
                self._start_sync(now)
            else:
                self._request_from_next_seed(now)
        self._expire_indirect_probes(now)
        self.outbox += self.paced_replies.next_burst(now)
        self._run_probe(now)
        self._expire_suspicions(now)
        self._evict_gone(now)
        self.next_tick_due = self.next_at()

    def next_at(self) -> float:
        """Return when the next `tick` is due."""
        times = [self.next_period_at, self.next_sync_at]
        if self.probe is not None and not self.probe.is_indirect and not self.probe.is_answered:
            times.append(self.probe.started_at + self._probe_timeout_s())
        if self.indirect_probes:
            times.append(self.indirect_probes.next_expiry_at())
        if self.suspicions:
            times.append(self.suspicions.next_expiry_at)
        if self.paced_replies.in_progress:
            times.append(self.paced_replies.next_burst_at)
        return min(times)

    def _request_from_next_seed(self, now: float) -> None:
        """Request all that a seed knows."""
        self.next_sync_at = now + JOIN_RETRY_S * self.rng.uniform(0.8, 1.2)
        seed = self.seeds[self.next_seed % len(self.seeds)]
        self._send(seed, Sync(True, (self.own_claim,)))
        self.next_seed += 1

    def _expire_indirect_probes(self, now: float) -> None:
        while (expired := self.indirect_probes.pop_expired(now)) is not None:
            self._send_to_member(expired.requester, Nack(expired.sequence))

    def _on_stall(self, now: float) -> None:
        """Blame nobody for what this process missed: answers may be waiting unread."""
        self.local_health_score = LOCAL_HEALTH_MAX
        late_s = now - self.next_tick_due
        self.probe = None
        self.next_period_at = now
        self.indirect_probes.clear()
        self.suspicions.postpone(late_s)

    def _period_span_s(self) -> float:
        return self.period_s * (1 + self.local_health_score)

    def _probe_timeout_s(self) -> float:
        return PROBE_TIMEOUT_SHARE * self._period_span_s()

    # -- probing ---------------------------------------------------------------------------------------------

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
        target = self._next_target()
        if target is not None:
            self.sequence += 1
            self.probe = Probe(target, self.sequence, now)
            self._ping(target)
        self.next_period_at = now + self._period_span_s()

    def _ping(self, target: str) -> None:
        self._send_to_member(target, Ping(self.sequence, target, self._piggybacked_claims(target)))

    def _next_target(self) -> str | None:
        while self.probe_order or self._shuffle_members():
            name = self.probe_order.pop()
            if name in self.members and not self.members[name].is_gone:
                return name
        return None

    def _shuffle_members(self) -> bool:
        self.probe_order = [name for name, claim in self.members.items() if not claim.is_gone]
        self.rng.shuffle(self.probe_order)
        return bool(self.probe_order)

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
        # A nack shows that our own link works; each one missing suggests that the fault may be ours.
        missing = probe.helpers - probe.nacks if probe.helpers else 1
        self.local_health_score = min(LOCAL_HEALTH_MAX, self.local_health_score + missing)
        claim = self.members.get(probe.target)
        if claim is not None and not claim.is_gone:
            self._apply_claim(now, self._claim_as(claim, MemberState.SUSPECT))

    def _claim_as(self, claim: Claim, state: MemberState) -> Claim:
        """Return this member's claim that the other one is in `state`."""
        return msgspec.structs.replace(claim, state=state, suspected_by=self.own_claim.name)

    # -- suspicion -------------------------------------------------------------------------------------------

    def _expire_suspicions(self, now: float) -> None:
        if not self.suspicions.is_due(now):
            return
        for name in self.suspicions.expired(now):
            self._apply_claim(now, self._claim_as(self.members[name], MemberState.DEAD))
        self.suspicions.update_next_expiry()

    def _start_suspicion(self, now: float, claim: Claim) -> None:
        count = 1 + self.member_table.present_count
        stretch = 1 + self.local_health_score
        self.suspicions.start(now, claim.name, claim.suspected_by, count, self.period_s, stretch)

    def _evict_gone(self, now: float) -> None:
        for name in self.member_table.evict_gone(now - GONE_RETENTION_S):
            self.dissemination_queue.drop(name)

    # -- claims about members --------------------------------------------------------------------------------

    def _apply_claim(self, now: float, claim: Claim, is_sync_reply: bool = False) -> None:
        """Accept a claim if it outranks the known one. `is_sync_reply`: it is part of a full exchange."""
        if claim.name == self.own_claim.name:
            self._on_claim_about_self(claim)
            return
        known = self.members.get(claim.name)
        if known is None:
            if claim.is_gone or self._rejects_new_member(claim):
                return
        elif not self._outranks_known(known, claim):
            return
        if claim.process_epoch < self.highest_epochs.get(claim.id, 0):
            return
        self.highest_epochs[claim.id] = claim.process_epoch
        self.member_table.put(now, claim)
        self.claims_learned += is_sync_reply
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
            if known.is_gone:
                return True
            if not claim.is_gone:  # the name belongs to another instance, and that one lives
                self._send(claim.address, IdentityConflict(known))
            return False
        if claim.process_epoch == known.process_epoch and claim.nonce != known.nonce:
            # Two processes of one folder. The higher nonce wins; it will learn of the other.
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
        if claim.name not in self.suspicions.by_member or claim.precedence != known.precedence:
            return
        if self.suspicions.confirm(claim.name, claim.suspected_by):
            self.member_table.replace_equal(claim)  # disseminated under the name of who confirmed it
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
        """Join anew as a process above all those of this folder that others have seen."""
        self.own_claim = msgspec.structs.replace(
            self.own_claim, process_epoch=process_epoch, incarnation=0, state=MemberState.JOINING
        )
        self.identity_conflict = None
        self.newer_epoch_seen = 0
        self.is_synced = not self.seeds
        self.next_sync_at = 0.0
        self.dissemination_queue.add(self.own_claim.name)

    def leave(self) -> None:
        """Announce a deliberate stop to some members, who disseminate it."""
        self.own_claim = msgspec.structs.replace(self.own_claim, state=MemberState.LEFT)
        self.dissemination_queue.add(self.own_claim.name)
        present = [name for name, claim in self.members.items() if not claim.is_gone]
        for name in self.rng.sample(present, min(2 * INDIRECT_PROBE_HELPERS, len(present))):
            self._send_to_member(name, Sync(False, (self.own_claim,)))

    # -- packets received ------------------------------------------------------------------------------------

    def receive(self, now: float, sender: str, nonce: int, body: Body) -> AppMessage | None:
        """Handle one packet; return the message if it is for another part of the relay."""
        match body:
            case Ping(sequence, target, claims):
                self._apply_claims(now, claims)
                if target == self.own_claim.name and not self.own_claim.is_gone:
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
            case Sync(wants_reply, claims, checksum, slice_checksums):
                self._apply_claims(now, claims, is_sync_reply=not wants_reply)
                if wants_reply and claims:
                    self._reply_to_sync(now, claims[0].address, checksum, slice_checksums)
                elif not wants_reply:
                    self._on_sync_reply(now)
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
        nack_at = now + INDIRECT_TIMEOUT_SHARE * self.period_s * INDIRECT_TIMEOUT_FACTOR
        self.indirect_probes.add(self.sequence, IndirectProbe(sender, sequence, nack_at))
        self._ping(target)

    def _on_ack(self, sequence: int) -> None:
        indirect = self.indirect_probes.pop(sequence)
        if indirect is not None:
            claims = self._piggybacked_claims(indirect.requester)
            self._send_to_member(indirect.requester, Ack(indirect.sequence, claims))
        elif self.probe is not None and self.probe.sequence == sequence:
            self.probe.is_answered = True

    def _complete_join(self) -> None:
        self.is_synced = True
        if self.own_claim.state is MemberState.JOINING:
            self.own_claim = msgspec.structs.replace(self.own_claim, state=MemberState.ALIVE)
            self.dissemination_queue.add(self.own_claim.name)
            self.changes.append(self.own_claim)

    def _on_sync_reply(self, now: float) -> None:
        if not self.is_synced:
            self._complete_join()
        if self.claims_learned:
            periods = SYNC_SOON_PERIODS if self.claims_learned >= FULL_PACKET_CLAIMS else SYNC_LATER_PERIODS
            sync_at = now + periods * self.period_s * self.rng.uniform(0.5, 1.5)
            self.next_sync_at = min(self.next_sync_at, sync_at)

    # -- packets sent ----------------------------------------------------------------------------------------

    def _start_sync(self, now: float) -> None:
        """Exchange with one present member, and with a dead one or a seed, so that partitions heal."""
        if self.own_claim.state is MemberState.JOINING:
            self._complete_join()
        self.next_sync_at = now + SYNC_PERIODS * self.period_s * self.rng.uniform(0.8, 1.2)
        self.claims_learned = 0
        present = [claim for claim in self.members.values() if not claim.is_gone]
        if present:
            self._send(self.rng.choice(present).address, self._sync_request())
        lost = [claim.address for claim in self.members.values() if claim.state is MemberState.DEAD]
        known = {claim.address for claim in present} | {self.own_claim.address}
        lost += [seed for seed in self.seeds if seed not in known]
        if lost:
            self._send(self.rng.choice(lost), self._sync_request())

    def _sync_request(self) -> Sync:
        table, own = self.member_table, self.own_claim
        return Sync(True, (own,), table.checksum(own), table.slice_checksums(own))

    def _reply_to_sync(self, now: float, to: Address, checksum: int, slice_checksums: bytes) -> None:
        """Send all claims that differ; a build without slice checksums gets all, unless its sum is equal."""
        table = self.member_table
        slices = table.differing_slices(self.own_claim, slice_checksums) if slice_checksums else None
        if slices is None:
            is_equal = checksum != 0 and checksum == table.checksum(self.own_claim)
        else:
            is_equal = not slices
        if is_equal:
            return
        if self.paced_replies.start(to, self._sync_packets(table.claims_in(slices))):
            self.outbox += self.paced_replies.next_burst(now)
            return
        # One packet is enough to go on with, and to ask others.
        names = table.sample(self.rng, CLAIMS_EXAMINED_MAX, MemberState.ALIVE)
        self._send(to, next(self._sync_packets(self.members[name] for name in names)))

    def _sync_packets(self, claims: Iterable[Claim]) -> Iterator[Sync]:
        return pack_claims(lambda: self.own_claim, claims)

    def _piggybacked_claims(self, recipient: str) -> tuple[Claim, ...]:
        """Return the claims to send along in a packet to this member."""
        send_limit = math.ceil(DISSEMINATION_FACTOR * math.log2(len(self.members) + 2))
        return select_claims(
            self.own_claim,
            self.members,
            self.dissemination_queue,
            recipient,
            CLAIMS_EXAMINED_MAX,
            send_limit,
        )

    def _send_to_member(self, name: str, body: Body) -> None:
        claim = self.members.get(name)
        if claim is not None:
            self._send(claim.address, body)

    def _send(self, to: Address, body: Body) -> None:
        if to != self.own_claim.address:
            self.outbox.append((to, body))

    # -- for other parts of the relay ------------------------------------------------------------------------

    def present_members(self) -> list[Claim]:
        """Return the claims about all members that are joining, alive or suspect, this one included."""
        return [self.own_claim, *(claim for claim in self.members.values() if not claim.is_gone)]
