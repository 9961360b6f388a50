"""What records say, and what each does to what is known of its message. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

UNKNOWN_ENDPOINT = "?"  # an endpoint that no record names: no endpoint has this name


class RecordType(IntEnum):
    ACCEPTED = 1  # all that is known of a message: at its start, and again when its segment is given up
    ATTEMPT = 2
    OUTCOME = 3
    FINAL_OUTCOME = 4
    NOTIFIED = 5
    CANCELLED = 6
    UNFINISHED_IDS = 7  # the ids of all messages that are owed something, at the beginning of a segment


# Words for record types in the output of the `journal` commands: scripts of operators compare them.
RECORD_TYPE_LABELS: dict[int, str] = {
    RecordType.ACCEPTED: "take",
    RecordType.ATTEMPT: "try",
    RecordType.OUTCOME: "out",
    RecordType.FINAL_OUTCOME: "end",
    RecordType.NOTIFIED: "told",
    RecordType.CANCELLED: "drop",
    RecordType.UNFINISHED_IDS: "census",
}

TRY, OUT, END, TOLD = (
    int(RecordType.ATTEMPT),
    int(RecordType.OUTCOME),
    int(RecordType.FINAL_OUTCOME),
    int(RecordType.NOTIFIED),
)  # compared for each record


@dataclass(slots=True)
class Attempt:
    started_at_ms: float  # Unix ms, right before its first byte
    endpoint: str
    zone: int
    uptime_ms: float = -1.0  # the same moment on the system's clock that never steps, in ms; -1: not known


@dataclass(slots=True)
class JournalEntry:
    """A message taken on: what a client said of it, and what has become of it."""

    id: str
    class_name: str
    tenant: str
    destination: int
    key: str | None
    accepted_at_ms: float  # Unix ms, when it came in
    deadline_ms: float
    resubmission: str
    body: bytes
    attempt_count: int = 0
    attempt_in_flight: Attempt | None = None
    uncertain_attempt: Attempt | None = None  # the first attempt that may have run
    final_state: str = ""  # how it ended: delivered, failed, returned or over
    retry_after_ms: float = 0.0
    is_notified: bool = False  # the platform has its notice
    origin: str = "http"  # the front by which it came

    @property
    def needs_notification(self) -> bool:
        return self.final_state in ("failed", "returned") and not self.is_notified

    @property
    def is_unfinished(self) -> bool:
        """Something is still to be done about it."""
        return not self.final_state or self.needs_notification


class AttemptRecord(msgspec.Struct, array_like=True, frozen=True):
    at: int
    endpoint: str
    zone: int
    up: int = -1  # journals of earlier versions have none; those versions pass it over


class AcceptedRecord(msgspec.Struct, array_like=True, frozen=True):
    class_: str
    tenant: str
    dest: int
    key: str | None
    since: int
    due: int
    again: str
    tries: int
    out: AttemptRecord | None
    risk: AttemptRecord | None
    end: str
    after_ms: float
    told: bool
    origin: str
    body: bytes


class FinalOutcomeRecord(msgspec.Struct, array_like=True, frozen=True):
    state: str
    after_ms: float


encode_payload = msgspec.msgpack.Encoder().encode
Decoder = msgspec.msgpack.Decoder
ACCEPTED_DECODER: Decoder[AcceptedRecord] = Decoder(AcceptedRecord)
ATTEMPT_DECODER: Decoder[AttemptRecord] = Decoder(AttemptRecord)
FINAL_OUTCOME_DECODER: Decoder[FinalOutcomeRecord] = Decoder(FinalOutcomeRecord)
OUTCOME_DECODER: Decoder[bool] = Decoder(bool)
UNFINISHED_IDS_DECODER: Decoder[dict[str, list[str]]] = Decoder(dict[str, list[str]])  # front -> ids


def _flat(attempt: Attempt | None) -> AttemptRecord | None:
    if attempt is None:
        return None
    return AttemptRecord(int(attempt.started_at_ms), attempt.endpoint, attempt.zone, int(attempt.uptime_ms))


def _attempt(tried: AttemptRecord | None) -> Attempt | None:
    return None if tried is None else Attempt(float(tried.at), tried.endpoint, tried.zone, float(tried.up))


def encode_snapshot(entry: JournalEntry) -> bytes:
    """All that is known of a message; one that has ended needs its body no more."""
    return encode_payload(
        AcceptedRecord(
            entry.class_name,
            entry.tenant,
            entry.destination,
            entry.key,
            round(entry.accepted_at_ms),
            round(entry.deadline_ms),
            entry.resubmission,
            entry.attempt_count,
            _flat(entry.attempt_in_flight),
            _flat(entry.uncertain_attempt),
            entry.final_state,
            entry.retry_after_ms,
            entry.is_notified,
            entry.origin,
            b"" if entry.final_state else entry.body,
        )
    )


def decode_snapshot(ident: str, payload: bytes) -> JournalEntry:
    """ValueError if it is not a snapshot."""
    raw = ACCEPTED_DECODER.decode(payload)
    return JournalEntry(
        ident,
        raw.class_,
        raw.tenant,
        raw.dest,
        raw.key,
        float(raw.since),
        float(raw.due),
        raw.again,
        raw.body,
        raw.tries,
        _attempt(raw.out),
        _attempt(raw.risk),
        raw.end,
        raw.after_ms,
        raw.told,
        raw.origin,
    )


def apply_record(entry: JournalEntry, kind: int, payload: bytes) -> None:
    """What a record of a message that is known does to it; the same when it is written and when it is read
    back. ValueError if it can't be read."""
    if kind == TRY:
        raw = ATTEMPT_DECODER.decode(payload)
        if entry.uncertain_attempt is None:
            # Guards against a second restart: one that was out when a process ended has no outcome in the
            # log, though the next process, which knew that it may have run, made another after it.
            entry.uncertain_attempt = entry.attempt_in_flight
        entry.attempt_in_flight = Attempt(float(raw.at), raw.endpoint, raw.zone, float(raw.up))
        entry.attempt_count += 1
    elif kind == OUT:
        if OUTCOME_DECODER.decode(payload) and entry.uncertain_attempt is None:
            entry.uncertain_attempt = entry.attempt_in_flight
        entry.attempt_in_flight = None
    elif kind == END:
        ended = FINAL_OUTCOME_DECODER.decode(payload)
        entry.final_state, entry.retry_after_ms, entry.body = ended.state, ended.after_ms, b""
    elif kind == TOLD:
        entry.is_notified = True
    else:
        raise ValueError(f"record of kind {kind} is not known")


def assume_attempted(entry: JournalEntry) -> None:
    """A record about it may be lost: then an attempt may have been made, as early as it could have been."""
    if not entry.final_state and entry.uncertain_attempt is None:
        entry.uncertain_attempt = Attempt(entry.accepted_at_ms, UNKNOWN_ENDPOINT, -1)


def assume_lost_record(entry: JournalEntry, kind: int) -> None:
    """A record of this kind was there, and can't be read: whatever it may have said holds at its worst."""
    match kind:
        case RecordType.ATTEMPT | RecordType.OUTCOME:
            entry.attempt_count += kind == RecordType.ATTEMPT
            assume_attempted(entry)
            entry.attempt_in_flight = None
        case RecordType.FINAL_OUTCOME:
            # Whatever the outcome was, the message must not be sent again, and `failed` promises nothing.
            entry.final_state, entry.retry_after_ms, entry.body = "failed", 0.0, b""
        case _:
            pass  # told: it is told again, which does no harm


def failed_entry(ident: str, origin: str = "http") -> JournalEntry:
    """A message of which nothing else is left: it gets its `failed` all the same."""
    return JournalEntry(ident, "", "", 0, None, 0.0, 0.0, "", b"", final_state="failed", origin=origin)


@dataclass(slots=True)
class MessageTable:
    """All messages that are known, and what they take on the disk."""

    entries: dict[str, JournalEntry] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)  # of each snapshot with what may still come: at most
    unfinished: dict[str, str] = field(default_factory=dict)  # id -> front, of those that are owed something
    total_bytes: int = 0

    def put(self, entry: JournalEntry, size: int) -> None:
        self.total_bytes += size - self.sizes.get(entry.id, 0)
        self.entries[entry.id], self.sizes[entry.id] = entry, size
        if entry.is_unfinished:
            self.unfinished[entry.id] = entry.origin
        else:
            self.unfinished.pop(entry.id, None)

    def remove(self, ident: str) -> None:
        del self.entries[ident]
        self.unfinished.pop(ident, None)
        self.total_bytes -= self.sizes.pop(ident)
