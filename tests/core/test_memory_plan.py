"""The shares of a memory limit, and the limits that follow from them."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from message_relay import config, memory_watch
from message_relay.composition import compose
from message_relay.config import ConfigError
from message_relay.core.clock import unix_time_ms
from message_relay.core.memory_plan import (
    BYTES_PER_MB,
    CLIENT_BYTES,
    ENDPOINT_BYTES,
    MIN_SPARE_BYTES,
    WARM_UP_BYTES,
    InsufficientMemoryError,
    plan_memory,
)
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry

from ..loopback import Agent, Client, Server, message, raw_config, relay, run, until

USED_BYTES = 22 * BYTES_PER_MB


@given(
    limit_mb=st.floats(27, 2000),
    disk_bytes=st.integers(1, 1 << 31),
    max_clients=st.integers(1, 1024),
    endpoint_count=st.integers(0, 4000),
)
def test_all_shares_together_stay_within_the_limit(
    limit_mb: float, disk_bytes: int, max_clients: int, endpoint_count: int
) -> None:
    plan = plan_memory(limit_mb, USED_BYTES, disk_bytes, max_clients, files_count=True)
    messages_bytes = plan.messages_bytes_beside(endpoint_count)
    lists_bytes = max(plan.lists_bytes, endpoint_count * ENDPOINT_BYTES)
    shares = (
        plan.files_bytes,
        plan.max_clients * CLIENT_BYTES,
        plan.input_bytes,
        lists_bytes,
        messages_bytes,
    )
    assert plan.program_bytes + sum(shares) <= plan.limit_bytes
    assert plan.messages_bytes > 0 and plan.max_clients >= 1


def test_at_the_least_memory_of_the_pages_hundreds_of_clients_and_messages_have_room() -> None:
    plan = plan_memory(32, USED_BYTES, 3_000_000, 766, files_count=True)
    assert plan.max_clients >= 700 and plan.messages_bytes >= 1_500_000 and plan.input_bytes >= 10 * 65536


def test_a_limit_that_the_program_alone_exceeds_is_refused_with_one_that_would_do() -> None:
    too_small = (USED_BYTES + WARM_UP_BYTES + MIN_SPARE_BYTES) / BYTES_PER_MB
    with pytest.raises(InsufficientMemoryError, match=r"limits\.memory_mb is 25: the program needs about 26"):
        plan_memory(25, USED_BYTES, 3_000_000, 766, files_count=True)
    plan_memory(too_small, USED_BYTES, 3_000_000, 766, files_count=True)


def test_the_status_and_the_log_name_what_holds_the_memory(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing said who held the memory of a process that passed its limit."""
    monkeypatch.setattr(memory_watch, "CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(memory_watch, "resident_bytes", lambda: 950 * BYTES_PER_MB)
    caplog.set_level("INFO")

    async def work() -> None:
        server, agent = await Server().start(), await Agent().start()
        (tmp_path / "state").mkdir()
        limits = {"memory_mb": 1000, "sockets": 256, "disk_mb": 3}
        async with relay(tmp_path / "state", agent, server, limits=limits) as host:
            watch = host.parts.memory_watch
            assert watch is not None
            watch.log_plan()
            task = asyncio.ensure_future(watch.run())
            async with Client(host.ingress.port) as client:
                assert await client.send(message("m")) == 202
                shares = watch.shares()
                await until(lambda: "memory close to its limit" in caplog.text)
            task.cancel()
        assert set(shares) == {"files", "clients", "input", "lists", "messages"}
        assert all(0 <= share.used_bytes <= share.limit_bytes for share in shares.values())
        assert shares["messages"].used_bytes > 0 and shares["clients"].used_bytes == CLIENT_BYTES

    run(work())
    assert "memory plan limit=1000000000" in caplog.text and "resident=950000000" in caplog.text


def test_a_large_process_that_embeds_a_relay_does_not_count_as_its_program(tmp_path: Path) -> None:
    """A test process of 190 MB was taken for the program, and refused 192 MB as too little for it."""

    async def work() -> None:
        server = await Server().start()
        (tmp_path / "state").mkdir()
        raw = raw_config(tmp_path / "state", server, limits={"memory_mb": 32, "sockets": 256, "disk_mb": 3})
        (tmp_path / "config.json").write_text(json.dumps(raw))
        parts = compose(config.load({"RELAY_CONFIG": str(tmp_path / "config.json")}))
        assert parts.memory is not None and parts.memory.program_bytes < 27 * BYTES_PER_MB
        await parts.relay.close()

    run(work())


def test_a_folder_above_its_share_still_finishes_its_messages(tmp_path: Path) -> None:
    """With less memory than the process before, no record could be written any more."""

    async def work() -> None:
        server, agent, state = await Server().start(), await Agent().start(), tmp_path / "state"
        state.mkdir()
        journal, now = Journal(state, 2_900_000), unix_time_ms()
        for number in range(35):
            body = bytes(60_000)
            journal.append_accepted(
                JournalEntry(f"m{number}", "safe", "t", 7, None, now, now + 30_000, "", body)
            )
        journal.close()
        limits = {"memory_mb": 32, "sockets": 256, "disk_mb": 3}
        async with relay(state, agent, server, limits=limits) as host:
            entries = list(host.journal.entries.values())
            assert len(entries) == 35
            await until(lambda: all(entry.final_state == "delivered" for entry in entries))

    run(work())


def test_a_process_with_too_small_a_limit_does_not_start(tmp_path: Path) -> None:
    async def work() -> None:
        server = await Server().start()
        (tmp_path / "state").mkdir()
        raw = raw_config(tmp_path / "state", server, limits={"memory_mb": 25, "sockets": 256, "disk_mb": 3})
        (tmp_path / "config.json").write_text(json.dumps(raw))
        with pytest.raises(ConfigError, match=r"limits\.memory_mb"):
            compose(config.load({"RELAY_CONFIG": str(tmp_path / "config.json")}))

    run(work())
