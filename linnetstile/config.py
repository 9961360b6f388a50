"""What a relay is told at its start: `RELAY_CONFIG` and the environment beside it, as typed values."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .interface import Settings
from .settings import SettingsError, settings_from

Address = tuple[str, int]


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


def address(text: object) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Reads the file that RELAY_CONFIG names; the other RELAY_ variables go before what it says, but for
    discovery: there the file is what gets replaced in service, and a process keeps its old environment."""
    path = env.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_text())
        told = {key: env.get(f"RELAY_{key.upper()}") or raw.get(key) for key in
                ("name", "listen", "state")}
        told["discovery"] = raw.get("discovery") or env.get("RELAY_DISCOVERY")
        missing = [key for key, value in told.items() if not value]
        if missing:
            raise ConfigError(f"{path}: {missing[0]} is missing")
        limits = raw.get("limits", {})
        return Config(
            name=str(told["name"]), listen=address(told["listen"]), discovery=address(told["discovery"]),
            state=Path(str(told["state"])), seed=int(str(raw.get("seed", "0")), 16),
            sockets=min(1024, int(limits.get("sockets", 1024))),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1e6),
            known=dict(raw.get("known") or {}), settings=settings_from(json.dumps(raw["settings"])),
            zones=tuple(raw["settings"].get("zones", ())),
        )
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {error}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (ValueError, TypeError, AttributeError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from error
