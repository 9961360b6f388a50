"""The seams hold other kinds than HTTP: fakes without a socket, plugged in as a subsystem would be."""

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

    def notify_outcome(self, end: FinalOutcome) -> None:
        self.ends.append(end)

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
    """Answers each attempt with the next outcome of its script."""

    def __init__(self, *script: Outcome) -> None:
        self.script, self.attempts = list(script), list[Attempt]()
        self.listed: set[EndpointKey] = set()
        self.gone: list[EndpointKey] = []

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
            self.gone.append(key)

    def sweep(self) -> None:
        pass

    def close(self) -> None:
        self.listed = set()


class Source:
    def __init__(self, *updates: EndpointUpdate) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        for update in updates:
            self.updates.put_nowait(update)
        self.reloads = 0

    async def run(self, told: EndpointUpdateCallback) -> None:
        while True:
            told(await self.updates.get())

    def reload(self, config: config.Config) -> None:
        self.reloads += 1

    def close(self) -> None:
        pass


def made(
    folder: Path, front: Intake, carrier: Transport, *sources: EndpointSource, name: str = "fake"
) -> Relay:
    (folder / "state").mkdir(exist_ok=True)
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(folder / "state", Agent(address=("127.0.0.1", 1)))))
    host = Relay(config.load({"RELAY_CONFIG": str(path)}))
    host.connect({name: front}, carrier, list(sources))
    return host


def submission(ident: str, class_: str = "safe", **more: object) -> Submission:
    values = {
        "id": ident,
        "class_name": class_,
        "tenant": "t",
        "destination": 7,
        "idempotency_key": f"k-{ident}",
        "remaining_ms": 8000,
        "resubmission": "",
        "body": b"b",
        "origin": "fake",
    }
    return Submission(**{**values, **more})  # type: ignore[arg-type]


def test_a_message_passes_through_other_implementations_of_each_port(tmp_path: Path) -> None:
    async def work() -> None:
        front, carrier, source = (
            FakeIntake(),
            FakeTransport(Outcome.FULL, Outcome.OK),
            Source(EndpointUpdate(True, (LISTED_ENDPOINT,))),
        )
        host = made(tmp_path, front, carrier, source)
        await host.start()
        assert front.open_ and host.messages.is_ready
        await until(lambda: 7 in host.messages.known_destinations)
        assert carrier.listed == {(1, ("queue", 1))}
        receipt = host.messages.accept(submission("m"))
        assert receipt.accepted and receipt.is_new and not host.messages.accept(submission("m")).is_new
        await until(lambda: host.journal.entries["m"].final_state == "delivered")
        assert [(a.trace_id, a.idempotency_key, a.body) for a in carrier.attempts] == [("m", "k-m", b"b")] * 2
        carrier.script = [Outcome.RESET]
        host.messages.accept(submission("u", "unsafe"))
        await until(lambda: front.ends == [FinalOutcome("u", "failed", 0.0, "fake")])
        assert not host.journal.entries["u"].is_notified
        host.messages.mark_notified(["u"])
        assert host.journal.entries["u"].is_notified
        await host.close()
        assert front.stopped and front.closed

    run(work())


def test_a_removed_endpoint_is_reported_to_the_transport_and_gets_no_new_attempt(tmp_path: Path) -> None:
    async def work() -> None:
        front, carrier, source = (
            FakeIntake(),
            FakeTransport(),
            Source(EndpointUpdate(True, (LISTED_ENDPOINT,))),
        )
        host = made(tmp_path, front, carrier, source)
        await host.start()
        await until(lambda: 7 in host.messages.known_destinations)
        source.updates.put_nowait(
            EndpointUpdate(False, status_changes=(("a", Listing.DRAINING), ("unknown", Listing.REMOVED)))
        )
        await until(lambda: carrier.gone == [(1, ("queue", 1))])
        host.messages.accept(submission("m", remaining_ms=200))
        await until(lambda: bool(front.ends))
        assert front.ends[0].state == "returned" and not carrier.attempts
        moved = EndpointRecord("a", 7, Listing.READY, ("queue", 2), rate=50.0)
        source.updates.put_nowait(EndpointUpdate(False, (moved,)))
        await until(lambda: carrier.listed == {(1, ("queue", 2))})
        host.messages.accept(submission("n"))
        await until(lambda: [a.address for a in carrier.attempts] == [("queue", 2)])
        host.reload(host.config)
        assert source.reloads == front.reloads == 1
        await host.close()

    run(work())


def test_an_outcome_waits_in_the_journal_for_the_intake_of_its_message(tmp_path: Path) -> None:
    async def work() -> None:
        first = FakeIntake()
        host = made(
            tmp_path, first, FakeTransport(Outcome.RESET), Source(EndpointUpdate(True, (LISTED_ENDPOINT,)))
        )
        await host.start()
        await until(lambda: 7 in host.messages.known_destinations)
        host.messages.accept(submission("u", "unsafe"))
        await until(lambda: bool(first.ends))
        await host.close()  # before it was confirmed
        other = FakeIntake()
        host = made(tmp_path, other, FakeTransport(), name="other")
        await host.start()
        assert not other.ends
        await host.close()
        again = FakeIntake()
        host = made(tmp_path, again, FakeTransport())
        await host.start()
        assert again.ends == [FinalOutcome("u", "failed", 0.0, "fake")]
        await host.close()

    run(work())


@pytest.mark.parametrize(
    ("more", "field"),
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
    tmp_path: Path, more: dict[str, object], field: str
) -> None:
    async def work() -> None:
        host = made(tmp_path, FakeIntake(), FakeTransport(), Source(EndpointUpdate(True, (LISTED_ENDPOINT,))))
        await host.start()
        await until(lambda: 7 in host.messages.known_destinations)
        with pytest.raises(InvalidMessageError) as caught:
            host.messages.accept(replace(submission("m"), **more))  # type: ignore[arg-type]
        assert caught.value.field == field and not host.journal.entries and not host.messages.accepted
        await host.close()

    run(work())


def test_an_outcome_is_notified_once_it_is_journaled_and_not_before(tmp_path: Path) -> None:
    """Guards against a process that is killed then, takes up the message again, and says something else."""

    async def work() -> None:
        front, disk, carrier = FakeIntake(), Disk(), FakeTransport()
        host = made(tmp_path, front, carrier, Source(EndpointUpdate(True, (LISTED_ENDPOINT,))))
        host.journal = host.messages.journal = host.messages.outcomes.journal = Journal(
            tmp_path / "other", 3_000_000, disk
        )
        await host.start()
        await until(lambda: 7 in host.messages.known_destinations)
        disk.fail = lambda call, name, number: errno.ENOSPC if host.journal.written_bytes > 400 else None
        host.messages.accept(submission("m", "unsafe", remaining_ms=900))
        while not host.messages.outcomes.unwritten:
            host.journal.log.written_bytes = 1000
            await asyncio.sleep(0.005)
        end = host.journal.entries[
            "m"
        ].final_state  # its attempt could not be written down, so that none was made
        assert end == "returned" and not carrier.attempts and not front.ends
        assert not host.messages.accept(
            submission("n")
        ).accepted  # nothing new while what is owed can't be written
        disk.fail = lambda call, name, number: None
        await until(lambda: [end.id for end in front.ends] == ["m"])
        assert Journal(tmp_path / "other", 3_000_000, disk.after_crash()).entries["m"].final_state == end
        assert host.messages.accept(submission("n")).accepted
        await host.close()

    run(work())
