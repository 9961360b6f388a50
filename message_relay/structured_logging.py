"""What the relay logs: an event's name and its fields, never a body, a key or a secret.

Plain lines through the standard library are the default. Where the operator's file asks for it, structlog
(extra `ops`) makes JSON or console lines of the same records, and a thread writes them: a reader that is slow
or has stopped costs lines, which are counted, and never a turn of the loop."""

from __future__ import annotations

import logging
import os
import queue
import sys
import threading
from collections.abc import Callable, MutableMapping
from typing import Any

FORMATS = ("plain", "json", "console")
FLUSH_S = 1.0  # at the end what still waits may take so long
LINE_BYTES = 8192  # a longer line is cut: one record must not fill the buffer


class LogEvent:
    """An event's name with its fields; as text only where a line of it is written."""

    __slots__ = ("event", "fields")

    def __init__(self, event: str, **fields: object) -> None:
        self.event, self.fields = event, fields

    def __str__(self) -> str:
        return " ".join((self.event, *(f"{name}={value}" for name, value in self.fields.items())))


class BoundedLogWriter(logging.Handler):
    """Lines for a descriptor, written by a thread; `most` wait at the most, others are dropped and told."""

    def __init__(self, descriptor: int, most: int) -> None:
        super().__init__()
        self.descriptor, self.dropped = descriptor, 0
        self.waiting: queue.Queue[bytes | None] = queue.Queue(most)
        self.thread = threading.Thread(target=self._work, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode(errors="replace")[:LINE_BYTES] + b"\n"
        except Exception:
            self.handleError(record)
            return
        try:
            self.waiting.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def _work(self) -> None:
        while (line := self.waiting.get()) is not None:
            if self.dropped:
                lost, self.dropped = self.dropped, 0
                line += f"{lost} log lines were dropped: nobody read them\n".encode()
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:
                pass  # nobody reads any more; the relay goes on without a log

    def close(self) -> None:
        try:
            self.waiting.put(None, timeout=FLUSH_S)
        except queue.Full:
            return  # the thread hangs in its write, and ends with the process
        self.thread.join(FLUSH_S)
        super().close()


def configure_plain_logging(level: str = "info") -> None:
    """Lines to standard error, as on the platform."""
    logging.basicConfig(level=level.upper(), format="%(asctime)s %(levelname)s %(name)s: %(message)s")


def configure_structured_logging(
    format_: str, level: str, most: int, descriptor: int = 2
) -> BoundedLogWriter:
    """Replaces whatever was set up. Raises ImportError where structlog is not installed."""
    writer = BoundedLogWriter(descriptor, most)
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
        _fields,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    last: Callable[..., Any] = (
        structlog.processors.JSONRenderer(default=str)
        if format_ == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=shared,
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last],
    )


def _fields(_: object, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """A record's `Note` as fields of the line; the names that every line has are the line's."""
    note = event["_record"].msg
    if isinstance(note, LogEvent):
        event["event"] = note.event
        for name, value in note.fields.items():
            event.setdefault(name, value)
    return event
