"""Records the history of each message of a run, and computes the figures by which variants are compared. No
I/O.

Figures cover the messages that were first submitted after `warm_s`. `service` is the worth of the delivered
messages over the worth of all: a message has its full worth within the latency objective (`aim_ms`) of its
class, and half of it with each further `aim_ms`."""

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
WARM_UP_WINDOW_MS = 1500.0
SLACK = 3.0  # calls above the rate in one window that may be chance and are not counted
MAX_VIOLATION_TEXTS = 20  # violations that are stored with their text


@dataclass(slots=True)
class MessageHistory:
    """The history of one message, over all its submissions."""

    number: int
    at: float
    class_: int
    destination: int
    deadline: float
    is_counted: bool  # in the figures: submitted after the warm-up
    tries: int = 0  # submissions
    resubmit_until: float = math.inf  # its client does not resubmit it after this time: see `accepted`
    acceptances: int = 0
    calls: int = 0
    final_outcomes: int = 0
    holder: int | None = None  # number of the relay that has it pending
    delivered_at: float | None = None
    failed: bool = False


@dataclass
class Record:
    """Collects what happens during a run: message histories, calls and violations of rules."""

    experiment: Experiment
    histories: list[MessageHistory] = field(default_factory=list)
    calls: dict[int, list[float]] = field(default_factory=dict)  # times, by destination
    full: Counter[int] = field(default_factory=Counter)  # rejected calls, by destination
    listing_changed_at: dict[tuple[int, int], float] = field(default_factory=dict)  # by (relay, endpoint)
    broken: list[str] = field(default_factory=list)
    breaks: int = 0
    refused: int = 0
    returned: int = 0
    tries_while_out: int = 0
    lost_responses: int = 0
    turns: int = 0
    falls: int = 0

    def submitted(self, job: Job) -> MessageHistory:
        history = MessageHistory(
            job.number,
            job.at,
            job.class_,
            job.destination,
            job.at + job.left_ms,
            job.at >= self.experiment.traffic.warm_s * 1000,
        )
        self.histories.append(history)
        return history

    def accepted(self, history: MessageHistory, now: float) -> None:
        """Records that a relay accepted the message. From now on a message with an idempotency key may have
        an effect, and partners forget the key after the idempotency window, so its client resubmits it only
        within the window."""
        history.acceptances += 1
        class_ = self.experiment.classes[history.class_]
        if class_.effect == "by_key":
            history.resubmit_until = min(history.resubmit_until, now + class_.window_ms)

    def called(self, destination: int, now: float) -> None:
        self.calls.setdefault(destination, []).append(now)

    def answered(self, destination: int, reply: Reply, now: float) -> None:
        if reply.value == "full":
            self.full[destination] += 1

    def delivered(self, history: MessageHistory, now: float) -> None:
        if history.delivered_at is None:
            history.delivered_at = now

    def add_violation(self, text: str) -> None:
        self.breaks += 1
        if len(self.broken) < MAX_VIOLATION_TEXTS:
            self.broken.append(text)

    def finish(self, partners: Sequence[Partner], nodes: Sequence[Any]) -> None:
        """Checks the actual effects at the partners for duplicates, and the relays for messages without a
        final outcome."""
        self.partners = list(partners)
        self.falls = sum(partner.falls for partner in partners)
        effects: Counter[str] = Counter()
        for partner in partners:
            effects.update(partner.effects)
        for history in self.histories:
            if (
                effects[str(history.number)] > 1
                and self.experiment.classes[history.class_].effect != "repeatable"
            ):
                self.add_violation(
                    f"message {history.number} took effect {effects[str(history.number)]} times"
                )
        for node in nodes:
            for message in node.journal:
                self.add_violation(f"message {message} has no end")

    # -- figures -----------------------------------------------------------------------------------------

    def delivered_weight(self, history: MessageHistory) -> float:
        if history.delivered_at is None:
            return 0.0
        class_ = self.experiment.classes[history.class_]
        late = (history.delivered_at - history.at) / class_.aim_ms - 1
        return class_.worth * (1.0 if late <= 0 else 0.5**late)

    def figures(self) -> dict[str, float]:
        """All figures of MEASURES by name; NaN where there is nothing to measure."""
        counted = [history for history in self.histories if history.is_counted]
        submitted_weight = sum(self.experiment.classes[history.class_].worth for history in counted)
        delivery_ms = np.array(
            sorted(
                history.delivered_at - history.at for history in counted if history.delivered_at is not None
            )
        )
        over, warm_up = self._worst_overload()
        unsafe = [history for history in counted if self.experiment.classes[history.class_].effect == "once"]
        return {
            "service": sum(map(self.delivered_weight, counted)) / submitted_weight
            if submitted_weight
            else math.nan,
            "delivered": len(delivery_ms) / len(counted) if counted else math.nan,
            "in_aim": _share(
                history.delivered_at is not None
                and history.delivered_at - history.at <= self.experiment.classes[history.class_].aim_ms
                for history in counted
            ),
            "worst_10s": self._worst_10s(counted),
            "p50_ms": float(np.percentile(delivery_ms, 50)) if len(delivery_ms) else math.nan,
            "p99_ms": float(np.percentile(delivery_ms, 99)) if len(delivery_ms) else math.nan,
            "over_1s": over,
            "over_cold": warm_up,
            "tries_while_out": float(self.tries_while_out),
            "refused": float(self.refused),
            "calls": sum(history.calls for history in counted) / len(counted) if counted else math.nan,
            "unsafe_failed": _share(history.delivered_at is None for history in unsafe),
            "falls": float(self.falls),
        }

    def _worst_10s(self, counted: list[MessageHistory]) -> float:
        submitted_weight: Counter[int] = Counter()
        got: Counter[int] = Counter()
        for history in counted:
            submitted_weight[int(history.at / 10_000)] += self.experiment.classes[history.class_].worth  # type: ignore[assignment]
            got[int(history.at / 10_000)] += self.delivered_weight(history)  # type: ignore[assignment]
        most = max(submitted_weight.values(), default=0)
        parts = [got[k] / submitted_weight[k] for k in submitted_weight if submitted_weight[k] > 0.2 * most]
        return min(parts, default=math.nan)

    def _worst_overload(self) -> tuple[float, float]:
        """The largest ratio of calls to the partner's rate, over all partners with a rate: in any window of
        1 s, and in any window of 1.5 s while the partner is cold. Each call starts a window. SLACK calls are
        subtracted."""
        second = warm_up = 0.0
        for n, partner in enumerate(self.partners):
            times = np.array(self.calls.get(n + 1, []))
            if partner.spec.rate is None or not len(times):
                continue
            rate = partner.spec.rate.per_s
            times = times[times >= min(self.experiment.traffic.warm_s * 1000, times[-1])]
            counts = np.searchsorted(times, times + 1000.0) - np.arange(len(times))
            second = max(second, float(counts.max(initial=0) - SLACK) / rate)
            for trouble in partner.troubles:
                if not trouble.fault.outage:
                    continue
                recovered_ms = trouble.end_ms
                inside = times[(times >= recovered_ms) & (times < recovered_ms + partner.spec.cold.warm_ms)]
                wide = np.searchsorted(times, inside + WARM_UP_WINDOW_MS) - np.searchsorted(times, inside)
                for at, k in zip(inside.tolist(), wide.tolist(), strict=True):
                    capacity = partner.can(at + WARM_UP_WINDOW_MS / 2) * WARM_UP_WINDOW_MS / 1000
                    if capacity > 0:
                        warm_up = max(warm_up, (k - SLACK) / capacity)
        return max(0.0, second), max(0.0, warm_up)

    # -- what reports show -------------------------------------------------------------------------------

    def series(self) -> dict[str, Any]:
        """Totals by second: messages submitted and delivered, calls, and the capacity of the partners with a
        rate."""
        seconds = (
            int(
                self.experiment.traffic.seconds
                + max(each.deadline_ms for each in self.experiment.classes) / 1000
            )
            + 1
        )
        totals = [np.zeros(seconds) for _ in range(3)]
        for row, times in zip(
            totals,
            (
                [history.at for history in self.histories],
                [history.delivered_at for history in self.histories if history.delivered_at is not None],
                [at for calls in self.calls.values() for at in calls],
            ),
            strict=True,
        ):
            seconds_of_events = (np.array(times, dtype=float) / 1000).astype(int)
            np.add.at(row, seconds_of_events[seconds_of_events < seconds], 1)
        limited = [partner for partner in self.partners if partner.spec.rate is not None]
        capacity = [
            sum(partner.can(at * 1000 + 500.0) for partner in limited) if limited else -1.0
            for at in range(seconds)
        ]
        return {
            "asked": totals[0].astype(int).tolist(),
            "delivered": totals[1].astype(int).tolist(),
            "calls": totals[2].astype(int).tolist(),
            "can": [round(each, 3) for each in capacity],
        }

    def by_destination(self, most: int = 50) -> list[list[float]]:
        """Lists [destination, submitted, delivered, rejected calls], the busiest first."""
        submitted: Counter[int] = Counter(
            history.destination for history in self.histories if history.is_counted
        )
        done = Counter(
            history.destination
            for history in self.histories
            if history.is_counted and history.delivered_at is not None
        )
        return [[dest, count, done[dest], self.full[dest]] for dest, count in submitted.most_common(most)]

    def histograms(self) -> dict[str, str]:
        """Time to delivery by class, in the encoding of HdrHistogram."""
        out = {}
        for n, class_ in enumerate(self.experiment.classes):
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            for history in self.histories:
                if history.is_counted and history.class_ == n and history.delivered_at is not None:
                    histogram.record_value(max(LOWEST_MS, round(history.delivered_at - history.at)))
            out[class_.name] = histogram.encode().decode()
        return out


def _share(flags: Any) -> float:
    values = list(flags)
    return sum(values) / len(values) if values else math.nan
