"""Records what all parties of a run of benchmarks.restarts observed, and finds violated rules.

All times are of time.monotonic(), in seconds. The rules are those of the platform's pages: each accepted
message has one final outcome in time; a message that may not run twice takes effect once; a completely
written request gets a response unless the process is killed; an endpoint that was announced as leaving gets
no new calls; a process exits with 0 after a termination signal, and its successor is ready in time."""

from __future__ import annotations

import json
import math
import signal
import time
from collections import Counter
from dataclasses import dataclass, field

GRACE_S = 0.25 + 0.05  # drain grace of a leaving endpoint, plus the slack in the rules on sockets
# A prompt agent answers an open watch within this time; agent, endpoints and clients share this process.
PROMPT_DISCOVERY_S = 0.1
MAX_DISCOVERY_S = 6.0  # a change counts as known to the relay after this time, whatever the agent does
AFTER_RELOAD_S = 4.0
END_SLACK_S = 0.35  # after a message's deadline
AFTER_READY_S = 1.5  # grace for final outcomes after a restart, from when the next process is ready
READY_S = 10.0
KILL_NOTICED_S = 0.05  # between a kill and the moment its clients notice
NEW_CONNECTIONS_S = 0.4 + 0.05  # clients open connections until then after SIGTERM; with slack
MIN_IDLE_S = 2.0  # an idle connection may be closed without a request after this time


@dataclass
class Process:
    started_at: float
    ready_at: float = math.inf
    signalled_at: float = math.inf
    killed_at: float = math.inf
    exited_at: float = math.inf
    exit_code: int | None = None


@dataclass
class Accepted:
    class_name: str
    due_at: float


@dataclass
class Unanswered:
    """A completely written request whose connection closed without a response."""

    message: str
    written_at: float
    closed_at: float
    idle_s: float  # since the previous response; negative for the first request on a connection
    how: str
    last_status: str = ""  # of the previous response


class CallLog:
    """Records the calls to one endpoint, in the format of `fakes.endpoint`, by this process's clock."""

    def __init__(self, ledger: Ledger, name: str) -> None:
        self.ledger, self.name = ledger, name

    def write(self, text: str) -> int:
        _, message, reply, *_ = text.split()
        self.ledger.calls.append((time.monotonic(), self.name, message, reply))
        return len(text)

    def flush(self) -> None:
        """Nothing is buffered."""


class NoticeLog:
    """Records the final outcomes that the agent was notified of, by this process's clock."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    def write(self, text: str) -> int:
        for line in text.splitlines():
            item = json.loads(line)
            self.ledger.notices.append((time.monotonic(), item["id"], item["state"]))
        return len(text)

    def flush(self) -> None:
        """Nothing is buffered."""


@dataclass
class Ledger:
    is_prompt: bool  # the agent answers without delay
    has_crowd: bool
    processes: list[Process] = field(default_factory=list)
    accepted: dict[str, Accepted] = field(default_factory=dict)
    unanswered: list[Unanswered] = field(default_factory=list)
    calls: list[tuple[float, str, str, str]] = field(default_factory=list)
    notices: list[tuple[float, str, str]] = field(default_factory=list)
    effects: Counter[str] = field(default_factory=Counter)
    leaving: list[tuple[float, float, str]] = field(default_factory=list)  # start, end, endpoint
    silences: list[tuple[float, float]] = field(default_factory=list)  # start, end: the agent does not answer
    reloads: list[float] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    lags: list[tuple[float, float]] = field(default_factory=list)  # of this process's event loop: time, s

    def violations(self) -> list[str]:
        return [
            *self._final_outcomes(),
            *self._effects(),
            *self._lost_requests(),
            *self._calls_to_leaving(),
            *self._processes(),
        ]

    # -- messages ----------------------------------------------------------------------------------------

    def _final_outcomes(self) -> list[str]:
        completed_at = {message: at for at, _, message, reply in reversed(self.calls) if reply == "ok"}
        states: dict[str, set[str]] = {}
        for at, message, state in reversed(self.notices):
            states.setdefault(message, set()).add(state)
            completed_at[message] = min(at, completed_at.get(message, math.inf))
        violations = [
            f"{message}: told {sorted(message_states)}"
            for message, message_states in states.items()
            if len(message_states) > 1
        ]
        for message, accepted in self.accepted.items():
            if message not in completed_at:
                violations.append(f"{message}: accepted, no end")
            elif completed_at[message] > self._latest_end(accepted.due_at):
                violations.append(
                    f"{message}: its end came {completed_at[message] - accepted.due_at:.2f} s late"
                )
        return violations

    def _latest_end(self, due_at: float) -> float:
        latest = due_at + END_SLACK_S
        for number, process in enumerate(self.processes[:-1]):
            away_from = min(process.signalled_at, process.killed_at, process.exited_at)
            back_at = self.processes[number + 1].ready_at + AFTER_READY_S
            if away_from <= latest <= back_at:
                latest = back_at
        return latest

    def _effects(self) -> list[str]:
        return [
            f"{message}: took effect {self.effects[message]} times"
            for message, accepted in self.accepted.items()
            if accepted.class_name == "pay" and self.effects[message] > 1
        ]

    # -- requests ----------------------------------------------------------------------------------------

    def is_excused(self, request: Unanswered) -> bool:
        """Whether no response was due: the process was killed, the connection had been idle for longer than a
        client may rely on, or the request was the first on its connection while a crowd of connections waits.

        A new connection doesn't count either if it comes later after SIGTERM than the platform's clients open
        any: the system resets one that is in the listener's queue when the listener closes (seed 38, 0.523 s
        after SIGTERM).
        """
        was_killed = any(
            process.killed_at <= request.closed_at + KILL_NOTICED_S
            and process.exited_at >= request.written_at - KILL_NOTICED_S
            for process in self.processes
        )
        is_new = request.idle_s < 0
        is_after_listening = any(
            process.signalled_at + NEW_CONNECTIONS_S < request.written_at <= process.exited_at
            for process in self.processes
        )
        return (
            was_killed or request.idle_s >= MIN_IDLE_S or (is_new and (self.has_crowd or is_after_listening))
        )

    def _lost_requests(self) -> list[str]:
        return [
            f"{each.message}: no answer ({each.how}) {self._since_signal(each):.3f} s after the signal,"
            f" {each.closed_at - each.written_at:.3f} s after it was written; rested {each.idle_s:.3f} s"
            f" after {each.last_status or 'no answer'}"
            for each in self.unanswered
            if not self.is_excused(each)
        ]

    def _since_signal(self, request: Unanswered) -> float:
        signal_times = [
            process.signalled_at for process in self.processes if process.signalled_at <= request.closed_at
        ]
        return request.closed_at - max(signal_times, default=-math.inf)

    # -- endpoints ---------------------------------------------------------------------------------------

    def _calls_to_leaving(self) -> list[str]:
        violations = []
        for at, endpoint, message, _ in self.calls:
            for since, until, name in self.leaving:
                if (
                    name == endpoint
                    and self._known_at(since) + GRACE_S + self._lateness(since, at) < at < until
                ):
                    violations.append(
                        f"{message}: call to {endpoint} {at - since:.2f} s after it was leaving"
                    )
        return violations

    def _lateness(self, since: float, until: float) -> float:
        """Returns how late this process may have been in writing the change and in reading the call."""
        return 2 * max((lag for at, lag in self.lags if since <= at <= until), default=0.0)

    def _known_at(self, since: float) -> float:
        """Returns the time at which the change counts as known to the process that runs then."""
        known_at = since + (PROMPT_DISCOVERY_S if self.is_prompt else MAX_DISCOVERY_S)
        for start, end in self.silences:
            if start <= known_at and end >= since:
                known_at = max(known_at, end + MAX_DISCOVERY_S)
        for reload_at in self.reloads:
            if reload_at <= known_at <= reload_at + AFTER_RELOAD_S or since <= reload_at <= known_at:
                known_at = max(known_at, reload_at + AFTER_RELOAD_S)
        return known_at

    # -- processes ---------------------------------------------------------------------------------------

    def _processes(self) -> list[str]:
        violations = []
        for number, process in enumerate(self.processes):
            was_ready = process.ready_at < math.inf
            if process.killed_at < math.inf and process.exit_code == -signal.SIGKILL:
                continue
            allowed = {0} if was_ready else {0, -signal.SIGTERM}
            if process.signalled_at == math.inf or process.exit_code not in allowed:
                violations.append(f"process {number}: ended with {process.exit_code}")
            if was_ready and process.ready_at - process.started_at > READY_S:
                violations.append(
                    f"process {number}: ready after {process.ready_at - process.started_at:.1f} s"
                )
        return violations
