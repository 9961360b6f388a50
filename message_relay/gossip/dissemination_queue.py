"""Whose word is news, told least first. No I/O.

A fleet that starts has as many news as members, and each packet takes a dozen: names lie by how often they
were told, so that a packet costs what it holds and not what there is.
"""

from __future__ import annotations

from itertools import chain, islice


class DisseminationQueue:
    def __init__(self) -> None:
        self.send_counts: dict[str, int] = {}  # name -> how often it was told
        self.names_by_count: list[
            dict[str, None]
        ] = []  # names by that number, the one that waits longest first

    def __len__(self) -> int:
        return len(self.send_counts)

    def add(self, name: str) -> None:
        """Its word is new, whatever was told of it before."""
        self.drop(name)
        self._put(name, 0)

    def drop(self, name: str) -> None:
        times = self.send_counts.pop(name, None)
        if times is not None:
            del self.names_by_count[times][name]

    def mark_sent(self, name: str, limit: int) -> None:
        """Once more; it is news no longer once that was often enough."""
        times = self.send_counts[name] + 1
        self.drop(name)
        if times < limit:
            self._put(name, times)

    def _put(self, name: str, times: int) -> None:
        while len(self.names_by_count) <= times:
            self.names_by_count.append({})
        self.names_by_count[times][name] = None
        self.send_counts[name] = times

    def least_sent(self, most: int) -> list[str]:
        """Told least first."""
        return list(islice(chain.from_iterable(self.names_by_count), most)) if self.send_counts else []

    def clear(self) -> None:
        self.send_counts.clear()
        self.names_by_count.clear()
