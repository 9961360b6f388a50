"""One relay instance as a process: signal handling, start, reload and stop."""

from __future__ import annotations

import asyncio
import logging
import signal

from .amqp.settings import AmqpSettings
from .composition import compose, garbage_limit_bytes
from .config import Config, ConfigError, load
from .fleet.socket_activation import inherited_sockets
from .fleet.systemd_notify import SystemdNotifier
from .gc_policy import run_gc_policy
from .process_memory import resident_bytes
from .structured_logging import LogEvent

log = logging.getLogger(__name__)


class ProcessSignals:
    """Events that are set when the process receives a signal to stop or to reload."""

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)  # before a file is read: no change is missed
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)


class RelayProcess:
    """A relay as the platform runs it; `fleet.instance` adds the features of an operator's file."""

    def __init__(
        self,
        config: Config,
        signals: ProcessSignals,
        notifier: SystemdNotifier,
        amqp: AmqpSettings | None = None,
    ) -> None:
        self.signals = signals
        self.notifier = notifier
        self.composed = compose(config, inherited_sockets(), amqp, resident_bytes())
        self.relay = self.composed.relay

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, and returns once the relay has stopped."""
        self.notifier.start()
        await self.composed.start()
        await self.on_serving()
        self.notifier.ready()
        config = self.relay.config
        log.info(LogEvent("serving", name=config.name, listen="{}:{}".format(*config.listen)))
        self.relay.tasks.start(self.watch_reloads())
        self.relay.tasks.start(self._collect_garbage())
        if self.composed.memory_watch is not None:
            self.composed.memory_watch.log_plan()
            self.relay.tasks.start(self.composed.memory_watch.run())
        await self.signals.stop.wait()
        self.notifier.stopping()
        try:
            await self.relay.stop()
        finally:
            self.on_stopped()
            self.notifier.close()

    async def _collect_garbage(self) -> None:
        relay = self.relay
        await run_gc_policy(
            lambda: relay.messages.pending_count,
            lambda: relay.journal.memory_bytes,
            garbage_limit_bytes(self.composed.memory),
        )

    async def on_serving(self) -> None:
        """Called when the relay accepts messages, before the service manager is notified."""

    def on_stopped(self) -> None:
        """Called when the relay has stopped, even if stopping failed."""

    async def watch_reloads(self) -> None:
        """Reloads the configuration at each signal, even while the relay is stopping."""
        while True:
            await self.signals.reload.wait()
            self.signals.reload.clear()
            self.notifier.reloading()
            try:
                self.reload()
                log.info(LogEvent("config reloaded"))
            except (ConfigError, ValueError) as error:
                log.error(LogEvent("config reload rejected", why=error))
                self.notifier.status(f"the new configuration is passed over: {error}")
            self.notifier.ready()

    def reload(self) -> None:
        """Reads the configuration again.

        Raises ConfigError or ValueError, without changing anything, if a file cannot be used.
        """
        self.relay.reload(load())
