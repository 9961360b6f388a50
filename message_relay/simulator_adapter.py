"""Serves the operators' simulator protocol on standard input and output.

Each simulated instance is a `DeliveryScheduler`. A frame from the simulator contains the time and a batch of
records, each an event of one instance; the reply frame contains the resulting actions. All numbers are
little-endian.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO

from .decisions.actions import (
    Action,
    Cancel,
    Fail,
    Log,
    Probe,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .decisions.events import (
    AttemptCompleted,
    EndpointList,
    Event,
    Message,
    MessageCancelled,
    ProbeCompleted,
    TimerFired,
)
from .decisions.model import Endpoint, Listing, ListKind, Outcome
from .decisions.scheduler import DeliveryScheduler
from .decisions.settings import SettingsError, settings_from

# Records from the simulator.
LIST_RECORD = 20
LIST_ANNOUNCED = 30
TIMER_FIRED = 40
INSTANCE_STOPPED = 50
PROBE_COMPLETED = 60
MESSAGE_CANCELLED = 70
INSTANCE_STARTED = 80
ATTEMPT_COMPLETED = 100
MESSAGE = 110
IGNORED = (10, 90)  # attempt started (no message class streams), data from other instances (not used)

# Records to the simulator.
START_ATTEMPT = 10
REJECT = 20
FAIL = 30
CANCEL = 40
SET_TIMER = 50
PROBE = 60
LOG = 90
WATCH_ENDPOINTS = 110

# Bits of a message's options.
HAS_WORK_HINT = 1
IS_RESUBMITTED = 2
IS_FROM_DEAD_RELAY = 16

OUTCOMES = (
    Outcome.ERROR,
    Outcome.OK,
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)
LISTINGS = {1: Listing.READY, 2: Listing.REMOVED, 3: Listing.DRAINING}
LIST_KINDS = (ListKind.CHANGES, ListKind.COMPLETE, ListKind.CACHED, ListKind.FAILED)
ENTRY = struct.Struct("<BfdHBHI")
RECORD_HEADER = struct.Struct("<BI")  # code, bytes that follow
FRAME_HEADER = struct.Struct("<IdI")  # bytes that follow, time in ms, records
MAX_LOG_BYTES = 65535


class WireError(Exception):
    """The input violates the protocol."""


class SimulatorAdapter:
    """Runs one scheduler for each simulated instance; all share the numbered lists of endpoints."""

    def __init__(self) -> None:
        self.schedulers: dict[int, DeliveryScheduler] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

    def handle_frame(self, now: float, count: int, body: bytes) -> bytes:
        """Passes one frame of events to the schedulers; returns the reply frame."""
        events: dict[int, list[Event]] = {}
        for code, data in self._records(count, body):
            self._handle_record(code, data, events)
        replies: list[bytes] = []
        for instance, instance_events in events.items():
            if instance in self.schedulers:
                actions = self.schedulers[instance].handle(now, instance_events)
                replies += [encode(instance, action) for action in actions]
        return struct.pack("<II", sum(map(len, replies)), len(replies)) + b"".join(replies)

    @staticmethod
    def _records(count: int, body: bytes) -> Iterator[tuple[int, bytes]]:
        """Yields the code and data of each record in a frame."""
        position = 0
        for _ in range(count):
            if position + RECORD_HEADER.size > len(body):
                raise WireError("frame ends inside a record")
            code, size = RECORD_HEADER.unpack_from(body, position)
            position += RECORD_HEADER.size
            if position + size > len(body):
                raise WireError(f"record {code} is longer than its frame")
            yield code, body[position : position + size]
            position += size
        if position != len(body):
            raise WireError(f"frame has {len(body) - position} bytes after its last record")

    def _handle_record(self, code: int, data: bytes, events: dict[int, list[Event]]) -> None:
        """Applies a record about lists and instances; adds any other as an event of its instance."""
        if code == LIST_RECORD:
            self._store_list(data)
            return
        (instance,) = struct.unpack_from("<I", data)
        if code == INSTANCE_STARTED:
            self._start_instance(instance, data)
            events[instance] = []
        elif code == INSTANCE_STOPPED:
            self.schedulers.pop(instance, None)
            events.pop(instance, None)
        elif code not in IGNORED:
            event = self._event(code, data)
            self._check_class(instance, event)
            events.setdefault(instance, []).append(event)

    def _store_list(self, data: bytes) -> None:
        number, size = struct.unpack_from("<BI", data)
        if len(data) != 5 + size * ENTRY.size:
            raise WireError("endpoint list has the wrong length")
        self.lists[number] = tuple(endpoint_of(row) for row in ENTRY.iter_unpack(data[5:]))

    def _start_instance(self, instance: int, data: bytes) -> None:
        seed, size = struct.unpack_from("<QI", data, 4)
        if len(data) != 16 + size:
            raise WireError("settings have the wrong length")
        self.schedulers[instance] = DeliveryScheduler(settings_from(data[16:]), seed)

    def _check_class(self, instance: int, event: Event) -> None:
        scheduler = self.schedulers.get(instance)
        if not isinstance(event, Message) or scheduler is None:
            return
        if event.class_index >= len(scheduler.settings.classes):
            raise WireError(f"message {event.id} has class {event.class_index}, which is not in the settings")

    def _event(self, code: int, data: bytes) -> Event:
        if code == LIST_ANNOUNCED:
            return self._endpoint_list(data)
        decode = DECODERS.get(code)
        if decode is None:
            raise WireError(f"unknown event code {code}")
        return decode(data)

    def _endpoint_list(self, data: bytes) -> EndpointList:
        kind_code, _, number = struct.unpack_from("<BQB", data, 4)
        if kind_code >= len(LIST_KINDS):
            raise WireError(f"unknown list kind {kind_code}")
        kind = LIST_KINDS[kind_code]
        if kind is ListKind.FAILED:
            return EndpointList(kind)
        if number not in self.lists:
            raise WireError(f"list {number} was never sent")
        return EndpointList(kind, self.lists[number])


def decode_message(data: bytes) -> Message:
    """Decodes a message that a client has submitted."""
    number, class_index, tenant, key, remaining_ms, work_ms, destination, options = struct.unpack_from(
        "<IBIQddfB", data, 4
    )
    return Message(
        number,
        int(destination),
        class_index,
        remaining_ms,
        tenant,
        key,
        work_ms if options & HAS_WORK_HINT else None,
        bool(options & IS_RESUBMITTED),
        bool(options & IS_FROM_DEAD_RELAY),
    )


def decode_attempt_completed(data: bytes) -> AttemptCompleted:
    """Decodes the result of an attempt.

    The wait field is a Retry-After for FULL; for NOT_SENT a nonzero value means that no slot was free.
    """
    message, attempt, endpoint, result, latency_ms, is_done, wait, report_size = struct.unpack_from(
        "<IHIBdBIB", data, 4
    )
    report = struct.unpack_from(f"<{report_size}f", data, 29)
    outcome = outcome_of(result)
    return AttemptCompleted(
        message,
        attempt,
        endpoint,
        outcome,
        latency_ms,
        bool(is_done),
        wait if outcome is Outcome.FULL else 0.0,
        bool(wait) and outcome is Outcome.NOT_SENT,
        report,
    )


def decode_timer_fired(data: bytes) -> TimerFired:
    """Decodes the event that the timer of an instance has fired."""
    return TimerFired(struct.unpack_from("<Q", data, 4)[0])


def decode_probe_completed(data: bytes) -> ProbeCompleted:
    """Decodes the result of a health check."""
    endpoint, result, latency_ms, report_size = struct.unpack_from("<IBdB", data, 4)
    report = struct.unpack_from(f"<{report_size}f", data, 18)
    return ProbeCompleted(endpoint, outcome_of(result), latency_ms, report)


def decode_message_cancelled(data: bytes) -> MessageCancelled:
    """Decodes the withdrawal of a message by its client."""
    return MessageCancelled(struct.unpack_from("<I", data, 4)[0])


DECODERS: dict[int, Callable[[bytes], Event]] = {
    TIMER_FIRED: decode_timer_fired,
    PROBE_COMPLETED: decode_probe_completed,
    MESSAGE_CANCELLED: decode_message_cancelled,
    ATTEMPT_COMPLETED: decode_attempt_completed,
    MESSAGE: decode_message,
}


def outcome_of(code: int) -> Outcome:
    """Returns the outcome with this code. Raises WireError."""
    if code >= len(OUTCOMES):
        raise WireError(f"unknown outcome {code}")
    return OUTCOMES[code]


def endpoint_of(row: tuple[Any, ...]) -> Endpoint:
    """Builds an endpoint from the fields of its list entry. Raises WireError."""
    status, weight, _, kind, zone, destination, number = row
    if status not in LISTINGS:
        raise WireError(f"unknown endpoint status {status}")
    return Endpoint(number, destination, LISTINGS[status], kind, zone, weight)


def encode(instance: int, action: Action) -> bytes:
    """Encodes one action of an instance as a record."""
    match action:
        case StartAttempt(message, endpoint, until_ms):
            code, body = START_ATTEMPT, struct.pack("<IIId", instance, message, endpoint, until_ms)
        case Reject(message, after_ms):
            code, body = REJECT, struct.pack("<IId", instance, message, after_ms)
        case Fail(message):
            code, body = FAIL, struct.pack("<II", instance, message)
        case Cancel(message, attempt):
            code, body = CANCEL, struct.pack("<IIH", instance, message, attempt)
        case SetTimer(delay_ms, token):
            code, body = SET_TIMER, struct.pack("<IdQ", instance, delay_ms, token)
        case Probe(endpoint):
            code, body = PROBE, struct.pack("<II", instance, endpoint)
        case WatchEndpoints():
            code, body = WATCH_ENDPOINTS, struct.pack("<IB", instance, 1)
        case Log(text):
            line = text.encode()[:MAX_LOG_BYTES]
            code, body = LOG, struct.pack("<IH", instance, len(line)) + line
    return RECORD_HEADER.pack(code, len(body)) + body


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Reads exactly `size` bytes. Raises WireError if the input ends before that."""
    data = stream.read(size)
    if len(data) != size:
        raise WireError("input ends inside a frame")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each frame until the input ends. Raises WireError, SettingsError or struct.error."""
    adapter = SimulatorAdapter()
    while header := source.read(FRAME_HEADER.size):
        if len(header) != FRAME_HEADER.size:
            raise WireError("input ends inside a frame header")
        size, now, count = FRAME_HEADER.unpack(header)
        sink.write(adapter.handle_frame(now, count, read_exactly(source, size)))
        sink.flush()


def main() -> int:
    """Serves standard input and output; the exit code is 1 if input or output fails."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError, struct.error) as error:
        print(f"wirehost: malformed input: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        print("wirehost: the other side closed the connection", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
