"""Resume after a restart: the unfinished messages of an earlier process, as the decisions see them now."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..decisions.events import Message
from ..decisions.model import FOREVER, Endpoint, Listing
from ..store.journal import Journal
from ..store.records import Attempt, JournalEntry


def unfinished_entries(journal: Journal) -> list[JournalEntry]:
    """Entries without a final state, the earliest deadline first."""
    unfinished = (entry for entry in journal.entries.values() if not entry.final_state)
    return sorted(unfinished, key=lambda entry: entry.deadline_ms)


def with_history(
    message: Message,
    entry: JournalEntry,
    unix_ms: float,
    uptime_ms: float,
    number_of: Callable[[str], int],
) -> Message:
    """The message with its age, its attempts and the first attempt that may have had an effect.

    `unix_ms` and `uptime_ms`: now, on the wall clock and on the monotonic clock. `number_of`: the number of
    an endpoint by its name.
    """
    resumed = replace(message, age_ms=max(0.0, unix_ms - entry.accepted_at_ms), attempts=entry.attempt_count)
    uncertain = entry.uncertain_attempt
    if uncertain is None:
        return resumed
    endpoint = Endpoint(number_of(uncertain.endpoint), entry.destination, Listing.READY, zone=uncertain.zone)
    return replace(
        resumed, uncertain_for_ms=attempt_age_ms(uncertain, unix_ms, uptime_ms), uncertain_endpoint=endpoint
    )


def attempt_age_ms(attempt: Attempt, unix_ms: float, uptime_ms: float) -> float:
    """How long ago an earlier process made an attempt, the time between the processes included.

    Guards idempotency windows against a wall clock that was set back in between: the monotonic clock takes
    precedence, unless the machine has restarted. In doubt the age is FOREVER, past any window.
    """
    is_same_uptime = 0 <= attempt.uptime_ms <= uptime_ms
    monotonic_age_ms = uptime_ms - attempt.uptime_ms if is_same_uptime else -1.0
    if unix_ms < attempt.started_at_ms and monotonic_age_ms < 0:
        return FOREVER
    return max(0.0, unix_ms - attempt.started_at_ms, monotonic_age_ms)
