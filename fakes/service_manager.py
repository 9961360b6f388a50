"""A fake service manager: starts a program with a listening socket, reads its notifications and stops it.

    python -m fakes.service_manager --listen 127.0.0.1:PORT --folder DIR [--watchdog-s N] -- PROGRAM ARGS

Implements sd_notify(3) and sd_listen_fds(3) as their manual pages describe them. Each notification of the
program is printed as one line. SIGHUP and SIGTERM are passed on, and a program that exits is restarted.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Sequence
from pathlib import Path

from .serving import address, arguments

LISTEN_FD = 3  # file descriptor of the listening socket in the program
LAUNCHER = "import os,sys; os.environ['LISTEN_PID']=str(os.getpid()); os.execv(sys.argv[1], sys.argv[1:])"


class ServiceManager:
    def __init__(self, folder: Path, listen: tuple[str, int], watchdog_s: float = 0.0) -> None:
        self.path, self.watchdog_s = folder / "notify", watchdog_s
        self.path.unlink(missing_ok=True)
        self.notify = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.notify.bind(str(self.path))
        self.notify.setblocking(False)
        self.listener = socket.create_server(listen, backlog=512)
        self.port = int(self.listener.getsockname()[1])
        self.notifications: list[dict[str, str]] = []
        self.beats: list[float] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reading = False

    def read(self) -> None:
        """Starts to read notifications; until then they fill the socket."""
        self.reading = True
        asyncio.get_running_loop().add_reader(self.notify.fileno(), self._on_datagram)

    def _on_datagram(self) -> None:
        lines = dict(line.split("=", 1) for line in self.notify.recv(4096).decode().splitlines())
        if lines.pop("WATCHDOG", "") == "1":
            self.beats.append(asyncio.get_running_loop().time())
        if lines:
            self.notifications.append(lines)

    def fill(self) -> int:
        """Fills the socket, as if the manager were stuck. Returns the number of datagrams."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)
            count = 0
            while True:
                try:
                    sender.sendto(b"STATUS=full", str(self.path))
                    count += 1
                except BlockingIOError:
                    return count

    async def start(self, *program: str, env: dict[str, str] | None = None) -> None:
        notify_env = {"NOTIFY_SOCKET": str(self.path), "LISTEN_FDS": "1", "LISTEN_FDNAMES": "clients"}
        if self.watchdog_s:
            notify_env["WATCHDOG_USEC"] = str(int(self.watchdog_s * 1e6))
        fd = self.listener.fileno()

        def pass_listener() -> None:
            os.dup2(fd, LISTEN_FD, inheritable=True)

        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            LAUNCHER,
            *program,
            env={**os.environ, **(env or {}), **notify_env},
            pass_fds=(LISTEN_FD,) if fd == LISTEN_FD else (),
            close_fds=False,
            preexec_fn=pass_listener,
        )

    async def wait_for(self, name: str, times: int = 1) -> dict[str, str]:
        """Waits for the `times`-th notification that contains the name, and returns it."""
        while len(matches := [lines for lines in self.notifications if name in lines]) < times:
            await asyncio.sleep(0.01)
        return matches[times - 1]

    def send_signal(self, signal_number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(signal_number)

    async def end(self, signal_number: signal.Signals = signal.SIGTERM) -> int:
        self.send_signal(signal_number)
        assert self.process is not None
        return await self.process.wait()

    def close(self) -> None:
        if self.reading:
            asyncio.get_running_loop().remove_reader(self.notify.fileno())
        self.notify.close()
        self.listener.close()


async def manage(folder: Path, listen: tuple[str, int], watchdog_s: float, program: Sequence[str]) -> None:
    manager, stop = ServiceManager(folder, listen, watchdog_s), asyncio.Event()
    manager.read()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: manager.send_signal(signal.SIGHUP))
    print(f"ready 127.0.0.1:{manager.port}", flush=True)
    while not stop.is_set():
        await manager.start(*program)
        assert manager.process is not None
        exited = asyncio.ensure_future(manager.process.wait())
        stopped = asyncio.ensure_future(stop.wait())
        while not exited.done() and not stopped.done():
            await asyncio.wait({exited, stopped}, timeout=0.2, return_when=asyncio.FIRST_COMPLETED)
            for lines in manager.notifications:
                print(*(f"{name}={value}" for name, value in lines.items()), flush=True)
            manager.notifications.clear()
        stopped.cancel()
    await manager.end()
    manager.close()


def main() -> None:
    parser = arguments("manager")
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--watchdog-s", type=float, default=0.0)
    parser.add_argument("program", nargs="+")
    args = parser.parse_args()
    asyncio.run(manage(args.folder, address(args.listen), args.watchdog_s, args.program))


if __name__ == "__main__":
    main()
