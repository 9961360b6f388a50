"""Messages with the sharded directory: a server and a relay on loopback, in this process."""

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


async def make_resident(instance: Instance, dest: int, ident: str = "first") -> None:
    """Deliver a message for the destination, so that its shard is resident."""
    assert instance.messages.accept(submission(ident, destination=dest)).is_new
    await until(lambda: instance.entries[ident].final_state == "delivered")
    instance.transport.attempts.clear()


def cut_off(instance: Instance) -> None:
    """Disconnect the relay from servers: its requests fail, and no datagrams arrive."""

    async def send_request(*_: object) -> bytes:
        raise OSError("cut off")

    instance.node.request = send_request  # type: ignore[method-assign, assignment]
    instance.node.datagram_handlers.clear()


def test_message_for_a_shard_that_is_not_resident_is_accepted_and_sent_when_it_is(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 1) as cluster:  # the server is not started yet
            instance = cluster.instances[1]
            receipt = instance.messages.accept(submission("m"))
            assert receipt.accepted and receipt.is_new and not instance.entries["m"].final_state
            await asyncio.sleep(0.3)
            assert (
                not instance.transport.connect_attempts
                and instance.relay.scheduler.pending.queues[7].length == 1
            )
            await cluster.start_instance(0)
            await until(lambda: instance.entries["m"].final_state == "delivered")
            assert [(each.address, each.trace_id) for each in instance.transport.attempts] == [
                (("h", 1), "m")
            ]
            assert instance.shards.contains(7) and not instance.messages.pending_by_destination

    run(work())


def test_message_for_an_unknown_destination_fails_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            assert instance.messages.accept(submission("m", destination=8)).accepted
            await until(lambda: bool(instance.intake.ends))
            assert [(end.id, end.state) for end in instance.intake.ends] == [("m", "failed")]
            assert instance.entries["m"].deadline_ms > 0 and not instance.transport.connect_attempts
            await until(lambda: not instance.relay.scheduler.pending.by_id, 3.0)  # no state of it is left
            assert not instance.messages.accepted and not instance.messages.pending_by_destination

    run(work())


def test_unknown_destination_needs_a_resident_shard(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            cluster.write_list([])
            await cluster.wait_until_loaded()
            await until(lambda: not instance.shards.contains(7))
            assert instance.shards.is_resident(7)
            assert instance.messages.accept(
                submission("m")
            ).accepted  # its endpoints may be in the middle of a replacement
            instance.messages.known_destinations.clear()  # as after a minute
            with pytest.raises(InvalidMessageError) as caught:
                instance.messages.accept(submission("n"))
            assert caught.value.field == "dest" and "n" not in instance.entries

    run(work())


def test_after_a_restart_pending_shards_are_requested_by_earliest_deadline(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        dests = in_shards(50)
        async with fleet(tmp_path, listed(*dests), 1) as cluster:
            instance = cluster.instances[1]
            for n, dest in enumerate(dests):
                time_left = 60_000 - 1_000 * n  # the last one submitted expires first
                assert instance.messages.accept(
                    submission(f"m{n}", "keyed", destination=dest, remaining_ms=time_left)
                ).accepted
            await cluster.stop_instance(1)
            instance = await cluster.start_instance(1)
            requested: list[list[int]] = []
            send_request = instance.node.request

            async def recording_request(name: str, kind: str, raw: bytes, seconds: float = 2.0) -> bytes:
                message = decode_message(raw)
                assert isinstance(message, ShardRequest)
                requested.append([requested_shard.shard for requested_shard in message.requested_shards])
                return await send_request(name, kind, raw, seconds)

            instance.node.request = recording_request  # type: ignore[method-assign]
            assert instance.messages.pending_count == 50
            # Requested before dispatching starts.
            assert not instance.relay.is_dispatching and len(instance.shards.client.pending) == 50
            await cluster.start_instance(0)
            await until(lambda: all(each.final_state == "delivered" for each in instance.entries.values()))
            first_request = next(each for each in requested if each)
            assert first_request == [shard_of(dest, SHARDS) for dest in reversed(dests)][: len(first_request)]
            assert sorted(each.trace_id for each in instance.transport.attempts) == sorted(
                f"m{n}" for n in range(50)
            )

    run(work())


def test_message_whose_destination_left_its_shard_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its shard becomes resident before the restored message is dispatched."""
    monkeypatch.setattr(relay, "INITIAL_LIST_TIMEOUT_S", 3.0)

    async def work() -> None:
        async with fleet(tmp_path, listed(7), 1) as cluster:
            cluster.instances[1].messages.accept(submission("m", destination=8))
            await cluster.stop_instance(1)
            await cluster.start_instance(0)
            instance = await cluster.start_instance(1)
            await until(lambda: not instance.shards.client.pending)
            assert not instance.relay.is_dispatching
            await until(lambda: [(end.id, end.state) for end in instance.intake.ends] == [("m", "failed")])
            assert not instance.messages.pending_count

    run(work())


def test_destination_that_moves_gets_its_pending_message_at_its_new_address(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 1) as cluster:
            instance = cluster.instances[1]
            instance.messages.accept(submission("m"))
            cluster.write_list(listed(7, port=2))
            await cluster.start_instance(0)
            await until(lambda: instance.entries["m"].final_state == "delivered")
            assert [each.address for each in instance.transport.attempts] == [("h", 2)]

    run(work())


def test_destination_that_moves_during_connect_gets_no_byte_at_its_old_address(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            instance.transport.can_connect.clear()
            instance.messages.accept(submission("m"))
            attempts_before = instance.transport.connect_attempts
            await until(lambda: instance.transport.connect_attempts > attempts_before)
            cluster.write_list(listed(7, port=2))
            await until(lambda: instance.relay.directory.by_name["e7"].address == ("h", 2))
            instance.transport.can_connect.set()
            await until(lambda: instance.entries["m"].final_state == "delivered")
            assert instance.transport.withheld_calls == 1
            assert [each.address for each in instance.transport.attempts] == [("h", 2)]
            assert instance.entries["m"].attempt_count == 1  # a withheld call is no attempt

    run(work())


def test_frozen_relay_sends_no_byte_before_it_is_current(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        attempt_runner, "CONFIRMATION_TIMEOUT_S", 9.0
    )  # it continues as soon as data are current, not after this timeout

    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1, bound_s=6.0) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            send_request, datagrams = instance.node.request, dict(instance.node.datagram_handlers)
            instance.node.datagram_handlers.clear()  # datagrams are lost while it is frozen
            instance.shards.running = False
            if instance.shards.timer is not None:
                instance.shards.timer.cancel()
            cluster.write_list(listed(7, port=2))
            await cluster.wait_until_loaded()
            await asyncio.sleep(6.0)

            async def slow(*args: Any) -> bytes:
                await asyncio.sleep(0.4)
                return await send_request(*args)

            instance.node.request = slow  # type: ignore[method-assign, assignment]
            instance.node.datagram_handlers.update(datagrams)
            instance.shards.running = True
            connects_before = instance.transport.connect_attempts
            instance.messages.accept(submission("m"))
            await asyncio.sleep(0.2)
            # The call waits and is not repeated.
            assert instance.transport.connect_attempts == connects_before
            await until(lambda: instance.entries["m"].final_state == "delivered", 6.0)
            assert [each.address for each in instance.transport.attempts] == [("h", 2)]
            assert instance.transport.connect_attempts == connects_before + 1

    run(work())


def test_wait_for_renewal_ends_when_updates_arrive(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            waiting = [asyncio.ensure_future(instance.shards.wait_for_renewal()) for _ in range(3)]
            await until(lambda: all(each.done() for each in waiting))

    run(work())


def test_send_guard_withholds_a_call_whose_data_became_stale_during_connect(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            instance.transport.can_connect.clear()
            instance.messages.accept(submission("m"))
            attempts_before = instance.transport.connect_attempts
            await until(lambda: instance.transport.connect_attempts > attempts_before)
            current = instance.shards.client.is_current
            instance.shards.client.is_current = lambda *_: False  # type: ignore[method-assign]
            instance.transport.can_connect.set()
            await until(lambda: instance.transport.withheld_calls == 1)
            assert instance.entries["m"].attempt_count == 0 and not instance.transport.attempts
            await asyncio.sleep(1.5)
            assert (
                instance.transport.connect_attempts <= attempts_before + 3
            )  # a wait of a second each time, not a busy loop
            instance.shards.client.is_current = current  # type: ignore[method-assign]
            await until(lambda: instance.entries["m"].final_state == "delivered")
            assert len(instance.transport.attempts) == 1

    run(work())


def test_without_servers_known_data_are_used_and_the_status_has_their_age(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1, bound_s=6.0) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            await cluster.stop_instance(0)
            cut_off(instance)
            await asyncio.sleep(7.0)
            for n in range(3):
                instance.messages.accept(submission(f"m{n}"))
                await until(lambda n=n: instance.entries[f"m{n}"].final_state == "delivered")  # type: ignore[misc]
            status = instance.shards.status()["reader"]
            assert status["behind"] is False or status["age_s"] > 5.0
            assert 5.0 < status["age_s"] < 20.0 and status["failures"] > 0
            assert instance.messages.accept(
                submission("x", destination=8)
            ).accepted  # no server can tell that it does not exist
            await asyncio.sleep(0.3)
            assert not instance.intake.ends and not instance.entries["x"].final_state

    run(work())


def test_evicted_destination_is_not_considered_down_when_needed_again(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1, idle_s=1.0) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            await until(lambda: not instance.relay.directory.by_name)
            await until(lambda: 7 not in instance.relay.scheduler.destinations)
            assert not instance.shards.is_resident(7) and not instance.shards.client.cache.resident
            await make_resident(instance, 7, "second")
            state = instance.relay.scheduler.destinations[7][-1]
            assert state.warming_since < 0 and state.failing_since is None

    run(work())


def test_destination_in_use_is_not_evicted(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7, 8), 0, 1, idle_s=1.0) as cluster:
            instance = cluster.instances[1]
            instance.transport.script = [Outcome.FULL]
            await make_resident(instance, 8)
            instance.transport.can_connect.clear()
            instance.messages.accept(submission("m"))  # its call is in flight
            await until(lambda: instance.shards.is_resident(7))
            await until(lambda: not instance.shards.is_resident(8))
            await asyncio.sleep(2.0)
            assert (
                instance.shards.is_resident(7)
                and instance.relay.is_in_use(7)
                and not instance.relay.is_in_use(8)
            )
            instance.transport.can_connect.set()
            await until(lambda: instance.entries["m"].final_state == "delivered")
            assert not instance.relay.is_in_use(7)

    run(work())


def test_learned_state_of_a_destination_keeps_its_shard_resident(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7, 8), 0, 1, idle_s=1.0) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            await make_resident(instance, 8, "other")
            instance.relay.scheduler.destinations[7][-1].retry_after_until = (
                instance.relay.driver.now() + 4000.0
            )
            instance.relay.scheduler.pending.request_scan(7)
            await until(lambda: not instance.shards.is_resident(8))
            assert instance.shards.is_resident(7)
            waiting_since = asyncio.get_running_loop().time()
            await until(lambda: not instance.shards.is_resident(7))
            assert asyncio.get_running_loop().time() - waiting_since > 1.0

    run(work())


def test_unknown_destination_has_the_rate_of_one_without_a_listed_rate(
    tmp_path: Path,
) -> None:
    """Otherwise messages that wait for its shard would be rejected first, with a Retry-After of minutes."""

    async def work() -> None:
        async with fleet(tmp_path, [], 0) as cluster:
            assert cluster.instances[0].relay.scheduler.drain_estimate.drained_at(1000.0, 5, 1) == 3000.0

    run(work())


def test_retry_after_outlasts_a_restart_though_its_shard_comes_later(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            state = instance.relay.scheduler.destinations[7][-1]
            state.retry_after_until = instance.relay.driver.now() + 4000.0
            instance.relay.scheduler.pending.request_scan(7)
            await cluster.stop_instance(0)
            await cluster.stop_instance(1, killed=False)
            instance = await cluster.start_instance(1)
            await until(lambda: instance.relay.is_dispatching)
            assert instance.relay.is_in_use(7) and 7 not in instance.relay.scheduler.destinations
            instance.relay._save_snapshot()
            assert [state.destination for state in instance.relay.snapshot_file.destinations] == [
                7
            ]  # saved for the next process too
            instance.messages.accept(submission("m"))
            waiting_since = asyncio.get_running_loop().time()
            await cluster.start_instance(0)
            await until(lambda: 7 in instance.relay.scheduler.destinations)
            await until(lambda: instance.entries["m"].final_state == "delivered")
            assert 1.0 < asyncio.get_running_loop().time() - waiting_since < 5.0

    run(work())


def test_unreadable_messages_are_counted_and_lose_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance, server = cluster.instances[1], cluster.instances[0]
            await make_resident(instance, 7)
            for raw in (b"", b"\xff", b"\x93\xa1d", encode_message(Overloaded(1, 1.0))):
                instance.shards._on_datagram("n0", raw)
                with pytest.raises(OSError):
                    await instance.node.request("n0", "shards", raw, 1.0)
            assert instance.shards.counts["unreadable"] == 4 and server.shards.counts["unreadable"] == 4
            send_request = instance.node.request

            async def malformed_response(*args: Any) -> bytes:
                instance.node.request = send_request  # type: ignore[method-assign]
                return b"\x91\xa1x"

            instance.node.request = malformed_response  # type: ignore[method-assign, assignment]
            instance.messages.accept(submission("m", destination=8))
            await until(lambda: bool(instance.intake.ends))
            assert instance.shards.counts["unreadable"] == 5 and instance.shards.contains(7)

    run(work())


def test_failed_tick_is_logged_and_the_next_one_runs(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            tick, broken = instance.shards.client.tick, [1]

            def failing(*args: Any) -> None:
                if broken:
                    broken.pop()
                    raise RuntimeError("a test failure")
                tick(*args)

            instance.shards.client.tick = failing  # type: ignore[method-assign, assignment]
            await make_resident(instance, 7)
            assert "sharded directory tick failed" in caplog.text

    run(work())


def test_relay_of_a_server_is_also_a_client(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0) as cluster:
            server = cluster.instances[0]
            await make_resident(server, 7)
            status = server.shards.status()
            assert status["reader"]["shards"] == 1 and status["keeper"]["endpoints"] == 1

    run(work())


def test_instance_without_a_server_responds_with_a_layout_mismatch(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            send_request = ShardRequest(5, cluster.instances[1].shards.layout, (0, -1), b"")
            raw = cluster.instances[1].shards._on_frame(
                Hello("n0", MESSAGE_KIND), encode_message(send_request)
            )
            assert decode_message(raw) == LayoutMismatch(5, cluster.instances[1].shards.layout)

    run(work())


def test_eviction_iterates_over_no_destinations_and_drops_removed_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            await make_resident(instance, 7)
            known: list[set[int]] = []
            instance.messages.add_destinations = known.append  # type: ignore[method-assign, assignment]
            instance.transport.script = [Outcome.FULL]
            await make_resident(instance, 7, "second")
            instance.relay.scheduler.destinations[7][-1].retry_after_until = (
                instance.relay.driver.now() + 3000.0
            )
            instance.relay.scheduler.pending.request_scan(7)
            await until(lambda: instance.relay.learned_destinations == {7})
            await until(lambda: not instance.relay.learned_destinations)
            assert not known

    run(work())


def test_final_outcomes_are_notified_once_over_a_kill(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, listed(7), 0, 1) as cluster:
            instance = cluster.instances[1]
            instance.messages.accept(submission("m", destination=8))
            await until(lambda: bool(instance.intake.ends))
            await cluster.stop_instance(1)
            restarted = await cluster.start_instance(1)
            assert [(end.id, end.state) for end in restarted.intake.ends] == [("m", "failed")]
            assert isinstance(cluster, Fleet)

    run(work())
