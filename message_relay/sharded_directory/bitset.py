"""Sets of small numbers as one integer: the shards a client has, the clients that have a shard."""

from __future__ import annotations

from collections.abc import Iterator

SPARSE_BIT_COUNT = 64  # with fewer numbers, a step for each is cheaper than a look at every byte


def set_bits(bitset: int) -> Iterator[int]:
    """Yield the numbers in the set, ascending."""
    if bitset.bit_count() < SPARSE_BIT_COUNT:
        while bitset:
            lowest = bitset & -bitset
            yield lowest.bit_length() - 1
            bitset ^= lowest
        return
    for place, byte in enumerate(bitset.to_bytes((bitset.bit_length() + 7) // 8, "little")):
        while byte:
            lowest = byte & -byte
            yield 8 * place + lowest.bit_length() - 1
            byte ^= lowest
