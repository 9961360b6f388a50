"""The process epochs that a voter has seen of its peers' state folders. No I/O.

A process that is to vote first asks the other voters for the highest epoch that they have seen of its folder.
Its own epoch or a higher one means that the folder was restored to an older state, which lacks later votes.
Each query is recorded, so that the next process of the folder learns of this one. A query may be repeated
because its answer was late or lost: the answer must not report the asking process itself, which would take
its own folder for an outdated one and stop voting. So the nonce of the asking process is stored with the
epoch.

Nonces are stored in memory only. A voter that restarts between the two queries answers with the asker's own
epoch: the asker then does not vote until an operator adds it again, but no process votes that must not.
"""

from __future__ import annotations


class ProcessEpochs:
    """The highest epoch of each identity, and the process that reported it."""

    def __init__(self, highest: dict[str, int]) -> None:
        """`highest`: epoch by identity; the caller saves it when it has changed."""
        self.highest = highest
        self.reporter_nonces: dict[str, int] = {}  # by identity, of the process with the highest epoch

    def observe(self, identity: str, epoch: int, nonce: int) -> int:
        """Record the epoch of a process; return the highest epoch that was seen before that process."""
        previous = self.highest.get(identity, 0)
        if epoch == previous and nonce and self.reporter_nonces.get(identity) == nonce:
            return previous - 1
        if epoch > previous:
            self.highest[identity] = epoch
            self.reporter_nonces[identity] = nonce
        return previous

    def undo_observe(self, identity: str, previous: int | None) -> None:
        """Restore the epoch before the last `observe`, whose result could not be saved."""
        self.reporter_nonces.pop(identity, None)
        if previous is None:
            self.highest.pop(identity, None)
        else:
            self.highest[identity] = previous
