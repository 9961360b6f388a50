"""Sets of small numbers as one integer: shards that a reader holds, readers that hold a shard."""

from __future__ import annotations

from collections.abc import Iterator

SPARSE_BIT_COUNT = 64  # numbers: below, one step each is cheaper than a look at every byte


def set_bits(bitset: int) -> Iterator[int]:
    """Ascending."""
    if bitset.bit_count() < SPARSE_BIT_COUNT:
        while bitset:
            low = bitset & -bitset
            yield low.bit_length() - 1
            bitset ^= low
        return
    for place, byte in enumerate(bitset.to_bytes((bitset.bit_length() + 7) // 8, "little")):
        while byte:
            low = byte & -byte
            yield 8 * place + low.bit_length() - 1
            byte ^= low
