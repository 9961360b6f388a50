"""Bitsets: sets of small numbers as one integer, for the shards of a client and the clients of a shard."""

from __future__ import annotations

from collections.abc import Iterator

SPARSE_BIT_COUNT = 64  # with fewer numbers, one step per number is cheaper than a scan of all bytes


def set_bits(bitset: int) -> Iterator[int]:
    """Yield the numbers in the set, ascending."""
    if bitset.bit_count() < SPARSE_BIT_COUNT:
        while bitset:
            lowest = bitset & -bitset
            yield lowest.bit_length() - 1
            bitset ^= lowest
        return
    for index, byte in enumerate(bitset.to_bytes((bitset.bit_length() + 7) // 8, "little")):
        while byte:
            lowest = byte & -byte
            yield 8 * index + lowest.bit_length() - 1
            byte ^= lowest
