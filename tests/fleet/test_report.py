"""What an instance tells of itself and logs, and what it refuses to work on."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from message_relay import config
from message_relay.composition import compose
from message_relay.config import ConfigError
from message_relay.decisions.model import Fleet
from message_relay.fleet import parent_watch, report
from message_relay.fleet.instance import require_owned_state
from message_relay.fleet.report import Report
from message_relay.fleet.status import (
    MAX_CALLERS,
    LoopLag,
    StatusError,
    StatusSocket,
    fetch_report,
    socket_folder,
)
from message_relay.structured_logging import BoundedLogWriter, LogEvent, configure_structured_logging

from ..loopback import Agent, Client, Server, answer, message, raw_config, run, until


@pytest.fixture
def root_log() -> Iterator[None]:
    """What tests set up of the root logger is undone."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    for handler in root.handlers[:]:
        if handler not in handlers:
            root.removeHandler(handler)
            handler.close()
    root.handlers[:], root.level = handlers, level


async def host_with(tmp_path: Path, server: Server, agent: Agent, fleet: Fleet | None = None) -> Report:
    """A relay that holds three messages for a partner that told it to wait; its report."""
    (tmp_path / "state").mkdir()
    (tmp_path / "c.json").write_text(json.dumps(raw_config(tmp_path / "state", agent, server)))
    told = config.load({"RELAY_CONFIG": str(tmp_path / "c.json")})
    parts = compose(replace(told, settings=replace(told.settings, fleet=fleet)))
    await parts.start()
    async with Client(parts.relay.intakes["http"].listener.port) as client:  # type: ignore[attr-defined]
        assert await client.ask(message("a")) == 202
        await until(lambda: bool(server.seen) and not parts.relay.scheduler.in_flight)
        assert [await client.ask(message(name, "keyed")) for name in ("b", "c")] == [202, 202]
    await until(lambda: len(parts.relay.scheduler.pending.by_id) == 3)
    found = report.report_of(parts.relay, 0, "serving", 0.0, report.Lag(), 10)
    assert report.report_of(parts.relay, 0, "serving", 0.0, report.Lag(), 0).more == 1
    await parts.relay.close()
    return found


def test_a_report_has_what_is_held_and_what_is_known_of_each_destination(tmp_path: Path) -> None:
    async def work() -> None:
        server, agent = await Server(default_reply=answer(429, "X-RateLimit-Wait-Ms: 3000")).start(), Agent()
        await agent.start()
        told = await host_with(tmp_path, server, agent, Fleet(0, 2))
        assert told.held == 3 and told.by_class == {"keyed": 2, "unsafe": 0, "safe": 1}
        assert told.journal_bytes > 0 and told.journal_limit > told.journal_live > 0 and told.rss_mb > 5
        (one,) = told.destinations
        assert one.destination == 7 and one.held == 3 and one.endpoints == 1 and one.down
        assert 2000 < one.wait_ms <= 3300 and one.part is not None and 0 < one.part < 1

    run(work())


def test_the_socket_gives_a_report_to_each_caller_and_to_few_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        server, agent = await Server(default_reply=answer(429, "X-RateLimit-Wait-Ms: 3000")).start(), Agent()
        await agent.start()
        told = await host_with(tmp_path, server, agent)
        path = tmp_path / "0.sock"
        with socket.socket(socket.AF_UNIX) as left:
            left.bind(str(path))  # by a process that has died
        status = StatusSocket(path, lambda: told)
        await status.open()
        assert await fetch_report(path) == told and path.stat().st_mode & 0o777 == 0o600
        status.open_connections = MAX_CALLERS
        with pytest.raises(StatusError, match="no report"):
            await fetch_report(path)
        status.open_connections = 0
        status.report = lambda: 1 // 0  # type: ignore[assignment,return-value]
        with pytest.raises(StatusError, match="no report"):
            await fetch_report(path)
        status.report = lambda: told
        assert await fetch_report(path) == told and status.open_connections == 0
        status.close()
        assert not path.exists()
        with pytest.raises(StatusError, match="0.sock: No such file"):
            await fetch_report(path)

    run(work())


def test_a_socket_that_cannot_be_is_told(tmp_path: Path) -> None:
    async def work() -> None:
        (tmp_path / "file").write_text("precious")
        for name, says in (("file", "is no socket"), ("x" * 120, "107 bytes"), ("no/such", "No such file")):
            with pytest.raises(StatusError, match=says):
                await StatusSocket(tmp_path / name, lambda: pytest.fail()).open()
        assert (tmp_path / "file").read_text() == "precious"

    run(work())
    assert socket_folder("", {"RUNTIME_DIRECTORY": "/run/a:/run/b"}) == Path("/run/a")
    assert socket_folder("", {}) is None


def test_the_loops_lag_is_that_of_its_timers() -> None:
    async def work() -> None:
        lag = LoopLag()
        assert lag.summary() == report.Lag()
        lag.samples_ms.extend([1.0] * 20 + [70.0])
        assert lag.summary() == report.Lag(1.0, 1.0, 70.0)
        lag.start()
        await until(lambda: len(lag.samples_ms) > 21)
        lag.stop()

    run(work())


def test_lines_have_the_events_name_and_fields(root_log: None) -> None:
    reading, writing = os.pipe()
    handler = configure_structured_logging("json", "info", 100, writing)
    logging.getLogger("x").info(
        LogEvent("a message is refused", id="m1", why=ValueError("full"), level="odd")
    )
    logging.getLogger("x").warning("old %s", "style")
    logging.getLogger("x").debug("not told")
    handler.close()
    lines = [json.loads(line) for line in os.read(reading, 65536).splitlines()]
    assert [line["event"] for line in lines] == ["a message is refused", "old style"]
    assert lines[0]["id"] == "m1" and lines[0]["why"] == "full" and lines[0]["logger"] == "x"
    assert lines[1]["level"] == "warning" and "timestamp" in lines[1]
    assert str(LogEvent("e", a=1, b="c")) == "e a=1 b=c"
    os.close(reading)
    os.close(writing)


def test_a_reader_that_has_stopped_costs_lines_and_they_are_counted() -> None:
    reading, writing = os.pipe()
    writer = BoundedLogWriter(writing, 10)
    writer.setFormatter(logging.Formatter("%(message)s"))
    for n in range(3000):  # the pipe and the buffer are full long before
        writer.emit(logging.LogRecord("x", logging.INFO, "", 0, f"{n:06}" + "x" * 200, (), None))
    seen = lost = 0
    got = b""
    while seen + lost < 3000:  # each is either there or counted
        writer.emit(logging.LogRecord("x", logging.INFO, "", 0, "more", (), None))  # tells what was lost
        got += os.read(reading, 1 << 20)
        seen = got.count(b"xxx\n")
        lost = sum(int(line.split()[0]) for line in got.splitlines() if line.endswith(b"nobody read them"))
    assert lost > 1000 and seen >= 10
    os.close(reading)
    writer.close()
    os.close(writing)


def test_a_state_folder_of_another_user_is_refused(tmp_path: Path) -> None:
    server = Server(address=("127.0.0.1", 1))
    raw = raw_config(tmp_path, Agent(address=("127.0.0.1", 1)), server)
    (tmp_path / "c.json").write_text(json.dumps(raw))
    told = config.load({"RELAY_CONFIG": str(tmp_path / "c.json")})
    require_owned_state(told)
    require_owned_state(replace(told, state=tmp_path / "nowhere"))  # told better when it is opened
    if os.geteuid() == 0:
        os.chown(tmp_path, 12345, -1)
        with pytest.raises(ConfigError, match="belongs to user 12345, and this process runs as 0"):
            require_owned_state(told)


@pytest.mark.skipif(os.geteuid() != 0, reason="to become another user")
def test_a_folder_that_cannot_be_written_ends_the_start_with_one_error() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        folder.chmod(0o755)
        (folder / "state").mkdir(mode=0o555)
        server = Server(address=("127.0.0.1", 1))
        raw = raw_config(folder / "state", Agent(address=("127.0.0.1", 1)), server)
        (folder / "c.json").write_text(json.dumps(raw))
        told = config.load({"RELAY_CONFIG": str(folder / "c.json")})
        pid = os.fork()
        if pid == 0:
            code = 1
            try:
                os.setuid(65534)
                compose(told)
            except PermissionError:
                code = 42
            finally:
                os._exit(code)
        assert os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1]) == 42


def test_the_lifelines_end_stops_a_process_also_when_its_loop_hangs() -> None:
    async def work() -> None:
        reading, writing = os.pipe()
        code = (
            "import time, signal; from message_relay.fleet import parent_watch; parent_watch.STOP_S = 0.2;"
            "signal.signal(signal.SIGTERM, lambda *_: print('told', flush=True));"
            "parent_watch.watch_parent(); print('ready', flush=True)\nwhile True: time.sleep(0.01)"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            stdout=asyncio.subprocess.PIPE,
            pass_fds=(reading,),
            env={**os.environ, parent_watch.LIFELINE_VARIABLE: str(reading)},
        )
        os.close(reading)
        assert process.stdout is not None and await process.stdout.readline() == b"ready\n"
        os.close(writing)
        assert await process.stdout.readline() == b"told\n" and await process.wait() == -9

    run(work())
    with pytest.raises(ValueError, match="must be a descriptor"):
        parent_watch.watch_parent({parent_watch.LIFELINE_VARIABLE: "x"})
