"""Validation of submissions, and their conversion into journal entries and scheduler messages.

This module changes no state; `MessageLifecycle.accept` performs the steps in order.
"""

from __future__ import annotations

from collections.abc import Callable

from ..decisions.events import Message
from ..decisions.model import Effect, Settings
from ..store.records import JournalEntry
from .ports import InvalidMessageError, Submission

MAX_NAME_BYTES = 200  # limit for a message id, an idempotency key or a tenant name
MAX_BODY_BYTES = 64 * 1024
MAX_REMAINING_MS = 999_999_999  # longest accepted remaining time to live: about 11.6 days
MAX_RESUBMISSION_CHARS = 16  # the journal stores at most this much of the resubmission mark
RESUBMITTED = "1"  # resubmission after a rejection
RESUBMITTED_AFTER_CRASH = "again"  # resubmission because the relay that had the message died


class SubmissionValidator:
    """Checks the fields of a submission against the settings and limits of this relay."""

    def __init__(self, settings: Settings, is_unknown_destination: Callable[[int], bool]) -> None:
        self.settings = settings
        self.is_unknown_destination = is_unknown_destination
        self.class_indexes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def validate(self, submission: Submission) -> None:
        """Raises InvalidMessageError for the first field that is invalid."""
        class_index = self.class_indexes.get(submission.class_name)
        if class_index is None:
            known = ", ".join(self.class_indexes)
            raise InvalidMessageError("class", f"{submission.class_name!r} is none of {known}")
        key = submission.idempotency_key
        _require_name("id", submission.id)
        if key is not None:
            _require_name("key", key)
        elif self.settings.classes[class_index].effect is Effect.KEYED:
            raise InvalidMessageError("key", f"class {submission.class_name} needs one")
        self._validate_tenant(submission.tenant)
        if not 0 <= submission.remaining_ms <= MAX_REMAINING_MS:
            raise InvalidMessageError("left", f"0 to {MAX_REMAINING_MS} ms are needed")
        if self.is_unknown_destination(submission.destination):
            raise InvalidMessageError("dest", f"destination {submission.destination} is not known")
        if len(submission.body) > MAX_BODY_BYTES:
            raise InvalidMessageError("body", f"holds {MAX_BODY_BYTES} bytes at most")

    def _validate_tenant(self, tenant: str) -> None:
        if len(tenant) > MAX_NAME_BYTES:
            raise InvalidMessageError("tenant", f"{MAX_NAME_BYTES} characters at most")
        if self.tenant_indexes and tenant not in self.tenant_indexes:
            raise InvalidMessageError("tenant", f"{tenant!r} is not known")

    def message(self, number: int, source: Submission | JournalEntry, remaining_ms: float) -> Message:
        """Returns the message in the form that the scheduler uses. Its class must be in the settings."""
        return Message(
            number,
            source.destination,
            self.class_indexes[source.class_name],
            remaining_ms,
            self.tenant_indexes.get(source.tenant, 0),
            is_repeat=source.resubmission == RESUBMITTED,
            from_dead_relay=source.resubmission == RESUBMITTED_AFTER_CRASH,
        )


def _require_name(field: str, text: str) -> None:
    if not 0 < len(text) <= MAX_NAME_BYTES or not text.isascii() or not text.isprintable():
        raise InvalidMessageError(field, f"1 to {MAX_NAME_BYTES} printable ASCII characters are needed")


def journal_entry(submission: Submission, now_ms: float, awaits_handover: bool = False) -> JournalEntry:
    """Returns the journal entry of a submission that is accepted at this Unix time."""
    return JournalEntry(
        submission.id,
        submission.class_name,
        submission.tenant,
        submission.destination,
        submission.idempotency_key,
        now_ms,
        now_ms + submission.remaining_ms,
        submission.resubmission[:MAX_RESUBMISSION_CHARS],
        submission.body,
        origin=submission.origin,
        awaits_handover=awaits_handover,
    )
