"""Whose word is news, told least first. No I/O.

A fleet that starts has as many news as members, and each packet takes a dozen: names lie by how often they
were told, so that a packet costs what it holds and not what there is.
"""

from __future__ import annotations

from itertools import chain, islice


class DisseminationQueue:
    def __init__(self) -> None:
        self.times: dict[str, int] = {}  # name -> how often it was told
        self.levels: list[dict[str, None]] = []  # names by that number, the one that waits longest first

    def __len__(self) -> int:
        return len(self.times)

    def add(self, name: str) -> None:
        """Its word is new, whatever was told of it before."""
        self.drop(name)
        self._put(name, 0)

    def drop(self, name: str) -> None:
        times = self.times.pop(name, None)
        if times is not None:
            del self.levels[times][name]

    def told(self, name: str, limit: int) -> None:
        """Once more; it is news no longer once that was often enough."""
        times = self.times[name] + 1
        self.drop(name)
        if times < limit:
            self._put(name, times)

    def _put(self, name: str, times: int) -> None:
        while len(self.levels) <= times:
            self.levels.append({})
        self.levels[times][name] = None
        self.times[name] = times

    def first(self, most: int) -> list[str]:
        """Told least first."""
        return list(islice(chain.from_iterable(self.levels), most)) if self.times else []

    def clear(self) -> None:
        self.times.clear()
        self.levels.clear()
