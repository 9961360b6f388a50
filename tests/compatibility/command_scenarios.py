"""The command line: requests, output and exit codes of commands, and output of a failing process."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from . import status_binding as status
from .operator_scenarios import FOLDER_MASK
from .status_scenarios import PATIENCE_S, key_types
from .wire_samples import RULES_TEXT

Values = dict[str, Any]
DURATION = re.compile(r"\d+ ms")

REFUSAL = {"number": 0, "refused": "no"}
RULE_COMMANDS: dict[str, tuple[list[str], Values]] = {
    "propose": (
        ["propose", "RULES", "--share", "0.5", "--guard", "0.8", "--watch", "5", "--least", "10", "--promote"]
        + ["--base", "3", "--cause", "c", "--author", "a"],
        {"number": 4, "refused": ""},
    ),
    "propose with defaults": (["propose", "RULES", "--cause", "c", "--author", "a"], REFUSAL),
    "promote": (["promote", "4", "--author", "a"], {"number": 4, "refused": ""}),
    "withdraw": (["withdraw", "4", "--cause", "c", "--author", "a"], {"number": 4, "refused": ""}),
    "revert": (["revert", "2", "--author", "a"], {"number": 5, "refused": ""}),
    "voters": (["voters", "--add", "1", "--author", "a"], {"number": 5, "refused": ""}),
    "voters, one less": (["voters", "--remove", "1", "--author", "a"], REFUSAL),
    "forget": (["forget", "n9", "--author", "a"], {"number": 5, "refused": ""}),
    "history": (
        ["history"],
        {
            "versions": [
                {"number": 1, "stage": "current", "share": 1, "digest": "d", "author": "a", "cause": "c"}
            ]
        },
    ),
    "explain": (
        ["explain", "m-1"],
        {"calls": [{"message": "m-1", "at_ms": 5.0, "version": "7", "why": ""}]},
    ),
}
ZONE_COMMANDS: dict[str, tuple[list[str], Values]] = {
    "evacuate": (["evacuate", "y", "--cause", "c", "--author", "a"], {"number": 5, "refused": ""}),
    "return": (["return", "y", "--cause", "c", "--author", "a"], REFUSAL),
    "plan": (["plan", "--without", "y"], {"without": ["y"], "plans": []}),
}
# Answers of an instance that the commands print as tables.
RULE_TABLES: dict[str, tuple[list[str], Values]] = {
    "status": (
        ["status"],
        {
            "name": "n0",
            "acts by": "7",
            "newest": 7,
            "lease left s": 0.75,
            "why not": "overtaken",
            "votes": False,
            "mute": "its log is gone",
            "leader": "n1",
            "cleared": 6,
            "waits for": ["n4"],
        },
    ),
    "history": RULE_COMMANDS["history"],
    "explain": RULE_COMMANDS["explain"],
    "promote": RULE_COMMANDS["promote"],
}
ZONE_TABLES: dict[str, tuple[list[str], Values]] = {
    "status": (
        ["status"],
        {
            "name": "n0",
            "decides": True,
            "pairs": [
                {
                    "destination": 7,
                    "from": "z",
                    "to": "y",
                    "state": "lost",
                    "share": 0.5,
                    "since s": 12.5,
                    "flaps": 1,
                }
            ],
        },
    ),
    "plan": (
        ["plan", "--explain"],
        {
            "plans": [
                {
                    "destination": 7,
                    "demand": 40.0,
                    "moved": 10.0,
                    "shed": 1.0,
                    "how": "solved",
                    "flows": {"z anywhere 1 y": 10.0},
                }
            ]
        },
    ),
}


def command_requests() -> Values:
    """Returns the requests that commands send to instances, their exit codes and their output."""
    results: Values = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        Path(folder, "relay.toml").write_text(f'[status]\nfolder = "{folder}"\n')
        Path(folder, "rules.json").write_text(RULES_TEXT)
        for section, output_flags, commands in (
            ("rules", ["--json"], RULE_COMMANDS),
            ("zone", ["--json"], ZONE_COMMANDS),
            ("rules", [], RULE_TABLES),
            ("zone", [], ZONE_TABLES),
        ):
            for command, (arguments, answer) in commands.items():
                result = _command_request(folder, [section, *output_flags], arguments, answer)
                results[" ".join((section, *output_flags, command))] = result
    return results


def _command_request(folder: Path, group: list[str], arguments: list[str], answer: Values) -> Values:
    rules = str(folder / "rules.json")
    resolved = [rules if argument == "RULES" else argument for argument in arguments]
    full_arguments = [
        group[0],
        "--config",
        str(folder / "relay.toml"),
        "--instance",
        "0",
        *group[1:],
        *resolved,
    ]
    request, code, output = status.request_of_command(folder, full_arguments, answer)
    return {"asked": request, "exit code": code, "output": output.splitlines()}


def journal_commands() -> Values:
    """Returns the output of the journal commands for a state folder."""
    with tempfile.TemporaryDirectory() as folder:
        status.journal_folder(Path(folder))
        lines = {
            "verify": ["journal", "verify", folder],
            "show": ["journal", "show", folder, "m-1"],
            "show as JSON": ["journal", "show", "--json", folder, "m-1"],
            "show one that ended": ["journal", "show", "--json", folder, "m-2"],
            "show nothing": ["journal", "show", folder, "m-9"],
            "stats": ["journal", "stats", folder],
            "stats as JSON": ["journal", "stats", "--json", folder],
        }
        results = {name: status.run_command(line, {}) for name, line in lines.items()}
    return {name: [code, DURATION.sub("TIME ms", output)] for name, (code, output) in results.items()}


def recording() -> Values:
    """Returns the form of a recording, whose tenants and message ids are hidden by a random key."""
    with tempfile.TemporaryDirectory() as folder:
        head, line = status.recorded_lines(Path(folder, "recording"))
    _, class_, destination, tenant, size, left_ms, ident = line
    return {
        "head": key_types(head),
        "version": head["v"],
        "types of a line": [type(each).__name__ for each in line],
        "class, destination, size, time left": [class_, destination, size, left_ms],
        "lengths of hidden names": [len(tenant), len(ident)],
    }


def command_line() -> Values:
    with tempfile.TemporaryDirectory() as folder:
        valid, invalid = Path(folder, "good.toml"), Path(folder, "bad.toml")
        valid.write_text(f'[fleet]\ninstances = 2\n[status]\nfolder = "{folder}"\n')
        invalid.write_text("[fleet]\ninstance = 2\n")
        lines = {
            "check, good": ["check", str(valid)],
            "check, bad": ["check", str(invalid)],
            "status, nobody": ["status", "--folder", folder],
            "status, two forms": ["status", "--folder", folder, "--json", "--prometheus"],
            "status, no folder": ["status"],
            "rules, nobody": ["rules", "--config", str(valid), "history"],
            "rules status, nobody": ["rules", "--config", str(valid), "--instance", "0", "--json", "status"],
            "fleet, bad": ["fleet", "--config", str(invalid)],
            "no such command": ["nothing"],
        }
        results = {name: status.run_command(line, {"RUNTIME_DIRECTORY": ""}) for name, line in lines.items()}
    return {
        "commands": status.commands(),
        "exit codes of an instance": status.exit_codes(),
        "ends": {
            name: [code, output.replace(folder, FOLDER_MASK)] for name, (code, output) in results.items()
        },
        "process without a configuration": _process({}),
        "process with a bad operator's file": _process({"RELAY_OPERATOR": "missing.toml"}),
    }


def _process(env: dict[str, str]) -> list[Any]:
    """Returns the exit code and the last line on standard error of an instance with this environment."""
    path = os.pathsep.join(entry for entry in sys.path if entry)
    result = subprocess.run(
        [sys.executable, *status.program_arguments()],
        env={"PATH": os.environ.get("PATH", ""), "PYTHONPATH": path, **env},
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        check=False,
    )
    return [result.returncode, result.stderr.splitlines()[-1:]]


def log_lines() -> Values:
    fields = {"waiting": 3, "why": "no answer"}
    line = json.loads(status.log_line("json", "part", "notices failed", fields))
    plain = status.log_line("plain", "part", "notices failed", fields)
    return {"json": {**line, "timestamp": "TIME"}, "plain": plain.partition("WARNING")[2]}
