"""One instance as a process: its signals, its files, and its exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from .amqp.settings import AmqpPart
from .assembly import assemble
from .config import Config, ConfigError, load
from .fleet.handover import HandoverError, handed_over
from .fleet.notify import Notifier, NotifyError
from .garbage import tend
from .logs import Note, plain
from .store.frame import NewerFormat
from .store.lock import FolderBusy

log = logging.getLogger(__name__)

OPERATOR = "RELAY_OPERATOR"  # names the operator's file, where there is one
REFUSED, FAILED = 2, 1  # exit codes: the configuration makes no sense; something cannot be had


class Signals:
    """What the system has told this process, from its first moment on."""

    def __init__(self) -> None:
        self.stop, self.change = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.change.set)  # before a file is read: no change is missed
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)


class Life:
    """From its start to its stop, as on the platform; fleet/instance.py adds what an operator's file sets."""

    def __init__(
        self, config: Config, signals: Signals, notifier: Notifier, amqp: AmqpPart | None = None
    ) -> None:
        self.signals, self.notifier = signals, notifier
        self.built = assemble(config, handed_over(), amqp)
        self.host = self.built.host

    async def run(self) -> None:
        self.notifier.start()
        await self.built.start()
        await self.serving()
        self.notifier.ready()
        log.info(Note("serving", name=self.host.config.name, listen="{}:{}".format(*self.host.config.listen)))
        self.host.tasks.start(self.follow())
        self.host.tasks.start(tend(lambda: self.host.messages.holding))
        await self.signals.stop.wait()
        self.notifier.stopping()
        try:
            await self.host.stop()
        finally:
            self.ended()
            self.notifier.close()

    async def serving(self) -> None:
        """Messages are taken from now on."""

    def ended(self) -> None:
        """They no longer are."""

    async def follow(self) -> None:
        """Takes over what a replaced configuration says, also while the relay is stopping."""
        while True:
            await self.signals.change.wait()
            self.signals.change.clear()
            self.notifier.reloading()
            try:
                self.reload()
                log.info(Note("the configuration is read again"))
            except (ConfigError, ValueError) as error:
                log.error(Note("the new configuration is passed over", why=error))
                self.notifier.status(f"the new configuration is passed over: {error}")
            self.notifier.ready()

    def reload(self) -> None:
        """Raises ConfigError or ValueError where a file makes no sense: then nothing has changed."""
        self.host.reload(load())


async def serve() -> None:
    signals = Signals()
    notifier = Notifier.of()
    if os.environ.get(OPERATOR):
        from .fleet.instance import operated

        await operated(signals, notifier).run()
    else:
        await Life(load(), signals, notifier).run()


def main() -> int:
    """Runs one instance until it is told to stop; the exit code (docs/daemon.md)."""
    # Guards against the default action, which ends the process, until the loop has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    plain()
    try:
        asyncio.run(serve())
    except (ConfigError, HandoverError, NotifyError, NewerFormat) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return REFUSED
    except (OSError, FolderBusy) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return FAILED
    finally:
        logging.shutdown()
    return 0
