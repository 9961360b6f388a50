"""The state that has to outlast a voter's process: a small file next to its replicated log."""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec

from ..gossip.identity import write_atomically
from ..structured_logging import LogEvent

log = logging.getLogger(__name__)

STATE_FILE = "standing.json"


class VoterState(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of the file; the encoded names are part of its format."""

    cleared: int = 0  # number of the newest version that this voter has cleared
    highest_epochs: dict[str, int] = msgspec.field(default_factory=dict, name="boots")  # by identity
    log_started: bool = msgspec.field(default=False, name="voted")  # a log was started in this folder
    voters: tuple[str, ...] = ()  # of the newest version known; () before the first


def load_voter_state(folder: Path) -> VoterState:
    """Return the saved state, or an empty one if there is none or it is damaged. Raises OSError."""
    try:
        return msgspec.json.decode((folder / STATE_FILE).read_bytes(), type=VoterState)
    except FileNotFoundError:
        return VoterState()
    except msgspec.MsgspecError as error:
        log.error(LogEvent("voter state unreadable, reset", why=error))
        return VoterState()


def save_voter_state(folder: Path, state: VoterState) -> None:
    """Write the state and sync it. Raises OSError."""
    write_atomically(folder / STATE_FILE, state)
