"""What a piece of work does, counted and not timed: the same on any machine.

`steps` are the interpreter's instructions, in all functions that it calls. A walk inside the interpreter's
own code (`set(all.values())`) makes few of them, but room for what it gathers: so `bytes` are counted beside
them, the most at once beyond what was there before. Where it gathers nothing (`few.difference_update(all)`),
neither shows it: `Walked` does, in the place of a map.
"""

from __future__ import annotations

import gc
import statistics
import sys
import tracemalloc
from collections.abc import Callable, ItemsView, Iterable, Iterator, KeysView, ValuesView
from dataclasses import dataclass
from types import FrameType
from typing import Any, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class Walked(dict[K, V]):
    """Counts how often somebody may have gone through all of it."""

    walks = 0

    def __iter__(self) -> Iterator[K]:
        self.walks += 1
        return super().__iter__()

    def keys(self) -> KeysView[K]:  # type: ignore[override]
        self.walks += 1
        return super().keys()

    def values(self) -> ValuesView[V]:  # type: ignore[override]
        self.walks += 1
        return super().values()

    def items(self) -> ItemsView[K, V]:  # type: ignore[override]
        self.walks += 1
        return super().items()


@dataclass(frozen=True, slots=True)
class Work:
    steps: int
    bytes: int


def counted(work: Callable[[], object]) -> Work:
    """Run once only: steps and bytes are counted in the same run."""
    steps = 0

    def trace(frame: FrameType, event: str, _: Any) -> Callable[..., Any]:
        nonlocal steps
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        steps += event == "opcode"
        return trace

    gc.collect()
    gc.disable()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(None)
        most = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        gc.enable()
    return Work(steps, most - before)


def usual(works: Iterable[Callable[[], object]]) -> Work:
    """Of several of a kind, the median: now and then a map that has filled up grows."""
    each = [counted(work) for work in works]
    return Work(
        round(statistics.median(one.steps for one in each)),
        round(statistics.median(one.bytes for one in each)),
    )
