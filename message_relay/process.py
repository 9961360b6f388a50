"""One instance as a process: its signals, its files, and its exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from .amqp.settings import AmqpSettings
from .composition import compose
from .config import Config, ConfigError, load
from .fleet.socket_activation import SocketActivationError, inherited_sockets
from .fleet.systemd_notify import NotifyError, SystemdNotifier
from .gc_policy import run_gc_policy
from .store.errors import DirectoryLockedError, UnsupportedFormatError
from .structured_logging import LogEvent, configure_plain_logging

log = logging.getLogger(__name__)

OPERATOR = "RELAY_OPERATOR"  # names the operator's file, where there is one
REFUSED, FAILED = 2, 1  # exit codes: the configuration makes no sense; something cannot be had


class ProcessSignals:
    """What the system has told this process, from its first moment on."""

    def __init__(self) -> None:
        self.stop, self.reload = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)  # before a file is read: no change is missed
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)


class RelayProcess:
    """From its start to its stop, as on the platform; fleet/instance.py adds what an operator's file sets."""

    def __init__(
        self,
        config: Config,
        signals: ProcessSignals,
        notifier: SystemdNotifier,
        amqp: AmqpSettings | None = None,
    ) -> None:
        self.signals, self.notifier = signals, notifier
        self.composed = compose(config, inherited_sockets(), amqp)
        self.relay = self.composed.relay

    async def run(self) -> None:
        self.notifier.start()
        await self.composed.start()
        await self.on_serving()
        self.notifier.ready()
        log.info(
            LogEvent("serving", name=self.relay.config.name, listen="{}:{}".format(*self.relay.config.listen))
        )
        self.relay.tasks.start(self.watch_reloads())
        self.relay.tasks.start(run_gc_policy(lambda: self.relay.messages.pending_count))
        await self.signals.stop.wait()
        self.notifier.stopping()
        try:
            await self.relay.stop()
        finally:
            self.on_stopped()
            self.notifier.close()

    async def on_serving(self) -> None:
        """Messages are taken from now on."""

    def on_stopped(self) -> None:
        """They no longer are."""

    async def watch_reloads(self) -> None:
        """Takes over what a replaced configuration says, also while the relay is stopping."""
        while True:
            await self.signals.reload.wait()
            self.signals.reload.clear()
            self.notifier.reloading()
            try:
                self.reload()
                log.info(LogEvent("the configuration is read again"))
            except (ConfigError, ValueError) as error:
                log.error(LogEvent("the new configuration is passed over", why=error))
                self.notifier.status(f"the new configuration is passed over: {error}")
            self.notifier.ready()

    def reload(self) -> None:
        """Raises ConfigError or ValueError where a file makes no sense: then nothing has changed."""
        self.relay.reload(load())


async def serve() -> None:
    signals = ProcessSignals()
    notifier = SystemdNotifier.of()
    if os.environ.get(OPERATOR):
        from .fleet.instance import operated

        await operated(signals, notifier).run()
    else:
        await RelayProcess(load(), signals, notifier).run()


def main() -> int:
    """Runs one instance until it is told to stop; the exit code (docs/daemon.md)."""
    # Guards against the default action, which ends the process, until the loop has a handler of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    configure_plain_logging()
    try:
        asyncio.run(serve())
    except (ConfigError, SocketActivationError, NotifyError, UnsupportedFormatError) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return REFUSED
    except (OSError, DirectoryLockedError) as error:
        print(f"linnetstile: {error}", file=sys.stderr)
        return FAILED
    finally:
        logging.shutdown()
    return 0
