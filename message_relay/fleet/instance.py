"""An instance with an operator's file: one of a fleet, with a report, logs for machines, and a lifeline."""

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

POLL_S = 1.0  # how often the shared clock and the fleet's size are looked at
RETIRE_POLL_S = 0.1  # how often one that retires looks whether it holds nothing any more


def clock_offset_ms() -> float:
    """What is to be added to the loop's clock for the one that all machines read."""
    return unix_time_ms() - asyncio.get_running_loop().time() * 1000


def operated_process(signals: ProcessSignals, notifier: SystemdNotifier) -> OperatedRelayProcess:
    """As the environment says. Raises ConfigError, where the operator's file makes no sense too."""
    try:
        told = operator.config_from_environment()
        assert told is not None
        number = operator.instance_number(told)
        parent_watch.watch_parent()
        if told.log.format != "plain" or told.log != operator.LogSection():
            configure_structured_logging(told.log.format, told.log.level, told.log.lines)
    except ImportError as error:
        raise ConfigError(f"log.format: needs the extra 'ops' ({error})") from error
    except ValueError as error:
        raise ConfigError(str(error)) from error
    config = load()
    if told.state.own:
        require_owned_state(config)
    return OperatedRelayProcess(config, signals, notifier, told, number)


def require_owned_state(config: Config) -> None:
    """Guards a folder against a process that would leave files there which its owner cannot use."""
    try:
        uid = config.state.stat().st_uid
    except OSError:
        return  # told better when it is opened
    if uid != os.geteuid():
        raise ConfigError(
            f"state: {config.state} belongs to user {uid}, and this process runs as "
            f"{os.geteuid()}: run it as its owner, or set state.own = false"
        )


class OperatedRelayProcess(RelayProcess):
    def __init__(
        self,
        config: Config,
        signals: ProcessSignals,
        notifier: SystemdNotifier,
        told: operator.OperatorConfig,
        number: int,
    ) -> None:
        self.operator_config, self.number, self.began_at = told, number, time.time()
        clock = clock_offset_ms()
        self.fleet_size = FleetSize(number, max(told.fleet.instances, number + 1), clock)
        settings = operator.apply_fleet(config.settings, told, number, clock)
        config = replace(config, settings=settings, sync_ms=told.state.sync_every_ms)
        super().__init__(config, signals, notifier, told.amqp)
        self.shared = None
        if told.peers.is_enabled:
            from .common import SharedSubsystems  # not imported where instances share nothing

            self.shared = SharedSubsystems(told, number, config, self.relay)
        self.recorder: Recorder | None = None
        self.state, self.loop_lag = "starting", LoopLag()
        folder = socket_folder(told.status.folder)
        self.status = None if folder is None else StatusSocket(folder / f"{number}.sock", self.report)

    def report(self) -> report.Report:
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
        )

    async def on_serving(self) -> None:
        self.state = "serving"
        self.start_recording()
        if self.status is not None:
            self.loop_lag.start()
            try:
                await self.status.open()
            except StatusError as error:  # one without a report still serves
                log.error(LogEvent("no report is given", why=error))
        if self.shared is not None:
            await self.shared.start()
        self.relay.tasks.start(self.follow_fleet())
        if self.number >= self.operator_config.fleet.instances:
            self.retire()

    def start_recording(self) -> None:
        part = self.operator_config.record
        if not part.file:
            return
        path = Path(part.file.replace("{n}", str(self.number)))
        try:
            self.recorder = Recorder(path, part.mb)
        except OSError as error:  # one without a recording still serves
            log.error(LogEvent("no recording is made", file=path, why=error))
            return
        self.relay.messages.on_submission = self.recorder.record

    def on_stopped(self) -> None:
        if self.recorder is not None:
            self.relay.messages.on_submission = None
            self.recorder.close()
        self.loop_lag.stop()
        if self.status is not None:
            self.status.close()
        if self.shared is not None:
            self.shared.close()

    async def follow_fleet(self) -> None:
        """Follows the shared clock and the fleet's size."""
        while True:
            now = self.relay.driver.now()
            fleet = self.fleet_size.poll(now, clock_offset_ms())
            if fleet is not None:
                log.info(
                    LogEvent("the fleet has changed", instances=fleet.size, clock_ms=round(fleet.clock_ms))
                )
                self.relay.driver.feed(fleet)
            await asyncio.sleep(POLL_S)

    def reload(self) -> None:
        try:
            told = operator.config_from_environment()
        except operator.OperatorError as error:
            raise ConfigError(str(error)) from error
        assert told is not None
        if told.fleet.share_rates != self.operator_config.fleet.share_rates:
            log.warning(LogEvent("a change of fleet.share_rates waits for a restart"))
        if told.shards != self.operator_config.shards:
            log.warning(LogEvent("a change of [shards] waits for a restart"))
        super().reload()
        self.operator_config = told
        logging.getLogger().setLevel(told.log.level.upper())
        if not self.fleet_size.request_size(
            self.relay.driver.now(), told.fleet.instances, told.fleet.settle_s * 1000
        ):
            self.retire()

    def retire(self) -> None:
        """It is not one of the fleet any more: takes nothing new, ends what it holds, and then itself."""
        if self.state != "retiring":
            self.state = "retiring"
            log.info(LogEvent("retiring", held=self.relay.messages.pending_count))
            self.relay.retire()
            self.relay.tasks.start(self.stop_when_idle())

    async def stop_when_idle(self) -> None:
        while not self.relay.is_idle:
            await asyncio.sleep(RETIRE_POLL_S)
        self.signals.stop.set()
