"""Conversion of the unfinished messages of an earlier process into messages for the scheduler."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..decisions.events import Message
from ..decisions.model import FOREVER, Endpoint, Listing
from ..store.journal import Journal
from ..store.records import Attempt, JournalEntry


def unfinished_entries(journal: Journal) -> list[JournalEntry]:
    """Returns the entries without a final state, earliest deadline first."""
    unfinished = (entry for entry in journal.entries.values() if not entry.final_state)
    return sorted(unfinished, key=lambda entry: entry.deadline_ms)


def with_history(
    message: Message,
    entry: JournalEntry,
    unix_ms: float,
    uptime_ms: float,
    number_of: Callable[[str], int],
) -> Message:
    """Adds the age, the number of attempts and the first attempt with a possible effect to a message.

    `unix_ms` and `uptime_ms`: the current time on the wall clock and on the monotonic clock. `number_of`
    returns the number of an endpoint by its name.
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
    """Returns how long ago an earlier process made an attempt, including the time without a process.

    The larger of the ages by the wall clock and by the monotonic clock counts, so that a wall clock that was
    set back does not extend an idempotency window. After a restart of the machine the monotonic age is
    unknown; if the wall clock was set back too, the age is FOREVER, longer than any window.
    """
    is_same_uptime = 0 <= attempt.uptime_ms <= uptime_ms
    monotonic_age_ms = uptime_ms - attempt.uptime_ms if is_same_uptime else -1.0
    if unix_ms < attempt.started_at_ms and monotonic_age_ms < 0:
        return FOREVER
    return max(0.0, unix_ms - attempt.started_at_ms, monotonic_age_ms)
