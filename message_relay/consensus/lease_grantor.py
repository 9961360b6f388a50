"""What a voter allows relays to act on. No I/O; the clock is passed in, in seconds.

A version is *cleared* by a voter once nothing that any relay may be acting by goes beyond it, as far as this
voter has noted or granted it. It is acted on by a relay only with grants of a majority of voters, each of
which has cleared it, and so has noted nothing beyond it; any majority that once allowed a relay something
else has a voter in common with that one. So no call that the agreed version forbids is made once any
relay acts on it.

By what a relay may be acting, as a voter knows it: what it said (`acts`) and what it was granted since,
each by its age. Up to a lease: the meet of those versions. After it, up to the horizon: their standby,
which is all that a relay without a majority goes on with. After that: the floor, which lies within every
version.

Guards (which of them a model or schedules were seen to miss: docs/design/agreed-rules.md):
- a relay acts on what a majority has noted, no fewer; its lease runs from when it was asked for, and is
  looked at right before the first byte; what it let go it takes up no more, whatever late answers say;
- who is waited for is looked up at all relays once in a while and before anything is cleared, and in
  between only at the one that renews: with a walk at each renewal a voter of 3,500 relays has no time left;
- a voter waits for all that it has noted, longer than a holder counts, and for the horizon where a version
  forbids a standby; below what it cleared it notes and grants nothing, in its next process too; and a
  process that starts waits as if everything were held.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from ..gossip.settings import INSTANCES_MAX
from .lease_protocol import Counts, Grant, LeaseTerms, Renew
from .rules import Rules, intersect_all, standby, within
from .version_history import Stage, Version, VersionHistory

RELAYS_MAX = INSTANCES_MAX  # as many as peers are known: a record of each, and a walk over them to clear
LOOKS = 8  # in the time of a lease: so often all relays are looked at while a version waits
MET = 4096  # answers that are kept: pairs of the versions that relays act by at one time


@dataclass
class Record:
    """What one relay may be acting by."""

    boot: int
    nonce: int
    seq: int = 0
    acts: tuple[int, ...] = ()
    acts_at: float = 0.0  # when that was noted last
    grants: dict[int, tuple[int, float]] = field(default_factory=dict)  # version -> latest seq and time
    heard_at: float = 0.0
    counts: Counts = Counts()

    def alternatives(self) -> list[tuple[tuple[int, ...], float]]:
        found: list[tuple[tuple[int, ...], float]] = []
        found += [((number,), at) for number, (_, at) in self.grants.items()]
        return [(self.acts, self.acts_at), *found] if self.acts else found


class LeaseGrantor:
    def __init__(
        self, name: str, book: VersionHistory, terms: LeaseTerms, first: str, cleared: int, now: float
    ) -> None:
        """`first`: digest of the first version and its voters; `cleared`: as an earlier process of this voter
        left it, 0 if there was none."""
        self.name, self.book, self.terms, self.first = name, book, terms, first
        self.cleared = cleared
        self.began = now
        self.fresh = cleared == 0 and book.newest.number <= 1  # it has never granted anything
        self.records: dict[str, Record] = {}
        # What was computed of versions, which never change: each renewal asks for the same.
        self.met: dict[tuple[int, ...], Rules] = {}
        self.inside: dict[tuple[tuple[int, ...], int, bool], bool] = {}
        self.waits: dict[str, None] = {}  # whom the current version waits for, as far as is known
        self.waits_by = -1  # the book's state when that was looked up
        self.look_at = 0.0  # when all relays are looked at again
        self.last = now

    @property
    def blocked(self) -> list[str]:
        """Whom the current version waits for."""
        return list(self.waits)

    # -- renewals --------------------------------------------------------------------------------------------

    def renewed(self, now: float, name: str, told: Renew) -> Grant:
        """The answer; what it says has been noted when it returns."""
        self._clock(now)
        grant = self._renewed(now, name, told)
        self._look_at(now, name)
        return grant

    def _renewed(self, now: float, name: str, told: Renew) -> Grant:
        if told.first != self.first:
            return self._answer(told, why="its first version is another: the operators' files differ")
        record = self.records.get(name)
        if record is None or (told.boot, told.nonce) != (record.boot, record.nonce):
            if record is not None and told.boot <= record.boot:
                return self._answer(told, why=f"boot {told.boot} is not above {record.boot}: another process")
            if record is None and len(self.records) >= RELAYS_MAX:
                return self._answer(told, why=f"it is relay {RELAYS_MAX + 1}: {RELAYS_MAX} at most")
            # A process that has just started acts by nothing, and the one before it has ended.
            record = self.records[name] = Record(told.boot, told.nonce)
        if told.seq <= record.seq:
            return self._answer(told, why="overtaken")
        record.seq, record.heard_at, record.counts = told.seq, now, told.counts
        if told.leaving:
            del self.records[name]
            return self._answer(told, noted=True)
        return self._note(now, record, name, told)

    def _note(self, now: float, record: Record, name: str, told: Renew) -> Grant:
        known = self.book.current
        if known.number < self.cleared:
            return self._answer(told, why="this voter's log is behind")
        noted = self._allowed(told.acts)
        if noted:
            # Only now: what it says is held for true, so that what it refuses need not be waited for. One
            # that
            # is not noted may go on with what it was granted, for as long as that lasts.
            record.acts, record.acts_at = told.acts, now
            old = now - self.terms.granted(self.terms.horizon)
            record.grants = {
                number: (seq, at)
                for number, (seq, at) in record.grants.items()
                if seq >= told.refuses and at >= old
            }
        trial = self.book.trial
        tried = trial is not None and in_trial(name, trial)
        granted = 0
        if self.cleared == known.number and self.name in known.voters and self._takes(told.acts, known):
            granted = known.number
            record.grants[granted] = (told.seq, now)
        return self._answer(told, noted, granted, trial.number if tried and trial is not None else 0)

    def _answer(
        self, told: Renew, noted: bool = False, granted: int = 0, trial: int = 0, why: str = ""
    ) -> Grant:
        return Grant(told.seq, noted, granted, self.cleared, self.book.current.number, trial, why)

    def _allowed(self, acts: tuple[int, ...]) -> bool:
        """Within all that is cleared or agreed: a relay that says so need not be waited for. One that
        does not know the current version hears of it first, so that it does not go on with an older one
        for long."""
        if acts and max(acts) < self.book.current.number:
            return False
        if self._meet(acts) is None:
            return False
        # Also those between: another majority may have cleared one of them, and this voter the next already.
        least = min(self.cleared, *acts) if acts else self.cleared
        for each in reversed(self.book.versions):
            if each.number < least:
                return True
            if each.stage in (Stage.CURRENT, Stage.PAST) and not self._inside(acts, each):
                return False
        return True

    def _takes(self, acts: tuple[int, ...], known: Version) -> bool:
        """Whether it could still act on that. A grant that it can't take would be waited for in vain:
        where it has heard of a later version than this voter, or tries one."""
        latest = self.book.get(max(acts, default=0))
        if max(acts, default=0) <= known.number:
            return True
        return latest is not None and latest.stage is Stage.WITHDRAWN

    def _meet(self, acts: tuple[int, ...]) -> Rules | None:
        found = self.met.get(acts)
        if found is None:
            versions = [self.book.get(number) for number in acts]
            if None in versions:
                return None
            found = intersect_all(each.set for each in versions if each is not None)
            if len(self.met) >= MET:
                self.met.clear()
            self.met[acts] = found
        return found

    def _inside(self, acts: tuple[int, ...], version: Version, alone: bool = False) -> bool:
        """Whether what these allow together, or the standby of that, lies within the version."""
        key = acts, version.number, alone
        found = self.inside.get(key)
        if found is None:
            rules = self._meet(acts)
            assert rules is not None
            found = within(standby(rules, self.terms.share) if alone else rules, version.set)
            if len(self.inside) >= MET:
                self.inside.clear()
            self.inside[key] = found
        return found

    # -- clearing --------------------------------------------------------------------------------------------

    def clear(self, now: float) -> bool:
        """Clears the current version if it may be; whether it just was, so that it is to be written down."""
        self._clock(now)
        known = self.book.current
        if known.number <= self.cleared:
            self.waits.clear()
            return False
        if self.waits and self.waits_by == self.book.applied and now < self.look_at:
            return False
        self.waits = dict.fromkeys(self._waits_for(now, known))
        self.waits_by, self.look_at = self.book.applied, now + self.terms.lease / LOOKS
        if self.waits:
            return False
        self.cleared = known.number
        return True

    def _look_at(self, now: float, name: str) -> None:
        """It has renewed: whether it is still waited for. Nobody comes to be waited for by a renewal: what is
        noted lies within the current version."""
        if name in self.waits:
            record = self.records.get(name)
            if record is None or self._lets(now, record, self.book.current):
                del self.waits[name]

    def _lets(self, now: float, record: Record, version: Version) -> bool:
        return all(self._within(now - at, acts, version) for acts, at in record.alternatives())

    def _waits_for(self, now: float, version: Version) -> list[str]:
        found = [] if self._past_start(now, version) else ["what was held before this voter's start"]
        for name, record in list(self.records.items()):
            if record.boot <= self.book.forgotten.get(name, -1):
                del self.records[name]
            elif not self._lets(now, record, version):
                found.append(name)
            elif now - record.heard_at > 2 * self.terms.granted(self.terms.horizon):
                del self.records[name]  # by now it acts by the floor, whatever it was
        return found

    def _within(self, age: float, acts: tuple[int, ...], version: Version) -> bool:
        if age < 0 or self._meet(acts) is None:
            return age > self.terms.granted(self.terms.horizon)
        return self._bounded(age, acts, version)

    def _bounded(self, age: float, acts: tuple[int, ...], new: Version) -> bool:
        terms = self.terms
        if age > terms.granted(terms.horizon) or self._inside(acts, new):
            return True  # the floor lies within each version
        return age > terms.granted(terms.lease) and self._inside(acts, new, alone=True)

    def _past_start(self, now: float, version: Version) -> bool:
        """What an earlier process granted is not known any more: any version that it knew may be held."""
        if self.fresh:
            return True
        age = now - self.began
        older = [each for each in self.book.versions if each.number < version.number]
        return all(self._bounded(age, (each.number,), version) for each in older)

    def _clock(self, now: float) -> None:
        """Guards against a clock that steps back: ages can't be told then, and so it begins anew."""
        if now < self.last:
            self.began, self.fresh, self.look_at = now, False, now
            for record in self.records.values():
                record.acts_at = min(record.acts_at, now)
                record.grants = {number: (seq, min(at, now)) for number, (seq, at) in record.grants.items()}
        self.last = now


def in_trial(name: str, version: Version) -> bool:
    """Whether this relay tries that version: by a hash, so that each version is tried by others."""
    return zlib.crc32(f"{version.number} {version.digest} {name}".encode()) / 2**32 < version.share
