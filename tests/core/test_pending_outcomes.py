"""Windows in which a message that was tried once could be left without an end in its time: each order is
made to happen. docs/design/endings.md lists them."""

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


class Silent:
    """An agent whose first connections take a batch and say nothing; how long that cost is counted."""

    def __init__(self, silent: int) -> None:
        self.silent, self.waited, self.asked = silent, list[float](), 0

    async def request(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        self.asked += 1
        if self.asked <= self.silent:
            self.waited.append(seconds)
            raise AgentError("no answer")
        return 204, b""


def test_an_outcome_on_a_silent_connection_is_sent_again_in_time() -> None:
    """Seen to fail where the agent's answer was waited for 1 s: each end in that batch came too late."""

    async def work() -> None:
        agent, told = Silent(1), list[str]()
        notices = OutcomeNotifier(agent, told.extend)  # type: ignore[arg-type]
        notices.add("m", "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: told == ["m"])
        task.cancel()
        assert (
            sum(agent.waited) + MAX_JITTER * outcome_notifier.MIN_BACKOFF_S < NOTIFIED_WITHIN_S / 1.5
        )  # a half is left for all else

    run(work())


def test_the_timeout_for_a_slow_agent_grows_up_to_a_bound() -> None:
    async def work() -> None:
        agent, told = Silent(6), list[str]()
        notices = OutcomeNotifier(agent, told.extend)  # type: ignore[arg-type]
        notices.add("m", "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: told == ["m"])
        task.cancel()
        assert agent.waited == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
        assert notices.timeout_s == outcome_notifier.MIN_TIMEOUT_S  # it answers at once again

    run(work())


def lines_sent(agent: Agent) -> list[bytes]:
    return [line for seen in agent.seen for line in seen.body.splitlines()]


def test_an_agent_that_never_answers_in_time_gets_each_notification() -> None:
    """What happened: a request holds 200 notifications at most, always the oldest. An agent that took over
    1 s for its answer got these again and again, and no other: their clients never had an end.
    """

    async def work() -> None:
        agent = await Agent().start()
        agent.script.extend([None] * 100)
        notices = OutcomeNotifier(AgentLink(agent.address), lambda ids: None)
        names = {f"m{n}" for n in range(outcome_notifier.MAX_BATCH_LINES + 50)}
        for name in sorted(names):
            notices.add(name, "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: names == {json.loads(line)["id"] for line in lines_sent(agent)})
        task.cancel()
        notices.agent.close()

    run(work())


def test_a_silent_connection_to_the_agent_is_replaced() -> None:
    """The same on real connections: the second batch goes out on a second one."""

    async def work() -> None:
        agent = Agent()
        await agent.start()
        agent.script += [None]
        told = list[str]()
        notices = OutcomeNotifier(AgentLink(agent.address), told.extend)
        notices.add("m", "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: told == ["m"])
        task.cancel()
        assert [seen.connection for seen in agent.seen] == [1, 2]
        notices.agent.close()

    run(work())


def test_the_deadline_of_a_slowly_written_message_runs_from_its_last_byte(tmp_path: Path) -> None:
    """As the protocol page says of a request's time. Its client's answer comes after it, in its own 0.4 s."""

    async def work() -> None:
        async with RelayWithEndpoint(tmp_path) as host, Client(host.ingress.port) as client:
            text = message("m", left=5000)
            client.writer.write(text[:40])
            await until(lambda: any(not each.is_idle for each in host.ingress.connections))
            await asyncio.sleep(0.2)
            whole = unix_time_ms()
            client.writer.write(text[40:])
            assert await client.status() == 202
            entry = host.journal.entries["m"]
            assert entry.accepted_at_ms >= whole and abs(entry.deadline_ms - entry.accepted_at_ms - 5000) < 1

    run(work())


class Scripted(DeliveryScheduler):
    """Says what it is told to."""

    def __init__(self, *acts: Action) -> None:
        super().__init__(make_settings(), 1)
        self.acts = list(acts)

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        acts, self.acts = self.acts, []
        return acts


def test_a_failing_action_affects_neither_later_actions_nor_the_timer(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Seen to fail without the guard: all that stood behind it was dropped, and nothing woke the module."""

    async def work() -> None:
        done = list[Action]()

        def act(action: Action) -> None:
            if isinstance(action, StartAttempt):
                raise KeyError(action.id)
            done.append(action)

        turns = SchedulerDriver(Scripted(StartAttempt(1, 2, 3.0), Fail(4), SetTimer(60_000.0, 0)), 5.0, act)
        turns.feed(TimerFired(0))
        await until(lambda: turns.timer_handle is not None)
        assert done == [Fail(4)] and "KeyError" in caplog.text
        turns.stop()

    with caplog.at_level(logging.ERROR):
        run(work())


def test_an_attempt_cancelled_as_it_starts_has_a_result(tmp_path: Path) -> None:
    """Seen to fail where its task was cancelled before its first step: the module never heard of it."""

    async def work() -> None:
        world = RelayWithEndpoint(tmp_path)
        async with world as host, Client(host.ingress.port) as client:
            world.server.usual = None
            ended = list[Event]()
            begin, feed = host.host.attempt_runner.start, host.turns.feed

            def at_once(number: int, endpoint: int, until_ms: float) -> None:
                begin(number, endpoint, until_ms)
                cancel = host.held[number].cancel
                assert cancel is not None
                cancel()

            def heard(event: Event) -> None:
                ended.append(event)
                feed(event)

            host.host.attempt_runner.start = at_once  # type: ignore[method-assign]
            host.turns.feed = heard  # type: ignore[method-assign]
            assert await client.ask(message("m")) == 202
            await until(lambda: any(isinstance(each, AttemptCompleted) for each in ended))
            outcome = next(each for each in ended if isinstance(each, AttemptCompleted))
            assert outcome.outcome is Outcome.CANCELLED

    run(work())


def test_a_message_submitted_twice_before_a_sync_stays_for_the_client_that_was_answered(
    tmp_path: Path,
) -> None:
    """Seen to fail where a repeat was answered at once: it was told that it is taken on before that outlasted
    a power cut, and when the first connection went, the message went with it."""

    async def work() -> None:
        world = RelayWithEndpoint(tmp_path)
        async with world as host:
            sync = asyncio.get_running_loop().create_future()
            host.journal.barrier = lambda: sync  # type: ignore[method-assign]
            world.server.hold = asyncio.Event()
            async with Client(host.ingress.port) as first, Client(host.ingress.port) as again:
                first.writer.write(message("m"))
                await until(lambda: "m" in host.journal.entries)
                begun = next(each for each in host.ingress.connections if each.unsent_ids)
                again.writer.write(message("m"))
                await until(lambda: sum(len(each.unsent_ids) for each in host.ingress.connections) == 2)
                first.writer.transport.abort()
                await until(lambda: is_socket_ready(begun.transport, select.POLLRDHUP))
                sync.set_result(None)
                assert await again.status() == 202
                assert "m" in host.journal.entries
                world.server.hold.set()
                await until(lambda: host.journal.entries["m"].final_state == "delivered")

    run(work())


@pytest.mark.parametrize("what", ("a notice that is not taken", "a call that is out"))
def test_what_is_pending_at_the_end_of_a_stop_is_done_by_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, what: str
) -> None:
    """The process goes when its drain is over, whatever is still undone: SIGKILL comes 0.3 s later."""
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
            server.usual = None if what == "a call that is out" else answer(500)
            agent.script += [None] * 100
            assert await client.ask(message("m", "unsafe")) == 202
            await until(lambda: bool(server.seen))
            if server.usual is not None:
                await until(lambda: host.host.pending_outcomes == 1)
            begun = loop.time()
            await host.stop()
            assert loop.time() - begun < core_host.STOP_DEADLINE_S + 3.0  # it does not wait for what hangs
            assert host.journal.entries["m"].is_unfinished
        agent.script.clear()
        async with relay(state, agent, server) as host:
            assert (await agent.notices.get())["state"] == "failed"
            await until(lambda: host.journal.entries["m"].is_notified)
        assert len(server.seen) == 1

    run(work())


def test_an_attempt_cut_off_before_its_first_byte_leaves_its_message_untried(
    tmp_path: Path,
) -> None:
    """Seen to fail where the module still decided on the outcome, and so failed what must not run twice: that
    depended on how long ago its latest turn was."""

    async def work() -> None:
        state, agent, server = tmp_path / "state", await Agent().start(), await Server().start()
        state.mkdir()
        async with relay(state, agent, server) as host, Client(host.ingress.port) as client:
            began = asyncio.Event()

            async def attempt(attempt: Attempt) -> AttemptResult:
                began.set()
                await asyncio.Event().wait()  # its connection never comes up
                raise AssertionError

            host.host.transport.attempt = attempt  # type: ignore[method-assign]
            assert await client.ask(message("m", "unsafe")) == 202
            await began.wait()
            await until(lambda: host.now() > host.turns.last_turn_ms + 2 * host.settings.tick_ms)
        assert host.journal.entries["m"].final_state == ""
        async with relay(state, agent, server) as host:
            await until(lambda: host.journal.entries["m"].final_state == "delivered")
        assert len(server.seen) == 1

    run(work())
