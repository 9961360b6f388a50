"""Content of the records, and the effect of each on the state of its message. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

UNKNOWN_ENDPOINT = "?"  # placeholder for an endpoint that no record names; not a valid name
UNKNOWN_ZONE = -1
DEFAULT_ORIGIN = "http"
# Final state of a message whose client left without a response, and of which an attempt may have run.
CANCELLED_STATE = "cancelled"


class RecordType(IntEnum):
    """Kind of a record; the numbers are part of the format."""

    ACCEPTED = 1  # a snapshot of a message, written when it is accepted and when it is copied
    ATTEMPT = 2
    OUTCOME = 3  # outcome of an attempt
    FINAL_OUTCOME = 4
    NOTIFIED = 5
    CANCELLED = 6
    UNFINISHED_IDS = 7  # the ids of all unfinished messages, at the start of a segment
    HANDED_OVER = 8  # the source of a message has given up its copy


# Labels of record types in the output of the `journal` commands; operators' scripts match them.
RECORD_TYPE_LABELS: dict[int, str] = {
    RecordType.ACCEPTED: "take",
    RecordType.ATTEMPT: "try",
    RecordType.OUTCOME: "out",
    RecordType.FINAL_OUTCOME: "end",
    RecordType.NOTIFIED: "told",
    RecordType.CANCELLED: "drop",
    RecordType.UNFINISHED_IDS: "census",
    RecordType.HANDED_OVER: "acked",
}

# Plain integers, since each record is compared with them.
ATTEMPT = int(RecordType.ATTEMPT)
OUTCOME = int(RecordType.OUTCOME)
FINAL_OUTCOME = int(RecordType.FINAL_OUTCOME)
NOTIFIED = int(RecordType.NOTIFIED)
HANDED_OVER = int(RecordType.HANDED_OVER)


@dataclass(slots=True)
class Attempt:
    """An attempt to deliver a message."""

    started_at_ms: float  # Unix ms, immediately before the first byte is sent
    endpoint: str
    zone: int
    uptime_ms: float = -1.0  # the same time on the system's monotonic clock; -1: unknown


@dataclass(slots=True)
class JournalEntry:
    """An accepted message: the submission and its state."""

    id: str
    class_name: str
    tenant: str
    destination: int
    key: str | None
    accepted_at_ms: float  # Unix ms
    deadline_ms: float  # Unix ms
    resubmission: str
    body: bytes
    attempt_count: int = 0
    attempt_in_flight: Attempt | None = None
    uncertain_attempt: Attempt | None = None  # the first attempt that may have run
    final_state: str = ""  # delivered, failed, returned, over or cancelled; empty: not finished yet
    retry_after_ms: float = 0.0
    is_notified: bool = False  # the platform has confirmed the notification
    origin: str = DEFAULT_ORIGIN  # the intake that received the submission
    awaits_handover: bool = False  # its source may still deliver it to another relay: no attempt was made

    @property
    def needs_notification(self) -> bool:
        """Whether the platform must still be notified of the final outcome."""
        return self.final_state in ("failed", "returned") and not self.is_notified

    @property
    def is_unfinished(self) -> bool:
        """Whether the message still needs a final outcome or a notification."""
        return not self.final_state or self.needs_notification

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have had an effect, as far as it is known."""
        return self.uncertain_attempt is not None or self.attempt_in_flight is not None

    def assume_in_flight_has_run(self) -> None:
        """Treats the attempt in flight, if any, as one that may have run, since its outcome is unknown."""
        if self.attempt_in_flight is not None:
            self.uncertain_attempt = self.uncertain_attempt or self.attempt_in_flight
            self.attempt_in_flight = None

    def set_final_outcome(self, final_state: str, retry_after_ms: float) -> None:
        """Finishes the message and drops its body, which is no longer needed."""
        self.final_state = final_state
        self.retry_after_ms = retry_after_ms
        self.body = b""


class AttemptRecord(msgspec.Struct, array_like=True, frozen=True):
    """Payload of an attempt; stored as an array, so the order and types of fields are the format."""

    started_at_ms: int
    endpoint: str
    zone: int
    uptime_ms: int = -1  # absent in journals of earlier versions, which ignore it


class AcceptedRecord(msgspec.Struct, array_like=True, frozen=True):
    """Payload of a snapshot; stored as an array, so the order and types of fields are the format."""

    class_name: str
    tenant: str
    destination: int
    key: str | None
    accepted_at_ms: int
    deadline_ms: int
    resubmission: str
    attempt_count: int
    attempt_in_flight: AttemptRecord | None
    uncertain_attempt: AttemptRecord | None
    final_state: str
    retry_after_ms: float
    is_notified: bool
    origin: str
    body: bytes


class HandoverRecord(AcceptedRecord, array_like=True, frozen=True):
    """Payload of a snapshot with one more field, written only if it is true; earlier versions ignore it."""

    awaits_handover: bool = False


class FinalOutcomeRecord(msgspec.Struct, array_like=True, frozen=True):
    """Payload of a final outcome; stored as an array, so the order and types of fields are the format."""

    final_state: str
    retry_after_ms: float


encode_payload = msgspec.msgpack.Encoder().encode
Decoder = msgspec.msgpack.Decoder
ACCEPTED_DECODER: Decoder[HandoverRecord] = Decoder(HandoverRecord)
ATTEMPT_DECODER: Decoder[AttemptRecord] = Decoder(AttemptRecord)
FINAL_OUTCOME_DECODER: Decoder[FinalOutcomeRecord] = Decoder(FinalOutcomeRecord)
OUTCOME_DECODER: Decoder[bool] = Decoder(bool)  # whether the attempt may have run
UNFINISHED_IDS_DECODER: Decoder[dict[str, list[str]]] = Decoder(dict[str, list[str]])  # intake -> ids


def _encode_attempt(attempt: Attempt | None) -> AttemptRecord | None:
    if attempt is None:
        return None
    return AttemptRecord(int(attempt.started_at_ms), attempt.endpoint, attempt.zone, int(attempt.uptime_ms))


def _decode_attempt(record: AttemptRecord | None) -> Attempt | None:
    if record is None:
        return None
    return Attempt(float(record.started_at_ms), record.endpoint, record.zone, float(record.uptime_ms))


def encode_snapshot(entry: JournalEntry) -> bytes:
    """Return the snapshot of a message; it contains the body only until the message is finished."""
    fields = (
        entry.class_name,
        entry.tenant,
        entry.destination,
        entry.key,
        round(entry.accepted_at_ms),
        round(entry.deadline_ms),
        entry.resubmission,
        entry.attempt_count,
        _encode_attempt(entry.attempt_in_flight),
        _encode_attempt(entry.uncertain_attempt),
        entry.final_state,
        entry.retry_after_ms,
        entry.is_notified,
        entry.origin,
        b"" if entry.final_state else entry.body,
    )
    if entry.awaits_handover:
        return encode_payload(HandoverRecord(*fields, awaits_handover=True))
    return encode_payload(AcceptedRecord(*fields))


def decode_snapshot(message_id: str, payload: bytes) -> JournalEntry:
    """Return the message of a snapshot. Raises ValueError if the payload is not valid."""
    record = ACCEPTED_DECODER.decode(payload)
    return JournalEntry(
        message_id,
        record.class_name,
        record.tenant,
        record.destination,
        record.key,
        float(record.accepted_at_ms),
        float(record.deadline_ms),
        record.resubmission,
        record.body,
        record.attempt_count,
        _decode_attempt(record.attempt_in_flight),
        _decode_attempt(record.uncertain_attempt),
        record.final_state,
        record.retry_after_ms,
        record.is_notified,
        record.origin,
        record.awaits_handover,
    )


def apply_record(entry: JournalEntry, kind: int, payload: bytes) -> None:
    """Applies a record to the state of its message, both when it is written and during recovery.

    Raises ValueError if the payload can't be read."""
    if kind == ATTEMPT:
        record = ATTEMPT_DECODER.decode(payload)
        if entry.uncertain_attempt is None:
            # Guards against a second restart: an attempt in flight at the end of a process has no outcome in
            # the log, and the next process, which knew that it may have run, has made another attempt since.
            entry.uncertain_attempt = entry.attempt_in_flight
        entry.attempt_in_flight = Attempt(
            float(record.started_at_ms), record.endpoint, record.zone, float(record.uptime_ms)
        )
        entry.attempt_count += 1
        entry.awaits_handover = False  # else the attempt would not have been made
    elif kind == OUTCOME:
        may_have_run = OUTCOME_DECODER.decode(payload)
        if may_have_run and entry.uncertain_attempt is None:
            entry.uncertain_attempt = entry.attempt_in_flight
        entry.attempt_in_flight = None
    elif kind == FINAL_OUTCOME:
        outcome = FINAL_OUTCOME_DECODER.decode(payload)
        entry.set_final_outcome(outcome.final_state, outcome.retry_after_ms)
    elif kind == NOTIFIED:
        entry.is_notified = True
    elif kind == HANDED_OVER:
        entry.awaits_handover = False
    else:
        raise ValueError(f"record of kind {kind} is not known")


def assume_attempted(entry: JournalEntry) -> None:
    """Assumes, since a record may be lost, that an attempt may have run at the earliest possible time."""
    if not entry.final_state and entry.uncertain_attempt is None:
        entry.uncertain_attempt = Attempt(entry.accepted_at_ms, UNKNOWN_ENDPOINT, UNKNOWN_ZONE)


def assume_lost_record(entry: JournalEntry, kind: int) -> None:
    """Assumes the worst possible content of an unreadable record of this kind."""
    if kind in (ATTEMPT, OUTCOME):
        entry.attempt_count += kind == ATTEMPT
        assume_attempted(entry)
        entry.attempt_in_flight = None
    elif kind == FINAL_OUTCOME:
        # Whatever the outcome was, the message must not be sent again, and `failed` makes no promise.
        entry.set_final_outcome("failed", 0.0)
    # NOTIFIED: the platform is notified again, which is harmless.


def failed_entry(message_id: str, origin: str = DEFAULT_ORIGIN) -> JournalEntry:
    """Return an entry for a message of which only the id is left: its final outcome is `failed`."""
    return JournalEntry(message_id, "", "", 0, None, 0.0, 0.0, "", b"", final_state="failed", origin=origin)


@dataclass(slots=True)
class MessageTable:
    """All known messages and their sizes on the disk."""

    entries: dict[str, JournalEntry] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)  # upper bound for each, including later records
    unfinished: dict[str, str] = field(default_factory=dict)  # id -> intake
    total_bytes: int = 0

    def put(self, entry: JournalEntry, size: int) -> None:
        """Adds or updates a message."""
        self.total_bytes += size - self.sizes.get(entry.id, 0)
        self.entries[entry.id] = entry
        self.sizes[entry.id] = size
        if entry.is_unfinished:
            self.unfinished[entry.id] = entry.origin
        else:
            self.unfinished.pop(entry.id, None)

    def remove(self, message_id: str) -> None:
        """Removes a message. Raises KeyError if it is unknown."""
        del self.entries[message_id]
        self.unfinished.pop(message_id, None)
        self.total_bytes -= self.sizes.pop(message_id)
