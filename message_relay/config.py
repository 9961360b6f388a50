"""What a relay is told at its start: `RELAY_CONFIG` and the environment beside it, as typed values."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .decisions.model import Settings
from .decisions.settings import SettingsError, settings_from

Address = tuple[str, int]


OWN_MB = 24  # of an instance that holds nothing: the interpreter, the program, its buffers
MESSAGE_BYTES = 4000  # what a held message of usual size takes, its body and journal entry included


class ConfigError(Exception):
    """The configuration cannot be used; the text says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    known: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    sync_ms: float | None = None  # of the journal: see store/durability.py; None: as on the platform, no sync


def address(text: object) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def carried(hold: int, memory_mb: float | None) -> None:
    """ValueError if so many messages do not fit into the memory limit: better at the start than in a rush."""
    need_mb = OWN_MB + hold * MESSAGE_BYTES / 1e6
    if memory_mb is not None and need_mb > float(memory_mb):
        most = max(0, int((float(memory_mb) - OWN_MB) * 1e6 / MESSAGE_BYTES))
        raise ValueError(
            f"settings.limits.open-cap: holding {hold} messages needs about {need_mb:.0f} MB, "
            f"and limits.memory_mb is {float(memory_mb):g}: hold {most} at most, or raise it"
        )


LEAST_SOCKETS = 64  # descriptors: some forty are the process's own, calls and clients need the rest


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float | None = None
    sockets: int = 1024
    disk_mb: float = 3.0

    def __post_init__(self) -> None:
        if self.memory_mb is not None and self.memory_mb <= 0:
            raise ValueError(f"memory_mb is {self.memory_mb:g}: must be above 0")
        if self.sockets < LEAST_SOCKETS:
            raise ValueError(f"sockets is {self.sockets}: must be {LEAST_SOCKETS} or more")
        if self.disk_mb <= 0:
            raise ValueError(f"disk_mb is {self.disk_mb:g}: must be above 0")


class _File(msgspec.Struct):
    """The file, as far as a relay reads it; the platform may add to it."""

    settings: msgspec.Raw
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    state: str | None = None
    seed: str = "0"
    limits: _Limits = _Limits()
    known: dict[str, Any] | None = None


class _Zones(msgspec.Struct):
    zones: tuple[str, ...] = ()


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Reads the file that RELAY_CONFIG names; the other RELAY_ variables go before what it says, but for
    discovery: there the file is what gets replaced in service, and a process keeps its old environment.
    Raises ConfigError."""
    path = env.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw: _File = msgspec.json.decode(Path(path).read_bytes(), type=_File, strict=False)
        told = {
            key: env.get(f"RELAY_{key.upper()}") or getattr(raw, key) for key in ("name", "listen", "state")
        }
        told["state"] = told["state"] or env.get("STATE_DIRECTORY", "").partition(":")[0]
        told["discovery"] = raw.discovery or env.get("RELAY_DISCOVERY")
        missing = [key for key, value in told.items() if not value]
        if missing:
            raise ConfigError(f"{path}: {missing[0]} is missing")
        settings = settings_from(bytes(raw.settings))
        zones: _Zones = msgspec.json.decode(raw.settings, type=_Zones)
        carried(settings.max_pending_messages, raw.limits.memory_mb)
        return Config(
            name=str(told["name"]),
            listen=address(told["listen"]),
            discovery=address(told["discovery"]),
            state=Path(str(told["state"])),
            seed=int(raw.seed, 16),
            sockets=min(1024, raw.limits.sockets),
            disk_bytes=int(raw.limits.disk_mb * 1e6),
            known=raw.known or {},
            settings=settings,
            zones=zones.zones,
        )
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from error
    except (ValueError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error
