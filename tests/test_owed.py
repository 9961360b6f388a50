"""Windows in which a message that was tried once could be left without an end in its time: each order is
made to happen. docs/design/endings.md lists them."""

from __future__ import annotations

import asyncio


from linnetstile.core.growing import MOST
from linnetstile.http import notices as http_notices
from linnetstile.http.agent import Agent as AgentLink
from linnetstile.http.agent import AgentError
from linnetstile.http.notices import Notices

from .loopback import Agent, run, until

OWED_S = 0.3  # an end comes no later after its message's time


class Silent:
    """An agent whose first connections take a batch and say nothing; how long that cost is counted."""

    def __init__(self, silent: int) -> None:
        self.silent, self.waited, self.asked = silent, list[float](), 0

    async def ask(self, method: str, target: str, body: bytes, seconds: float) -> tuple[int, bytes]:
        self.asked += 1
        if self.asked <= self.silent:
            self.waited.append(seconds)
            raise AgentError("no answer")
        return 204, b""


def test_a_notice_on_a_connection_that_has_fallen_silent_is_sent_anew_in_its_time() -> None:
    """Seen to fail where the agent's answer was waited for 1 s: each end in that batch came too late."""
    async def work() -> None:
        agent, told = Silent(1), list[str]()
        notices = Notices(agent, told.extend)  # type: ignore[arg-type]
        notices.add("m", "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: told == ["m"])
        task.cancel()
        assert sum(agent.waited) + MOST * http_notices.PAUSE_S < OWED_S / 1.5  # a half is left for all else
    run(work())


def test_a_slow_agent_is_waited_for_longer_and_longer_and_not_for_good() -> None:
    async def work() -> None:
        agent, told = Silent(6), list[str]()
        notices = Notices(agent, told.extend)  # type: ignore[arg-type]
        notices.add("m", "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: told == ["m"])
        task.cancel()
        assert agent.waited == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
        assert notices.patience == http_notices.ANSWER_S  # it answers at once again
    run(work())


def test_a_silent_connection_to_the_agent_is_left_for_another() -> None:
    """The same on real connections: the second batch goes out on a second one."""
    async def work() -> None:
        agent = Agent()
        await agent.start()
        agent.script += [None]
        told = list[str]()
        notices = Notices(AgentLink(agent.address), told.extend)
        notices.add("m", "failed")
        task = asyncio.ensure_future(notices.run())
        await until(lambda: told == ["m"])
        task.cancel()
        assert [seen.connection for seen in agent.seen] == [1, 2]
        notices.agent.close()
    run(work())
