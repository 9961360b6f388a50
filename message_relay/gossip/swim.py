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
from .wire import Ack, Address, App, Body, Claim, Nack, Ping, PingFor, Refused, State, Sync, size

CLAIMS_BYTES = 1000  # of words on members in one packet
TELL = 3.0  # each word is sent so many times log2(members): all but few hear of it by then (SWIM, 4.1)
OTHERS = 3  # asked to ping for us
ANSWER_SHARE, ASK_SHARE = 0.3, 0.55  # of a period: after so much others are asked, and a nack is due
DOUBT_MAX = 8  # of the local health multiplier, as Lifeguard has it
SUSPICION, SUSPICION_MAX = (
    4.0,
    6.0,
)  # least time in periods (times log10 of members), and most, in the least
CONFIRMS = 3  # own probes of others that make a suspicion's time the least
LATE_PERIODS = 0.5  # a tick so much later than it was due says that this process stood still
FORGET_S = 600.0  # the dead are remembered: an old word on them is not news
SYNC_PERIODS = 15.0  # between two exchanges of all that is known, with one member
SOON_PERIODS = 1.0  # one whose answer held as many new words as a packet has asks another one so soon,
LATER_PERIODS = 4.0  # and one that learned less, so soon
PACKET_FULL = 8  # words at the least in a packet that is full
JOIN_S = 0.5  # a joining member asks the next seed
PACKET_WORDS = 40  # looked at for one packet: it has room for 25 at the most
MEMBERS_MAX = INSTANCES_MAX  # known at once, as many as a fleet has; more are somebody's mistake, or worse


@dataclass
class Suspicion:
    since: float
    by: set[str]
    least: float
    most: float

    def ends(self) -> float:
        """Falls with the logarithm of the number that confirm it (Lifeguard, 3.3)."""
        share = math.log(len(self.by)) / math.log(CONFIRMS + 1) if self.by else 0.0
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
    me: Claim
    seeds: tuple[Address, ...]
    rng: random.Random
    period: float = 1.0
    roll: MemberTable = field(default_factory=MemberTable)
    outbox: list[tuple[Address, Body]] = field(default_factory=list)
    changes: list[Claim] = field(default_factory=list)
    refused: Claim | None = None  # another process is who this one says it is
    behind: int = 0  # a boot of this folder that others have seen, where that is not below this one
    seen: dict[str, int] = field(default_factory=dict)  # identity -> highest boot

    def __post_init__(self) -> None:
        self.doubt = 0
        self.seq = 0
        self.news = DisseminationQueue()
        self.answers = PacedReplies()
        self.learned = 0  # words that were new, from others' answers since this one asked
        self.asked = self.rng.randrange(len(self.seeds)) if self.seeds else 0  # the seed that is asked next
        self.suspicions: dict[str, Suspicion] = {}
        self.suspicion_at = math.inf  # none ends before that
        self.ring: list[str] = []
        self.probe: Probe | None = None
        self.errands: dict[int, IndirectProbe] = {}
        self.period_at = self.sync_at = self.due = 0.0
        self.surplus, self.turned_away = 0, ""  # words on members past the most there may be; the latest name
        self.synced = not self.seeds
        self.news.add(self.me.name)

    @property
    def members(self) -> dict[str, Claim]:
        """All that are known but this one."""
        return self.roll.members

    # -- time ------------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Does what is due; call it at `next_at` at the latest."""
        if self.due and now > self.due + LATE_PERIODS * self.period:
            self._stood_still(now)
        if not self.synced and now >= self.sync_at:
            self.sync_at = now + JOIN_S * self.rng.uniform(0.8, 1.2)
            self._out(self.seeds[self.asked % len(self.seeds)], Sync(True, (self.me,)))  # for all there is
            self.asked += 1
        elif self.synced and now >= self.sync_at:
            self._sync(now)
        self._errands(now)
        self.outbox += self.answers.spurt(now)
        self._probe(now)
        self._suspicions(now)
        self._forget(now)
        self.due = self.next_at()

    def next_at(self) -> float:
        times = [self.period_at, self.sync_at]
        if self.probe is not None and not self.probe.asked and not self.probe.answered:
            times.append(self.probe.begun + self._answer_s())
        if self.errands:
            times.append(next(iter(self.errands.values())).nack_at)
        if self.suspicions:
            times.append(self.suspicion_at)
        if self.answers.going:
            times.append(self.answers.at)
        return min(times)

    def _errands(self, now: float) -> None:
        """All have the same time, so that the first one is due first."""
        while self.errands:
            seq, errand = next(iter(self.errands.items()))
            if now < errand.nack_at:
                return
            del self.errands[seq]
            self._to(errand.asker, Nack(errand.seq))

    def _stood_still(self, now: float) -> None:
        """Answers may lie unread: nobody is blamed for what this process missed."""
        self.doubt = DOUBT_MAX
        late = now - self.due
        self.probe, self.period_at = None, now
        self.errands.clear()
        for suspicion in self.suspicions.values():
            suspicion.since += late
        self.suspicion_at += late

    def _span(self) -> float:
        return self.period * (1 + self.doubt)

    def _answer_s(self) -> float:
        return ANSWER_SHARE * self._span()

    # -- probing ---------------------------------------------------------------------------------------------

    def _probe(self, now: float) -> None:
        probe = self.probe
        waits = probe is not None and not probe.answered and not probe.asked
        if waits and probe is not None and now >= probe.begun + self._answer_s():
            self._ask_others(probe)
        if now < self.period_at:
            return
        if probe is not None:
            self._judge(now, probe)
        self.probe = None
        target = self._next_target()
        if target is not None:
            self.seq += 1
            self.probe = Probe(target, self.seq, now)
            self._to(target, Ping(self.seq, target, self._claims(target)))
        self.period_at = now + self._span()

    def _next_target(self) -> str | None:
        while self.ring or self._refill():
            name = self.ring.pop()
            if name in self.members and not self.members[name].gone:
                return name
        return None

    def _refill(self) -> bool:
        self.ring = [name for name, claim in self.members.items() if not claim.gone]
        self.rng.shuffle(self.ring)
        return bool(self.ring)

    def _ask_others(self, probe: Probe) -> None:
        probe.asked = True
        helpers = self.roll.some(self.rng, OTHERS, State.ALIVE, probe.target)
        probe.helpers = len(helpers)
        for name in helpers:
            self._to(name, PingFor(probe.seq, probe.target, self._claims(name)))

    def _judge(self, now: float, probe: Probe) -> None:
        if probe.answered:
            self.doubt = max(0, self.doubt - 1)
            return
        # A nack says that our link works; each that is missing says that it may be us.
        missing = probe.helpers - probe.nacks
        self.doubt = min(DOUBT_MAX, self.doubt + (missing if probe.helpers else 1))
        claim = self.members.get(probe.target)
        if claim is not None and claim.state in (State.JOINING, State.ALIVE, State.SUSPECT):
            self._take(now, msgspec.structs.replace(claim, state=State.SUSPECT, by=self.me.name))

    # -- suspicion -------------------------------------------------------------------------------------------

    def _suspicions(self, now: float) -> None:
        if not self.suspicions or now < self.suspicion_at:
            return
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.ends():
                claim = self.members[name]
                self._take(now, msgspec.structs.replace(claim, state=State.DEAD, by=self.me.name))
        self.suspicion_at = min((each.ends() for each in self.suspicions.values()), default=math.inf)

    def _suspected(self, now: float, claim: Claim) -> None:
        count = 1 + self.roll.there
        least = SUSPICION * max(1.0, math.log10(max(1, count))) * self.period * (1 + self.doubt)
        # With few members there is nobody to confirm: the least time has to do.
        most = least * (SUSPICION_MAX if count > CONFIRMS + 2 else 1.0)
        suspicion = self.suspicions[claim.name] = Suspicion(now, {claim.by}, least, most)
        self.suspicion_at = min(self.suspicion_at, suspicion.ends())

    def _forget(self, now: float) -> None:
        for name in self.roll.forget(now - FORGET_S):
            self.news.drop(name)

    # -- words on members ------------------------------------------------------------------------------------

    def _take(self, now: float, claim: Claim, answer: bool = False) -> None:
        """One word: it stands if it is above what stood. `answer`: it came among all that another knows."""
        if claim.name == self.me.name:
            self._of_me(claim)
            return
        known = self.members.get(claim.name)
        if known is None and (claim.gone or self._full(claim)):
            return
        if known is not None and claim.id != known.id and not known.gone:
            if not claim.gone:
                self._out((claim.host, claim.port), Refused(known))
            return  # the name is another's, and that one lives
        twin = known is not None and (claim.id, claim.boot) == (known.id, known.boot)
        if twin and known is not None and claim.nonce != known.nonce:
            # Two processes of one folder. The higher nonce stands for it; it will hear of the other.
            self._out(
                (claim.host, claim.port) if claim.nonce < known.nonce else (known.host, known.port),
                Refused(max(claim, known, key=lambda each: each.nonce)),
            )
            if claim.nonce < known.nonce:
                return
        elif known is not None and claim.id == known.id and claim.rank <= known.rank:
            self._confirm(known, claim)
            if claim.boot < known.boot and claim.nonce != known.nonce and not claim.gone:
                self._out((claim.host, claim.port), Refused(known))  # its folder has gone back in time
            return
        if claim.boot < self.seen.get(claim.id, 0):
            return
        self.seen[claim.id] = claim.boot
        self.roll.put(now, claim)
        self.learned += answer
        joined = claim.state <= State.ALIVE and (known is None or known.state is State.JOINING)
        if not (answer and joined):
            self.news.add(claim.name)
        self.suspicions.pop(claim.name, None)
        if claim.state is State.SUSPECT:
            self._suspected(now, claim)
        if known is None or (known.state, known.boot, known.caps) != (claim.state, claim.boot, claim.caps):
            self.changes.append(claim)

    def _full(self, claim: Claim) -> bool:
        if len(self.members) < MEMBERS_MAX:
            return False
        self.surplus, self.turned_away = self.surplus + 1, claim.name
        return True

    def _confirm(self, known: Claim, claim: Claim) -> None:
        suspicion = self.suspicions.get(claim.name)
        if suspicion is None or claim.rank != known.rank or claim.by in suspicion.by:
            return
        if len(suspicion.by) <= CONFIRMS:
            suspicion.by.add(claim.by)
            self.suspicion_at = min(self.suspicion_at, suspicion.ends())
            self.roll.confirmed(claim)  # goes on under the name of who confirmed it
            self.news.add(claim.name)

    def _of_me(self, claim: Claim) -> None:
        """Refutes what is not so. A live word on another process under this name counts by boot and nonce; a
        later process of this folder that has ended says that the folder has gone back in time."""
        other = claim.nonce != self.me.nonce
        if other and claim.id == self.me.id and claim.gone and claim.boot >= self.me.boot:
            self.behind = max(self.behind, claim.boot)
            return
        if claim.id != self.me.id or (claim.boot, claim.nonce) > (self.me.boot, self.me.nonce):
            if not claim.gone and (other or claim.id != self.me.id):
                self.refused = claim
            return
        blamed = claim.nonce == self.me.nonce and claim.state >= State.SUSPECT and not self.me.gone
        if blamed and claim.incarnation >= self.me.incarnation:
            self.doubt = min(DOUBT_MAX, self.doubt + 1)
            self._reborn(claim.incarnation + 1)

    def _reborn(self, incarnation: int) -> None:
        self.me = msgspec.structs.replace(self.me, incarnation=incarnation)
        self.news.add(self.me.name)

    def reboot(self, boot: int) -> None:
        """Above all processes of this folder that others have seen: joins anew."""
        self.me = msgspec.structs.replace(self.me, boot=boot, incarnation=0, state=State.JOINING)
        self.refused, self.behind, self.synced, self.sync_at = None, 0, not self.seeds, 0.0
        self.news.add(self.me.name)

    def leave(self) -> None:
        """Says so to some, who pass it on: for a stop that is meant."""
        self.me = msgspec.structs.replace(self.me, state=State.LEFT)
        self.news.add(self.me.name)
        able = [name for name, claim in self.members.items() if not claim.gone]
        for name in self.rng.sample(able, min(2 * OTHERS, len(able))):
            self._to(name, Sync(False, (self.me,)))

    # -- what comes ------------------------------------------------------------------------------------------

    def receive(self, now: float, sender: str, nonce: int, body: Body) -> App | None:
        """Takes one packet; what is for another part of the relay is handed back."""
        match body:
            case Ping(seq, target, claims):
                self._words(now, claims)
                if target == self.me.name and not self.me.gone:
                    self._to(sender, Ack(seq, self._claims(sender)))
            case Ack(seq, claims):
                self._words(now, claims)
                self._acked(seq, sender)
            case PingFor(seq, target, claims):
                self._words(now, claims)
                if target in self.members and len(self.errands) < MEMBERS_MAX:
                    self.seq += 1
                    self.errands[self.seq] = IndirectProbe(sender, seq, now + ASK_SHARE * self.period * 0.6)
                    self._to(target, Ping(self.seq, target, self._claims(target)))
            case Nack(seq):
                if self.probe is not None and self.probe.seq == seq:
                    self.probe.nacks += 1
            case Sync(want, claims, same, slices):
                self._words(now, claims, answer=not want)
                if want and claims:
                    self._answer(now, (claims[0].host, claims[0].port), same, slices)
                elif not want:
                    self._answered(now)
            case Refused(claim):
                self._of_me(claim)
            case App():
                return body
        return None

    def _words(self, now: float, claims: Iterable[Claim], answer: bool = False) -> None:
        for claim in claims:
            self._take(now, claim, answer)

    def _acked(self, seq: int, sender: str) -> None:
        errand = self.errands.pop(seq, None)
        if errand is not None:
            self._to(errand.asker, Ack(errand.seq, self._claims(errand.asker)))
        elif self.probe is not None and self.probe.seq == seq:
            self.probe.answered = True

    def _joined(self) -> None:
        self.synced = True
        if self.me.state is State.JOINING:
            self.me = msgspec.structs.replace(self.me, state=State.ALIVE)
            self.news.add(self.me.name)
            self.changes.append(self.me)

    def _answered(self, now: float) -> None:
        if not self.synced:
            self._joined()
        if self.learned:
            periods = SOON_PERIODS if self.learned >= PACKET_FULL else LATER_PERIODS
            self.sync_at = min(self.sync_at, now + periods * self.period * self.rng.uniform(0.5, 1.5))

    # -- what goes -------------------------------------------------------------------------------------------

    def _sync(self, now: float) -> None:
        """With one that is there, and with one that is not or a seed: halves find each other so."""
        if self.me.state is State.JOINING:
            self._joined()
        self.sync_at = now + SYNC_PERIODS * self.period * self.rng.uniform(0.8, 1.2)
        self.learned = 0
        there = [claim for claim in self.members.values() if not claim.gone]
        if there:
            one = self.rng.choice(there)
            self._out((one.host, one.port), self._ask())
        lost = [(claim.host, claim.port) for claim in self.members.values() if claim.state is State.DEAD]
        known = {(claim.host, claim.port) for claim in there} | {(self.me.host, self.me.port)}
        lost += [seed for seed in self.seeds if seed not in known]
        if lost:
            self._out(self.rng.choice(lost), self._ask())

    def _ask(self) -> Sync:
        return Sync(True, (self.me,), self.roll.same(self.me), self.roll.slices(self.me))

    def _answer(self, now: float, to: Address, same: int, slices: bytes) -> None:
        """With all that differs; one of a build without slices gets everything, unless it is the same."""
        parts = self.roll.differing(self.me, slices) if slices else None
        if parts is None and same and same == self.roll.same(self.me) or parts is not None and not parts:
            return
        if self.answers.begin(to, self._packets(self.roll.words(parts))):
            self.outbox += self.answers.spurt(now)
        else:  # enough to go on with, and to ask others
            names = self.roll.some(self.rng, PACKET_WORDS, State.ALIVE)
            self._out(to, next(self._packets(self.members[name] for name in names)))

    def _packets(self, words: Iterable[Claim]) -> Iterator[Sync]:
        """In as many as it takes."""
        part: list[Claim] = [self.me]
        room = CLAIMS_BYTES - size(self.me)
        for claim in words:
            need = size(claim)
            if need > room:
                yield Sync(False, tuple(part))
                part, room = [self.me], CLAIMS_BYTES - size(self.me)
            part.append(claim)
            room -= need
        yield Sync(False, tuple(part))

    def _claims(self, to: str) -> tuple[Claim, ...]:
        """News that fit, those told least first; a suspect hears first that it is one."""
        found: list[Claim] = []
        room = CLAIMS_BYTES
        own = self.members.get(to)
        if own is not None and own.state is not State.ALIVE:
            found.append(own)
            room -= size(own)
        limit = math.ceil(TELL * math.log2(len(self.members) + 2))
        for name in self.news.first(PACKET_WORDS):
            claim = self.me if name == self.me.name else self.members.get(name)
            if claim is None:
                self.news.drop(name)
                continue
            if claim in found:
                continue
            need = size(claim)
            if need > room:
                break
            found.append(claim)
            room -= need
            self.news.told(name, limit)
        return tuple(found)

    def _to(self, name: str, body: Body) -> None:
        claim = self.members.get(name)
        if claim is not None:
            self._out((claim.host, claim.port), body)

    def _out(self, to: Address, body: Body) -> None:
        if to != (self.me.host, self.me.port):
            self.outbox.append((to, body))

    # -- for others ------------------------------------------------------------------------------------------

    def there(self) -> list[Claim]:
        """Members that are joining or alive, and suspects, this one too: nobody is gone before it is dead."""
        return [self.me, *(claim for claim in self.members.values() if not claim.gone)]
