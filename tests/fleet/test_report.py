"""Status reports and logs of an instance, and the state folders that it rejects."""

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
    """Restores the handlers and level of the root logger after a test."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    for handler in root.handlers[:]:
        if handler not in handlers:
            root.removeHandler(handler)
            handler.close()
    root.handlers[:], root.level = handlers, level


async def host_with(tmp_path: Path, server: Server, agent: Agent, fleet: Fleet | None = None) -> Report:
    """Return the report of a relay with three pending messages for a partner that sent a Retry-After."""
    (tmp_path / "state").mkdir()
    (tmp_path / "c.json").write_text(json.dumps(raw_config(tmp_path / "state", agent, server)))
    relay_config = config.load({"RELAY_CONFIG": str(tmp_path / "c.json")})
    parts = compose(replace(relay_config, settings=replace(relay_config.settings, fleet=fleet)))
    await parts.start()
    async with Client(parts.relay.intakes["http"].listener.port) as client:  # type: ignore[attr-defined]
        assert await client.send(message("a")) == 202
        await until(lambda: bool(server.seen) and not parts.relay.scheduler.in_flight)
        assert [await client.send(message(name, "keyed")) for name in ("b", "c")] == [202, 202]
    await until(lambda: len(parts.relay.scheduler.pending.by_id) == 3)
    result = report.report_of(parts.relay, 0, "serving", 0.0, report.Lag(), 10)
    assert report.report_of(parts.relay, 0, "serving", 0.0, report.Lag(), 0).more == 1
    await parts.relay.close()
    return result


def test_a_report_has_the_pending_messages_and_the_state_of_each_destination(tmp_path: Path) -> None:
    async def work() -> None:
        server, agent = await Server(default_reply=answer(429, "X-RateLimit-Wait-Ms: 3000")).start(), Agent()
        await agent.start()
        current = await host_with(tmp_path, server, agent, Fleet(0, 2))
        assert current.held == 3 and current.by_class == {"keyed": 2, "unsafe": 0, "safe": 1}
        assert (
            current.journal_bytes > 0
            and current.journal_limit > current.journal_live > 0
            and current.rss_mb > 5
        )
        (row,) = current.destinations
        assert row.destination == 7 and row.held == 3 and row.endpoints == 1 and row.down
        assert 2000 < row.wait_ms <= 3300 and row.part is not None and 0 < row.part < 1

    run(work())


def test_the_socket_serves_a_report_to_a_limited_number_of_callers(tmp_path: Path) -> None:
    async def work() -> None:
        server, agent = await Server(default_reply=answer(429, "X-RateLimit-Wait-Ms: 3000")).start(), Agent()
        await agent.start()
        current = await host_with(tmp_path, server, agent)
        path = tmp_path / "0.sock"
        with socket.socket(socket.AF_UNIX) as stale:
            stale.bind(str(path))  # left by a dead process
        status = StatusSocket(path, lambda: current)
        await status.open()
        assert await fetch_report(path) == current and path.stat().st_mode & 0o777 == 0o600
        status.open_connections = MAX_CALLERS
        with pytest.raises(StatusError, match="no report"):
            await fetch_report(path)
        status.open_connections = 0
        status.report = lambda: 1 // 0  # type: ignore[assignment,return-value]
        with pytest.raises(StatusError, match="no report"):
            await fetch_report(path)
        status.report = lambda: current
        assert await fetch_report(path) == current and status.open_connections == 0
        status.close()
        assert not path.exists()
        with pytest.raises(StatusError, match="0.sock: No such file"):
            await fetch_report(path)

    run(work())


def test_a_socket_that_cannot_be_created_is_reported(tmp_path: Path) -> None:
    async def work() -> None:
        (tmp_path / "file").write_text("precious")
        for name, expected in (
            ("file", "is no socket"),
            ("x" * 120, "107 bytes"),
            ("no/such", "No such file"),
        ):
            with pytest.raises(StatusError, match=expected):
                await StatusSocket(tmp_path / name, lambda: pytest.fail()).open()
        assert (tmp_path / "file").read_text() == "precious"

    run(work())
    assert socket_folder("", {"RUNTIME_DIRECTORY": "/run/a:/run/b"}) == Path("/run/a")
    assert socket_folder("", {}) is None


def test_the_loop_lag_is_measured_from_its_timers() -> None:
    async def work() -> None:
        lag = LoopLag()
        assert lag.summary() == report.Lag()
        lag.samples_ms.extend([1.0] * 20 + [70.0])
        assert lag.summary() == report.Lag(1.0, 1.0, 70.0)
        lag.start()
        await until(lambda: len(lag.samples_ms) > 21)
        lag.stop()

    run(work())


def test_log_lines_have_the_name_and_fields_of_the_event(root_log: None) -> None:
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


def test_log_lines_dropped_for_a_stalled_reader_are_counted() -> None:
    reading, writing = os.pipe()
    writer = BoundedLogWriter(writing, 10)
    writer.setFormatter(logging.Formatter("%(message)s"))
    for n in range(3000):  # the pipe and the buffer are full long before the end
        writer.emit(logging.LogRecord("x", logging.INFO, "", 0, f"{n:06}" + "x" * 200, (), None))
    read_count = dropped_count = 0
    output = b""
    while read_count + dropped_count < 3000:  # each line is either read or counted
        writer.emit(
            logging.LogRecord("x", logging.INFO, "", 0, "more", (), None)
        )  # reports the number of dropped lines
        output += os.read(reading, 1 << 20)
        read_count = output.count(b"xxx\n")
        dropped_count = sum(
            int(line.split()[0]) for line in output.splitlines() if line.endswith(b"nobody read them")
        )
    assert dropped_count > 1000 and read_count >= 10
    os.close(reading)
    writer.close()
    os.close(writing)


def test_a_state_folder_of_another_user_is_rejected(tmp_path: Path) -> None:
    server = Server(address=("127.0.0.1", 1))
    raw = raw_config(tmp_path, Agent(address=("127.0.0.1", 1)), server)
    (tmp_path / "c.json").write_text(json.dumps(raw))
    relay_config = config.load({"RELAY_CONFIG": str(tmp_path / "c.json")})
    require_owned_state(relay_config)
    require_owned_state(replace(relay_config, state=tmp_path / "nowhere"))  # opening it gives a better error
    if os.geteuid() == 0:
        os.chown(tmp_path, 12345, -1)
        with pytest.raises(ConfigError, match="belongs to user 12345, and this process runs as 0"):
            require_owned_state(relay_config)


@pytest.mark.skipif(os.geteuid() != 0, reason="to become another user")
def test_an_unwritable_state_folder_fails_the_start_with_one_error() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        folder.chmod(0o755)
        (folder / "state").mkdir(mode=0o555)
        server = Server(address=("127.0.0.1", 1))
        raw = raw_config(folder / "state", Agent(address=("127.0.0.1", 1)), server)
        (folder / "c.json").write_text(json.dumps(raw))
        relay_config = config.load({"RELAY_CONFIG": str(folder / "c.json")})
        pid = os.fork()
        if pid == 0:
            code = 1
            try:
                os.setuid(65534)
                compose(relay_config)
            except PermissionError:
                code = 42
            finally:
                os._exit(code)
        assert os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1]) == 42


def test_the_end_of_the_supervisor_stops_a_process_even_if_its_loop_hangs() -> None:
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
