"""Background tasks that wait in a loop end when they are cancelled."""

from __future__ import annotations

import asyncio

from message_relay.core.tasks import BackgroundTasks, wait_for_event


def test_a_task_cancelled_in_the_same_iteration_as_its_event_ends() -> None:
    async def work() -> None:
        event, tasks = asyncio.Event(), BackgroundTasks()

        async def loop() -> None:
            while True:
                event.clear()
                assert await wait_for_event(event, 5.0)

        tasks.start(loop())
        await asyncio.sleep(0.01)
        event.set()
        await asyncio.sleep(0)
        async with asyncio.timeout(2.0):
            await tasks.cancel()
        assert not tasks.running
        assert not await wait_for_event(asyncio.Event(), 0.01)

    asyncio.run(work())
