"""Sets of small numbers as one integer: shards that a reader holds, readers that hold a shard."""

from __future__ import annotations

from collections.abc import Iterator

FEW = 64  # numbers: below, one step each is cheaper than a look at every byte


def numbers(bits: int) -> Iterator[int]:
    """Ascending."""
    if bits.bit_count() < FEW:
        while bits:
            low = bits & -bits
            yield low.bit_length() - 1
            bits ^= low
        return
    for place, byte in enumerate(bits.to_bytes((bits.bit_length() + 7) // 8, "little")):
        while byte:
            low = byte & -byte
            yield 8 * place + low.bit_length() - 1
            byte ^= low
