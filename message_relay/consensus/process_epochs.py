"""Which boots of its peers' state folders a voter has seen. No I/O.

A process that is to vote asks the others first for the highest boot that they have seen of its folder:
its own number or a higher one means that the folder was put back to an older state, whose votes it no
longer knows of. Each question is noted as well, so that the next process of the folder is told of this
one. The odd case is a question that is asked twice, since its answer came too late or got lost: the
process must not be told of itself, or it takes its own folder for an older one and votes no more. So
who asked is kept beside the boot.

`by` is kept in memory only: a voter that itself starts anew between the two questions answers with the
asker's own boot, which keeps a voter from its vote and costs an operator's word, but lets nobody vote
who must not.
"""

from __future__ import annotations


class ProcessEpochs:
    def __init__(self, seen: dict[str, int]) -> None:
        """`seen`: identity -> highest boot; the caller writes it down when it has changed."""
        self.highest = seen
        self.reporter_nonces: dict[
            str, int
        ] = {}  # identity -> nonce of the process that told the highest boot

    def observe(self, ident: str, boot: int, nonce: int) -> int:
        """A process that runs from this folder asks: the highest boot that was seen before it."""
        before = self.highest.get(ident, 0)
        if boot == before and nonce and self.reporter_nonces.get(ident) == nonce:
            return before - 1
        if boot > before:
            self.highest[ident], self.reporter_nonces[ident] = boot, nonce
        return before

    def undo_observe(self, ident: str, boot: int | None) -> None:
        """What was told last could not be written down: it was never heard."""
        self.reporter_nonces.pop(ident, None)
        if boot is None:
            self.highest.pop(ident, None)
        else:
            self.highest[ident] = boot
