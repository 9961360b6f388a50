"""The relay on loopback sockets: clients, endpoints, discovery, notifications and restarts."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Sized
from pathlib import Path
from typing import Any

import pytest

from message_relay.core.clock import unix_time_ms
from message_relay.decisions.events import EndpointList
from message_relay.decisions.model import ListKind
from message_relay.endpoint_discovery import poll_schedule
from message_relay.http.agent import AgentClient as AgentLink
from message_relay.http.connection import EndpointConnection
from message_relay.http.outcome_notifier import OutcomeNotifier
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from ..loopback import OK, Agent, Client, Server, answer, host_of, listing, message, relay, run, until


@pytest.fixture
def state(tmp_path: Path) -> Path:
    folder = tmp_path / "state"
    folder.mkdir()
    return folder


async def start_agent_and_server() -> tuple[Agent, Server]:
    agent, server = Agent(), Server()
    await agent.start()
    await server.start()
    return agent, server


def test_a_message_is_accepted_delivered_unchanged_and_journaled(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
            body = bytes(range(256)) * 256
            assert await client.send(message("m1", "keyed", body)) == 202
            seen = await server.arrivals.get()
            assert (seen.target, seen.body) == ("/inbox", body)
            assert (seen.headers["x-trace-id"], seen.headers["idempotency-key"]) == ("m1", "k-m1")
            await until(lambda: host.journal.entries["m1"].final_state == "delivered")
            assert not host.accepted and agent.notices.empty()

    run(work())


@pytest.mark.parametrize(
    ("request_", "status", "expected"),
    [
        (message("m", "safe", X_Qos="unsafe"), 400, "class"),
        (message("m", "other"), 400, "class"),
        (message("m", X_Customer="nobody"), 400, "X-Customer"),
        (message("m", X_Addressing="dest=8"), 400, "destination 8"),
        (message("m", X_Addressing="dest=-1"), 400, "dest=NUMBER"),
        (message("m", X_Expires_In_Ms="soon"), 400, "X-Expires-In-Ms"),
        (message("m", "keyed", Idempotency_Key=""), 400, "Idempotency-Key"),
        (
            message(
                "",
            ),
            400,
            "X-Trace-Id",
        ),
        (message("m" * 201), 400, "X-Trace-Id"),
        (message("m", body=b"x" * 65537), 413, "65536"),
        (b"GET /safe HTTP/1.1\r\nHost: x\r\n\r\n", 405, "POST"),
        (b"nonsense\r\n\r\n", 400, ""),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX-A: " + b"a" * 40000, 431, ""),
    ],
)
def test_an_invalid_message_is_answered_with_its_reason(
    state: Path, request_: bytes, status: int, expected: str
) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(request_) == status and expected in client.text
            assert not host.accepted and not host.journal.entries
        assert not server.seen

    run(work())


def test_a_repeated_id_gets_the_same_answer_and_is_one_message(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(message("m")) == await client.send(message("m")) == 202
            await until(lambda: host.journal.entries["m"].final_state == "delivered")
            assert await client.send(message("m")) == 202
            assert await client.send(message("n")) == 202
            await until(lambda: host.journal.entries["n"].final_state == "delivered")
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["m", "n"]

    run(work())


def test_too_many_pending_messages_and_a_full_disk_reject(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.default_reply = None
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            statuses = [
                await client.send(message(f"m{n}")) for n in range(host.settings.max_pending_messages + 1)
            ]
            assert statuses[:15] == [202] * 15  # beyond that the scheduler may reject messages itself
            host.accepted.update(
                {-n: next(iter(host.accepted.values())) for n in range(1, host.settings.max_pending_messages)}
            )
            assert await client.send(message("more")) == 503 and "retry-after: 1.000" in client.head
        small_limits = {"sockets": 256, "disk_mb": 0.27}
        for path in state.glob("seg-*"):
            path.unlink()
        async with (
            relay(state, agent, server, limits=small_limits) as host,
            Client(host.ingress.port) as client,
        ):
            assert await client.send(message("a", body=b"x" * 60000)) == 202
            assert await client.send(message("b", body=b"x" * 60000)) == 503
            assert "b" not in host.journal.entries and await client.send(message("c")) == 202

    run(work())


def test_a_message_that_cannot_be_journaled_is_not_accepted(
    state: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:

            def no_space(*_: object) -> int:
                raise OSError(errno.ENOSPC, "no space")

            with monkeypatch.context() as patch:
                patch.setattr(os, "write", no_space)
                assert await client.send(message("m")) == 503
            assert not host.accepted and await client.send(message("n")) == 202
            await until(lambda: host.journal.entries["n"].final_state == "delivered")
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["n"]

    run(work())


def test_a_client_that_disconnects_unanswered_leaves_no_message(state: Path) -> None:
    """The client submits the message again under another id: the first copy must not be delivered."""

    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host:
            # Nothing is awaited in between, so the relay reads the request and the close together.
            with socket.create_connection(("127.0.0.1", host.ingress.port)) as disconnecting:
                disconnecting.sendall(message("gone"))
            async with Client(host.ingress.port) as client:
                assert await client.send(message("here")) == 202
                await until(lambda: host.journal.entries["here"].final_state == "delivered")
            await until(lambda: not host.ingress.connections)
            assert list(host.journal.entries) == ["here"]
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["here"]

    run(work())


def test_a_client_that_half_closes_is_answered(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host:
            with socket.create_connection(("127.0.0.1", host.ingress.port)) as half:
                half.sendall(message("half"))
                half.shutdown(socket.SHUT_WR)
                half.setblocking(False)
                reply = await asyncio.get_running_loop().sock_recv(half, 1000)
            assert reply.startswith(b"HTTP/1.1 503 ")

    run(work())


def test_a_response_that_is_never_read_cancels_its_message(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.default_reply = None
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(message("m")) == 202
            await server.arrivals.get()
            (connection,) = host.ingress.connections
            connection.unsent_ids.append("m")  # as if the socket did not accept the response
            client.writer.transport.abort()
            await until(lambda: not host.ingress.connections)
            assert not host.accepted and "m" not in host.journal.entries

    run(work())


def test_retry_after_applies_to_every_message(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.script.append(answer(429, "X-RateLimit-Wait-Ms: 400"))
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(message("a")) == 202
            rejected_at = (await server.arrivals.get()).at
            await until(lambda: host.journal.entries["a"].attempt_in_flight is None)
            assert await client.send(message("b")) == 202
            assert (
                min((await server.arrivals.get()).at, (await server.arrivals.get()).at) >= rejected_at + 0.4
            )

    run(work())


def test_a_draining_endpoint_gets_no_new_attempt(state: Path) -> None:
    async def work() -> None:
        agent, old = await start_agent_and_server()
        new = await Server().start()
        async with relay(state, agent, old) as host, Client(host.ingress.port) as client:
            assert await client.send(message("a")) == 202
            await old.arrivals.get()
            raw = listing(old, generation=2, reset=False, state="draining")
            raw["instances"] += listing(new)["instances"]
            agent.publish(raw)
            await until(lambda: host.register.version == 2)
            for n in range(5):
                assert await client.send(message(f"b{n}")) == 202
            await until(lambda: len(new.seen) == 5)
            agent.publish(listing(new, generation=3, reset=True))
            await until(lambda: host.register.version == 3)
            assert len(host.directory.by_name) == 1
        assert len(old.seen) == 1

    run(work())


def test_discovery_keeps_its_version_over_malformed_answers_and_silence(
    state: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poll_schedule, "AGENT_WATCH_MS", 100.0)
    monkeypatch.setattr(poll_schedule, "ANSWER_TIMEOUT_MS", 100.0)

    async def work() -> None:
        agent, server = await start_agent_and_server()
        malformed = listing(server, generation=9)
        async with relay(state, agent, server) as host:
            for reply in (answer(500), answer(200, body="{"), answer(200, body="[]")):
                agent.changes.put_nowait(reply)
            agent.publish({**malformed, "instances": None})
            await until(lambda: len(agent.seen) >= 6)  # including one that got no response
            hold_times = [seen.target.removeprefix("/v1/servers?from=1&hold_ms=") for seen in agent.seen]
            # 0 after a failed call.
            assert all(hold_ms == "0" or 75 <= int(hold_ms) <= 100 for hold_ms in hold_times)
            assert hold_times[0] == "0" and "0" in hold_times[2:]
            agent.publish(listing(server, generation=4))  # may be consumed by an earlier, cancelled call
            while host.register.version != 4:
                agent.publish(listing(server, generation=4))
                await asyncio.sleep(0.02)
            assert len(host.directory.by_name) == 1

    run(work())


def test_a_malformed_endpoint_entry_does_not_affect_the_others(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host:
            (name,) = host.directory.by_name
            other = {**listing(server)["instances"][0], "instanceId": "s-other"}
            mangled = [
                None,
                {},
                {**other, "instanceId": "s-x", "cell": "?"},
                {**other, "hostPort": 7},
                {"instanceId": name, "lifecycle": "ready"},
            ]
            raw = {"generation": 2, "reset": True, "instances": [*mangled, other]}
            host.apply_list(raw)
            assert set(host.directory.by_name) == {name, "s-other"} and host.register.version == 2
            assert host.directory.by_name[name].address == server.address
            removal = {"instanceId": name, "lifecycle": "gone"}  # enough to remove the endpoint
            host.apply_list({"generation": 3, "reset": False, "instances": [removal]})
            assert set(host.directory.by_name) == {"s-other"}

    run(work())


def test_memory_does_not_grow_as_endpoints_clients_and_messages_change(
    state: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leaks in a process that runs for days: every collection must drop its entries."""
    monkeypatch.setattr("message_relay.core.message_lifecycle.UNLISTED_RETENTION_MS", 0.0)

    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host:
            for number in range(2, 40):  # each time a different endpoint and destination at the same address
                raw = listing(server, generation=number)
                raw["instances"][0].update(instanceId=f"s-{number}", cell=number)
                host.apply_list(raw)
                async with Client(host.ingress.port) as client:
                    dest = f"dest={number}"
                    assert await client.send(message(f"m{number}", "keyed", X_Addressing=dest)) == 202
                    await until(lambda: not host.accepted)
            await until(lambda: not host.ingress.connections and not host.relay.pending.by_id)
            host.journal.compact(unix_time_ms() + 1e6)
            host.messages.expire_destinations()
            host.messages.add_destinations({39})
            directory, listener, scheduler = host.directory, host.ingress, host.relay
            sizes: dict[str, Sized] = {
                "held": host.accepted,
                "numbers": host.numbers,
                "entries": host.journal.entries,
                "sizes": host.journal.messages.sizes,
                "home": host.journal.log.segment_of,
                "dying": host.journal.retained,
                "silent": listener.silent,
                "resting": listener.idle_submitters,
                "visiting": listener.idle_without_submission,
                "lingering": listener.lingering,
                "queues": scheduler.pending.queues,
                "due": scheduler.pending.scans_due,
                "unsure": scheduler.pending.lowest_value_stale,
                "lines": scheduler.pending.key_order,
                "rest": scheduler.pending.key_paused_until,
                "ending": host.transport.receiving_bodies,
                "notices": host.notices.pending,
                "events": host.events,
            }
            assert {name: len(collection) for name, collection in sizes.items() if len(collection)} == {}
            assert (
                len(directory.by_name)
                == len(directory.by_number)
                == len(host.transport.pool.idle_by_endpoint)
                == 1
            )
            assert list(host.dests) == [39] and len(scheduler.endpoints) == 1
            assert len(scheduler.destinations) == 38  # their learned state expires after a minute
            scheduler.handle(host.now() + 61_000.0, [EndpointList(ListKind.CHANGES)])
            assert len(scheduler.destinations) == 1
            # One task each that polls or sends notifications, and one that runs periodic checks.
            assert len(host.tasks.running) == len(host.intake.tasks.running) == 2

    run(work())


def test_an_outcome_is_sent_again_until_it_is_acknowledged(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.default_reply = answer(500)
        agent.script += [answer(503), "reset", answer(400)]
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(message("m", "unsafe")) == 202
            assert await agent.notices.get() == {"id": "m", "state": "failed"}
            await until(lambda: host.journal.entries["m"].is_notified)
        assert len(server.seen) == 1

    run(work())


def test_one_unacknowledged_outcome_does_not_delay_the_others(state: Path) -> None:
    async def work() -> None:
        agent = Agent()
        await agent.start()
        notified: list[str] = []
        notifier = OutcomeNotifier(AgentLink(agent.address), notified.extend)
        for n in range(3):
            notifier.add(f"m{n}", "returned", 250.0)
        agent.script += [answer(400), answer(204), answer(204), answer(204)]
        task = asyncio.get_running_loop().create_task(notifier.run())
        await until(lambda: len(notified) == 3)
        task.cancel()
        assert sorted(notified) == ["m0", "m1", "m2"]
        assert agent.seen[0].body.splitlines()[0] == b'{"id": "m0", "state": "returned", "after_ms": 250}'

    run(work())


def test_an_internal_error_is_answered_and_logged(
    state: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            with monkeypatch.context() as patch:
                patch.setattr(host.ingress, "handle", lambda request: 1 // 0)
                assert await client.send(message("m")) == 500
            assert "ZeroDivisionError" in caplog.text
            async with Client(host.ingress.port) as other:
                assert await other.send(message("n")) == 202
                await until(lambda: host.journal.entries["n"].final_state == "delivered")

    run(work())


# -- restarts: what each step leaves in the journal, and how the next process continues ---------------------


def entry(class_: str, age_ms: float = 1000.0, left_ms: float = 8000.0) -> JournalEntry:
    now = unix_time_ms()
    return JournalEntry(
        "m", class_, "t", 7, "k-m" if class_ == "keyed" else None, now - age_ms, now + left_ms, "", b"kept"
    )


STEPS: list[tuple[str, str, dict[str, float], str]] = [
    ("safe", "taken", {}, "delivered"),
    ("unsafe", "taken", {}, "delivered"),
    ("safe", "tried", {}, "delivered"),
    ("keyed", "tried", {"tried_ago": 500.0}, "delivered"),
    ("keyed", "tried", {"tried_ago": 4500.0}, "returned"),  # the endpoint may have forgotten its key
    ("unsafe", "tried", {}, "failed"),  # an attempt in flight may have run
    ("unsafe", "refused", {}, "delivered"),  # proof of no effect
    ("unsafe", "errored", {}, "failed"),
    ("safe", "tried out", {}, "returned"),  # it has no attempts left
    ("safe", "taken", {"left_ms": -5.0}, "returned"),  # its deadline has passed
    ("unsafe", "tried", {"left_ms": -5.0}, "failed"),
    ("safe", "ended", {}, ""),
    ("unsafe", "failed", {}, "failed"),  # its notification was not acknowledged
    ("unsafe", "told", {}, ""),
]


@pytest.mark.parametrize(("class_", "step", "options", "outcome"), STEPS)
def test_a_restart_at_each_step(
    state: Path, class_: str, step: str, options: dict[str, float], outcome: str
) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        name, journal = f"s-{server.address[1]}", Journal(state, 3_000_000)
        pending = entry(class_, left_ms=options.get("left_ms", 8000.0))
        journal.append_accepted(pending)
        for _ in range({"taken": 0, "tried out": 8}.get(step, 1)):
            journal.append_attempt(pending, unix_time_ms() - options.get("tried_ago", 100.0), name, 0)
            if step not in ("tried", "tried out"):
                journal.append_outcome(pending, step != "refused")
            elif step == "tried out":
                journal.append_outcome(pending, False)
        if step in ("ended", "failed", "told"):
            journal.append_final_outcome(pending, "delivered" if step == "ended" else "failed")
        if step == "told":
            journal.append_notified(["m"])
        journal.close()
        async with relay(state, agent, server) as host:
            if outcome == "delivered":
                assert (await server.arrivals.get()).body == b"kept"
                await until(lambda: host.journal.entries["m"].final_state == "delivered")
            elif outcome:
                assert await agent.notices.get() == {"id": "m", "state": outcome}
                await until(lambda: host.journal.entries["m"].is_notified)
            assert not host.accepted and bool(server.seen) == (outcome == "delivered")
            assert agent.notices.empty()

    run(work())


def test_a_stop_waits_for_attempts_in_flight_and_open_requests(
    state: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("message_relay.core.relay.ACCEPT_AFTER_STOP_S", 0.05)
    monkeypatch.setattr("message_relay.http.client_limits.MIN_IDLE_S", 0.1)  # for the idle client

    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.hold = asyncio.Event()
        host = host_of(state, agent, server)
        await host.start()
        async with Client(host.ingress.port) as client, Client(host.ingress.port) as slow_client:
            assert await client.send(message("m")) == 202
            await server.arrivals.get()
            late_request = message("late", "unsafe")
            slow_client.writer.write(late_request[:50])
            await until(lambda: any(not connection.is_idle for connection in host.ingress.connections))
            stopping = asyncio.get_running_loop().create_task(host.stop())
            assert await client.reader.read() == b""  # the idle connection is closed
            slow_client.writer.write(late_request[50:])
            assert await slow_client.status() == 202 and "connection: close" in slow_client.head
            server.hold.set()
            await stopping
        entries = Journal(state, 3_000_000).entries
        assert entries["m"].final_state == entries["late"].final_state == "delivered"

    run(work())


def test_what_cannot_finish_before_the_stop_stays_in_the_journal(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.default_reply = None
        host = host_of(state, agent, server)
        await host.start()
        async with Client(host.ingress.port) as client:
            assert await client.send(message("out")) == 202
            await server.arrivals.get()
            await host.stop()
        (remaining_entry,) = Journal(state, 3_000_000).entries.values()
        assert (
            remaining_entry.final_state == ""
            and remaining_entry.attempt_count == 1
            and remaining_entry.uncertain_attempt is not None
            and remaining_entry.body == b"hello"
        )

    run(work())


@pytest.mark.parametrize("class_", ["unsafe", "keyed"])
def test_an_id_that_was_sent_does_not_run_again_after_its_client_left(state: Path, class_: str) -> None:
    """The id was forgotten with its client, and the same id was accepted, and sent, as a new message."""

    async def work() -> None:
        agent, server = await start_agent_and_server()
        server.default_reply = None
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            assert await client.send(message("m", class_)) == 202
            await server.arrivals.get()
            assert not host.messages.cancel("m")
            assert await client.send(message("m", class_)) == 500
            server.default_reply = OK
            assert await client.send(message("other", class_)) == 202
            await until(lambda: host.journal.entries["other"].final_state == "delivered")
            assert await client.send(message("m", class_)) == 500
        async with relay(state, agent, server) as again, Client(again.ingress.port) as client:
            assert await client.send(message("m", class_)) == 500
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["m", "other"]

    run(work())


def test_an_id_that_was_never_sent_may_come_again_after_its_client_left(state: Path) -> None:
    async def work() -> None:
        agent, server = await start_agent_and_server()
        async with relay(state, agent) as host, Client(host.ingress.port) as client:
            host.apply_list(listing(server, generation=2, state="draining"))
            assert await client.send(message("m", "unsafe")) == 202
            assert host.messages.cancel("m") and await client.send(message("m", "unsafe")) == 202

    run(work())


def test_work_for_an_endpoint_that_moved_does_not_go_to_its_former_address(state: Path) -> None:
    """A new process came up at the address of one that had moved, and got a call decided before that."""

    async def work() -> None:
        agent, old = await start_agent_and_server()
        new = await Server().start()
        async with relay(state, agent, old) as host, Client(host.ingress.port) as client:
            known = next(iter(host.directory.by_number.values()))
            moved = listing(new, generation=2, reset=False)
            moved["instances"][0]["instanceId"] = known.name
            connect = EndpointConnection.open

            async def open_late(*args: Any, **options: Any) -> EndpointConnection:
                connection = await connect(*args, **options)
                if args[0] == old.address:
                    host.apply_list(moved)  # while the connection is being established
                return connection

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(EndpointConnection, "open", open_late)
                assert await client.send(message("m", "keyed")) == 202
                await until(lambda: bool(new.seen or old.seen))
        assert not old.seen and [seen.headers["x-trace-id"] for seen in new.seen] == ["m"]

    run(work())
