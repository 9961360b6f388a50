"""The ports work with implementations other than HTTP: fakes without sockets."""

from __future__ import annotations

import asyncio
import errno
import json
from dataclasses import replace
from pathlib import Path

import pytest

from message_relay import config
from message_relay.core.ports import (
    Attempt,
    AttemptResult,
    EndpointKey,
    EndpointRecord,
    EndpointSource,
    EndpointUpdate,
    EndpointUpdateCallback,
    FinalOutcome,
    Intake,
    InvalidMessageError,
    Submission,
    Transport,
)
from message_relay.core.relay import Relay
from message_relay.decisions.model import Listing, Outcome
from message_relay.store.journal import Journal

from ..loopback import Agent, raw_config, run, until
from ..store.disk import Disk

LISTED_ENDPOINT = EndpointRecord("a", 7, Listing.READY, ("queue", 1), rate=50.0)


class FakeIntake:
    def __init__(self) -> None:
        self.ends: list[FinalOutcome] = []
        self.open_ = self.announced = self.stopped = self.closed = False
        self.reloads = 0

    async def open(self) -> None:
        self.open_ = True

    def notify_outcome(self, outcome: FinalOutcome) -> None:
        self.ends.append(outcome)

    def reload(self, config: config.Config) -> None:
        self.reloads += 1

    def announce_stop(self) -> None:
        self.announced = True

    def stop(self) -> None:
        self.stopped = True

    @property
    def open_requests(self) -> int:
        return 0

    @property
    def pending_outcomes(self) -> int:
        return 0

    async def close(self) -> None:
        self.closed = True


class FakeTransport:
    """Returns the next outcome of its script for each attempt."""

    def __init__(self, *script: Outcome) -> None:
        self.script, self.attempts = list(script), list[Attempt]()
        self.listed: set[EndpointKey] = set()
        self.removed: list[EndpointKey] = []

    async def attempt(self, attempt: Attempt) -> AttemptResult:
        if not attempt.may_write():
            return AttemptResult(Outcome.NOT_SENT)
        self.attempts.append(attempt)
        outcome = self.script.pop(0) if self.script else Outcome.OK
        return AttemptResult(outcome, is_finished=outcome is Outcome.OK)

    def retain_only(self, listed: set[EndpointKey]) -> None:
        self.listed = set(listed)

    def endpoint_changed(self, key: EndpointKey, listed: bool) -> None:
        (self.listed.add if listed else self.listed.discard)(key)
        if not listed:
            self.removed.append(key)

    def sweep(self) -> None:
        pass

    def close(self) -> None:
        self.listed = set()


class FakeSource:
    def __init__(self, *updates: EndpointUpdate) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        for update in updates:
            self.updates.put_nowait(update)
        self.reloads = 0

    async def run(self, on_update: EndpointUpdateCallback) -> None:
        while True:
            on_update(await self.updates.get())

    def reload(self, config: config.Config) -> None:
        self.reloads += 1

    def close(self) -> None:
        pass


def make_relay(
    folder: Path, intake: Intake, transport: Transport, *sources: EndpointSource, name: str = "fake"
) -> Relay:
    (folder / "state").mkdir(exist_ok=True)
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(folder / "state", Agent(address=("127.0.0.1", 1)))))
    relay = Relay(config.load({"RELAY_CONFIG": str(path)}))
    relay.connect({name: intake}, transport, list(sources))
    return relay


def submission(message_id: str, class_: str = "safe", **fields: object) -> Submission:
    values = {
        "id": message_id,
        "class_name": class_,
        "tenant": "t",
        "destination": 7,
        "idempotency_key": f"k-{message_id}",
        "remaining_ms": 8000,
        "resubmission": "",
        "body": b"b",
        "origin": "fake",
    }
    return Submission(**{**values, **fields})  # type: ignore[arg-type]


def test_a_message_passes_through_other_implementations_of_each_port(tmp_path: Path) -> None:
    async def work() -> None:
        intake, transport, source = (
            FakeIntake(),
            FakeTransport(Outcome.FULL, Outcome.OK),
            FakeSource(EndpointUpdate(True, (LISTED_ENDPOINT,))),
        )
        relay = make_relay(tmp_path, intake, transport, source)
        await relay.start()
        assert intake.open_ and relay.messages.is_ready
        await until(lambda: 7 in relay.messages.known_destinations)
        assert transport.listed == {(1, ("queue", 1))}
        result = relay.messages.accept(submission("m"))
        assert result.accepted and result.is_new and not relay.messages.accept(submission("m")).is_new
        await until(lambda: relay.journal.entries["m"].final_state == "delivered")
        assert [(a.trace_id, a.idempotency_key, a.body) for a in transport.attempts] == [
            ("m", "k-m", b"b")
        ] * 2
        transport.script = [Outcome.RESET]
        relay.messages.accept(submission("u", "unsafe"))
        await until(lambda: intake.ends == [FinalOutcome("u", "failed", 0.0, "fake")])
        assert not relay.journal.entries["u"].is_notified
        relay.messages.mark_notified(["u"])
        assert relay.journal.entries["u"].is_notified
        await relay.close()
        assert intake.stopped and intake.closed

    run(work())


def test_a_removed_endpoint_is_reported_to_the_transport_and_gets_no_new_attempt(tmp_path: Path) -> None:
    async def work() -> None:
        intake, transport, source = (
            FakeIntake(),
            FakeTransport(),
            FakeSource(EndpointUpdate(True, (LISTED_ENDPOINT,))),
        )
        relay = make_relay(tmp_path, intake, transport, source)
        await relay.start()
        await until(lambda: 7 in relay.messages.known_destinations)
        source.updates.put_nowait(
            EndpointUpdate(False, status_changes=(("a", Listing.DRAINING), ("unknown", Listing.REMOVED)))
        )
        await until(lambda: transport.removed == [(1, ("queue", 1))])
        relay.messages.accept(submission("m", remaining_ms=200))
        await until(lambda: bool(intake.ends))
        assert intake.ends[0].state == "returned" and not transport.attempts
        moved = EndpointRecord("a", 7, Listing.READY, ("queue", 2), rate=50.0)
        source.updates.put_nowait(EndpointUpdate(False, (moved,)))
        await until(lambda: transport.listed == {(1, ("queue", 2))})
        relay.messages.accept(submission("n"))
        await until(lambda: [a.address for a in transport.attempts] == [("queue", 2)])
        relay.reload(relay.config)
        assert source.reloads == intake.reloads == 1
        await relay.close()

    run(work())


def test_an_outcome_waits_in_the_journal_for_the_intake_of_its_message(tmp_path: Path) -> None:
    async def work() -> None:
        first = FakeIntake()
        relay = make_relay(
            tmp_path,
            first,
            FakeTransport(Outcome.RESET),
            FakeSource(EndpointUpdate(True, (LISTED_ENDPOINT,))),
        )
        await relay.start()
        await until(lambda: 7 in relay.messages.known_destinations)
        relay.messages.accept(submission("u", "unsafe"))
        await until(lambda: bool(first.ends))
        await relay.close()  # before the notification was confirmed
        other = FakeIntake()
        relay = make_relay(tmp_path, other, FakeTransport(), name="other")
        await relay.start()
        assert not other.ends
        await relay.close()
        again = FakeIntake()
        relay = make_relay(tmp_path, again, FakeTransport())
        await relay.start()
        assert again.ends == [FinalOutcome("u", "failed", 0.0, "fake")]
        await relay.close()

    run(work())


@pytest.mark.parametrize(
    ("fields", "field"),
    [
        ({"class_name": "x"}, "class"),
        ({"id": ""}, "id"),
        ({"id": "a\nb"}, "id"),
        ({"id": "x" * 201}, "id"),
        ({"idempotency_key": "é"}, "key"),
        ({"class_name": "keyed", "idempotency_key": None}, "key"),
        ({"tenant": "x"}, "tenant"),
        ({"remaining_ms": -1}, "left"),
        ({"remaining_ms": 10**9}, "left"),
        ({"destination": 8}, "dest"),
        ({"body": b"x" * 65537}, "body"),
    ],
)
def test_submissions_of_every_intake_are_validated_alike(
    tmp_path: Path, fields: dict[str, object], field: str
) -> None:
    async def work() -> None:
        relay = make_relay(
            tmp_path, FakeIntake(), FakeTransport(), FakeSource(EndpointUpdate(True, (LISTED_ENDPOINT,)))
        )
        await relay.start()
        await until(lambda: 7 in relay.messages.known_destinations)
        with pytest.raises(InvalidMessageError) as caught:
            relay.messages.accept(replace(submission("m"), **fields))  # type: ignore[arg-type]
        assert caught.value.field == field and not relay.journal.entries and not relay.messages.accepted
        await relay.close()

    run(work())


def test_an_outcome_is_notified_once_it_is_journaled_and_not_before(tmp_path: Path) -> None:
    """Otherwise a process killed in between could resume the message and report another outcome."""

    async def work() -> None:
        intake, disk, transport = FakeIntake(), Disk(), FakeTransport()
        relay = make_relay(tmp_path, intake, transport, FakeSource(EndpointUpdate(True, (LISTED_ENDPOINT,))))
        relay.journal = relay.messages.journal = relay.messages.outcomes.journal = Journal(
            tmp_path / "other", 3_000_000, disk
        )
        await relay.start()
        await until(lambda: 7 in relay.messages.known_destinations)
        disk.fail = lambda call, name, number: errno.ENOSPC if relay.journal.written_bytes > 400 else None
        relay.messages.accept(submission("m", "unsafe", remaining_ms=900))
        while not relay.messages.outcomes.unwritten:
            relay.journal.log.written_bytes = 1000
            await asyncio.sleep(0.005)
        end = relay.journal.entries["m"].final_state  # its attempt could not be journalled, so none was made
        assert end == "returned" and not transport.attempts and not intake.ends
        assert not relay.messages.accept(
            submission("n")
        ).accepted  # no new messages while outcomes cannot be journalled
        disk.fail = lambda call, name, number: None
        await until(lambda: [end.id for end in intake.ends] == ["m"])
        assert Journal(tmp_path / "other", 3_000_000, disk.after_crash()).entries["m"].final_state == end
        assert relay.messages.accept(submission("n")).accepted
        await relay.close()

    run(work())
