"""A relay process with an operator's file: a member of a fleet, with status reports and structured logs."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from dataclasses import replace
from pathlib import Path

from ..config import Config, ConfigError, load
from ..core.clock import unix_time_ms
from ..relay_process import ProcessSignals, RelayProcess
from ..structured_logging import LogEvent, configure_structured_logging
from . import operator, parent_watch, report
from .fleet_size import FleetSize
from .recording import Recorder
from .status import LoopLag, StatusError, StatusSocket, socket_folder
from .systemd_notify import SystemdNotifier

log = logging.getLogger(__name__)

POLL_S = 1.0  # how often the shared clock and the fleet's size are checked
RETIRE_POLL_S = 0.1  # how often a retiring instance checks whether it has finished


def clock_offset_ms() -> float:
    """Return the offset from the event loop's clock to the wall clock that all machines share."""
    return unix_time_ms() - asyncio.get_running_loop().time() * 1000


def operated_process(signals: ProcessSignals, notifier: SystemdNotifier) -> OperatedRelayProcess:
    """Return the process configured by the environment. Raises ConfigError, also for the operator's file."""
    try:
        operator_config = operator.config_from_environment()
        assert operator_config is not None
        number = operator.instance_number(operator_config)
        parent_watch.watch_parent()
        if operator_config.log.format != "plain" or operator_config.log != operator.LogSection():
            configure_structured_logging(
                operator_config.log.format, operator_config.log.level, operator_config.log.lines
            )
    except ImportError as error:
        raise ConfigError(f"log.format: needs the extra 'ops' ({error})") from error
    except ValueError as error:
        raise ConfigError(str(error)) from error
    config = load()
    if operator_config.state.own:
        require_owned_state(config)
    return OperatedRelayProcess(config, signals, notifier, operator_config, number)


def require_owned_state(config: Config) -> None:
    """Raises ConfigError if the state folder belongs to another user.

    Prevents a process from creating files in the folder that its owner cannot use.
    """
    try:
        uid = config.state.stat().st_uid
    except OSError:
        return  # opening the folder later raises a better error
    if uid != os.geteuid():
        raise ConfigError(
            f"state: {config.state} belongs to user {uid}, and this process runs as "
            f"{os.geteuid()}: run it as its owner, or set state.own = false"
        )


class OperatedRelayProcess(RelayProcess):
    """A relay process that follows the operator's file."""

    def __init__(
        self,
        config: Config,
        signals: ProcessSignals,
        notifier: SystemdNotifier,
        operator_config: operator.OperatorConfig,
        number: int,
    ) -> None:
        self.operator_config, self.number, self.began_at = operator_config, number, time.time()
        clock = clock_offset_ms()
        self.fleet_size = FleetSize(number, max(operator_config.fleet.instances, number + 1), clock)
        settings = operator.apply_fleet(config.settings, operator_config, number, clock)
        config = replace(config, settings=settings, sync_ms=operator_config.state.sync_every_ms)
        super().__init__(config, signals, notifier, operator_config.amqp)
        self.shared = None
        if operator_config.peers.is_enabled:
            from .common import SharedSubsystems  # imported only if enabled

            self.shared = SharedSubsystems(operator_config, number, config, self.relay)
        self.recorder: Recorder | None = None
        self.state, self.loop_lag = "starting", LoopLag()
        folder = socket_folder(operator_config.status.folder)
        self.status = None if folder is None else StatusSocket(folder / f"{number}.sock", self.report)

    def report(self) -> report.Report:
        """Return the current status report."""
        shards = (
            None
            if self.shared is None or self.shared.sharded_directory is None
            else self.shared.sharded_directory.status()
        )
        return report.report_of(
            self.relay,
            self.number,
            self.state,
            self.began_at,
            self.loop_lag.summary(),
            self.operator_config.status.destinations,
            shards,
            self.composed.memory_watch,
        )

    async def on_serving(self) -> None:
        """Starts status, recording and shared subsystems once messages are accepted."""
        self.state = "serving"
        self.start_recording()
        if self.status is not None:
            self.loop_lag.start()
            try:
                await self.status.open()
            except StatusError as error:  # the instance works without status reports
                log.error(LogEvent("status socket not available", why=error))
        if self.shared is not None:
            await self.shared.start()
        self.relay.tasks.start(self.follow_fleet())
        if self.number >= self.operator_config.fleet.instances:
            self.retire()

    def start_recording(self) -> None:
        """Starts a recording of the traffic if the operator's file enables it."""
        section = self.operator_config.record
        if not section.file:
            return
        path = Path(section.file.replace("{n}", str(self.number)))
        try:
            self.recorder = Recorder(path, section.mb)
        except OSError as error:  # the instance works without a recording
            log.error(LogEvent("recording not available", file=path, why=error))
            return
        self.relay.messages.on_submission = self.recorder.record

    def on_stopped(self) -> None:
        """Stops recording, status and shared subsystems."""
        if self.recorder is not None:
            self.relay.messages.on_submission = None
            self.recorder.close()
        self.loop_lag.stop()
        if self.status is not None:
            self.status.close()
        if self.shared is not None:
            self.shared.close()

    async def follow_fleet(self) -> None:
        """Applies changes of the shared clock and of the fleet's size."""
        while True:
            now = self.relay.driver.now()
            fleet = self.fleet_size.poll(now, clock_offset_ms())
            if fleet is not None:
                log.info(
                    LogEvent(
                        "fleet size or clock changed", instances=fleet.size, clock_ms=round(fleet.clock_ms)
                    )
                )
                self.relay.driver.feed(fleet)
            await asyncio.sleep(POLL_S)

    def reload(self) -> None:
        """Applies settings that can change at run time. Raises ConfigError and then changes nothing."""
        try:
            operator_config = operator.config_from_environment()
        except operator.OperatorError as error:
            raise ConfigError(str(error)) from error
        assert operator_config is not None
        if operator_config.fleet.share_rates != self.operator_config.fleet.share_rates:
            log.warning(LogEvent("fleet.share_rates change needs a restart"))
        if operator_config.shards != self.operator_config.shards:
            log.warning(LogEvent("[shards] change needs a restart"))
        super().reload()
        self.operator_config = operator_config
        logging.getLogger().setLevel(operator_config.log.level.upper())
        if not self.fleet_size.request_size(
            self.relay.driver.now(), operator_config.fleet.instances, operator_config.fleet.settle_s * 1000
        ):
            self.retire()

    def retire(self) -> None:
        """Leaves the fleet: rejects new messages, finishes pending ones, then stops the process."""
        if self.state != "retiring":
            self.state = "retiring"
            log.info(LogEvent("retiring", held=self.relay.messages.pending_count))
            self.relay.retire()
            self.relay.tasks.start(self.stop_when_idle())

    async def stop_when_idle(self) -> None:
        """Stops the process once nothing is pending."""
        while not self.relay.is_idle:
            await asyncio.sleep(RETIRE_POLL_S)
        self.signals.stop.set()
