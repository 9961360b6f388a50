"""Output of the product for operators: reports, answers, commands, metrics and log lines.

A rename in the product changes this module and not the fixtures, whose keys are neutral.
"""

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
from message_relay.failover.zone_health import HealthState as ZoneState
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
MODULE = "message_relay"  # the module that `python -m` runs


# -- reports -----------------------------------------------------------------------------------------------


def _reports(plain: Sequence[Values]) -> list[Report]:
    return [msgspec.convert(values, Report) for values in plain]


def _fleet(plain: Values | None) -> FleetReport | None:
    return None if plain is None else msgspec.convert(plain, FleetReport)


def status_json(reports: Sequence[Values], fleet: Values | None, silent: list[str]) -> str:
    return as_json(_reports(reports), _fleet(fleet), silent)


def status_metrics(reports: Sequence[Values], fleet: Values | None) -> str:
    return prometheus(_reports(reports), _fleet(fleet))


def status_tables(reports: Sequence[Values], fleet: Values | None, silent: list[str]) -> list[str]:
    """Returns the tables as printed on a wide terminal."""
    output = io.StringIO()
    Console(file=output, width=220, color_system=None).print(
        rendered(_reports(reports), _fleet(fleet), silent)
    )
    return [line.rstrip() for line in output.getvalue().splitlines()]


async def status_over_socket(path: Path, plain: Values, fleet: bool) -> tuple[bytes, Values]:
    """Returns the bytes that a client of the socket reads, and the report decoded from them."""
    report_: Report | FleetReport
    report_ = msgspec.convert(plain, FleetReport) if fleet else msgspec.convert(plain, Report)
    server = StatusSocket(path, lambda: report_)
    await server.open()
    try:
        reader, writer = await asyncio.open_unix_connection(str(path))
        raw = await reader.read(-1)
        writer.close()
        decoded_report: Values = msgspec.to_builtins(await fetch_report(path))
        return raw, decoded_report
    finally:
        server.close()


def instance_states() -> list[str]:
    """Returns the states of instances that a supervisor reports."""
    states = InstanceState
    return [state.value for state in (states.DOWN, states.STARTING, states.UP, states.ENDING, states.FAILED)]


def zone_pair_states() -> list[str]:
    """Returns the states of a pair of zones that failover plans report."""
    return [
        state.value for state in (ZoneState.HEALTHY, ZoneState.DEGRADED, ZoneState.LOST, ZoneState.RECOVERING)
    ]


def rules_labels() -> list[str]:
    """Returns labels of the active rules, as partners and operators get them."""
    active = (
        ((7,), LeaseTier.LEASE),
        ((7, 8), LeaseTier.LEASE),
        ((7,), LeaseTier.STANDBY),
        ((), LeaseTier.FLOOR),
    )
    return [ActiveRules(Rules(), versions, tier).label for versions, tier in active]


# -- a whole instance --------------------------------------------------------------------------------------


class Instance:
    """The subsystems of instance 0 that serve peers and operators, composed and not started."""

    def __init__(self, config_file: Path, operator: Values) -> None:
        self.operator: OperatorConfig = decoded(operator, "relay.toml")
        config = load({"RELAY_CONFIG": str(config_file)})
        settings = replace(config.settings, relays=self.operator.fleet.instances)
        self.parts = compose(replace(config, settings=settings))
        self.common = SharedSubsystems(self.operator, 0, config, self.parts.relay)

    def message_kinds(self) -> list[list[str]]:
        """Returns the kinds of datagrams, and those of frames on connections."""
        return [sorted(self.common.gossip.datagram_handlers), sorted(self.common.gossip.frame_handlers)]

    def report(self) -> Values:
        own_report = report.report_of(self.parts.relay, 0, "serving", 0.0, Lag(), 10)
        return dict(msgspec.to_builtins(own_report))

    def shards_report(self) -> Values:
        assert self.common.sharded_directory is not None
        return dict(msgspec.to_builtins(self.common.sharded_directory.status()))

    async def frame_answer(self, kind: str, payload: bytes) -> bytes:
        """Returns the answer to a message on a connection from another instance."""
        answer = self.common.gossip.frame_handlers[kind](Hello("n1", kind, 5), payload)
        if answer is None or isinstance(answer, bytes):
            return answer or b""
        return await answer or b""

    async def admin_answer(self, request: Values) -> Values:
        """Returns the answer to a JSON request on the admin socket."""
        assert self.common.admin_socket is not None
        control: AdminSocket = self.common.admin_socket
        await control.open()
        try:
            reader, writer = await asyncio.open_unix_connection(str(control.path))
            writer.write(msgspec.json.encode(request))
            writer.write_eof()
            raw = await reader.read(-1)
            writer.close()
            answer: Values = msgspec.json.decode(raw)
            return answer
        finally:
            control.close()

    def admin_socket_name(self) -> str:
        assert self.common.admin_socket is not None
        return self.common.admin_socket.path.name

    def authorize_call(self, message: str) -> None:
        """Authorizes a call, so that there is a decision to explain."""
        assert self.common.consensus is not None
        call = CallContext(message, 7, "e", "z", "safe", 0, False, False)
        self.common.consensus.rule_enforcer.authorize(0.0, call)

    def report_failing_zone(self) -> None:
        """Reports that all calls into one zone fail, and computes a plan for it."""
        failover, consensus = self.common.failover, self.common.consensus
        assert failover is not None and consensus is not None
        now, capacities = asyncio.get_running_loop().time(), {7: {"z": 50.0, "y": 50.0}}
        for window in range(10):
            for name in ("n0", "n1", "n2"):
                samples = (WindowSample(7, "z", 40, 0, 40), WindowSample(7, "y", 40, 40, 0, 0, ((4, 40),)))
                demand = (Demand(7, "anywhere 1", 40.0),)
                observed = Evidence(name, 1, window, 0, "z", 9.5 - window, 0.1, demand, samples)
                failover.observations.add(now, observed)
        rules = consensus.newest_rules()
        problems = failover.controller.update(now, rules, capacities)
        plans = failover.controller.compute_plans(problems)
        failover.controller.next_rules(now, rules, capacities, {"z": ["n0", "n1", "n2"]}, problems, plans)

    async def close(self) -> None:
        await self.parts.relay.close()


def log_command(folder: Path, raw: bytes) -> tuple[str, bytes]:
    """Returns the kind of the frames in which voters exchange the log, and the log entry of a command."""
    entries: list[bytes] = []
    node: Any = _FramesOnly()
    log = ReplicatedLog(folder, node, "n0", [], VersionHistory(Rules(), ("n0",)), lambda: None)
    log.raft._applyCommand = lambda entry, *_: entries.append(entry)
    log.raft.apply_command(with_checksum(raw))
    log.raft.destroy()
    return FRAME_KIND, entries[0]


class _FramesOnly:
    """The part of the gossip node that a log without other voters needs."""

    def __init__(self) -> None:
        self.frame_handlers: dict[str, Any] = {}


# -- commands ----------------------------------------------------------------------------------------------


def commands() -> Values:
    """Returns every command with its arguments and flags."""
    parameters: Values = {}

    def walk(path: str, command: click.Command) -> None:
        parameters[path or "(none)"] = [_parameter(member) for member in command.params]
        if isinstance(command, click.Group):
            for name, member in sorted(command.commands.items()):
                walk(f"{path} {name}".strip(), member)

    walk("", group)
    return parameters


def _parameter(parameter: click.Parameter) -> str:
    names = "/".join([*parameter.opts, *parameter.secondary_opts])
    if isinstance(parameter, click.Argument):
        return parameter.human_readable_name
    flag = isinstance(parameter, click.Option) and parameter.is_flag
    kind = "flag" if flag else parameter.type.name
    return f"{names} {kind}" + (", required" if parameter.required else "")


def run_command(arguments: list[str], env: dict[str, str]) -> tuple[int, str]:
    """Runs a command; returns its exit code and output."""
    result = CliRunner().invoke(group, arguments, env={"COLUMNS": "200", **env}, prog_name="relay")
    return result.exit_code, result.output


def request_of_command(folder: Path, arguments: list[str], answer: Values) -> tuple[Values, int, str]:
    """Returns the request that a command sends, and its exit code and output for the given answer."""
    requests: list[bytes] = []
    server = socket.socket(socket.AF_UNIX)
    server.bind(str(folder / "0.rules"))
    server.listen()

    def serve() -> None:
        try:
            connection, _ = server.accept()
        except OSError:  # the command has sent no request
            return
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
        requests.append(b"".join(parts))
        connection.sendall(msgspec.json.encode(answer))
        connection.close()

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        code, output = run_command(arguments, {})
    finally:
        server.shutdown(socket.SHUT_RDWR)
        thread.join()
        server.close()
        (folder / "0.rules").unlink()
    request: Values = msgspec.json.decode(requests[0]) if requests else {}
    return request, code, output


def exit_codes() -> Values:
    return {"refused": process.EXIT_CONFIG_REJECTED, "failed": process.EXIT_RESOURCE_UNAVAILABLE}


def program_arguments(*arguments: str) -> list[str]:
    """Returns the arguments of the interpreter that start the program."""
    return ["-m", MODULE, *arguments]


def journal_folder(folder: Path) -> None:
    """Writes a state folder with a message of possible effect, one with a final outcome and a pending one."""
    journal = Journal(folder, 3_000_000)
    for number, (ident, key) in enumerate((("m-1", "k-1"), ("m-2", None), ("m-3", None))):
        accepted_at_ms = 1_700_000_000_000.0 + number
        journal.append_accepted(
            JournalEntry(ident, "pay", "t", 7, key, accepted_at_ms, accepted_at_ms + 5000, "1", b"hello")
        )
    uncertain, failed = journal.entries["m-1"], journal.entries["m-2"]
    journal.append_attempt(uncertain, 1_700_000_000_100.0, "e-1", 2, 55.0)
    journal.append_outcome(uncertain, True)
    journal.append_attempt(uncertain, 1_700_000_000_200.0, "e-2", 1, 65.0)
    journal.append_final_outcome(failed, "returned", 250.0)
    journal.close()


def recorded_lines(path: Path) -> list[Any]:
    """Returns the lines of a recording of one submission."""
    recorder = Recorder(path, 1.0)
    recorder.record(Submission("m-1", "pay", "t", 7, None, 4000, "", b"hello", "http"))
    recorder.close()
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]


# -- log lines ---------------------------------------------------------------------------------------------


def log_line(format_: str, logger: str, event: str, fields: Values) -> str:
    """Returns one line as written to standard error."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    read_fd, write_fd = os.pipe()
    root.handlers[:] = []
    writer: BoundedLogWriter = configure_structured_logging(format_, "info", 10, write_fd)
    try:
        logging.getLogger(logger).warning(LogEvent(event, **fields))
        writer.close()
        return os.read(read_fd, 65536).decode()
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
        os.close(read_fd)
        os.close(write_fd)
