"""The program as a process: signals, exit codes, and SIGKILL at different times."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shlex
import signal
import socket
import subprocess
import sys
import tomllib
from collections import deque
from pathlib import Path
from typing import Any

import pytest

from message_relay.store.journal import Journal

from ..loopback import Agent, Client, Server, answer, listing, message, raw_config, run, until

ROOT = Path(__file__).parents[2]


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Process:
    """`python -m message_relay`, which can be restarted with the same folder and port."""

    def __init__(self, folder: Path, agent: Agent, *servers: Server) -> None:
        self.port, self.config, self.state = free_port(), folder / "config.json", folder / "state"
        self.state.mkdir()
        self.raw = raw_config(self.state, agent, *servers, listen=f"127.0.0.1:{self.port}")
        self.configure()

    def configure(self, **overrides: Any) -> None:
        self.config.write_text(json.dumps({**self.raw, **overrides}))

    async def start(self, **variables: str) -> None:
        env = {**os.environ, "RELAY_CONFIG": str(self.config), **variables}
        self.process = await asyncio.create_subprocess_exec(sys.executable, "-m", "message_relay", env=env)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        while True:
            try:
                async with Client(self.port) as client:
                    assert await client.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") == 200
                    return
            except OSError:
                assert self.process.returncode is None
                await asyncio.sleep(0.02)

    async def stop(self, signal_number: signal.Signals) -> int:
        self.process.send_signal(signal_number)
        return await self.process.wait()

    async def submit(self, *requests: bytes) -> None:
        async with Client(self.port) as client:
            for request in requests:
                assert await client.send(request) == 202


async def start_environment(folder: Path) -> tuple[Agent, Server, Process]:
    agent, server = Agent(), Server()
    await agent.start()
    await server.start()
    return agent, server, Process(folder, agent, server)


def test_a_kill_with_attempts_in_flight_retries_only_what_is_safe_to_retry(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server, process = await start_environment(tmp_path)
        server.default_reply = None
        await process.start()
        await process.submit(message("u", "unsafe"), message("s", "safe"))
        in_flight = {(await server.arrivals.get()).headers["x-trace-id"] for _ in range(2)}
        assert in_flight == {"u", "s"} and await process.stop(signal.SIGKILL) == -signal.SIGKILL
        server.default_reply = answer(200)
        await process.start()
        assert await agent.notices.get() == {"id": "u", "state": "failed"}
        assert (await server.arrivals.get()).headers["x-trace-id"] == "s"
        assert await process.stop(signal.SIGTERM) == 0
        assert len(server.seen) == 3 and agent.notices.empty()

    run(work())


def test_a_kill_right_after_the_response_loses_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        _, server, process = await start_environment(tmp_path)
        for number in range(3):
            await process.start()
            await process.submit(message(f"m{number}"))
            await process.stop(signal.SIGKILL)
        await process.start()
        await until(lambda: {seen.headers["x-trace-id"] for seen in server.seen} == {"m0", "m1", "m2"})
        await process.stop(signal.SIGTERM)
        assert all(
            entry.final_state == "delivered" for entry in Journal(process.state, 3_000_000).entries.values()
        )

    run(work())


def test_an_unsent_outcome_is_sent_after_a_kill(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server, process = await start_environment(tmp_path)
        server.default_reply = answer(500)
        agent.script.extend([answer(503)] * 100)
        await process.start()
        await process.submit(message("u", "unsafe"))
        await until(lambda: len(agent.script) < 100)
        await process.stop(signal.SIGKILL)
        agent.script.clear()
        await process.start()
        assert await agent.notices.get() == {"id": "u", "state": "failed"}
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


def test_sigterm_waits_for_an_attempt_in_flight(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server, process = await start_environment(tmp_path)
        server.hold = asyncio.Event()
        await process.start()
        await process.submit(message("u", "unsafe"))
        await server.arrivals.get()
        process.process.send_signal(signal.SIGTERM)
        await process.submit(message("v", "unsafe"))  # clients still connect for a while
        await server.arrivals.get()
        server.hold.set()
        assert await process.process.wait() == 0
        assert {
            message_id: entry.final_state
            for message_id, entry in Journal(process.state, 3_000_000).entries.items()
        } == {
            "u": "delivered",
            "v": "delivered",
        }
        assert len(server.seen) == 2 and agent.notices.empty()

    run(work())


def test_sigterm_ends_an_idle_relay_with_0(tmp_path: Path) -> None:
    async def work() -> None:
        _, _, process = await start_environment(tmp_path)
        await process.start()
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


def test_sighup_moves_watches_and_notifications_to_the_new_agent(tmp_path: Path) -> None:
    """Guards against a process that ends on SIGHUP, or that keeps waiting for the former agent."""

    async def work() -> None:
        old, server, process = await start_environment(tmp_path)
        server.default_reply, old.script = (
            answer(500),
            deque([None] * 100),
        )  # the old agent acknowledges nothing
        await process.start(RELAY_DISCOVERY="{}:{}".format(*old.address))  # ignored after the reload
        await process.submit(message("u", "unsafe"))
        await until(lambda: len(old.script) < 100)  # its notification was sent, and is never acknowledged
        other = await Server().start()
        for new in (Agent(script=deque([None] * 100)), Agent()):  # the first acknowledges none either
            await new.start()
            new.publish(listing(other, generation=1))
            process.configure(discovery="{}:{}".format(*new.address))
            process.process.send_signal(signal.SIGHUP)
            await until(lambda: len(new.seen) > 1)  # noqa: B023
            # The full list is requested: versions are local to an agent.
            assert "/v1/servers" in [seen.target for seen in new.seen]
        assert await new.notices.get() == {"id": "u", "state": "failed"}
        await until(old.is_disconnected)
        await process.submit(message("v"))
        assert (await other.arrivals.get()).headers["x-trace-id"] == "v"
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


def test_sighup_with_an_invalid_file_or_while_stopping_has_no_other_effect(tmp_path: Path) -> None:
    async def work() -> None:
        agent, server, process = await start_environment(tmp_path)
        server.hold = asyncio.Event()
        await process.start()
        valid = process.config.read_text()
        for invalid in ("{", "[]", json.dumps({**json.loads(valid), "discovery": "nowhere"})):
            process.config.write_text(invalid)
            process.process.send_signal(signal.SIGHUP)
        agent.publish(listing(server, generation=5))
        await until(lambda: any("from=5" in seen.target for seen in agent.seen))  # still the old agent
        await process.submit(message("m", "unsafe"))
        await server.arrivals.get()
        process.process.send_signal(signal.SIGTERM)
        new = await Agent().start()
        process.configure(discovery="{}:{}".format(*new.address))
        process.process.send_signal(signal.SIGHUP)
        await until(lambda: bool(new.seen))
        server.script.append(answer(500))
        server.hold.set()
        assert await new.notices.get() == {"id": "m", "state": "failed"}
        assert await process.process.wait() == 0

    run(work())


def run_command() -> list[str]:
    """Returns the command with which the platform starts the program."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ["/bin/sh", "-c", str(deploy["run"]).replace(".venv/bin/python", sys.executable)]


def unit_command(template: str) -> list[str]:
    """Returns the command with which the service manager starts the program."""
    text = (ROOT / "deploy" / "systemd" / f"{template}@.service").read_text()
    command = re.search(r"^ExecStart=(.*)$", text, re.MULTILINE)
    assert command is not None
    return shlex.split(command[1].replace("/opt/linnetstile/.venv/bin/python", sys.executable))


async def start_and_signal(process: Process, command: list[str], signal_number: signal.Signals) -> None:
    """Starts the program and sends a signal at once, long before it can install a handler."""
    env = {**os.environ, "RELAY_CONFIG": str(process.config)}
    process.process = await asyncio.create_subprocess_exec(*command, env=env, cwd=ROOT)
    cmdline = Path(f"/proc/{process.process.pid}/cmdline")
    await until(lambda: cmdline.read_bytes().endswith(b"-m\0message_relay\0"))
    process.process.send_signal(signal_number)


@pytest.mark.parametrize(
    "command",
    (run_command(), unit_command("message-relay"), unit_command("message-relay4")),
    ids=("run", "unit", "unit4"),
)
def test_sighup_right_after_the_start_does_not_end_the_process(tmp_path: Path, command: list[str]) -> None:
    """A SIGHUP in the first 200 ms, before the handler was installed, terminated the program with -1 and
    without output. The configuration is read after the handler is installed, so that no change is missed.
    """

    async def work() -> None:
        old, _, process = await start_environment(tmp_path)
        new = await Agent().start()
        process.configure(discovery="{}:{}".format(*new.address))
        await start_and_signal(process, command, signal.SIGHUP)
        await until(lambda: bool(new.seen) or process.process.returncode is not None)
        assert process.process.returncode is None and not old.seen
        await process.wait_until_ready()
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


def test_sigterm_right_after_the_start_leaves_no_files(tmp_path: Path) -> None:
    async def work() -> None:
        _, _, process = await start_environment(tmp_path)
        await start_and_signal(process, run_command(), signal.SIGTERM)
        assert await process.process.wait() in (0, -signal.SIGTERM)
        assert not list(process.state.iterdir())
        await process.start()
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"listen": "nowhere"}, "HOST:PORT"),
        ({"settings": {}}, "settings"),
        ({"settings": None}, "config.json"),
        ({"seed": "xyz"}, "config.json"),
        ({"state": ""}, "state is missing"),
        (
            {"limits": {"memory_mb": 24.05}},
            "holding 20 messages needs about 24 MB, and limits.memory_mb is 24.05: hold 12 at most",
        ),
        ({"limits": {"memory_mb": "much"}}, "config.json"),
        (None, "config.json"),
    ],
)
def test_invalid_configuration_prints_one_line_and_exits_with_2(
    tmp_path: Path, change: dict[str, Any] | None, expected: str
) -> None:
    path = tmp_path / "config.json"
    if change is not None:
        raw = raw_config(tmp_path, Agent(address=("127.0.0.1", 1)))
        path.write_text(json.dumps({**raw, **change}))
    env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    process = subprocess.run(
        [sys.executable, "-m", "message_relay"],
        capture_output=True,
        text=True,
        timeout=60,
        env={**env, "RELAY_CONFIG": str(path)},
    )
    assert process.returncode == 2 and process.stderr.count("\n") == 1
    assert expected in process.stderr and "Traceback" not in process.stderr


def test_a_locked_state_folder_is_not_used(tmp_path: Path) -> None:
    """Two processes that write to one journal would each undo what the other has recorded."""

    async def work() -> None:
        _, server, process = await start_environment(tmp_path)
        server.default_reply = None
        await process.start()
        await process.submit(message("m"))
        env = {**os.environ, "RELAY_CONFIG": str(process.config), "RELAY_LISTEN": f"127.0.0.1:{free_port()}"}
        second = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "message_relay", env=env, stderr=asyncio.subprocess.PIPE
        )
        _, errors = await second.communicate()
        assert second.returncode == 1 and errors.count(b"\n") == 1
        assert b"another process works in it" in errors and str(process.state).encode() in errors
        await process.stop(signal.SIGKILL)  # a killed process leaves no lock behind
        server.default_reply = answer(200)
        await process.start()
        await until(lambda: [seen.headers["x-trace-id"] for seen in server.seen][-1:] == ["m"])
        assert await process.stop(signal.SIGTERM) == 0

    run(work())


def test_a_missing_state_folder_prints_one_line_and_exits_with_1(tmp_path: Path) -> None:
    raw = raw_config(tmp_path / "nowhere", Agent(address=("127.0.0.1", 1)))
    (tmp_path / "config.json").write_text(json.dumps(raw))
    env = {**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")}
    process = subprocess.run(
        [sys.executable, "-m", "message_relay"], capture_output=True, text=True, timeout=60, env=env
    )
    assert process.returncode == 1 and process.stderr.count("\n") == 1 and "nowhere" in process.stderr
