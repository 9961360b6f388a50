"""Writes the fixtures of the wire formats and outputs: `python -m tests.compatibility.wire_fixtures FOLDER`.

Run it only for an intended change of a format, and review what has changed. `operator.toml`, `shards.toml`
and `platform.json` are written by hand: the other fixtures hold what is read from them.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from . import agreement_binding as agreement
from . import command_scenarios
from . import gossip_binding as gossip
from . import operator_scenarios as operators
from . import shard_binding as shards
from . import status_scenarios as status
from . import wire_binding as wire
from . import wire_scenarios as scenarios
from .wire_samples import LAYOUT, MESSAGES, ROW, RULES, RULES_TEXT

FOLDER = Path(__file__).parent / "fixtures" / "wire"
BAD_RULES = ('{"destination":{}}', '{"destinations":{"7":{"rate":-1}}}', '{"flows":{"x":{}}}')
STEPS, SILENT_FROM = 120, 40  # of 0.1 s each: a member that falls silent is declared dead well before the end


def messages() -> dict[str, Any]:
    """Returns the bytes of each sample and their decoded values."""
    return {
        kind: {name: _message(kind, plain, wire.encode(kind, plain)) for name, plain in samples.items()}
        for kind, samples in MESSAGES.items()
    }


def _message(kind: str, plain: Any, raw: bytes) -> dict[str, Any]:
    return {"plain": plain, "hex": raw.hex(), "values": wire.decode(kind, raw)}


def exchanges() -> dict[str, Any]:
    """Returns what the components that build messages send."""
    return {
        "states of members": gossip.member_state_numbers(),
        "gossip": gossip.gossip_conversation(STEPS, SILENT_FROM),
        "frame of a connection": gossip.connection_frame(b"payload", b"").hex(),
        "sealed frame of a connection": gossip.connection_frame(b"payload", wire.SECRET).hex(),
        "leases": agreement.lease_round(RULES_TEXT),
        "versions": agreement.version_history_after(RULES_TEXT),
        "members that try a version": agreement.canary_members(
            6, RULES_TEXT, 0.5, [f"n{number}" for number in range(12)]
        ),
        "digest of rules": agreement.rules_digest(json.dumps(RULES)),
        "differences of rules": agreement.rules_difference("{}", json.dumps(RULES)),
        "faults of rules": [agreement.rules_error(text) for text in BAD_RULES],
        "capabilities": agreement.rules_capabilities(json.dumps(RULES), 1),
        "evidence": agreement.observations_of_calls(),
        "shards": shards.shard_hashes(ROW, LAYOUT, "s-1"),
        "log of voters": status.log_of_voters(),
    }


PRODUCERS: dict[str, Callable[[], dict[str, Any]]] = {
    "messages": messages,
    "exchanges": exchanges,
    "agent_requests": scenarios.agent_requests,
    "endpoint_calls": scenarios.endpoint_calls,
    "client_answers": scenarios.client_answers,
    "amqp_frames": scenarios.amqp_frames,
    "amqp_links": scenarios.amqp_links,
    "operator_files": operators.operator_files,
    "known_keys": operators.known_keys,
    "operator_faults": operators.operator_errors,
    "platform_files": operators.platform_files,
    "variables": operators.variables,
    "status_shown": status.status_shown,
    "status_sockets": status.status_sockets,
    "instances": status.instances,
    "command_questions": command_scenarios.command_requests,
    "command_line": command_scenarios.command_line,
    "journal_commands": command_scenarios.journal_commands,
    "recording": command_scenarios.recording,
    "log_lines": command_scenarios.log_lines,
}


def produced(name: str) -> Any:
    """Returns the produced values as they look when read from a file."""
    return json.loads(json.dumps(PRODUCERS[name]()))


def stored(name: str) -> Any:
    return json.loads((FOLDER / f"{name}.json").read_text())


def main(folder: Path) -> None:
    for name in PRODUCERS:
        (folder / f"{name}.json").write_text(json.dumps(produced(name), indent=1, ensure_ascii=False) + "\n")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
