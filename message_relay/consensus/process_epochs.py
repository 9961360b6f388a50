"""Which process epochs of its peers' state folders a voter has seen. No I/O.

A process that is to vote first asks the others for the highest epoch that they have seen of its folder: its
own number or a higher one means that the folder was put back to an older state, whose votes it no longer
knows of. Each question is recorded as well, so that the next process of the folder learns of this one. The
odd case is a question that is asked twice, since its answer came too late or got lost: the process must not
learn of itself, or it would believe its own folder to be an older one and vote no more. So the nonce of the
process that asked is kept beside the epoch.

Nonces are kept in memory only: a voter that itself restarts between the two questions answers with the
asker's own epoch, which keeps a voter from its vote until an operator adds it again, but lets nobody vote
who must not.
"""

from __future__ import annotations


class ProcessEpochs:
    """The highest epoch of each identity, and the process that reported it."""

    def __init__(self, highest: dict[str, int]) -> None:
        """`highest`: by identity; the caller writes it down when it has changed."""
        self.highest = highest
        self.reporter_nonces: dict[str, int] = {}  # by identity, of the process with the highest epoch

    def observe(self, identity: str, epoch: int, nonce: int) -> int:
        """Record the epoch of a process; returns the highest that was seen before that process."""
        previous = self.highest.get(identity, 0)
        if epoch == previous and nonce and self.reporter_nonces.get(identity) == nonce:
            return previous - 1
        if epoch > previous:
            self.highest[identity] = epoch
            self.reporter_nonces[identity] = nonce
        return previous

    def undo_observe(self, identity: str, previous: int | None) -> None:
        """Restore the epoch before the last `observe`, which could not be written down."""
        self.reporter_nonces.pop(identity, None)
        if previous is None:
            self.highest.pop(identity, None)
        else:
            self.highest[identity] = previous
