"""Loads the configuration of a relay from the file that `RELAY_CONFIG` names and the environment."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .decisions.model import Settings
from .decisions.settings import SettingsError, settings_from

Address = tuple[str, int]  # host and port

BASE_MEMORY_MB = 24  # memory of an instance without messages: interpreter, program, buffers
MESSAGE_BYTES = 4000  # memory of a pending message of typical size, with its body and journal entry
MIN_SOCKETS = 64  # descriptors: the process itself uses about 40, calls and clients need the rest
MAX_SOCKETS = 1024


class ConfigError(Exception):
    """The configuration cannot be used; the text describes the problem."""


@dataclass(frozen=True, slots=True)
class Config:
    """A relay's configuration, validated."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    sockets: int
    disk_bytes: int
    known_endpoints: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    memory_mb: float | None = None  # limit of the process; None: not limited
    sync_ms: float | None = None  # of the journal, see store/durability.py; None: no sync, as on the platform


def address(text: object) -> Address:
    """Parses HOST:PORT. Raises ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def check_memory_limit(max_pending: int, memory_mb: float | None) -> None:
    """Raises ValueError at startup if so many messages could exceed the memory limit under load."""
    need_mb = BASE_MEMORY_MB + max_pending * MESSAGE_BYTES / 1e6
    if memory_mb is not None and need_mb > float(memory_mb):
        max_fitting = max(0, int((float(memory_mb) - BASE_MEMORY_MB) * 1e6 / MESSAGE_BYTES))
        raise ValueError(
            f"settings.limits.open-cap: holding {max_pending} messages needs about {need_mb:.0f} MB, "
            f"and limits.memory_mb is {float(memory_mb):g}: hold {max_fitting} at most, or raise it"
        )


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float | None = None
    sockets: int = MAX_SOCKETS
    disk_mb: float = 3.0

    def __post_init__(self) -> None:
        if self.memory_mb is not None and self.memory_mb <= 0:
            raise ValueError(f"memory_mb is {self.memory_mb:g}: must be above 0")
        if self.sockets < MIN_SOCKETS:
            raise ValueError(f"sockets is {self.sockets}: must be {MIN_SOCKETS} or more")
        if self.disk_mb <= 0:
            raise ValueError(f"disk_mb is {self.disk_mb:g}: must be above 0")


class _File(msgspec.Struct):
    """The keys of the configuration file that a relay reads; the platform may add others."""

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
    """Reads the file that RELAY_CONFIG names. Raises ConfigError.

    The other RELAY_ variables take precedence over the file, except for discovery: the file can be replaced
    while the process runs, but its environment cannot.
    """
    path = env.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw: _File = msgspec.json.decode(Path(path).read_bytes(), type=_File, strict=False)
        values = {
            key: env.get(f"RELAY_{key.upper()}") or getattr(raw, key) for key in ("name", "listen", "state")
        }
        values["state"] = values["state"] or env.get("STATE_DIRECTORY", "").partition(":")[0]
        values["discovery"] = raw.discovery or env.get("RELAY_DISCOVERY")
        missing = [key for key, value in values.items() if not value]
        if missing:
            raise ConfigError(f"{path}: {missing[0]} is missing")
        settings = settings_from(bytes(raw.settings))
        zones: _Zones = msgspec.json.decode(raw.settings, type=_Zones)
        check_memory_limit(settings.max_pending_messages, raw.limits.memory_mb)
        return Config(
            name=str(values["name"]),
            listen=address(values["listen"]),
            discovery=address(values["discovery"]),
            state=Path(str(values["state"])),
            seed=int(raw.seed, 16),
            sockets=min(MAX_SOCKETS, raw.limits.sockets),
            disk_bytes=int(raw.limits.disk_mb * 1e6),
            known_endpoints=raw.known or {},
            settings=settings,
            zones=zones.zones,
            memory_mb=raw.limits.memory_mb,
        )
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from error
    except (ValueError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error
