"""What a run showed: a life of each message, and the figures that variants are compared by. No I/O.

Figures are over messages that first came after `warm_s`. `service` is the worth answered, over the worth
asked: full within a class's aim, then half with each further aim."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import numpy as np
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from .experiment import Experiment
    from .partner import Partner, Reply
    from .traffic import Job

LOWEST_MS, HIGHEST_MS, DIGITS = 1, 600_000, 3
COLD_MS = 1500.0
SLACK = 3.0  # calls more than the rate that chance may put into a window, and that no figure counts
MOST_BROKEN = 20  # told by name


@dataclass(slots=True)
class Life:
    """One message, over all its times of being handed in."""

    number: int
    at: float
    class_: int
    destination: int
    due: float
    counted: bool
    tries: int = 0  # times handed in
    until: float = math.inf  # its client does not come again later: see `took`
    taken: int = 0
    calls: int = 0
    ends: int = 0
    holder: int | None = None
    done: float | None = None
    failed: bool = False


@dataclass
class Record:
    """Filled while a world runs."""

    it: Experiment
    lives: list[Life] = field(default_factory=list)
    calls: dict[int, list[float]] = field(default_factory=dict)
    full: Counter[int] = field(default_factory=Counter)
    learnt: dict[tuple[int, int], float] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    breaks: int = 0
    refused: int = 0
    returned: int = 0
    tries_while_out: int = 0
    unheard: int = 0
    turns: int = 0
    falls: int = 0

    def asked(self, job: Job) -> Life:
        life = Life(
            job.number,
            job.at,
            job.class_,
            job.destination,
            job.at + job.left_ms,
            job.at >= self.it.traffic.warm_s * 1000,
        )
        self.lives.append(life)
        return life

    def took(self, life: Life, now: float) -> None:
        """A relay has it. A keyed message may have an effect from now on, and its client knows that partners
        forget the key: it hands it in again only inside the window, for no longer than that."""
        life.taken += 1
        class_ = self.it.classes[life.class_]
        if class_.effect == "by_key":
            life.until = min(life.until, now + class_.window_ms)

    def called(self, destination: int, now: float) -> None:
        self.calls.setdefault(destination, []).append(now)

    def answered(self, destination: int, reply: Reply, now: float) -> None:
        if reply.value == "full":
            self.full[destination] += 1

    def delivered(self, life: Life, now: float) -> None:
        if life.done is None:
            life.done = now

    def broke(self, text: str) -> None:
        self.breaks += 1
        if len(self.broken) < MOST_BROKEN:
            self.broken.append(text)

    def finish(self, partners: Sequence[Partner], nodes: Sequence[Any]) -> None:
        """Asks the partners what really took effect, and the relays what they still owe."""
        self.partners = list(partners)
        self.falls = sum(partner.falls for partner in partners)
        effects: Counter[str] = Counter()
        for partner in partners:
            effects.update(partner.effects)
        for life in self.lives:
            if effects[str(life.number)] > 1 and self.it.classes[life.class_].effect != "repeatable":
                self.broke(f"message {life.number} took effect {effects[str(life.number)]} times")
        for node in nodes:
            for message in node.kept:
                self.broke(f"message {message} has no end")

    # -- figures -----------------------------------------------------------------------------------------

    def worth(self, life: Life) -> float:
        if life.done is None:
            return 0.0
        class_ = self.it.classes[life.class_]
        late = (life.done - life.at) / class_.aim_ms - 1
        return class_.worth * (1.0 if late <= 0 else 0.5**late)

    def figures(self) -> dict[str, float]:
        """By MEASURES; NaN where there is nothing to measure."""
        counted = [life for life in self.lives if life.counted]
        asked = sum(self.it.classes[life.class_].worth for life in counted)
        took = np.array(sorted(life.done - life.at for life in counted if life.done is not None))
        over, cold = self._over()
        unsafe = [life for life in counted if self.it.classes[life.class_].effect == "once"]
        return {
            "service": sum(map(self.worth, counted)) / asked if asked else math.nan,
            "delivered": len(took) / len(counted) if counted else math.nan,
            "in_aim": _share(
                life.done is not None and life.done - life.at <= self.it.classes[life.class_].aim_ms
                for life in counted
            ),
            "worst_10s": self._worst(counted),
            "p50_ms": float(np.percentile(took, 50)) if len(took) else math.nan,
            "p99_ms": float(np.percentile(took, 99)) if len(took) else math.nan,
            "over_1s": over,
            "over_cold": cold,
            "tries_while_out": float(self.tries_while_out),
            "refused": float(self.refused),
            "calls": sum(life.calls for life in counted) / len(counted) if counted else math.nan,
            "unsafe_failed": _share(life.done is None for life in unsafe),
            "falls": float(self.falls),
        }

    def _worst(self, counted: list[Life]) -> float:
        asked: Counter[int] = Counter()
        got: Counter[int] = Counter()
        for life in counted:
            asked[int(life.at / 10_000)] += self.it.classes[life.class_].worth  # type: ignore[assignment]
            got[int(life.at / 10_000)] += self.worth(life)  # type: ignore[assignment]
        most = max(asked.values(), default=0)
        parts = [got[k] / asked[k] for k in asked if asked[k] > 0.2 * most]
        return min(parts, default=math.nan)

    def _over(self) -> tuple[float, float]:
        """The worst windows, over all partners with a rate: of 1 s, and of 1.5 s while one is cold. Each call
        begins a window; what SLACK calls are is taken off."""
        second = cold = 0.0
        for n, partner in enumerate(self.partners):
            times = np.array(self.calls.get(n + 1, []))
            if partner.spec.rate is None or not len(times):
                continue
            rate = partner.spec.rate.per_s
            times = times[times >= min(self.it.traffic.warm_s * 1000, times[-1])]
            counts = np.searchsorted(times, times + 1000.0) - np.arange(len(times))
            second = max(second, float(counts.max(initial=0) - SLACK) / rate)
            for trouble in partner.troubles:
                if not trouble.fault.outage:
                    continue
                back = trouble.end_ms
                inside = times[(times >= back) & (times < back + partner.spec.cold.warm_ms)]
                wide = np.searchsorted(times, inside + COLD_MS) - np.searchsorted(times, inside)
                for at, k in zip(inside.tolist(), wide.tolist(), strict=True):
                    can = partner.can(at + COLD_MS / 2) * COLD_MS / 1000
                    if can > 0:
                        cold = max(cold, (k - SLACK) / can)
        return max(0.0, second), max(0.0, cold)

    # -- what reports show -------------------------------------------------------------------------------

    def series(self) -> dict[str, Any]:
        """By second, over all: asked, delivered, calls, and what the partners with a rate could do."""
        seconds = int(self.it.traffic.seconds + max(each.deadline_ms for each in self.it.classes) / 1000) + 1
        every = [np.zeros(seconds) for _ in range(3)]
        for row, times in zip(
            every,
            (
                [life.at for life in self.lives],
                [life.done for life in self.lives if life.done is not None],
                [at for calls in self.calls.values() for at in calls],
            ),
            strict=True,
        ):
            places = (np.array(times, dtype=float) / 1000).astype(int)
            np.add.at(row, places[places < seconds], 1)
        limited = [partner for partner in self.partners if partner.spec.rate is not None]
        can = [
            sum(partner.can(at * 1000 + 500.0) for partner in limited) if limited else -1.0
            for at in range(seconds)
        ]
        return {
            "asked": every[0].astype(int).tolist(),
            "delivered": every[1].astype(int).tolist(),
            "calls": every[2].astype(int).tolist(),
            "can": [round(each, 3) for each in can],
        }

    def by_destination(self, most: int = 50) -> list[list[float]]:
        """[destination, asked, delivered, refused by it], the busiest first."""
        asked: Counter[int] = Counter(life.destination for life in self.lives if life.counted)
        done = Counter(life.destination for life in self.lives if life.counted and life.done is not None)
        return [[dest, count, done[dest], self.full[dest]] for dest, count in asked.most_common(most)]

    def histograms(self) -> dict[str, str]:
        """Time to delivery by class, in HdrHistogram's own encoding."""
        out = {}
        for n, class_ in enumerate(self.it.classes):
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            for life in self.lives:
                if life.counted and life.class_ == n and life.done is not None:
                    histogram.record_value(max(LOWEST_MS, round(life.done - life.at)))
            out[class_.name] = histogram.encode().decode()
        return out


def _share(flags: Any) -> float:
    values = list(flags)
    return sum(values) / len(values) if values else math.nan
