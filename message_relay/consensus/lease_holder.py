"""By what a relay may act just now. No I/O; the clock is passed in, in seconds.

A relay says to each voter by which versions it acts (`acts`: by their meet), again and again; as long as a
majority has noted that within a lease, it goes on. Once it hears that another version is agreed on it acts by
the meet of both, which contradicts neither, refuses all grants of what it had, and says so: that lets the
others have the new one. With grants of a majority for that, it acts by it alone.

    since a majority last noted it     it acts by
    a lease                            the meet of `acts`
    up to the horizon                  the standby of that: each version allows it, or waits
    later, and before the first lease  the floor, which lies within every version that is ever agreed on

Whoever asks is told by the clock of this moment: a process that was frozen finds its lease gone when it
wakes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

import msgspec

from .lease_protocol import Counts, Grant, LeaseTerms, Renew
from .rules import NOTHING, Rules, intersect, intersect_all, standby
from .version_history import Version

ASKED = 64  # renewals whose answers still count: eight leases' worth and more
BEFORE = float("-inf")
NO_COUNTS = Counts()


class LeaseTier(Enum):
    LEASE = "lease"
    STANDBY = "standby"
    FLOOR = "floor"


class ActiveRules(msgspec.Struct, frozen=True):
    rules: Rules
    versions: tuple[int, ...]  # more than one: by their meet
    tier: LeaseTier

    @property
    def label(self) -> str:
        """For people and for partners' ledgers: `7`, `7+8`, `7/standby`, `floor`."""
        told = "+".join(map(str, self.versions))
        return (
            told
            if self.tier is LeaseTier.LEASE
            else f"{told}/standby"
            if self.tier is LeaseTier.STANDBY
            else "floor"
        )


@dataclass
class Word:
    """The latest of one voter that counts."""

    noted_at: float = BEFORE  # when that renewal was sent
    granted: int = 0
    granted_at: float = BEFORE
    granted_seq: int = 0  # the latest renewal that it answered with that
    cleared: int = 0
    trial: int = 0
    seq: int = 0
    heard_at: float = BEFORE


class LeaseHolder:
    def __init__(self, boot: int, nonce: int, first: str, terms: LeaseTerms, floor: Rules = NOTHING) -> None:
        self.boot, self.nonce, self.first, self.terms, self.floor = boot, nonce, first, terms, floor
        self.versions: OrderedDict[int, Version] = OrderedDict()  # known with their rules
        self.acts: tuple[int, ...] = ()
        self.seq = 0
        self.refuses = 0  # grants that answer an earlier renewal are not taken
        self.current = 0  # the newest version that a voter has said is agreed on
        self.asked: OrderedDict[int, tuple[float, tuple[int, ...]]] = OrderedDict()
        self.words: dict[str, Word] = {}
        self.base = BEFORE  # when the renewal was sent that a majority noted last
        self.last = BEFORE
        self.why = ""  # the latest word of a voter that allowed nothing
        self._made: tuple[tuple[int, ...], float, float, ActiveRules] | None = (
            None  # acts, base, until, and what
        )

    # -- asking ----------------------------------------------------------------------------------------------

    @property
    def latest(self) -> Version | None:
        return next(reversed(self.versions.values())) if self.versions else None

    def renew(self, now: float, counts: Counts = NO_COUNTS, leaving: bool = False) -> Renew:
        """The next one, for every voter."""
        self._clock(now)
        self.seq += 1
        self.asked[self.seq] = (now, self.acts)
        while len(self.asked) > ASKED:
            self.asked.popitem(last=False)
        if not self.acts:
            self._refuse(self._too_old(now))
        return Renew(self.boot, self.nonce, self.seq, self.first, self.acts, self.refuses, counts, leaving)

    def _too_old(self, now: float) -> int:
        """The first renewal whose grants one that acts by nothing could still begin with: it needs them of a
        majority within a lease. Of an older one an answer may have been lost, and is waited for in vain."""
        since = now - self.terms.held(self.terms.lease)
        return next(seq for seq, (sent, _) in self.asked.items() if sent >= since)

    def began(self, boot: int) -> None:
        """Under another boot: it acts by nothing until it has a lease."""
        self.boot, self.acts, self.base, self.refuses = boot, (), BEFORE, self.seq + 1
        self.words.clear()

    def left(self) -> None:
        """It has said that it acts by nothing any more."""
        self.acts, self.base, self.refuses = (), BEFORE, self.seq + 1_000_000

    def know(self, version: Version) -> None:
        """A version with its rules. One that is agreed on is kept to from now on, whatever else holds."""
        if version.number in self.versions:
            return
        self.versions[version.number] = version
        self.versions = OrderedDict(sorted(self.versions.items()))
        for number in list(self.versions)[:-ASKED]:
            if number not in self.acts:
                del self.versions[number]

    def wants(self, grant: Grant) -> int:
        """A version that a voter told of and that is not known here yet; 0: none."""
        first = max(self.acts, default=grant.current - 1) + 1  # whoever acts by one keeps to all later ones
        numbers: list[int] = [*range(first, grant.current + 1), grant.trial]
        for number in numbers:
            if number > 0 and number not in self.versions:
                return number
        return 0

    # -- hearing ---------------------------------------------------------------------------------------------

    def heard(self, now: float, voter: str, grant: Grant) -> bool:
        """Takes a voter's answer; whether to renew at once, since something has changed."""
        self._clock(now)
        asked = self.asked.get(grant.seq)
        if asked is None:
            return False
        sent, acts = asked
        word = self.words.setdefault(voter, Word())
        word.heard_at = now
        word.cleared = max(word.cleared, grant.cleared)
        if grant.seq > word.seq:
            word.seq, word.trial = grant.seq, grant.trial
        self.why = grant.why or self.why if not grant.noted else ""
        if grant.noted and acts == self.acts:
            word.noted_at = max(word.noted_at, sent)
        if grant.granted and grant.seq >= self.refuses:
            if grant.granted > word.granted:
                word.granted, word.granted_at, word.granted_seq = grant.granted, sent, grant.seq
            elif grant.granted == word.granted:
                word.granted_at = max(word.granted_at, sent)
                word.granted_seq = max(word.granted_seq, grant.seq)
        changed = self._overtaken(grant) or self._narrow(grant) or self._adopt(now)
        self._rebase()
        return changed

    def _overtaken(self, grant: Grant) -> bool:
        """One that acts by nothing yet lets go of what it was granted of an earlier version, and says so:
        each of its grants was waited for up to the horizon, and so one that joined while a version changed
        held up all others for that long. A voter that is behind may grant such a one later too."""
        late = 0 < grant.granted < self.current
        if grant.current <= self.current and not late:
            return False
        first = not self.current and grant.seq == 1  # nothing was granted before
        self.current = max(self.current, grant.current)
        if self.acts or first:
            return False  # one that acts goes on with that, and keeps to the later one too
        self._refuse(self.seq + 1)
        return True

    def _refuse(self, seq: int) -> None:
        """What answers an earlier renewal is not taken: nobody has to wait for it once this has been said."""
        self.refuses = max(self.refuses, seq)
        for word in self.words.values():
            if word.granted_seq < seq:
                word.granted, word.granted_at = 0, BEFORE

    def _narrow(self, grant: Grant) -> bool:
        """Another version is agreed on, or is to be tried here: keeps to it too."""
        trial = self.versions.get(grant.trial)
        if trial is not None and self.acts == (grant.current,):
            # It lies within the current one, so that nobody has to be asked.
            self._act((trial.number,))
            return True
        current = grant.current
        if current in self.versions and self.acts and current > max(self.acts):
            later = [number for number in self.versions if max(self.acts) < number <= current]
            self._act((*self.acts, *later))
            return True
        return False

    def _act(self, acts: tuple[int, ...]) -> None:
        """By less than before: what was noted of that still covers it."""
        self.acts, self.refuses = acts, self.seq + 1

    def _adopt(self, now: float) -> bool:
        """The newest version that a majority has granted, all of whom have cleared it."""
        number = max((word.granted for word in self.words.values()), default=0)
        version = self.versions.get(number)
        if version is None or self.acts == (number,):
            return False
        if any(word.trial in self.acts for word in self.words.values()) or (
            number < max(self.acts, default=0) and not self._withdrawn()
        ):
            return False  # it tries a version that is not agreed on yet, or knows of a later one
        before = self.versions.get(number - 1, version)
        base = self._majority(version.voters, number)
        cleared = sum(self.words[name].cleared >= number for name in before.voters if name in self.words)
        if 2 * cleared <= len(before.voters) or base < now - self.terms.held(self.terms.lease):
            return False
        self.acts, self.refuses, self.base = (number,), self.seq + 1, base
        for word in self.words.values():
            word.noted_at = word.granted_at if word.granted == number else BEFORE
        return True

    def _withdrawn(self) -> bool:
        """What it tries is no version to try any more, by the word of a majority."""
        version = self.latest
        if version is None or self.acts != (version.number,):
            return False
        told = [word for name, word in self.words.items() if name in version.voters and not word.trial]
        return 2 * len(told) > len(version.voters)

    def _majority(self, voters: tuple[str, ...], number: int = 0) -> float:
        """The latest time by which a majority had noted what it acts by, or granted that version."""
        times = []
        for name in voters:
            word = self.words.get(name, Word())
            times.append(
                word.noted_at if not number else word.granted_at if word.granted == number else BEFORE
            )
        times.sort(reverse=True)
        return times[len(times) // 2] if times else BEFORE

    def _rebase(self) -> None:
        """The oldest of the versions decides whose majority counts."""
        sets = [version.voters for version in map(self.versions.get, self.acts) if version is not None]
        if sets:
            self.base = max(self.base, min(self._majority(voters) for voters in sets))

    def _clock(self, now: float) -> None:
        """Guards against a clock that steps back: nothing is known then of how long a lease has lasted."""
        if now < self.last:
            self.base = BEFORE
            self.asked.clear()
            self.words.clear()
            self.refuses = self.seq + 1
        self.last = now

    # -- acting ----------------------------------------------------------------------------------------------

    def tier(self, now: float) -> LeaseTier:
        self._clock(now)
        age = now - self.base
        if not self.acts or age > self.terms.held(self.terms.horizon):
            return LeaseTier.FLOOR
        return LeaseTier.LEASE if age <= self.terms.held(self.terms.lease) else LeaseTier.STANDBY

    def acting(self, now: float) -> ActiveRules:
        """Asked right before a call's first byte, and for each message: as long as nothing that it rests on
        has changed, and time has not run out, it is as it was told last."""
        made = self._made
        if made is not None and made[0] is self.acts and made[1] == self.base and self.last <= now <= made[2]:
            self.last = now
            return made[3]
        tier = self.tier(now)
        acting = made[3] if made is not None and made[0] == self.acts and made[3].tier is tier else None
        if acting is None:
            acting = self._acting(tier)
        self._made = self.acts, self.base, self.until(now), acting
        return acting

    def _acting(self, tier: LeaseTier) -> ActiveRules:
        if tier is LeaseTier.FLOOR:
            return ActiveRules(self.floor, self.acts, tier)
        rules = intersect_all(self.versions[number].set for number in self.acts)
        if tier is LeaseTier.STANDBY:
            rules = standby(rules, self.terms.share)
            rules = intersect(rules, rules)  # one form, whatever the share has made of it
        return ActiveRules(rules, self.acts, tier)

    def until(self, now: float) -> float:
        """When its tier changes unless something is heard."""
        age = now - self.base
        for span in (self.terms.lease, self.terms.horizon):
            if age <= self.terms.held(span):
                return self.base + self.terms.held(span)
        return float("inf")
