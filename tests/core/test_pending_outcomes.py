"""Races after which an attempted message could get no final outcome in time.

Each test forces one order of events. docs/design/endings.md lists them.
"""

from __future__ import annotations

import asyncio
import json
import logging
import select
from pathlib import Path

import pytest

from message_relay.core import relay as core_host
from message_relay.core.backoff import MAX_JITTER
from message_relay.core.clock import unix_time_ms
from message_relay.core.ports import Attempt, AttemptResult
from message_relay.core.scheduler_driver import SchedulerDriver
from message_relay.decisions.actions import Action, Fail, SetTimer, StartAttempt
from message_relay.decisions.events import AttemptCompleted, Event, TimerFired
from message_relay.decisions.model import Outcome
from message_relay.decisions.scheduler import DeliveryScheduler
from message_relay.http import outcome_notifier
from message_relay.http.agent import AgentClient as AgentLink
from message_relay.http.errors import AgentError
from message_relay.http.outcome_notifier import OutcomeNotifier
from message_relay.http.socket_state import is_socket_ready

from ..conftest import make_settings
from ..http.harness import RelayWithEndpoint
from ..loopback import Agent, Client, Server, answer, message, relay, run, until

NOTIFIED_WITHIN_S = 0.3  # an outcome arrives no later than this after its message's deadline


class UnresponsiveAgent:
    """An agent that does not answer its first `unanswered` requests; records the timeout of each of these."""

    def __init__(self, unanswered: int) -> None:
        self.unanswered, self.timeouts_s, self.request_count = unanswered, list[float](), 0

    async def request(self, method: str, target: str, body: bytes, timeout_s: float) -> tuple[int, bytes]:
        self.request_count += 1
        if self.request_count <= self.unanswered:
            self.timeouts_s.append(timeout_s)
            raise AgentError("no answer")
        return 204, b""


def test_an_outcome_on_a_silent_connection_is_sent_again_in_time() -> None:
    """With a fixed response timeout of 1 s each outcome of the unanswered batch was late."""

    async def work() -> None:
        agent, notified = UnresponsiveAgent(1), list[str]()
        notifier = OutcomeNotifier(agent, notified.extend)  # type: ignore[arg-type]
        notifier.add("m", "failed")
        task = asyncio.ensure_future(notifier.run())
        await until(lambda: notified == ["m"])
        task.cancel()
        assert (
            sum(agent.timeouts_s) + MAX_JITTER * outcome_notifier.MIN_BACKOFF_S < NOTIFIED_WITHIN_S / 1.5
        )  # leaves a third of the time

    run(work())


def test_the_timeout_for_a_slow_agent_grows_up_to_a_bound() -> None:
    async def work() -> None:
        agent, notified = UnresponsiveAgent(6), list[str]()
        notifier = OutcomeNotifier(agent, notified.extend)  # type: ignore[arg-type]
        notifier.add("m", "failed")
        task = asyncio.ensure_future(notifier.run())
        await until(lambda: notified == ["m"])
        task.cancel()
        assert agent.timeouts_s == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
        assert notifier.timeout_s == outcome_notifier.MIN_TIMEOUT_S  # reset by a fast response

    run(work())


def received_lines(agent: Agent) -> list[bytes]:
    return [line for seen in agent.seen for line in seen.body.splitlines()]


def test_an_agent_that_never_answers_in_time_gets_each_notification() -> None:
    """A request contained at most 200 notifications, always the oldest. An agent that took over 1 s
    to respond got the same ones again and again and never the others, whose clients got no outcome.
    """

    async def work() -> None:
        agent = await Agent().start()
        agent.script.extend([None] * 100)
        notifier = OutcomeNotifier(AgentLink(agent.address), lambda ids: None)
        message_ids = {f"m{n}" for n in range(outcome_notifier.MAX_BATCH_LINES + 50)}
        for message_id in sorted(message_ids):
            notifier.add(message_id, "failed")
        task = asyncio.ensure_future(notifier.run())
        await until(lambda: message_ids == {json.loads(line)["id"] for line in received_lines(agent)})
        task.cancel()
        notifier.agent.close()

    run(work())


def test_a_silent_connection_to_the_agent_is_replaced() -> None:
    """The same with real connections: the batch is sent again on a second one."""

    async def work() -> None:
        agent = Agent()
        await agent.start()
        agent.script += [None]
        notified = list[str]()
        notifier = OutcomeNotifier(AgentLink(agent.address), notified.extend)
        notifier.add("m", "failed")
        task = asyncio.ensure_future(notifier.run())
        await until(lambda: notified == ["m"])
        task.cancel()
        assert [seen.connection for seen in agent.seen] == [1, 2]
        notifier.agent.close()

    run(work())


def test_the_deadline_of_a_slowly_written_message_runs_from_its_last_byte(tmp_path: Path) -> None:
    """The protocol counts a request's time from its last byte; its client waits 0.4 s from then."""

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, Client(host.ingress.port) as client:
            request = message("m", left=5000)
            client.writer.write(request[:40])
            await until(lambda: any(not connection.is_idle for connection in host.ingress.connections))
            await asyncio.sleep(0.2)
            completed_at = unix_time_ms()
            client.writer.write(request[40:])
            assert await client.status() == 202
            entry = host.journal.entries["m"]
            assert (
                entry.accepted_at_ms >= completed_at
                and abs(entry.deadline_ms - entry.accepted_at_ms - 5000) < 1
            )

    run(work())


class ScriptedScheduler(DeliveryScheduler):
    """Returns the given actions at its first turn."""

    def __init__(self, *actions: Action) -> None:
        super().__init__(make_settings(), 1)
        self.actions = list(actions)

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions


def test_a_failing_action_affects_neither_later_actions_nor_the_timer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Without the guard all later actions of the turn were dropped, among them the timer of the next turn."""

    async def work() -> None:
        executed = list[Action]()

        def execute(action: Action) -> None:
            if isinstance(action, StartAttempt):
                raise KeyError(action.id)
            executed.append(action)

        driver = SchedulerDriver(
            ScriptedScheduler(StartAttempt(1, 2, 3.0), Fail(4), SetTimer(60_000.0, 0)), 5.0, execute
        )
        driver.feed(TimerFired(0))
        await until(lambda: driver.timer_handle is not None)
        assert executed == [Fail(4)] and "KeyError" in caplog.text
        driver.stop()

    with caplog.at_level(logging.ERROR):
        run(work())


def test_an_attempt_cancelled_as_it_starts_has_a_result(tmp_path: Path) -> None:
    """When the task was cancelled before its first step, the scheduler never got a result."""

    async def work() -> None:
        environment = RelayWithEndpoint(tmp_path)
        async with environment as host, Client(host.ingress.port) as client:
            environment.server.default_reply = None
            fed_events = list[Event]()
            start_attempt, feed = host.host.attempt_runner.start, host.driver.feed

            def start_and_cancel(number: int, endpoint: int, until_ms: float) -> None:
                start_attempt(number, endpoint, until_ms)
                cancel = host.accepted[number].cancel
                assert cancel is not None
                cancel()

            def record_event(event: Event) -> None:
                fed_events.append(event)
                feed(event)

            host.host.attempt_runner.start = start_and_cancel  # type: ignore[method-assign]
            host.driver.feed = record_event  # type: ignore[method-assign]
            assert await client.send(message("m")) == 202
            await until(lambda: any(isinstance(fed, AttemptCompleted) for fed in fed_events))
            outcome = next(fed for fed in fed_events if isinstance(fed, AttemptCompleted))
            assert outcome.outcome is Outcome.CANCELLED

    run(work())


def test_a_message_submitted_twice_before_a_sync_survives_the_loss_of_one_connection(
    tmp_path: Path,
) -> None:
    """When a repeated submission was answered at once, its client got a 202 before the message was durable,
    and the message was cancelled when the first connection was lost."""

    async def work() -> None:
        environment = RelayWithEndpoint(tmp_path)
        async with environment as host:
            sync = asyncio.get_running_loop().create_future()
            host.journal.barrier = lambda: sync  # type: ignore[method-assign]
            environment.server.hold = asyncio.Event()
            async with Client(host.ingress.port) as first, Client(host.ingress.port) as again:
                first.writer.write(message("m"))
                await until(lambda: "m" in host.journal.entries)
                first_connection = next(
                    connection for connection in host.ingress.connections if connection.unsent_ids
                )
                again.writer.write(message("m"))
                await until(
                    lambda: sum(len(connection.unsent_ids) for connection in host.ingress.connections) == 2
                )
                first.writer.transport.abort()
                await until(lambda: is_socket_ready(first_connection.transport, select.POLLRDHUP))
                sync.set_result(None)
                assert await again.status() == 202
                assert "m" in host.journal.entries
                environment.server.hold.set()
                await until(lambda: host.journal.entries["m"].final_state == "delivered")

    run(work())


@pytest.mark.parametrize("unfinished", ("a notice that is not taken", "a call that is out"))
def test_work_left_unfinished_by_a_stop_is_finished_by_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, unfinished: str
) -> None:
    """The process exits at the stop deadline with work unfinished: SIGKILL follows 0.3 s later."""
    for name, seconds in (
        ("ACCEPT_AFTER_STOP_S", 0.02),
        ("ATTEMPTS_DEADLINE_S", 0.2),
        ("STOP_DEADLINE_S", 0.3),
    ):
        monkeypatch.setattr(core_host, name, seconds)

    async def work() -> None:
        state, agent, server = tmp_path / "state", await Agent().start(), await Server().start()
        state.mkdir()
        agent.silent, loop = True, asyncio.get_running_loop()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            server.default_reply = None if unfinished == "a call that is out" else answer(500)
            agent.script += [None] * 100
            assert await client.send(message("m", "unsafe")) == 202
            await until(lambda: bool(server.seen))
            if server.default_reply is not None:
                await until(lambda: host.host.pending_outcomes == 1)
            started_at = loop.time()
            await host.stop()
            # It does not wait for connections that are stuck.
            assert loop.time() - started_at < core_host.STOP_DEADLINE_S + 3.0
            assert host.journal.entries["m"].is_unfinished
        agent.script.clear()
        async with relay(state, agent, server) as host:
            assert (await agent.notices.get())["state"] == "failed"
            await until(lambda: host.journal.entries["m"].is_notified)
        assert len(server.seen) == 1

    run(work())


def test_an_attempt_cancelled_before_its_first_byte_leaves_its_message_unattempted(
    tmp_path: Path,
) -> None:
    """When the scheduler still handled the results of cancelled attempts, it failed unsafe messages. That
    depended on the time since its latest turn."""

    async def work() -> None:
        state, agent, server = tmp_path / "state", await Agent().start(), await Server().start()
        state.mkdir()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            attempt_started = asyncio.Event()

            async def attempt(attempt: Attempt) -> AttemptResult:
                attempt_started.set()
                await asyncio.Event().wait()  # its connection is never established
                raise AssertionError

            host.host.transport.attempt = attempt  # type: ignore[method-assign]
            assert await client.send(message("m", "unsafe")) == 202
            await attempt_started.wait()
            await until(lambda: host.now() > host.driver.last_turn_ms + 2 * host.settings.tick_ms)
        assert host.journal.entries["m"].final_state == ""
        async with relay(state, agent, server) as host:
            await until(lambda: host.journal.entries["m"].final_state == "delivered")
        assert len(server.seen) == 1

    run(work())
