"""The product's names for what operators are shown: reports, answers, commands, metrics, log lines."""

from __future__ import annotations

import asyncio
import io
import logging
import os
import socket
import threading
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import msgspec
from click.testing import CliRunner
from rich.console import Console

from message_relay import process
from message_relay.cli.main import group
from message_relay.cli.status import as_json, prometheus, rendered
from message_relay.composition import compose
from message_relay.config import load
from message_relay.consensus.admin_socket import AdminSocket
from message_relay.consensus.active_rules import ActiveRules, LeaseTier
from message_relay.consensus.raft_storage import with_checksum
from message_relay.consensus.raft_transport import FRAME_KIND
from message_relay.consensus.replicated_log import ReplicatedLog
from message_relay.consensus.rules import Rules
from message_relay.consensus.version_history import VersionHistory
from message_relay.core.ports import CallContext, Submission
from message_relay.failover.observations import Demand, WindowSample
from message_relay.failover.observations import ObservationReport as Evidence
from message_relay.failover.zone_health import HealthState as PairState
from message_relay.fleet import report
from message_relay.fleet.common import SharedSubsystems
from message_relay.fleet.operator import OperatorConfig, decoded
from message_relay.fleet.plan import InstanceState as InstanceState
from message_relay.fleet.recording import Recorder
from message_relay.fleet.report import FleetReport, Lag, Report
from message_relay.fleet.status import StatusSocket, fetch_report
from message_relay.gossip.framing import Hello
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry
from message_relay.structured_logging import BoundedLogWriter, LogEvent, configure_structured_logging

Values = dict[str, Any]
MODULE = "message_relay"  # what `python -m` starts


# -- reports -----------------------------------------------------------------------------------------------


def _reports(plain: Sequence[Values]) -> list[Report]:
    return [msgspec.convert(each, Report) for each in plain]


def _fleet(plain: Values | None) -> FleetReport | None:
    return None if plain is None else msgspec.convert(plain, FleetReport)


def status_json(reports: Sequence[Values], fleet: Values | None, silent: list[str]) -> str:
    return as_json(_reports(reports), _fleet(fleet), silent)


def status_metrics(reports: Sequence[Values], fleet: Values | None) -> str:
    return prometheus(_reports(reports), _fleet(fleet))


def status_tables(reports: Sequence[Values], fleet: Values | None, silent: list[str]) -> list[str]:
    """As they are printed on a wide terminal."""
    out = io.StringIO()
    Console(file=out, width=220, color_system=None).print(rendered(_reports(reports), _fleet(fleet), silent))
    return [line.rstrip() for line in out.getvalue().splitlines()]


async def status_over_socket(path: Path, plain: Values, fleet: bool) -> tuple[bytes, Values]:
    """What a caller of the socket reads, and what the command makes of it."""
    told: Report | FleetReport
    told = msgspec.convert(plain, FleetReport) if fleet else msgspec.convert(plain, Report)
    server = StatusSocket(path, lambda: told)
    await server.open()
    try:
        reader, writer = await asyncio.open_unix_connection(str(path))
        raw = await reader.read(-1)
        writer.close()
        understood: Values = msgspec.to_builtins(await fetch_report(path))
        return raw, understood
    finally:
        server.close()


def instance_states() -> list[str]:
    """As a supervisor tells them."""
    states = InstanceState
    return [each.value for each in (states.DOWN, states.STARTING, states.UP, states.ENDING, states.FAILED)]


def pair_states() -> list[str]:
    """Of a pair of zones, as plans of failover tell them."""
    return [
        each.value for each in (PairState.HEALTHY, PairState.DEGRADED, PairState.LOST, PairState.RECOVERING)
    ]


def rules_labels() -> list[str]:
    """By which rules a call is made, as partners and operators are told."""
    acted = (
        ((7,), LeaseTier.LEASE),
        ((7, 8), LeaseTier.LEASE),
        ((7,), LeaseTier.STANDBY),
        ((), LeaseTier.FLOOR),
    )
    return [ActiveRules(Rules(), versions, tier).label for versions, tier in acted]


# -- a whole instance --------------------------------------------------------------------------------------


class Instance:
    """The parts of instance 0 that talk to peers and operators, put together and not started."""

    def __init__(self, config_file: Path, operator: Values) -> None:
        self.operator: OperatorConfig = decoded(operator, "relay.toml")
        config = load({"RELAY_CONFIG": str(config_file)})
        settings = replace(config.settings, relays=self.operator.fleet.instances)
        self.parts = compose(replace(config, settings=settings))
        self.common = SharedSubsystems(self.operator, 0, config, self.parts.relay)

    def message_kinds(self) -> list[list[str]]:
        """Of datagrams, and of frames of connections."""
        return [sorted(self.common.gossip.datagram_handlers), sorted(self.common.gossip.frame_handlers)]

    def report(self) -> Values:
        told = report.report_of(self.parts.relay, 0, "serving", 0.0, Lag(), 10)
        return dict(msgspec.to_builtins(told))

    def shards_report(self) -> Values:
        assert self.common.sharded_directory is not None
        return dict(msgspec.to_builtins(self.common.sharded_directory.status()))

    async def frame_answer(self, kind: str, payload: bytes) -> bytes:
        """To a message on a connection of another instance."""
        answer = self.common.gossip.frame_handlers[kind](Hello("n1", kind, 5), payload)
        if answer is None or isinstance(answer, bytes):
            return answer or b""
        return await answer or b""

    async def operators_answer(self, asked: Values) -> Values:
        """To a question, as JSON on the socket."""
        assert self.common.admin_socket is not None
        control: AdminSocket = self.common.admin_socket
        await control.open()
        try:
            reader, writer = await asyncio.open_unix_connection(str(control.path))
            writer.write(msgspec.json.encode(asked))
            writer.write_eof()
            raw = await reader.read(-1)
            writer.close()
            answer: Values = msgspec.json.decode(raw)
            return answer
        finally:
            control.close()

    def control_socket_name(self) -> str:
        assert self.common.admin_socket is not None
        return self.common.admin_socket.path.name

    def allow_a_call(self, message: str) -> None:
        """A call is asked for, so that there is something to explain."""
        assert self.common.consensus is not None
        call = CallContext(message, 7, "e", "z", "safe", 0, False, False)
        self.common.consensus.rule_enforcer.authorize(0.0, call)

    def see_a_zone_fail(self) -> None:
        """All calls into one zone fail, and a plan is made of that."""
        failover, accord = self.common.failover, self.common.consensus
        assert failover is not None and accord is not None
        now, rooms = asyncio.get_running_loop().time(), {7: {"z": 50.0, "y": 50.0}}
        for window in range(10):
            for name in ("n0", "n1", "n2"):
                cells = (WindowSample(7, "z", 40, 0, 40), WindowSample(7, "y", 40, 40, 0, 0, ((4, 40),)))
                demand = (Demand(7, "anywhere 1", 40.0),)
                told = Evidence(name, 1, window, 0, "z", 9.5 - window, 0.1, demand, cells)
                failover.observations.add(now, told)
        rules = accord.newest_rules()
        problems = failover.controller.update(now, rules, rooms)
        plans = failover.controller.compute_plans(problems)
        failover.controller.next_rules(now, rules, rooms, {"z": ["n0", "n1", "n2"]}, problems, plans)

    async def close(self) -> None:
        await self.parts.relay.close()


def log_command(folder: Path, raw: bytes) -> tuple[str, bytes]:
    """The kind of frames in which voters send each other the log, and a command as it stands in it."""
    entries: list[bytes] = []
    node: Any = _FramesOnly()
    log = ReplicatedLog(folder, node, "n0", [], VersionHistory(Rules(), ("n0",)), lambda: None)
    log.raft._applyCommand = lambda entry, *more: entries.append(entry)
    log.raft.apply_command(with_checksum(raw))
    log.raft.destroy()
    return FRAME_KIND, entries[0]


class _FramesOnly:
    """As much of a node of peers as a log without peers needs."""

    def __init__(self) -> None:
        self.frame_handlers: dict[str, Any] = {}


# -- commands ----------------------------------------------------------------------------------------------


def commands() -> Values:
    """Every command with its arguments and flags."""
    found: Values = {}

    def walk(path: str, command: click.Command) -> None:
        found[path or "(none)"] = [_parameter(each) for each in command.params]
        if isinstance(command, click.Group):
            for name, each in sorted(command.commands.items()):
                walk(f"{path} {name}".strip(), each)

    walk("", group)
    return found


def _parameter(parameter: click.Parameter) -> str:
    names = "/".join([*parameter.opts, *parameter.secondary_opts])
    if isinstance(parameter, click.Argument):
        return parameter.human_readable_name
    flag = isinstance(parameter, click.Option) and parameter.is_flag
    kind = "flag" if flag else parameter.type.name
    return f"{names} {kind}" + (", required" if parameter.required else "")


def run_command(arguments: list[str], env: dict[str, str]) -> tuple[int, str]:
    """Exit code and output."""
    told = CliRunner().invoke(group, arguments, env={"COLUMNS": "200", **env}, prog_name="relay")
    return told.exit_code, told.output


def question_of_command(folder: Path, arguments: list[str], answer: Values) -> tuple[Values, int, str]:
    """What a command asks an instance, and what it makes of this answer: exit code and output."""
    asked: list[bytes] = []
    server = socket.socket(socket.AF_UNIX)
    server.bind(str(folder / "0.rules"))
    server.listen()

    def serve() -> None:
        try:
            taken, _ = server.accept()
        except OSError:  # the command has asked nothing
            return
        parts = []
        while part := taken.recv(65536):
            parts.append(part)
        asked.append(b"".join(parts))
        taken.sendall(msgspec.json.encode(answer))
        taken.close()

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        code, output = run_command(arguments, {})
    finally:
        server.shutdown(socket.SHUT_RDWR)
        thread.join()
        server.close()
        (folder / "0.rules").unlink()
    told: Values = msgspec.json.decode(asked[0]) if asked else {}
    return told, code, output


def exit_codes() -> Values:
    return {"refused": process.EXIT_CONFIG_REJECTED, "failed": process.EXIT_RESOURCE_UNAVAILABLE}


def program_arguments(*arguments: str) -> list[str]:
    """Behind the interpreter, to start the program."""
    return ["-m", MODULE, *arguments]


def journal_folder(folder: Path) -> None:
    """A state folder with a message that may have run, one that ended and one that is held."""
    journal = Journal(folder, 3_000_000)
    for number, (ident, key) in enumerate((("m-1", "k-1"), ("m-2", None), ("m-3", None))):
        since = 1_700_000_000_000.0 + number
        journal.append_accepted(JournalEntry(ident, "pay", "t", 7, key, since, since + 5000, "1", b"hello"))
    risky, failed = journal.entries["m-1"], journal.entries["m-2"]
    journal.append_attempt(risky, 1_700_000_000_100.0, "e-1", 2, 55.0)
    journal.append_outcome(risky, True)
    journal.append_attempt(risky, 1_700_000_000_200.0, "e-2", 1, 65.0)
    journal.append_final_outcome(failed, "returned", 250.0)
    journal.close()


def recorded_lines(path: Path) -> list[Any]:
    """A recording of one message that is handed in."""
    recorder = Recorder(path, 1.0)
    recorder.record(Submission("m-1", "pay", "t", 7, None, 4000, "", b"hello", "http"))
    recorder.close()
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]


# -- log lines ---------------------------------------------------------------------------------------------


def log_line(format_: str, logger: str, event: str, fields: Values) -> str:
    """One line as it is written to standard error."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    reading, writing = os.pipe()
    root.handlers[:] = []
    writer: BoundedLogWriter = configure_structured_logging(format_, "info", 10, writing)
    try:
        logging.getLogger(logger).warning(LogEvent(event, **fields))
        writer.close()
        return os.read(reading, 65536).decode()
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
        os.close(reading)
        os.close(writing)
