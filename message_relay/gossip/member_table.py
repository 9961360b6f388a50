"""All members that an instance knows, and sums by which two instances find what differs. No I/O.

The sum over everything is what builds before `slices` compare, and any difference has them send all they
know: a quarter of a megabyte for 3,500 members. `slices` has a sum for each of 64 parts of the names, so that
one word costs an answer of a sixty-fourth. Members that are gone have no part in those: each instance forgets
them at a moment of its own, and would be sent all of them by the others until then.
"""

from __future__ import annotations

import hashlib
import random
import struct
import zlib
from collections.abc import Iterator

from .wire import Claim, MemberState

SLICES = 64  # of 4 bytes: a fifth of a packet, and 55 of 3,500 members in each
_CHECKSUMS = struct.Struct(f"<{SLICES}I")


def slice_index(name: str) -> int:
    return zlib.crc32(name.encode()) % SLICES


def _claim_hash(claim: Claim) -> int:
    """No checksum: those are linear, so that two members which change alike would leave a sum as it was."""
    if claim.is_gone:
        return 0
    told = hashlib.blake2b(repr((claim.name, *claim.precedence)).encode(), digest_size=4)
    return int.from_bytes(told.digest(), "little")


class MemberTable:
    """Each change costs the same, however many members there are; the sum over everything is made anew when
    it is asked for after a change."""

    def __init__(self) -> None:
        self.members: dict[str, Claim] = {}  # all but this one
        self.gone_at: dict[str, float] = {}  # when that was heard, the earliest first
        self.names: list[str] = []  # of `members`, to choose some of them without a walk
        self._slice_hashes = [0] * SLICES
        self._cached_checksum: tuple[Claim, int] | None = (
            None  # this instance's own word, and the sum with it
        )

    @property
    def present_count(self) -> int:
        """How many are not gone."""
        return len(self.members) - len(self.gone_at)

    def put(self, now: float, claim: Claim) -> None:
        known = self.members.get(claim.name)
        if known is None:
            self.names.append(claim.name)
        else:
            self._slice_hashes[slice_index(claim.name)] ^= _claim_hash(known)
        self._slice_hashes[slice_index(claim.name)] ^= _claim_hash(claim)
        self.members[claim.name] = claim
        self.gone_at.pop(claim.name, None)
        if claim.is_gone:
            self.gone_at[claim.name] = now
        self._cached_checksum = None

    def replace_equal(self, claim: Claim) -> None:
        """The same word by another one: nothing that is summed up."""
        self.members[claim.name] = claim

    def evict_gone(self, before: float) -> list[str]:
        """Those that were gone by then."""
        found = []
        for name, at in self.gone_at.items():
            if at >= before:
                break
            found.append(name)
        for name in found:
            del self.gone_at[name], self.members[name]  # their marks are in no sum
        if found:
            self.names = list(self.members)
            self._cached_checksum = None
        return found

    def sample(self, rng: random.Random, most: int, state: MemberState, but: str = "") -> list[str]:
        """Members in that state, by chance: a few are drawn, and all are looked at only where few do."""
        drawn = rng.sample(self.names, min(len(self.names), 3 * most))
        found = [name for name in drawn if self.members[name].state is state and name != but]
        if len(found) < most and len(drawn) < len(self.names):
            found = [name for name, claim in self.members.items() if claim.state is state and name != but]
            found = rng.sample(found, min(most, len(found)))
        return found[:most]

    # -- what differs ----------------------------------------------------------------------------------------

    def checksum(self, me: Claim) -> int:
        """Equal where the same is known; never 0. As builds without slices have it."""
        if self._cached_checksum is None or self._cached_checksum[0] is not me:
            known = sorted((each.name, *each.precedence) for each in (me, *self.members.values()))
            self._cached_checksum = me, zlib.crc32(repr(known).encode()) or 1
        return self._cached_checksum[1]

    def slice_checksums(self, me: Claim) -> bytes:
        sums = list(self._slice_hashes)
        sums[slice_index(me.name)] ^= _claim_hash(me)
        return _CHECKSUMS.pack(*sums)

    def differing_slices(self, me: Claim, told: bytes) -> frozenset[int] | None:
        """Parts in which the other one knows something else. None: all, since it can't be told."""
        if len(told) != _CHECKSUMS.size:
            return None
        mine, other = _CHECKSUMS.unpack(self.slice_checksums(me)), _CHECKSUMS.unpack(told)
        return frozenset(n for n in range(SLICES) if mine[n] != other[n])

    def claims_in(self, parts: frozenset[int] | None) -> Iterator[Claim]:
        """As they are when each one's turn comes."""
        for name in list(self.members):
            claim = self.members.get(name)
            if claim is not None and (parts is None or slice_index(name) in parts):
                yield claim
