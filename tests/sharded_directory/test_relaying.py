"""Messages and the directory by interest: a server and a relay on loopback, in this process."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from message_relay.core import attempt_runner, relay
from message_relay.core.ports import InvalidMessageError
from message_relay.decisions.model import Outcome
from message_relay.gossip.framing import Hello
from message_relay.sharded_directory.node import MESSAGE_KIND
from message_relay.sharded_directory.rendezvous_hash import shard_of
from message_relay.sharded_directory.wire import (
    LayoutMismatch,
    Overloaded,
    ShardRequest,
    decode_message,
    encode_message,
)

from ..core.test_ports import submission
from ..loopback import run
from .loopback import SHARDS, Fleet, Instance, entry, fleet, in_shards, until


def listed(*dests: int, port: int = 1) -> list[dict[str, Any]]:
    return [entry(f"e{dest}", dest, port) for dest in dests]


async def learned(relay: Instance, dest: int, ident: str = "first") -> None:
    """A message for it went, so that its shard is here."""
    assert relay.messages.accept(submission(ident, destination=dest)).is_new
    await until(lambda: relay.entries[ident].final_state == "delivered")
    relay.carrier.attempts.clear()


def cut(relay: Instance) -> None:
    """No server can be reached, and what they say does not come."""

    async def send_request(*_: object) -> bytes:
        raise OSError("cut off")

    relay.node.request = send_request  # type: ignore[method-assign, assignment]
    relay.node.datagram_handlers.clear()


def test_message_for_a_shard_that_is_not_resident_is_accepted_and_sent_when_it_is(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 1) as it:  # the server is not there yet
            relay = it.instances[1]
            receipt = relay.messages.accept(submission("m"))
            assert receipt.accepted and receipt.is_new and not relay.entries["m"].final_state
            await asyncio.sleep(0.3)
            assert not relay.carrier.connect_attempts and relay.host.scheduler.pending.queues[7].length == 1
            await it.start_instance(0)
            await until(lambda: relay.entries["m"].final_state == "delivered")
            assert [(each.address, each.trace_id) for each in relay.carrier.attempts] == [(("h", 1), "m")]
            assert relay.shards.contains(7) and not relay.messages.pending_by_destination

    run(work())


def test_message_for_an_unknown_destination_fails_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            assert relay.messages.accept(submission("m", destination=8)).accepted
            await until(lambda: bool(relay.front.ends))
            assert [(end.id, end.state) for end in relay.front.ends] == [("m", "failed")]
            assert relay.entries["m"].deadline_ms > 0 and not relay.carrier.connect_attempts
            await until(lambda: not relay.host.scheduler.pending.by_id, 3.0)  # nothing is left of it
            assert not relay.messages.accepted and not relay.messages.pending_by_destination

    run(work())


def test_unknown_destination_needs_a_resident_shard(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            it.write_list([])
            await it.wait_until_loaded()
            await until(lambda: not relay.shards.contains(7))
            assert relay.shards.is_resident(7)
            assert relay.messages.accept(
                submission("m")
            ).accepted  # all its endpoints may be on their way to others
            relay.messages.known_destinations.clear()  # a minute later
            with pytest.raises(InvalidMessageError) as caught:
                relay.messages.accept(submission("n"))
            assert caught.value.field == "dest" and "n" not in relay.entries

    run(work())


def test_after_a_restart_pending_shards_are_requested_by_earliest_deadline(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        dests = in_shards(50)
        async with fleet(tmp_path, listed(*dests), 1) as it:
            relay = it.instances[1]
            for n, dest in enumerate(dests):
                left = 60_000 - 1_000 * n  # the last one that comes ends first
                assert relay.messages.accept(
                    submission(f"m{n}", "keyed", destination=dest, remaining_ms=left)
                ).accepted
            await it.stop_instance(1)
            relay = await it.start_instance(1)
            requested: list[list[int]] = []
            send_request = relay.node.request

            async def recording_request(name: str, kind: str, raw: bytes, seconds: float = 2.0) -> bytes:
                message = decode_message(raw)
                assert isinstance(message, ShardRequest)
                requested.append([each_shard.shard for each_shard in message.requested_shards])
                return await send_request(name, kind, raw, seconds)

            relay.node.request = recording_request  # type: ignore[method-assign]
            assert relay.messages.pending_count == 50
            assert not relay.host.is_dispatching and len(relay.shards.client.pending) == 50  # before all else
            await it.start_instance(0)
            await until(lambda: all(each.final_state == "delivered" for each in relay.entries.values()))
            first_request = next(each for each in requested if each)
            assert first_request == [shard_of(dest, SHARDS) for dest in reversed(dests)][: len(first_request)]
            assert sorted(each.trace_id for each in relay.carrier.attempts) == sorted(
                f"m{n}" for n in range(50)
            )

    run(work())


def test_message_whose_destination_left_its_shard_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its shard has come before it is taken up."""
    monkeypatch.setattr(relay, "INITIAL_LIST_TIMEOUT_S", 3.0)

    async def work() -> None:
        async with fleet(tmp_path, listed(7), 1) as it:
            it.instances[1].messages.accept(submission("m", destination=8))
            await it.stop_instance(1)
            await it.start_instance(0)
            relay = await it.start_instance(1)
            await until(lambda: not relay.shards.client.pending)
            assert not relay.host.is_dispatching
            await until(lambda: [(end.id, end.state) for end in relay.front.ends] == [("m", "failed")])
            assert not relay.messages.pending_count

    run(work())


def test_destination_that_moves_gets_its_pending_message_at_its_new_address(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 1) as it:
            relay = it.instances[1]
            relay.messages.accept(submission("m"))
            it.write_list(listed(7, port=2))
            await it.start_instance(0)
            await until(lambda: relay.entries["m"].final_state == "delivered")
            assert [each.address for each in relay.carrier.attempts] == [("h", 2)]

    run(work())


def test_destination_that_moves_during_connect_gets_no_byte_at_its_old_address(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            relay.carrier.can_connect.clear()
            relay.messages.accept(submission("m"))
            attempts_before = relay.carrier.connect_attempts
            await until(lambda: relay.carrier.connect_attempts > attempts_before)
            it.write_list(listed(7, port=2))
            await until(lambda: relay.host.directory.by_name["e7"].address == ("h", 2))
            relay.carrier.can_connect.set()
            await until(lambda: relay.entries["m"].final_state == "delivered")
            assert relay.carrier.withheld_calls == 1
            assert [each.address for each in relay.carrier.attempts] == [("h", 2)]
            assert relay.entries["m"].attempt_count == 1  # what was held back is no try

    run(work())


def test_frozen_relay_sends_no_byte_before_it_is_current(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        attempt_runner, "CONFIRMATION_TIMEOUT_S", 9.0
    )  # it goes on as soon as it may, and not when that is over

    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1, bound_s=6.0) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            send_request, datagrams = relay.node.request, dict(relay.node.datagram_handlers)
            relay.node.datagram_handlers.clear()  # what comes while it stands still
            relay.shards.running = False
            if relay.shards.timer is not None:
                relay.shards.timer.cancel()
            it.write_list(listed(7, port=2))
            await it.wait_until_loaded()
            await asyncio.sleep(6.0)

            async def slow(*args: Any) -> bytes:
                await asyncio.sleep(0.4)
                return await send_request(*args)

            relay.node.request = slow  # type: ignore[method-assign, assignment]
            relay.node.datagram_handlers.update(datagrams)
            relay.shards.running = True
            connecting = relay.carrier.connect_attempts
            relay.messages.accept(submission("m"))
            await asyncio.sleep(0.2)
            assert relay.carrier.connect_attempts == connecting  # it waits, and isn't made again and again
            await until(lambda: relay.entries["m"].final_state == "delivered", 6.0)
            assert [each.address for each in relay.carrier.attempts] == [("h", 2)]
            assert relay.carrier.connect_attempts == connecting + 1

    run(work())


def test_wait_for_renewal_ends_when_updates_arrive(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            waiting = [asyncio.ensure_future(relay.shards.wait_for_renewal()) for _ in range(3)]
            await until(lambda: all(each.done() for each in waiting))

    run(work())


def test_send_guard_withholds_a_call_whose_data_became_stale_during_connect(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            relay.carrier.can_connect.clear()
            relay.messages.accept(submission("m"))
            attempts_before = relay.carrier.connect_attempts
            await until(lambda: relay.carrier.connect_attempts > attempts_before)
            current = relay.shards.client.is_current
            relay.shards.client.is_current = lambda *_: False  # type: ignore[method-assign]
            relay.carrier.can_connect.set()
            await until(lambda: relay.carrier.withheld_calls == 1)
            assert relay.entries["m"].attempt_count == 0 and not relay.carrier.attempts
            await asyncio.sleep(1.5)
            assert (
                relay.carrier.connect_attempts <= attempts_before + 3
            )  # a wait of a second each time, no spin
            relay.shards.client.is_current = current  # type: ignore[method-assign]
            await until(lambda: relay.entries["m"].final_state == "delivered")
            assert len(relay.carrier.attempts) == 1

    run(work())


def test_without_servers_known_data_serve_and_the_status_has_their_age(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1, bound_s=6.0) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            await it.stop_instance(0)
            cut(relay)
            await asyncio.sleep(7.0)
            for n in range(3):
                relay.messages.accept(submission(f"m{n}"))
                await until(lambda n=n: relay.entries[f"m{n}"].final_state == "delivered")  # type: ignore[misc]
            status = relay.shards.status()["reader"]
            assert status["behind"] is False or status["age_s"] > 5.0
            assert 5.0 < status["age_s"] < 20.0 and status["failures"] > 0
            assert relay.messages.accept(
                submission("x", destination=8)
            ).accepted  # nobody can say that there is none
            await asyncio.sleep(0.3)
            assert not relay.front.ends and not relay.entries["x"].final_state

    run(work())


def test_evicted_destination_is_not_considered_down_when_needed_again(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1, idle_s=1.0) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            await until(lambda: not relay.host.directory.by_name)
            await until(lambda: 7 not in relay.host.scheduler.destinations)
            assert not relay.shards.is_resident(7) and not relay.shards.client.cache.resident
            await learned(relay, 7, "second")
            state = relay.host.scheduler.destinations[7][-1]
            assert state.warming_since < 0 and state.failing_since is None

    run(work())


def test_destination_in_use_is_not_evicted(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7, 8), 0, 1, idle_s=1.0) as it:
            relay = it.instances[1]
            relay.carrier.script = [Outcome.FULL]
            await learned(relay, 8)
            relay.carrier.can_connect.clear()
            relay.messages.accept(submission("m"))  # its call is out
            await until(lambda: relay.shards.is_resident(7))
            await until(lambda: not relay.shards.is_resident(8))
            await asyncio.sleep(2.0)
            assert relay.shards.is_resident(7) and relay.host.is_in_use(7) and not relay.host.is_in_use(8)
            relay.carrier.can_connect.set()
            await until(lambda: relay.entries["m"].final_state == "delivered")
            assert not relay.host.is_in_use(7)

    run(work())


def test_learned_state_of_a_destination_keeps_its_shard_resident(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7, 8), 0, 1, idle_s=1.0) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            await learned(relay, 8, "other")
            relay.host.scheduler.destinations[7][-1].retry_after_until = relay.host.driver.now() + 4000.0
            relay.host.scheduler.pending.request_scan(7)
            await until(lambda: not relay.shards.is_resident(8))
            assert relay.shards.is_resident(7)
            attempts_before = asyncio.get_running_loop().time()
            await until(lambda: not relay.shards.is_resident(7))
            assert asyncio.get_running_loop().time() - attempts_before > 1.0

    run(work())


def test_unknown_destination_has_the_rate_of_one_without_a_listed_rate(
    tmp_path: Path,
) -> None:
    """Else what waits for its shard would be refused first, and its clients told to stay away for minutes."""

    async def work() -> None:
        async with fleet(tmp_path, [], 0) as it:
            assert it.instances[0].host.scheduler.drain_estimate.drained_at(1000.0, 5, 1) == 3000.0

    run(work())


def test_retry_after_outlasts_a_restart_though_its_shard_comes_later(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            state = relay.host.scheduler.destinations[7][-1]
            state.retry_after_until = relay.host.driver.now() + 4000.0
            relay.host.scheduler.pending.request_scan(7)
            await it.stop_instance(0)
            await it.stop_instance(1, killed=False)
            relay = await it.start_instance(1)
            await until(lambda: relay.host.is_dispatching)
            assert relay.host.is_in_use(7) and 7 not in relay.host.scheduler.destinations
            relay.host._save_snapshot()
            assert [state.destination for state in relay.host.snapshot_file.destinations] == [
                7
            ]  # for the next process too
            relay.messages.accept(submission("m"))
            attempts_before = asyncio.get_running_loop().time()
            await it.start_instance(0)
            await until(lambda: 7 in relay.host.scheduler.destinations)
            await until(lambda: relay.entries["m"].final_state == "delivered")
            assert 1.0 < asyncio.get_running_loop().time() - attempts_before < 5.0

    run(work())


def test_unreadable_messages_are_counted_and_lose_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay, server = it.instances[1], it.instances[0]
            await learned(relay, 7)
            for raw in (b"", b"\xff", b"\x93\xa1d", encode_message(Overloaded(1, 1.0))):
                relay.shards._on_datagram("n0", raw)
                with pytest.raises(OSError):
                    await relay.node.request("n0", "shards", raw, 1.0)
            assert relay.shards.counts["unreadable"] == 4 and server.shards.counts["unreadable"] == 4
            send_request = relay.node.request

            async def spoilt(*args: Any) -> bytes:
                relay.node.request = send_request  # type: ignore[method-assign]
                return b"\x91\xa1x"

            relay.node.request = spoilt  # type: ignore[method-assign, assignment]
            relay.messages.accept(submission("m", destination=8))
            await until(lambda: bool(relay.front.ends))
            assert relay.shards.counts["unreadable"] == 5 and relay.shards.contains(7)

    run(work())


def test_failed_tick_is_logged_and_the_next_one_runs(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            tick, broken = relay.shards.client.tick, [1]

            def failing(*args: Any) -> None:
                if broken:
                    broken.pop()
                    raise RuntimeError("a fault of ours")
                tick(*args)

            relay.shards.client.tick = failing  # type: ignore[method-assign, assignment]
            await learned(relay, 7)
            assert "sharded directory tick failed" in caplog.text

    run(work())


def test_a_servers_own_relay_is_a_client_too(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0) as it:
            server = it.instances[0]
            await learned(server, 7)
            status = server.shards.status()
            assert status["reader"]["shards"] == 1 and status["keeper"]["endpoints"] == 1

    run(work())


def test_instance_without_a_server_responds_with_a_layout_mismatch(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            send_request = ShardRequest(5, it.instances[1].shards.layout, (0, -1), b"")
            raw = it.instances[1].shards._on_frame(Hello("n0", MESSAGE_KIND), encode_message(send_request))
            assert decode_message(raw) == LayoutMismatch(5, it.instances[1].shards.layout)

    run(work())


def test_eviction_walks_over_no_destination_and_forgets_removed_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            await learned(relay, 7)
            known: list[set[int]] = []
            relay.messages.add_destinations = known.append  # type: ignore[method-assign, assignment]
            relay.carrier.script = [Outcome.FULL]
            await learned(relay, 7, "second")
            relay.host.scheduler.destinations[7][-1].retry_after_until = relay.host.driver.now() + 3000.0
            relay.host.scheduler.pending.request_scan(7)
            await until(lambda: relay.host.learned_destinations == {7})
            await until(lambda: not relay.host.learned_destinations)
            assert not known

    run(work())


def test_final_outcomes_are_notified_once_over_a_kill(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as it:
            relay = it.instances[1]
            relay.messages.accept(submission("m", destination=8))
            await until(lambda: bool(relay.front.ends))
            await it.stop_instance(1)
            again = await it.start_instance(1)
            assert [(end.id, end.state) for end in again.front.ends] == [("m", "failed")]
            assert isinstance(it, Fleet)

    run(work())
