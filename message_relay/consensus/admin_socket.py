"""Unix socket for operators' requests, mode 0600 in the status folder: one JSON request, one JSON answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from ..fleet.status import MAX_CALLERS, StatusError, UnixSocket
from .rules import MAX_RULES_BYTES, RulesError
from .version_history import Guard

log = logging.getLogger(__name__)

READ_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 15.0


class AdminRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request of an operator's command to an instance."""

    # status, history, version, explain, zones, plan, or one of `admin_requests.CHANGES`
    operation: str = msgspec.field(name="ask")
    rules: msgspec.Raw = msgspec.Raw(b"{}")
    author: str = ""
    cause: str = ""
    base: int | None = None
    number: int = 0
    share: float = 1.0
    guard: Guard | None = None
    add: int | None = None
    remove: int | None = None
    name: str = ""
    message: str = ""


class AdminSocket(UnixSocket):
    """Passes each request to `on_request` and writes its answer."""

    def __init__(self, path: Path, on_request: Callable[[AdminRequest], Awaitable[dict[str, Any]]]) -> None:
        super().__init__(path)
        self.on_request = on_request

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            if self.open_connections <= MAX_CALLERS:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    raw = await read_request(reader)
                writer.write(msgspec.json.encode(await self._answer(raw)))
                await writer.drain()
        except (OSError, TimeoutError):
            pass  # the client has closed the connection, or sends nothing
        except Exception:
            log.exception("admin request failed")
        finally:
            self.open_connections -= 1
            writer.close()

    async def _answer(self, raw: bytes) -> dict[str, Any]:
        try:
            return await self.on_request(msgspec.json.decode(raw, type=AdminRequest))
        except (RulesError, msgspec.MsgspecError) as error:
            return {"number": 0, "refused": str(error)}


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read the request to the end of the stream. Raises RulesError if it is too long."""
    parts = []
    length = 0
    while part := await reader.read(65536):
        parts.append(part)
        length += len(part)
        if length > 2 * MAX_RULES_BYTES:
            raise RulesError(f"rules: {MAX_RULES_BYTES} bytes at most")
    return b"".join(parts)


async def send_request(
    path: Path, request: dict[str, Any], seconds: float = ANSWER_TIMEOUT_S
) -> dict[str, Any]:
    """Send a request to an instance and return its answer. Raises StatusError if there is none in time."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_unix_connection(str(path))
            try:
                writer.write(msgspec.json.encode(request))
                writer.write_eof()
                raw = await reader.read(-1)
            finally:
                writer.close()
        answer: dict[str, Any] = msgspec.json.decode(raw)
        return answer
    except TimeoutError as error:
        raise StatusError(f"{path.name}: no answer within {seconds:g} s") from error
    except OSError as error:
        raise StatusError(f"{path.name}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise StatusError(f"{path.name}: invalid answer: {error}") from error
