"""Counts the work of a function instead of timing it, so that the result is the same on any machine.

`steps` is the number of interpreter instructions in all functions that it calls. An iteration in the
interpreter's C code (`set(all.values())`) takes few instructions but allocates memory for its result, so
`bytes` counts the peak of allocated memory beyond the start. Where it allocates nothing
(`few.difference_update(all)`), neither shows it; `Walked` detects it when it replaces the dictionary.
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
    """A dictionary that counts how often a caller may have iterated over all of it."""

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


def count_work(work: Callable[[], object]) -> Work:
    """Run `work` once and count steps and bytes in the same run."""
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
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        gc.enable()
    return Work(steps, peak - before)


def median_work(works: Iterable[Callable[[], object]]) -> Work:
    """Return the median of several runs of one kind, because now and then a full dictionary is resized."""
    runs = [count_work(work) for work in works]
    return Work(
        round(statistics.median(run.steps for run in runs)),
        round(statistics.median(run.bytes for run in runs)),
    )
