"""Supervisor: runs many instances under one command if there is no service manager; carries out `plan`.

Each instance is a separate process. The supervisor holds the listening sockets, so that no connection is
refused during a restart. It receives the instances' notifications (fleet/systemd_notify.py) and holds the
pipe that stops the instances when it closes (fleet/parent_watch.py). SIGHUP rereads the operator's file,
SIGUSR2 starts a rolling restart, SIGTERM and SIGINT stop all instances and then the supervisor.
"""

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
from .parent_watch import LIFELINE_VARIABLE
from .plan import InstanceState, Plan, SupervisorAction
from .report import FleetReport, InstanceLine
from .socket_activation import CLIENT_SOCKET, FIRST_DESCRIPTOR
from .status import StatusError, StatusSocket

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
FIRST_PRIVATE_DESCRIPTOR = 10  # lowest own descriptor; FIRST_DESCRIPTOR is for the inherited socket
MAX_DATAGRAM_BYTES = 4096
SIGNALS = {
    SupervisorAction.RELOAD: signal.SIGHUP,
    SupervisorAction.TERM: signal.SIGTERM,
    SupervisorAction.KILL: signal.SIGKILL,
}
# Moves the listening socket to the descriptor that LISTEN_FDS expects, and executes the program.
LAUNCH_SCRIPT = """
import os, sys
given = int(sys.argv[1])
if given != 3:
    os.dup2(given, 3)
    os.close(given)
else:
    os.set_inheritable(3, True)
os.environ["LISTEN_PID"] = str(os.getpid())
os.execv(sys.argv[2], sys.argv[2:])
"""
assert FIRST_DESCRIPTOR == 3


def _ignore_reloads() -> None:
    """Runs in an instance's process before its program, since the default action of SIGHUP would end it.

    The program installs its handler before it reads a file, so that no change is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


@dataclass
class Child:
    """The sockets of one instance, and its process while it runs."""

    listener: socket.socket
    notify: socket.socket
    notify_path: Path  # path of the notify socket
    process: subprocess.Popen[bytes] | None = None
    pidfd: int = -1
    status_lines: dict[str, str] = field(default_factory=dict)  # the latest status line


class Supervisor:
    """Starts and stops the instances of one operator's file."""

    def __init__(self, file: Path, operator_config: OperatorConfig, runtime: Path | None) -> None:
        """Raises OSError if a port is not available. `runtime`: the folder of status sockets, if any."""
        self.file, self.operator_config, self.runtime = file, operator_config, runtime
        self.clock = time.monotonic
        self.plan = Plan(
            operator_config.supervisor,
            operator_config.fleet.instances,
            self.clock(),
            int.from_bytes(os.urandom(4), "big"),
        )
        self.children: dict[int, Child] = {}
        self.changed = asyncio.Event()
        self.folder = tempfile.TemporaryDirectory(prefix="message_relay-")
        read_end, self.lifeline = os.pipe()
        self.lifeline_reader = fcntl.fcntl(read_end, fcntl.F_DUPFD_CLOEXEC, FIRST_PRIVATE_DESCRIPTOR)
        os.close(read_end)
        self.status = StatusSocket(runtime / "fleet.sock", self.report) if runtime else None
        for number in range(operator_config.fleet.instances):
            self._prepare(number)

    def _prepare(self, number: int) -> None:
        if number in self.children:
            return
        section = self.operator_config.supervisor
        listener = socket.create_server((section.host, section.port + number), backlog=LISTEN_BACKLOG)
        path = Path(self.folder.name) / str(number)
        notify = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        notify.bind(str(path))
        notify.setblocking(False)
        self.children[number] = Child(listener, notify, path)

    # -- main loop ---------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Runs until all instances have stopped after SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        handlers: dict[signal.Signals, Callable[[], None]] = {
            signal.SIGTERM: self._stop,
            signal.SIGINT: self._stop,
            signal.SIGHUP: self._reload,
            signal.SIGUSR2: self._restart_all,
        }
        for signal_number, handler in handlers.items():
            loop.add_signal_handler(signal_number, handler)
        for number in self.children:
            self._listen(number)
        if self.status is not None:
            await self._open_status()
        try:
            while not self.plan.is_done:
                now = self.clock()
                for action, number in self.plan.next_steps(now):
                    self._carry_out(action, number)
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
            log.error(LogEvent("status socket not available", why=error))

    def close(self) -> None:
        """Kills the remaining instances and closes all sockets, also after an internal error."""
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
        """Applies a new operator's file; an invalid file or an unavailable port changes nothing."""
        try:
            operator_config = read(self.file)
            previous = self.operator_config
            self.operator_config = operator_config
            try:
                for number in range(operator_config.fleet.instances):
                    if number not in self.children:
                        self._prepare(number)
                        self._listen(number)
            except OSError:
                self.operator_config = previous
                raise
        except (OperatorError, OSError) as error:
            log.error(LogEvent("operator's file rejected", why=error))
            return
        self.plan.request_reload(
            self.clock(),
            operator_config.supervisor,
            operator_config.fleet.instances,
            operator_config.fleet.settle_s,
        )
        self.changed.set()

    # -- carrying out the plan ---------------------------------------------------------------------------

    def _carry_out(self, action: SupervisorAction, number: int) -> None:
        if action is SupervisorAction.START:
            self._start(number)
            return
        process = self.children[number].process
        if process is not None:
            process.send_signal(SIGNALS[action])

    def _start(self, number: int) -> None:
        child = self.children[number]
        section = self.operator_config.supervisor
        state = Path(section.state) / str(number)
        try:
            state.mkdir(mode=0o700, parents=True, exist_ok=True)
            child.process = subprocess.Popen(
                self._command(child),
                env=self._environment(number, child, state),
                pass_fds=(child.listener.fileno(), self.lifeline_reader),
                stdin=subprocess.DEVNULL,
                preexec_fn=_ignore_reloads,
            )
            child.pidfd = os.pidfd_open(child.process.pid)
        except OSError as error:
            log.error(LogEvent("instance start failed", instance=number, why=error))
            if child.process is not None:
                child.process.kill()
                child.process.wait()
                child.process = None
            self.plan.on_exited(number, self.clock(), -1)
            return
        asyncio.get_running_loop().add_reader(child.pidfd, self._on_exit, number)

    @staticmethod
    def _command(child: Child) -> list[str]:
        listener = str(child.listener.fileno())
        program = [sys.executable, "-m", "message_relay"]
        return [sys.executable, "-I", "-S", "-c", LAUNCH_SCRIPT, listener, *program]

    def _environment(self, number: int, child: Child, state: Path) -> dict[str, str]:
        section = self.operator_config.supervisor
        env = {
            **os.environ,
            FILE_VARIABLE: str(self.file),
            NUMBER_VARIABLE: str(number),
            "RELAY_NAME": str(number),
            "RELAY_LISTEN": f"{section.host}:{section.port + number}",
            "RELAY_STATE": str(state),
            "NOTIFY_SOCKET": str(child.notify_path),
            "LISTEN_FDS": "1",
            "LISTEN_FDNAMES": CLIENT_SOCKET,
            LIFELINE_VARIABLE: str(self.lifeline_reader),
        }
        if section.config:
            env["RELAY_CONFIG"] = section.config
        if section.watchdog_s:
            env["WATCHDOG_USEC"] = str(int(section.watchdog_s * 1e6))
        if self.plan.instances[number].is_retiring:
            env[RETIRE_VARIABLE] = "1"
        return env

    def _on_exit(self, number: int) -> None:
        child = self.children[number]
        assert child.process is not None
        asyncio.get_running_loop().remove_reader(child.pidfd)
        os.close(child.pidfd)
        code = child.process.wait()  # does not block: the pidfd shows that the process has exited
        child.process, child.pidfd = None, -1
        child.status_lines.clear()
        self._on_notification(number)  # reads its last notifications before the exit is handled
        self.plan.on_exited(number, self.clock(), code)
        self.changed.set()

    # -- notifications -----------------------------------------------------------------------------------

    def _listen(self, number: int) -> None:
        asyncio.get_running_loop().add_reader(
            self.children[number].notify.fileno(), self._on_notification, number
        )

    def _on_notification(self, number: int) -> None:
        child = self.children[number]
        for _ in range(64):  # bounded, so that the event loop also serves other instances
            try:
                text = child.notify.recv(MAX_DATAGRAM_BYTES).decode(errors="replace")
            except BlockingIOError:
                return
            lines = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
            child.status_lines.update({name: value for name, value in lines.items() if name == "STATUS"})
            if lines.get("READY") == "1" and child.process is not None:
                self.plan.on_ready(number, self.clock())
                self.changed.set()
            elif lines.get("WATCHDOG") == "1":
                self.plan.on_heartbeat(number, self.clock())

    def _log_plan_events(self) -> None:
        for event, fields in self.plan.log_events:
            log.warning(LogEvent(event, **fields))
        self.plan.log_events.clear()

    def report(self) -> FleetReport:
        """Return the current report on all instances."""
        now = self.clock()
        lines = []
        for number, instance in sorted(self.plan.instances.items()):
            process = self.children[number].process
            lines.append(
                InstanceLine(
                    instance=number,
                    state="retiring"
                    if instance.is_retiring and instance.state is InstanceState.UP
                    else instance.state.value,
                    pid=None if process is None else process.pid,
                    for_s=round(now - instance.since, 1),
                    crashes=sum(now - at <= self.plan.section.loop_s for at in instance.crashes),
                    crash_loop=self.plan.is_crash_looping(number, now),
                    restarts=instance.restarts,
                    start_s=round(instance.start_s, 3),
                    why=instance.reason or self.children[number].status_lines.get("STATUS", ""),
                )
            )
        return FleetReport(
            pid=os.getpid(),
            at_ms=time.time() * 1000,
            instances=self.plan.count,
            up=sum(instance.state is InstanceState.UP for instance in self.plan.instances.values()),
            stopping=self.plan.stopping,
            rolling=len(self.plan.rolling),
            lines=lines,
        )
