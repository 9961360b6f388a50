"""Destination snapshot: outages and Retry-After times are known to the next process after a restart."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from message_relay.decisions.events import Message, RestoredDestination
from message_relay.decisions.model import Outcome
from message_relay.decisions.scheduler import DeliveryScheduler
from message_relay.store.destination_snapshot import MAX_AGE_MS, MAX_FILE_BYTES, DestinationSnapshotFile

from ..conftest import SAFE, Driver, make_settings
from ..loopback import Agent, Client, Server, answer, host_of, message, run, until


def restarted(before: Driver, away_ms: float, folder: Path) -> Driver:
    """Returns the next process, which has loaded the snapshot file of the previous one."""
    DestinationSnapshotFile(folder).save(1e12, before.relay.destination_snapshot(before.now))
    after = Driver(before.settings, now=5e6, seed=2)
    after.listed((11, 1), rate=10.0)
    after.feed(*DestinationSnapshotFile(folder).load(1e12 + away_ms))
    return after


def test_retry_after_is_respected_across_a_restart(tmp_path: Path) -> None:
    driver = Driver()
    driver.listed((11, 1), rate=10.0)
    driver.answer(driver.message(), Outcome.FULL, wait=5000.0)
    left = driver.relay.destination_snapshot(driver.now)[0].retry_after_ms
    assert left >= 5000.0
    after = restarted(driver, 600.0, tmp_path)
    start = after.now
    message_id = after.message()
    after.pass_time(left - 605.0)
    assert not after.sent
    after.pass_time(2000)
    assert after.last(message_id)[0] >= start + left - 600.0


def test_ejected_destination_gets_trials_from_the_next_process_too(tmp_path: Path) -> None:
    settings = make_settings(relays=10)
    driver = Driver(settings)
    driver.listed((11, 1), rate=10.0)
    for _ in range(2):
        message_id = driver.message()
        driver.pass_time(3000, 50)
        driver.answer(message_id, Outcome.CONNECT_FAILED)
    assert driver.relay.destinations[1][-1].is_ejected
    fresh = Driver(settings, seed=2)
    fresh.listed((11, 1), rate=10.0)
    after = restarted(driver, 600.0, tmp_path)
    for process in (fresh, after):
        for _ in range(4):
            process.message()
        process.pass_time(300)
    assert len(fresh.sent) >= 2 and len(after.sent) <= 1


def test_warm_up_continues_in_the_next_process(tmp_path: Path) -> None:
    driver = Driver()
    driver.listed((11, 1), rate=10.0)
    for _ in range(2):
        message_id = driver.message()
        driver.pass_time(3000, 50)
        driver.answer(message_id, Outcome.CONNECT_FAILED)
    while driver.relay.destinations[1][-1].is_ejected:
        for message_id in list(driver.out):
            driver.answer(message_id)
        driver.pass_time(100)
        driver.message()
    (destination,) = restarted(driver, 600.0, tmp_path).relay.destinations[1].values()
    warm_up_began = driver.relay.destinations[1][-1].warming_since
    assert 5e6 - destination.warming_since == pytest.approx(driver.now - warm_up_began + 600.0)


def test_own_observations_take_precedence_over_restored_ones() -> None:
    driver = Driver()
    driver.listed((11, 1), rate=10.0)
    driver.warm_up()
    driver.feed(RestoredDestination(1, 9000.0, True, 500.0, None), RestoredDestination(77, 9000.0))
    destination = driver.relay.destinations[1][-1]
    assert (
        not destination.is_ejected
        and destination.retry_after_until < driver.now
        and 77 not in driver.relay.destinations
    )


def test_healthy_destinations_are_not_saved(tmp_path: Path) -> None:
    driver = Driver()
    driver.listed((11, 1), rate=10.0)
    driver.warm_up()
    DestinationSnapshotFile(tmp_path).save(1e12, driver.relay.destination_snapshot(driver.now))
    assert driver.relay.destination_snapshot(driver.now) == [] and not list(tmp_path.iterdir())


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        '{"version":2,"at":0,"lanes":[]}',
        '{"version":1,"at":"x","lanes":[]}',
        '{"version":1,"at":0,"lanes":[{}]}',
        '{"version":1,"at":0,"lanes":[7]}',
        '{"version":1,"at":9e11,"lanes":[{"destination":1,"wait_ms":1,"out":true,"bad_ms":-1e15,"cold_ms":null}]}',
        '{"version":1,"at":9e11,"lanes":[{"destination":1,"wait_ms":1e999,"out":true,"bad_ms":0,"cold_ms":0}]}',
    ],
)
def test_invalid_file_is_ignored(tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture) -> None:
    (tmp_path / "learned").write_text(text)
    assert (
        DestinationSnapshotFile(tmp_path).load(1e12) == [] and "destination snapshot ignored" in caplog.text
    )


def test_only_retry_after_is_restored_from_an_old_file(tmp_path: Path) -> None:
    DestinationSnapshotFile(tmp_path).save(
        1e12,
        [RestoredDestination(1, 2 * MAX_AGE_MS, True, 10.0, None), RestoredDestination(2, 0.0, True, 10.0)],
    )
    assert DestinationSnapshotFile(tmp_path).load(1e12 + MAX_AGE_MS + 1) == [
        RestoredDestination(1, MAX_AGE_MS - 1)
    ]


def test_snapshot_file_does_not_exceed_its_maximum_size(tmp_path: Path) -> None:
    destinations = [RestoredDestination(n, 1234.567, True, 1234.567, 1234.567) for n in range(2000)]
    DestinationSnapshotFile(tmp_path).save(1e12, destinations)
    assert (tmp_path / "learned").stat().st_size <= MAX_FILE_BYTES
    loaded = DestinationSnapshotFile(tmp_path).load(1e12)
    assert 50 < len(loaded) < 2000 and loaded == destinations[: len(loaded)]
    assert json.loads((tmp_path / "learned").read_text())["version"] == 1


def test_the_next_process_respects_the_retry_after(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server = Agent(), Server()
        await agent.start()
        await server.start()
        state = tmp_path / "state"
        state.mkdir()
        server.default_reply = answer(429, "X-RateLimit-Wait-Ms: 1500")
        host = host_of(state, agent, server)
        await host.start()
        async with Client(host.ingress.port) as client:
            assert await client.send(message("m")) == 202
            first = await server.arrivals.get()
            await until(lambda: bool(host.relay.destination_snapshot(host.now())))
        await host.close()
        server.default_reply = answer(200)
        host = host_of(state, agent, server)
        await host.start()
        retried = await server.arrivals.get()
        assert retried.headers["x-trace-id"] == "m" and retried.at >= first.at + 1.45
        await host.close()

    run(work())


def test_an_invalid_restored_destination_names_its_field() -> None:
    with pytest.raises(ValueError, match="learned.wait_ms"):
        RestoredDestination(1, -1.0)
    relay = DeliveryScheduler(make_settings(), 1)
    relay.handle(0.0, [RestoredDestination(1, 5.0), Message(1, 1, SAFE, 9000.0)])
    assert not relay.destinations
