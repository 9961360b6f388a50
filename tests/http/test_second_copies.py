"""Second copies of answers, which arrive some time after the answer: none is taken for the next answer."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from benchmarks import second_copies
from message_relay.decisions.model import Outcome
from message_relay.http import connection
from message_relay.http.agent import AgentClient
from message_relay.http.connection_pool import ConnectionPool

from ..loopback import Agent, Seen, Server, answer, listing, relay, run, until
from .harness import make_attempt, make_client

TEST_REST_S = 30.0  # longer than any test, and below the idle limit
DELAYS_S = (0.0, 0.005, 0.1)  # of the second copy, after the answer
PLAY_DELAYS_MS = (None, 0.0, 5.0, 25.0, 100.0, 400.0)


@pytest.fixture(autouse=True)
def rest_s(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections rest for longer than any test, unless it makes them rested."""
    monkeypatch.setattr(connection, "REST_S", TEST_REST_S)


def let_rest(pool: ConnectionPool) -> None:
    """Makes all idle connections of a pool rested, without waiting."""
    for idle in pool.idle_by_age:
        idle.idle_since -= TEST_REST_S


class CopyingServer(Server):
    """Writes a copy of its first answer `delay_s` after it; other answers wait until it is written."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self.delay_s = delay_s
        self.copy_written = asyncio.Event()

    async def reply(self, seen: Seen) -> bytes | None | str:
        is_first = not self.seen
        if not is_first:
            await self.copy_written.wait()
        reply = await super().reply(seen)
        if is_first:
            asyncio.get_running_loop().call_later(self.delay_s, self._write_copy, reply)
        return reply

    def _write_copy(self, reply: bytes | str | None) -> None:
        """Writes the copy; runs after the answer itself was written."""
        assert isinstance(reply, bytes)
        if not self.writers[0].is_closing():
            self.writers[0].write(reply)
        self.copy_written.set()


@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize(
    ("first", "second", "outcome"),
    [
        (200, 503, Outcome.FULL),  # a copy of the 200 would lose the message
        (503, 200, Outcome.OK),  # a copy of the 503 would have it sent again, while it is out
        (503, 500, Outcome.ERROR),  # or after it may have run
    ],
)
def test_second_copy_is_not_the_answer_to_the_next_attempt(
    delay_s: float, first: int, second: int, outcome: Outcome
) -> None:
    """Guards against a lost message and a second effect: a connection that is used again before the copy
    of its latest answer arrives gives the copy to the next attempt."""

    async def work() -> None:
        server, client = await CopyingServer(delay_s).start(), make_client()
        server.script.extend([answer(first), answer(second)])
        await client.attempt(make_attempt(server.address))
        assert (await client.attempt(make_attempt(server.address))).outcome is outcome
        await until(server.readers[0].at_eof)  # the connection with the copy is closed

    run(work())


def test_connection_is_reused_once_it_has_rested() -> None:
    async def work() -> None:
        server, client = await Server().start(), make_client()
        for _ in range(5):
            assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
            let_rest(client.pool)
        assert server.opened == 1
        for _ in range(2):
            assert (await client.attempt(make_attempt(server.address))).outcome is Outcome.OK
        assert server.opened == 2

    run(work())


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_second_copy_does_not_confirm_the_next_request_to_the_agent(delay_s: float) -> None:
    """Guards against lost notifications: a copy of the 204 would confirm one that the agent refused."""

    async def work() -> None:
        server = await CopyingServer(delay_s).start()
        server.script.extend([b"HTTP/1.1 204 No Content\r\n\r\n", answer(400)])
        agent = AgentClient(server.address)
        statuses = [(await agent.request("POST", "/v1/outcomes", b"{}", 20.0)).status for _ in range(2)]
        assert statuses == [204, 400]
        await until(server.readers[0].at_eof)
        let_rest(agent.pool)
        assert (await agent.request("POST", "/v1/outcomes", b"{}", 20.0)).status == 200
        assert server.opened == 2
        agent.close()

    run(work())


def test_second_copy_of_a_list_does_not_undo_a_later_one(tmp_path: Path) -> None:
    """Guards against calls to a draining endpoint: a copy of the list before it, which comes after it, was
    taken for the answer to the next watch. A lower version is valid: an agent may number its lists anew."""

    async def work() -> None:
        (tmp_path / "state").mkdir()
        agent, endpoint = Agent(), Server()
        await agent.start()
        await endpoint.start()
        async with relay(tmp_path / "state", agent, endpoint) as host:
            older = listing(endpoint, generation=2)
            agent.publish(older)
            await until(lambda: host.register.version == 2)
            agent.publish(listing(endpoint, generation=3, state="draining"))
            await until(lambda: host.register.version == 3 and len(agent.seen) == 3)
            agent.writers[agent.seen[0].connection - 1].write(answer(200, body=json.dumps(older)))
            await until(lambda: host.register.version == 2 or agent.readers[0].at_eof())
            assert host.register.version == 3
            assert not host.relay.endpoints  # it drains

    run(work())


def test_relay_breaks_no_rule_while_answers_have_second_copies() -> None:
    """Real processes. Before connections rested, each copy that came 5 ms after its answer or later lost
    messages, and from 25 ms on had some sent while they were out, and again after they had run."""
    rows = asyncio.run(second_copies.play_all(list(PLAY_DELAYS_MS), 4.0, 1, None))
    for row in rows:
        assert not any(row[rule] for rule in second_copies.RULES), row
        assert row["delivered"] > 0.8 * row["accepted"] > 100 and (
            row["copies"] > 50 or row["delay"] == "none"
        )
