"""A service manager's side: starts a program, holds its listening socket, hears what it says, and ends it.

    python -m fakes.service_manager --listen 127.0.0.1:PORT --folder DIR [--watchdog-s N] -- PROGRAM ARGS

Speaks sd_notify(3) and sd_listen_fds(3) as their pages describe them. What the program says is printed, a
line each; SIGHUP and SIGTERM are passed on, and a program that ends by itself is started again.
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

HANDED = 3  # where the listening socket goes in the program
LAUNCH = "import os,sys; os.environ['LISTEN_PID']=str(os.getpid()); os.execv(sys.argv[1], sys.argv[1:])"


class ServiceManager:
    def __init__(self, folder: Path, listen: tuple[str, int], watchdog_s: float = 0.0) -> None:
        self.path, self.watchdog_s = folder / "notify", watchdog_s
        self.path.unlink(missing_ok=True)
        self.notify = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.notify.bind(str(self.path))
        self.notify.setblocking(False)
        self.listener = socket.create_server(listen, backlog=512)
        self.port = int(self.listener.getsockname()[1])
        self.said: list[dict[str, str]] = []
        self.beats: list[float] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reading = False

    def read(self) -> None:
        """From now on it hears; until then what is said fills the socket."""
        self.reading = True
        asyncio.get_running_loop().add_reader(self.notify.fileno(), self._heard)

    def _heard(self) -> None:
        lines = dict(line.split("=", 1) for line in self.notify.recv(4096).decode().splitlines())
        if lines.pop("WATCHDOG", "") == "1":
            self.beats.append(asyncio.get_running_loop().time())
        if lines:
            self.said.append(lines)

    def fill(self) -> int:
        """Stuffs the socket, as if the manager were stuck; how many datagrams went in."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as other:
            other.setblocking(False)
            count = 0
            while True:
                try:
                    other.sendto(b"STATUS=full", str(self.path))
                    count += 1
                except BlockingIOError:
                    return count

    async def start(self, *program: str, env: dict[str, str] | None = None) -> None:
        more = {"NOTIFY_SOCKET": str(self.path), "LISTEN_FDS": "1", "LISTEN_FDNAMES": "clients"}
        if self.watchdog_s:
            more["WATCHDOG_USEC"] = str(int(self.watchdog_s * 1e6))
        fd = self.listener.fileno()

        def hand_over() -> None:
            os.dup2(fd, HANDED, inheritable=True)

        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            LAUNCH,
            *program,
            env={**os.environ, **(env or {}), **more},
            pass_fds=(HANDED,) if fd == HANDED else (),
            close_fds=False,
            preexec_fn=hand_over,
        )

    async def heard(self, name: str, times: int = 1) -> dict[str, str]:
        """The datagram that says this for the so-many-th time."""
        while len(found := [lines for lines in self.said if name in lines]) < times:
            await asyncio.sleep(0.01)
        return found[times - 1]

    def tell(self, what: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(what)

    async def end(self, how: signal.Signals = signal.SIGTERM) -> int:
        self.tell(how)
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
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: manager.tell(signal.SIGHUP))
    print(f"ready 127.0.0.1:{manager.port}", flush=True)
    while not stop.is_set():
        await manager.start(*program)
        assert manager.process is not None
        ended = asyncio.ensure_future(manager.process.wait())
        stopped = asyncio.ensure_future(stop.wait())
        while not ended.done() and not stopped.done():
            await asyncio.wait({ended, stopped}, timeout=0.2, return_when=asyncio.FIRST_COMPLETED)
            for lines in manager.said:
                print(*(f"{name}={value}" for name, value in lines.items()), flush=True)
            manager.said.clear()
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
