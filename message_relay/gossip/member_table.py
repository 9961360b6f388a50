"""Member table: all members that an instance knows, and checksums that show two instances where they differ.

No I/O. Builds without slice checksums compare the checksum over all members, and send all their claims on
any difference: a quarter of a megabyte for 3,500 members. Slice checksums cover 64 parts of the names, so
that one differing claim costs a reply of one sixty-fourth. Departed members are not in the slice checksums:
each instance evicts them at its own time, and the others would send it all of them again until they evict
them too.

Claims enter the checksums as `repr` of name and precedence: these are part of the wire format.
"""

from __future__ import annotations

import hashlib
import random
import struct
import zlib
from collections.abc import Iterator

from .wire import Claim, MemberState

SLICES = 64  # of 4 bytes: a fifth of a packet, and 55 of 3,500 members in each
SAMPLE_FACTOR = 3  # names drawn for each requested one, before all are searched
_CHECKSUMS = struct.Struct(f"<{SLICES}I")


def slice_index(name: str) -> int:
    """Return the slice that a member belongs to."""
    return zlib.crc32(name.encode()) % SLICES


def _claim_hash(claim: Claim) -> int:
    """Not a CRC: it is linear, so that equal changes of two members would leave a checksum unchanged."""
    if claim.has_departed:
        return 0
    digest = hashlib.blake2b(repr((claim.name, *claim.precedence)).encode(), digest_size=4)
    return int.from_bytes(digest.digest(), "little")


class MemberTable:
    """Members by name.

    A change costs the same for any number of members. The checksum over all members is computed when it is
    requested after a change.
    """

    def __init__(self) -> None:
        self.members: dict[str, Claim] = {}  # all except this one
        self.departed_at: dict[str, float] = {}  # time of each member's departure report, the earliest first
        self.names: list[str] = []  # of `members`, to sample without iterating over them
        self._slice_hashes = [0] * SLICES
        self._cached_checksum: tuple[Claim, int] | None = None  # and the own claim that it was computed with

    @property
    def present_count(self) -> int:
        """Number of members that have not departed."""
        return len(self.members) - len(self.departed_at)

    def put(self, now: float, claim: Claim) -> None:
        """Add a member or replace the claim about it."""
        known = self.members.get(claim.name)
        if known is None:
            self.names.append(claim.name)
        else:
            self._slice_hashes[slice_index(claim.name)] ^= _claim_hash(known)
        self._slice_hashes[slice_index(claim.name)] ^= _claim_hash(claim)
        self.members[claim.name] = claim
        self.departed_at.pop(claim.name, None)
        if claim.has_departed:
            self.departed_at[claim.name] = now
        self._cached_checksum = None

    def replace_equal(self, claim: Claim) -> None:
        """Replace a claim by one of equal precedence, which leaves all checksums unchanged."""
        self.members[claim.name] = claim

    def evict_departed(self, before: float) -> list[str]:
        """Remove the members that had departed before a time; return their names."""
        evicted = []
        for name, departed_at in self.departed_at.items():
            if departed_at >= before:
                break
            evicted.append(name)
        for name in evicted:
            del self.departed_at[name], self.members[name]  # departed members are in no slice checksum
        if evicted:
            self.names = list(self.members)
            self._cached_checksum = None
        return evicted

    def sample(self, rng: random.Random, limit: int, state: MemberState, excluded: str = "") -> list[str]:
        """Return at most `limit` random members in a state. All are searched only if few are in it."""
        drawn = rng.sample(self.names, min(len(self.names), SAMPLE_FACTOR * limit))
        matching = [name for name in drawn if self.members[name].state is state and name != excluded]
        if len(matching) < limit and len(drawn) < len(self.names):
            matching = [
                name for name, claim in self.members.items() if claim.state is state and name != excluded
            ]
            matching = rng.sample(matching, min(limit, len(matching)))
        return matching[:limit]

    # -- differences between two instances -------------------------------------------------------------------

    def checksum(self, own_claim: Claim) -> int:
        """Return the checksum over all members: equal if the same claims are known, and never 0."""
        if self._cached_checksum is None or self._cached_checksum[0] is not own_claim:
            rows = sorted((claim.name, *claim.precedence) for claim in (own_claim, *self.members.values()))
            self._cached_checksum = own_claim, zlib.crc32(repr(rows).encode()) or 1
        return self._cached_checksum[1]

    def slice_checksums(self, own_claim: Claim) -> bytes:
        """Return the packed checksums of all slices, with this instance's own claim."""
        checksums = list(self._slice_hashes)
        checksums[slice_index(own_claim.name)] ^= _claim_hash(own_claim)
        return _CHECKSUMS.pack(*checksums)

    def differing_slices(self, own_claim: Claim, checksum: int, slices: bytes) -> frozenset[int] | None:
        """Return the slices in which another instance differs, by its checksums; None if all may differ.

        A build without slice checksums sends none, and 0 for an unknown checksum.
        """
        if len(slices) != _CHECKSUMS.size:  # none, or another number of slices
            is_equal = checksum != 0 and checksum == self.checksum(own_claim)
            return frozenset() if is_equal else None
        own_checksums = _CHECKSUMS.unpack(self.slice_checksums(own_claim))
        other_checksums = _CHECKSUMS.unpack(slices)
        return frozenset(n for n in range(SLICES) if own_checksums[n] != other_checksums[n])

    def claims_in(self, slices: frozenset[int] | None) -> Iterator[Claim]:
        """Yield the claims of some slices (None: all), each in its state at that moment."""
        for name in list(self.members):
            claim = self.members.get(name)
            if claim is not None and (slices is None or slice_index(name) in slices):
                yield claim
