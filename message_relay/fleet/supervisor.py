"""Many instances under one command, where there is no service manager: carries out what `plan` decides.

Each instance is a process of its own, and hears of the others through nothing. The supervisor holds their
listening sockets (so a restart refuses no connection), hears their notifications
(fleet/systemd_notify.py), and holds
the lifeline on which they end with it (fleet/parent_watch.py). SIGHUP: reads the operator's file again.
SIGUSR2: a rolling restart. SIGTERM, SIGINT: ends all, and then itself."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..structured_logging import LogEvent
from .operator import FILE_VARIABLE, NUMBER_VARIABLE, RETIRE_VARIABLE, OperatorConfig, OperatorError, read
from .parent_watch import LIFELINE_VARIABLE as LIFELINE
from .plan import InstanceState, Plan, SupervisorAction
from .report import FleetReport, InstanceLine
from .socket_activation import CLIENT_SOCKET, FIRST_DESCRIPTOR
from .status import StatusError, StatusSocket

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
FIRST_PRIVATE_DESCRIPTOR = 10  # descriptors for instances lie here and above: FIRST is where the socket goes
MAX_DATAGRAM_BYTES = 4096
SIGNALS = {
    SupervisorAction.RELOAD: signal.SIGHUP,
    SupervisorAction.TERM: signal.SIGTERM,
    SupervisorAction.KILL: signal.SIGKILL,
}
# Puts the listening socket where LISTEN_FDS says, and becomes the program. SIGHUP is ignored until the
# program has a handler: its default would end it.
LAUNCH_SCRIPT = """
import os, signal, sys
given = int(sys.argv[1])
if given != 3:
    os.dup2(given, 3)
    os.close(given)
else:
    os.set_inheritable(3, True)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
os.environ["LISTEN_PID"] = str(os.getpid())
os.execv(sys.argv[2], sys.argv[2:])
"""
assert FIRST_DESCRIPTOR == 3


@dataclass
class Child:
    """What belongs to one number, whether its process runs or not."""

    listener: socket.socket
    notify: socket.socket
    notify_path: Path  # of the notify socket
    process: subprocess.Popen[bytes] | None = None
    pidfd: int = -1
    status_lines: dict[str, str] = field(default_factory=dict)  # the latest status line


class Supervisor:
    def __init__(self, file: Path, operator: OperatorConfig, runtime: Path | None) -> None:
        """Raises OSError where a port cannot be had. `runtime`: where sockets of `status` go, if anywhere."""
        self.file, self.operator, self.runtime = file, operator, runtime
        self.clock = time.monotonic
        self.plan = Plan(
            operator.supervisor,
            operator.fleet.instances,
            self.clock(),
            int.from_bytes(os.urandom(4), "big"),
        )
        self.children: dict[int, Child] = {}
        self.changed = asyncio.Event()
        self.folder = tempfile.TemporaryDirectory(prefix="message_relay-")
        reading, self.lifeline = os.pipe()
        self.lifeline_reader = fcntl.fcntl(reading, fcntl.F_DUPFD_CLOEXEC, FIRST_PRIVATE_DESCRIPTOR)
        os.close(reading)
        self.status = StatusSocket(runtime / "fleet.sock", self.report) if runtime else None
        for n in range(operator.fleet.instances):
            self._prepare(n)

    def _prepare(self, n: int) -> None:
        if n in self.children:
            return
        part = self.operator.supervisor
        listener = socket.create_server((part.host, part.port + n), backlog=LISTEN_BACKLOG)
        path = Path(self.folder.name) / str(n)
        notify = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        notify.bind(str(path))
        notify.setblocking(False)
        self.children[n] = Child(listener, notify, path)

    # -- life --------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Until all instances have ended, after SIGTERM."""
        loop = asyncio.get_running_loop()
        handlers: dict[signal.Signals, Callable[[], None]] = {
            signal.SIGTERM: self._stop,
            signal.SIGINT: self._stop,
            signal.SIGHUP: self._reload,
            signal.SIGUSR2: self._restart_all,
        }
        for number, handler in handlers.items():
            loop.add_signal_handler(number, handler)
        for n in self.children:
            self._listen(n)
        if self.status is not None:
            await self._open_status()
        try:
            while not self.plan.is_done:
                now = self.clock()
                for do, n in self.plan.next_steps(now):
                    self._carry_out(do, n)
                self._log_plan_events()
                try:
                    async with asyncio.timeout(self.plan.next_wake(now) - now):
                        await self.changed.wait()
                except TimeoutError:
                    pass
                self.changed.clear()
        finally:
            self.close()

    async def _open_status(self) -> None:
        assert self.status is not None
        try:
            await self.status.open()
        except StatusError as error:
            log.error(LogEvent("no report is given", why=error))

    def close(self) -> None:
        """Leaves nothing behind, also after a fault of its own."""
        for child in self.children.values():
            if child.process is not None and child.process.poll() is None:
                child.process.kill()
                child.process.wait()
            child.listener.close()
            child.notify.close()
        if self.status is not None:
            self.status.close()
        os.close(self.lifeline)
        os.close(self.lifeline_reader)
        self.folder.cleanup()

    # -- signals -----------------------------------------------------------------------------------------

    def _stop(self) -> None:
        self.plan.request_stop(self.clock())
        self.changed.set()

    def _restart_all(self) -> None:
        self.plan.request_rolling_restart(self.clock())
        self.changed.set()

    def _reload(self) -> None:
        """A file that makes no sense, or a port that cannot be had, changes nothing."""
        try:
            operator = read(self.file)
            before, self.operator = self.operator, operator
            try:
                for n in range(operator.fleet.instances):
                    if n not in self.children:
                        self._prepare(n)
                        self._listen(n)
            except OSError:
                self.operator = before
                raise
        except (OperatorError, OSError) as error:
            log.error(LogEvent("the new operator's file is passed over", why=error))
            return
        self.plan.request_reload(
            self.clock(), operator.supervisor, operator.fleet.instances, operator.fleet.settle_s
        )
        self.changed.set()

    # -- what the plan says ------------------------------------------------------------------------------

    def _carry_out(self, do: SupervisorAction, n: int) -> None:
        if do is SupervisorAction.START:
            self._start(n)
            return
        process = self.children[n].process
        if process is not None:
            process.send_signal(SIGNALS[do])

    def _start(self, n: int) -> None:
        child, part = self.children[n], self.operator.supervisor
        state = Path(part.state) / str(n)
        env = {
            **os.environ,
            FILE_VARIABLE: str(self.file),
            NUMBER_VARIABLE: str(n),
            "RELAY_NAME": str(n),
            "RELAY_LISTEN": f"{part.host}:{part.port + n}",
            "RELAY_STATE": str(state),
            "NOTIFY_SOCKET": str(child.notify_path),
            "LISTEN_FDS": "1",
            "LISTEN_FDNAMES": CLIENT_SOCKET,
            LIFELINE: str(self.lifeline_reader),
        }
        if part.config:
            env["RELAY_CONFIG"] = part.config
        if part.watchdog_s:
            env["WATCHDOG_USEC"] = str(int(part.watchdog_s * 1e6))
        if self.plan.instances[n].is_retiring:
            env[RETIRE_VARIABLE] = "1"
        try:
            state.mkdir(mode=0o700, parents=True, exist_ok=True)
            child.process = subprocess.Popen(
                [
                    sys.executable,
                    "-I",
                    "-S",
                    "-c",
                    LAUNCH_SCRIPT,
                    str(child.listener.fileno()),
                    sys.executable,
                    "-m",
                    "message_relay",
                ],
                env=env,
                pass_fds=(child.listener.fileno(), self.lifeline_reader),
                stdin=subprocess.DEVNULL,
            )
            child.pidfd = os.pidfd_open(child.process.pid)
        except OSError as error:
            log.error(LogEvent("an instance cannot be started", instance=n, why=error))
            if child.process is not None:
                child.process.kill()
                child.process.wait()
                child.process = None
            self.plan.on_exited(n, self.clock(), -1)
            return
        asyncio.get_running_loop().add_reader(child.pidfd, self._on_exit, n)

    def _on_exit(self, n: int) -> None:
        child = self.children[n]
        assert child.process is not None
        asyncio.get_running_loop().remove_reader(child.pidfd)
        os.close(child.pidfd)
        code = child.process.wait()  # at once: its pidfd says that it has ended
        child.process, child.pidfd = None, -1
        child.status_lines.clear()
        self._on_notification(n)  # what it said last, before what comes of its end
        self.plan.on_exited(n, self.clock(), code)
        self.changed.set()

    # -- what is heard -----------------------------------------------------------------------------------

    def _listen(self, n: int) -> None:
        asyncio.get_running_loop().add_reader(self.children[n].notify.fileno(), self._on_notification, n)

    def _on_notification(self, n: int) -> None:
        child = self.children[n]
        for _ in range(64):  # the loop has others to hear
            try:
                text = child.notify.recv(MAX_DATAGRAM_BYTES).decode(errors="replace")
            except BlockingIOError:
                return
            lines = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
            child.status_lines.update({name: value for name, value in lines.items() if name == "STATUS"})
            if lines.get("READY") == "1" and child.process is not None:
                self.plan.on_ready(n, self.clock())
                self.changed.set()
            elif lines.get("WATCHDOG") == "1":
                self.plan.on_heartbeat(n, self.clock())

    def _log_plan_events(self) -> None:
        for event, fields in self.plan.log_events:
            log.warning(LogEvent(event, **fields))
        self.plan.log_events.clear()

    def report(self) -> FleetReport:
        now, lines = self.clock(), []
        for n, one in sorted(self.plan.instances.items()):
            process = self.children[n].process
            lines.append(
                InstanceLine(
                    instance=n,
                    state="retiring"
                    if one.is_retiring and one.state is InstanceState.UP
                    else one.state.value,
                    pid=None if process is None else process.pid,
                    for_s=round(now - one.since, 1),
                    crashes=sum(now - at <= self.plan.section.loop_s for at in one.crashes),
                    crash_loop=self.plan.is_crash_looping(n, now),
                    restarts=one.restarts,
                    start_s=round(one.start_s, 3),
                    why=one.reason or self.children[n].status_lines.get("STATUS", ""),
                )
            )
        return FleetReport(
            pid=os.getpid(),
            at_ms=time.time() * 1000,
            instances=self.plan.count,
            up=sum(one.state is InstanceState.UP for one in self.plan.instances.values()),
            stopping=self.plan.stopping,
            rolling=len(self.plan.rolling),
            lines=lines,
        )
