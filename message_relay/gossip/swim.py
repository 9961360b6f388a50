"""Who is there: SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey
2017). No I/O; the clock is passed in, in seconds; `outbox` holds what is to be sent, `changes` what is new.

Each period one member is pinged, in an order that is shuffled each round, so that all are asked within two
rounds. One that does not answer is asked for by others; one that answers nobody is a suspect, and dead once
the suspicion is old enough. What is said of members travels on these packets, so that a member's traffic does
not grow with their number, but for the length of a round.

Why the odd cases are as they are:
- Words on a member are ordered by (boot, incarnation, state), and the highest stands. So they may come late,
  twice and in any order, and all members end with the same. Only a member itself raises its incarnation: to
  refute a suspicion. A restart raises the boot, which stands above all words on the process before.
- A suspect is told of it with the next ping it gets (Lifeguard's buddy system): it may still refute.
- A process that was frozen or is short of CPU finds its own timers late; then its word on others is worth
  little. `doubt` (the local health multiplier) stretches its periods and suspicions, and a tick that comes
  much too late starts its probe anew in place of counting it as failed.
- A suspicion's time shrinks as others confirm it from own probes: one member's bad link takes long to shut
  out another, three that agree do not.
- The dead are asked now and then for some time, and the seeds for good: so two halves find each other again.
- A joining member asks one seed at a time, and what it is answered is no news: all but it know of that. Who
  learns much from an answer asks another one soon, so that a fleet that starts together knows all within some
  rounds, and not by gossip, of which a packet holds a dozen words.
- A name stays with one identity while that lives. A second process of the same folder (copied, or started
  twice) has another nonce: both hear of the other by gossip, and the one with the lower (boot, nonce) knows
  that it is not the one that counts. A folder that went back in time has a boot that was seen already.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from .dissemination_queue import DisseminationQueue
from .member_table import MemberTable
from .paced_replies import PacedReplies
from .settings import INSTANCES_MAX
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
    encoded_size,
)

CLAIMS_BYTES_MAX = 1000  # of words on members in one packet
DISSEMINATION_FACTOR = (
    3.0  # each word is sent so many times log2(members): all but few hear of it by then (SWIM, 4.1)
)
INDIRECT_PROBE_HELPERS = 3  # asked to ping for us
PROBE_TIMEOUT_SHARE, INDIRECT_TIMEOUT_SHARE = (
    0.3,
    0.55,
)  # of a period: after so much others are asked, and a nack is due
LOCAL_HEALTH_MAX = 8  # of the local health multiplier, as Lifeguard has it
SUSPICION_PERIODS, SUSPICION_MAX_FACTOR = (
    4.0,
    6.0,
)  # least time in periods (times log10 of members), and most, in the least
CONFIRMATIONS_MAX = 3  # own probes of others that make a suspicion's time the least
STALLED_AFTER_PERIODS = 0.5  # a tick so much later than it was due says that this process stood still
GONE_RETENTION_S = 600.0  # the dead are remembered: an old word on them is not news
SYNC_PERIODS = 15.0  # between two exchanges of all that is known, with one member
SYNC_SOON_PERIODS = 1.0  # one whose answer held as many new words as a packet has asks another one so soon,
SYNC_LATER_PERIODS = 4.0  # and one that learned less, so soon
FULL_PACKET_CLAIMS = 8  # words at the least in a packet that is full
JOIN_RETRY_S = 0.5  # a joining member asks the next seed
CLAIMS_EXAMINED_MAX = 40  # looked at for one packet: it has room for 25 at the most
MEMBERS_MAX = INSTANCES_MAX  # known at once, as many as a fleet has; more are somebody's mistake, or worse


@dataclass
class Suspicion:
    since: float
    by: set[str]
    least: float
    most: float

    def ends(self) -> float:
        """Falls with the logarithm of the number that confirm it (Lifeguard, 3.3)."""
        share = math.log(len(self.by)) / math.log(CONFIRMATIONS_MAX + 1) if self.by else 0.0
        return self.since + max(self.least, self.most - (self.most - self.least) * share)


@dataclass
class Probe:
    target: str
    seq: int
    begun: float
    asked: bool = False  # others
    answered: bool = False
    nacks: int = 0
    helpers: int = 0


@dataclass
class IndirectProbe:
    """A ping for another member."""

    asker: str
    seq: int  # the asker's
    nack_at: float


@dataclass
class Swim:
    own_claim: Claim
    seeds: tuple[Address, ...]
    rng: random.Random
    period_s: float = 1.0
    member_table: MemberTable = field(default_factory=MemberTable)
    outbox: list[tuple[Address, Body]] = field(default_factory=list)
    changes: list[Claim] = field(default_factory=list)
    identity_conflict: Claim | None = None  # another process is who this one says it is
    newer_epoch_seen: int = 0  # a boot of this folder that others have seen, where that is not below this one
    highest_epochs: dict[str, int] = field(default_factory=dict)  # identity -> highest boot

    def __post_init__(self) -> None:
        self.local_health_score = 0
        self.sequence = 0
        self.dissemination_queue = DisseminationQueue()
        self.paced_replies = PacedReplies()
        self.claims_learned = 0  # words that were new, from others' answers since this one asked
        self.next_seed = (
            self.rng.randrange(len(self.seeds)) if self.seeds else 0
        )  # the seed that is asked next
        self.suspicions: dict[str, Suspicion] = {}
        self.suspicion_at = math.inf  # none ends before that
        self.probe_order: list[str] = []
        self.probe: Probe | None = None
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.next_period_at = self.next_sync_at = self.next_tick_due = 0.0
        self.rejected_claims, self.last_rejected = (
            0,
            "",
        )  # words on members past the most there may be; the latest name
        self.is_synced = not self.seeds
        self.dissemination_queue.add(self.own_claim.name)

    @property
    def members(self) -> dict[str, Claim]:
        """All that are known but this one."""
        return self.member_table.members

    # -- time ------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Does what is due; call it at `next_at` at the latest."""
        if self.next_tick_due and now > self.next_tick_due + STALLED_AFTER_PERIODS * self.period_s:
            self._on_stall(now)
        if not self.is_synced and now >= self.next_sync_at:
            self.next_sync_at = now + JOIN_RETRY_S * self.rng.uniform(0.8, 1.2)
            self._send(
                self.seeds[self.next_seed % len(self.seeds)], Sync(True, (self.own_claim,))
            )  # for all there is
            self.next_seed += 1
        elif self.is_synced and now >= self.next_sync_at:
            self._start_sync(now)
        self._expire_indirect_probes(now)
        self.outbox += self.paced_replies.next_burst(now)
        self._run_probe(now)
        self._expire_suspicions(now)
        self._evict_gone(now)
        self.next_tick_due = self.next_at()

    def next_at(self) -> float:
        times = [self.next_period_at, self.next_sync_at]
        if self.probe is not None and not self.probe.asked and not self.probe.answered:
            times.append(self.probe.begun + self._probe_timeout_s())
        if self.indirect_probes:
            times.append(next(iter(self.indirect_probes.values())).nack_at)
        if self.suspicions:
            times.append(self.suspicion_at)
        if self.paced_replies.in_progress:
            times.append(self.paced_replies.next_burst_at)
        return min(times)

    def _expire_indirect_probes(self, now: float) -> None:
        """All have the same time, so that the first one is due first."""
        while self.indirect_probes:
            seq, errand = next(iter(self.indirect_probes.items()))
            if now < errand.nack_at:
                return
            del self.indirect_probes[seq]
            self._send_to_member(errand.asker, Nack(errand.seq))

    def _on_stall(self, now: float) -> None:
        """Answers may lie unread: nobody is blamed for what this process missed."""
        self.local_health_score = LOCAL_HEALTH_MAX
        late = now - self.next_tick_due
        self.probe, self.next_period_at = None, now
        self.indirect_probes.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += late
        self.suspicion_at += late

    def _period_span_s(self) -> float:
        return self.period_s * (1 + self.local_health_score)

    def _probe_timeout_s(self) -> float:
        return PROBE_TIMEOUT_SHARE * self._period_span_s()

    # -- probing ---------------------------------------------------------------------------------------------

    def _run_probe(self, now: float) -> None:
        probe = self.probe
        waits = probe is not None and not probe.answered and not probe.asked
        if waits and probe is not None and now >= probe.begun + self._probe_timeout_s():
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
            self._send_to_member(target, Ping(self.sequence, target, self._piggybacked_claims(target)))
        self.next_period_at = now + self._period_span_s()

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
        probe.asked = True
        helpers = self.member_table.sample(self.rng, INDIRECT_PROBE_HELPERS, MemberState.ALIVE, probe.target)
        probe.helpers = len(helpers)
        for name in helpers:
            self._send_to_member(name, IndirectPing(probe.seq, probe.target, self._piggybacked_claims(name)))

    def _complete_probe(self, now: float, probe: Probe) -> None:
        if probe.answered:
            self.local_health_score = max(0, self.local_health_score - 1)
            return
        # A nack says that our link works; each that is missing says that it may be us.
        missing = probe.helpers - probe.nacks
        self.local_health_score = min(
            LOCAL_HEALTH_MAX, self.local_health_score + (missing if probe.helpers else 1)
        )
        claim = self.members.get(probe.target)
        if claim is not None and claim.state in (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT):
            self._apply_claim(
                now,
                msgspec.structs.replace(claim, state=MemberState.SUSPECT, suspected_by=self.own_claim.name),
            )

    # -- suspicion -------------------------------------------------------------------------------------------

    def _expire_suspicions(self, now: float) -> None:
        if not self.suspicions or now < self.suspicion_at:
            return
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.ends():
                claim = self.members[name]
                self._apply_claim(
                    now,
                    msgspec.structs.replace(claim, state=MemberState.DEAD, suspected_by=self.own_claim.name),
                )
        self.suspicion_at = min((each.ends() for each in self.suspicions.values()), default=math.inf)

    def _start_suspicion(self, now: float, claim: Claim) -> None:
        count = 1 + self.member_table.present_count
        least = (
            SUSPICION_PERIODS
            * max(1.0, math.log10(max(1, count)))
            * self.period_s
            * (1 + self.local_health_score)
        )
        # With few members there is nobody to confirm: the least time has to do.
        most = least * (SUSPICION_MAX_FACTOR if count > CONFIRMATIONS_MAX + 2 else 1.0)
        suspicion = self.suspicions[claim.name] = Suspicion(now, {claim.suspected_by}, least, most)
        self.suspicion_at = min(self.suspicion_at, suspicion.ends())

    def _evict_gone(self, now: float) -> None:
        for name in self.member_table.evict_gone(now - GONE_RETENTION_S):
            self.dissemination_queue.drop(name)

    # -- words on members ------------------------------------------------------------------------------------

    def _apply_claim(self, now: float, claim: Claim, answer: bool = False) -> None:
        """One word: it stands if it is above what stood. `answer`: it came among all that another knows."""
        if claim.name == self.own_claim.name:
            self._on_claim_about_self(claim)
            return
        known = self.members.get(claim.name)
        if known is None and (claim.is_gone or self._rejects_new_member(claim)):
            return
        if known is not None and claim.id != known.id and not known.is_gone:
            if not claim.is_gone:
                self._send((claim.host, claim.port), IdentityConflict(known))
            return  # the name is another's, and that one lives
        twin = known is not None and (claim.id, claim.process_epoch) == (known.id, known.process_epoch)
        if twin and known is not None and claim.nonce != known.nonce:
            # Two processes of one folder. The higher nonce stands for it; it will hear of the other.
            self._send(
                (claim.host, claim.port) if claim.nonce < known.nonce else (known.host, known.port),
                IdentityConflict(max(claim, known, key=lambda each: each.nonce)),
            )
            if claim.nonce < known.nonce:
                return
        elif known is not None and claim.id == known.id and claim.precedence <= known.precedence:
            self._confirm_suspicion(known, claim)
            if claim.process_epoch < known.process_epoch and claim.nonce != known.nonce and not claim.is_gone:
                self._send(
                    (claim.host, claim.port), IdentityConflict(known)
                )  # its folder has gone back in time
            return
        if claim.process_epoch < self.highest_epochs.get(claim.id, 0):
            return
        self.highest_epochs[claim.id] = claim.process_epoch
        self.member_table.put(now, claim)
        self.claims_learned += answer
        joined = claim.state <= MemberState.ALIVE and (known is None or known.state is MemberState.JOINING)
        if not (answer and joined):
            self.dissemination_queue.add(claim.name)
        self.suspicions.pop(claim.name, None)
        if claim.state is MemberState.SUSPECT:
            self._start_suspicion(now, claim)
        if known is None or (known.state, known.process_epoch, known.capabilities) != (
            claim.state,
            claim.process_epoch,
            claim.capabilities,
        ):
            self.changes.append(claim)

    def _rejects_new_member(self, claim: Claim) -> bool:
        if len(self.members) < MEMBERS_MAX:
            return False
        self.rejected_claims, self.last_rejected = self.rejected_claims + 1, claim.name
        return True

    def _confirm_suspicion(self, known: Claim, claim: Claim) -> None:
        suspicion = self.suspicions.get(claim.name)
        if suspicion is None or claim.precedence != known.precedence or claim.suspected_by in suspicion.by:
            return
        if len(suspicion.by) <= CONFIRMATIONS_MAX:
            suspicion.by.add(claim.suspected_by)
            self.suspicion_at = min(self.suspicion_at, suspicion.ends())
            self.member_table.replace_equal(claim)  # goes on under the name of who confirmed it
            self.dissemination_queue.add(claim.name)

    def _on_claim_about_self(self, claim: Claim) -> None:
        """Refutes what is not so. A live word on another process under this name counts by boot and nonce; a
        later process of this folder that has ended says that the folder has gone back in time."""
        other = claim.nonce != self.own_claim.nonce
        if (
            other
            and claim.id == self.own_claim.id
            and claim.is_gone
            and claim.process_epoch >= self.own_claim.process_epoch
        ):
            self.newer_epoch_seen = max(self.newer_epoch_seen, claim.process_epoch)
            return
        if claim.id != self.own_claim.id or (claim.process_epoch, claim.nonce) > (
            self.own_claim.process_epoch,
            self.own_claim.nonce,
        ):
            if not claim.is_gone and (other or claim.id != self.own_claim.id):
                self.identity_conflict = claim
            return
        blamed = (
            claim.nonce == self.own_claim.nonce
            and claim.state >= MemberState.SUSPECT
            and not self.own_claim.is_gone
        )
        if blamed and claim.incarnation >= self.own_claim.incarnation:
            self.local_health_score = min(LOCAL_HEALTH_MAX, self.local_health_score + 1)
            self._raise_incarnation(claim.incarnation + 1)

    def _raise_incarnation(self, incarnation: int) -> None:
        self.own_claim = msgspec.structs.replace(self.own_claim, incarnation=incarnation)
        self.dissemination_queue.add(self.own_claim.name)

    def restart_as(self, process_epoch: int) -> None:
        """Above all processes of this folder that others have seen: joins anew."""
        self.own_claim = msgspec.structs.replace(
            self.own_claim, process_epoch=process_epoch, incarnation=0, state=MemberState.JOINING
        )
        self.identity_conflict, self.newer_epoch_seen, self.is_synced, self.next_sync_at = (
            None,
            0,
            not self.seeds,
            0.0,
        )
        self.dissemination_queue.add(self.own_claim.name)

    def leave(self) -> None:
        """Says so to some, who pass it on: for a stop that is meant."""
        self.own_claim = msgspec.structs.replace(self.own_claim, state=MemberState.LEFT)
        self.dissemination_queue.add(self.own_claim.name)
        able = [name for name, claim in self.members.items() if not claim.is_gone]
        for name in self.rng.sample(able, min(2 * INDIRECT_PROBE_HELPERS, len(able))):
            self._send_to_member(name, Sync(False, (self.own_claim,)))

    # -- what comes ------------------------------------------------------------------------------------------

    def receive(self, now: float, sender: str, nonce: int, body: Body) -> AppMessage | None:
        """Takes one packet; what is for another part of the relay is handed back."""
        match body:
            case Ping(seq, target, claims):
                self._apply_claims(now, claims)
                if target == self.own_claim.name and not self.own_claim.is_gone:
                    self._send_to_member(sender, Ack(seq, self._piggybacked_claims(sender)))
            case Ack(seq, claims):
                self._apply_claims(now, claims)
                self._on_ack(seq, sender)
            case IndirectPing(seq, target, claims):
                self._apply_claims(now, claims)
                if target in self.members and len(self.indirect_probes) < MEMBERS_MAX:
                    self.sequence += 1
                    self.indirect_probes[self.sequence] = IndirectProbe(
                        sender, seq, now + INDIRECT_TIMEOUT_SHARE * self.period_s * 0.6
                    )
                    self._send_to_member(
                        target, Ping(self.sequence, target, self._piggybacked_claims(target))
                    )
            case Nack(seq):
                if self.probe is not None and self.probe.seq == seq:
                    self.probe.nacks += 1
            case Sync(want, claims, same, slices):
                self._apply_claims(now, claims, answer=not want)
                if want and claims:
                    self._reply_to_sync(now, (claims[0].host, claims[0].port), same, slices)
                elif not want:
                    self._on_sync_reply(now)
            case IdentityConflict(claim):
                self._on_claim_about_self(claim)
            case AppMessage():
                return body
        return None

    def _apply_claims(self, now: float, claims: Iterable[Claim], answer: bool = False) -> None:
        for claim in claims:
            self._apply_claim(now, claim, answer)

    def _on_ack(self, seq: int, sender: str) -> None:
        errand = self.indirect_probes.pop(seq, None)
        if errand is not None:
            self._send_to_member(errand.asker, Ack(errand.seq, self._piggybacked_claims(errand.asker)))
        elif self.probe is not None and self.probe.seq == seq:
            self.probe.answered = True

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
            self.next_sync_at = min(
                self.next_sync_at, now + periods * self.period_s * self.rng.uniform(0.5, 1.5)
            )

    # -- what goes -------------------------------------------------------------------------------------------

    def _start_sync(self, now: float) -> None:
        """With one that is there, and with one that is not or a seed: halves find each other so."""
        if self.own_claim.state is MemberState.JOINING:
            self._complete_join()
        self.next_sync_at = now + SYNC_PERIODS * self.period_s * self.rng.uniform(0.8, 1.2)
        self.claims_learned = 0
        there = [claim for claim in self.members.values() if not claim.is_gone]
        if there:
            one = self.rng.choice(there)
            self._send((one.host, one.port), self._sync_request())
        lost = [
            (claim.host, claim.port) for claim in self.members.values() if claim.state is MemberState.DEAD
        ]
        known = {(claim.host, claim.port) for claim in there} | {(self.own_claim.host, self.own_claim.port)}
        lost += [seed for seed in self.seeds if seed not in known]
        if lost:
            self._send(self.rng.choice(lost), self._sync_request())

    def _sync_request(self) -> Sync:
        return Sync(
            True,
            (self.own_claim,),
            self.member_table.checksum(self.own_claim),
            self.member_table.slice_checksums(self.own_claim),
        )

    def _reply_to_sync(self, now: float, to: Address, same: int, slices: bytes) -> None:
        """With all that differs; one of a build without slices gets everything, unless it is the same."""
        parts = self.member_table.differing_slices(self.own_claim, slices) if slices else None
        if (
            parts is None
            and same
            and same == self.member_table.checksum(self.own_claim)
            or parts is not None
            and not parts
        ):
            return
        if self.paced_replies.start(to, self._sync_packets(self.member_table.claims_in(parts))):
            self.outbox += self.paced_replies.next_burst(now)
        else:  # enough to go on with, and to ask others
            names = self.member_table.sample(self.rng, CLAIMS_EXAMINED_MAX, MemberState.ALIVE)
            self._send(to, next(self._sync_packets(self.members[name] for name in names)))

    def _sync_packets(self, words: Iterable[Claim]) -> Iterator[Sync]:
        """In as many as it takes."""
        part: list[Claim] = [self.own_claim]
        room = CLAIMS_BYTES_MAX - encoded_size(self.own_claim)
        for claim in words:
            need = encoded_size(claim)
            if need > room:
                yield Sync(False, tuple(part))
                part, room = [self.own_claim], CLAIMS_BYTES_MAX - encoded_size(self.own_claim)
            part.append(claim)
            room -= need
        yield Sync(False, tuple(part))

    def _piggybacked_claims(self, to: str) -> tuple[Claim, ...]:
        """News that fit, those told least first; a suspect hears first that it is one."""
        found: list[Claim] = []
        room = CLAIMS_BYTES_MAX
        own = self.members.get(to)
        if own is not None and own.state is not MemberState.ALIVE:
            found.append(own)
            room -= encoded_size(own)
        limit = math.ceil(DISSEMINATION_FACTOR * math.log2(len(self.members) + 2))
        for name in self.dissemination_queue.least_sent(CLAIMS_EXAMINED_MAX):
            claim = self.own_claim if name == self.own_claim.name else self.members.get(name)
            if claim is None:
                self.dissemination_queue.drop(name)
                continue
            if claim in found:
                continue
            need = encoded_size(claim)
            if need > room:
                break
            found.append(claim)
            room -= need
            self.dissemination_queue.mark_sent(name, limit)
        return tuple(found)

    def _send_to_member(self, name: str, body: Body) -> None:
        claim = self.members.get(name)
        if claim is not None:
            self._send((claim.host, claim.port), body)

    def _send(self, to: Address, body: Body) -> None:
        if to != (self.own_claim.host, self.own_claim.port):
            self.outbox.append((to, body))

    # -- for others ------------------------------------------------------------------------------------------

    def present_members(self) -> list[Claim]:
        """Members that are joining or alive, and suspects, this one too: nobody is gone before it is dead."""
        return [self.own_claim, *(claim for claim in self.members.values() if not claim.is_gone)]
