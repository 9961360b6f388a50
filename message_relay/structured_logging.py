"""Structured logging: a record is an event name with fields, never a message body, a key or a secret.

The default is plain lines through the standard library. If the operator's file enables it, structlog (extra
`ops`) renders the same records as JSON or console lines, and a thread writes them. If the reader is slow or
has stopped, lines are dropped and counted; the event loop is never blocked.
"""

from __future__ import annotations

import logging
import os
import queue
import sys
import threading
from collections.abc import Callable, MutableMapping
from typing import Any

FORMATS = ("plain", "json", "console")
FLUSH_TIMEOUT_S = 1.0  # for writing the queued lines at shutdown
MAX_LINE_BYTES = 8192  # longer lines are truncated, so that one record cannot fill the buffer


class LogEvent:
    """An event name with its fields; rendered as text only when a line is written."""

    __slots__ = ("event", "fields")

    def __init__(self, event: str, **fields: object) -> None:
        self.event = event
        self.fields = fields

    def __str__(self) -> str:
        return " ".join((self.event, *(f"{name}={value}" for name, value in self.fields.items())))


class BoundedLogWriter(logging.Handler):
    """Writes lines to a file descriptor from a thread; past `capacity` lines, drops and counts them."""

    def __init__(self, descriptor: int, capacity: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(capacity)
        self.thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record's line, without blocking."""
        try:
            line = self.format(record).encode(errors="replace")[:MAX_LINE_BYTES] + b"\n"
        except Exception:
            self.handleError(record)
            return
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def _write_lines(self) -> None:
        while (line := self.lines.get()) is not None:
            if self.dropped:
                lost, self.dropped = self.dropped, 0
                line += f"{lost} log lines were dropped: nobody read them\n".encode()
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:
                pass  # the reader has closed the log; the relay continues without it

    def close(self) -> None:
        """Writes the queued lines, within FLUSH_TIMEOUT_S."""
        try:
            self.lines.put(None, timeout=FLUSH_TIMEOUT_S)
        except queue.Full:
            return  # the daemon thread is blocked in a write; it ends with the process
        self.thread.join(FLUSH_TIMEOUT_S)
        super().close()


def configure_plain_logging(level: str = "info") -> None:
    """Logs plain lines to standard error, as on the platform."""
    logging.basicConfig(level=level.upper(), format="%(asctime)s %(levelname)s %(name)s: %(message)s")


def configure_structured_logging(
    format_: str, level: str, capacity: int, descriptor: int = 2
) -> BoundedLogWriter:
    """Replaces the logging configuration. Raises ImportError if structlog is not installed.

    `format_` is one of FORMATS; `capacity` is the maximum number of queued lines.
    """
    writer = BoundedLogWriter(descriptor, capacity)
    if format_ == "plain":
        writer.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    else:
        writer.setFormatter(_formatter(format_))
    root = logging.getLogger()
    for handler in root.handlers[:]:
        root.removeHandler(handler)
        handler.close()
    root.addHandler(writer)
    root.setLevel(level.upper())
    return writer


def _formatter(format_: str) -> logging.Formatter:
    import structlog

    shared: list[Callable[..., Any]] = [
        _add_event_fields,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    renderer: Callable[..., Any] = (
        structlog.processors.JSONRenderer(default=str)
        if format_ == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
    )


def _add_event_fields(
    _logger: object, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Adds the fields of a record's `LogEvent` to the line, without overwriting the standard ones."""
    message = event["_record"].msg
    if isinstance(message, LogEvent):
        event["event"] = message.event
        for name, value in message.fields.items():
            event.setdefault(name, value)
    return event
