"""Traffic recording: one line for each submitted message, for replay by `emulator`.

    {"v":1,"begun":UNIX_MS,"salt":...}                   first; `salt` identifies the hashes, not their key
    [MS, "class", DESTINATION, "tenant", BYTES, LEFT_MS, "ID HASH"]

Bodies and idempotency keys are never recorded. Ids and tenants are hashed (BLAKE2b, keyed with a secret that
exists only in this process), so that lines of one tenant can be grouped but no tenant can be identified. The
file is bounded: after `mb` nothing more is written, and the last line has the number of dropped lines. Lines
are buffered in memory up to BUFFER_BYTES and written by a thread, so that a slow disk does not block the
event loop; lines that do not fit into the buffer are dropped and counted too."""

from __future__ import annotations

import hashlib
import logging
import os
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import msgspec

from ..core.ports import Submission
from ..structured_logging import LogEvent

log = logging.getLogger(__name__)

FORMAT_VERSION = 1
BUFFER_BYTES = 64 * 1024  # maximum size of the unwritten lines, and of one write
FLUSH_BYTES = 16 * 1024


class Recorder:
    """Writes one line for each submitted message, bounded in memory and on disk."""

    def __init__(self, path: Path, mb: float) -> None:
        """Replaces an earlier file of that name. Raises OSError if the file cannot be created."""
        self.remaining_bytes = int(mb * 1e6)
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        self.secret, self.started_at_ms = os.urandom(32), time.time() * 1000
        self.encode = msgspec.json.Encoder().encode
        self.lines, self.size, self.dropped, self.is_closed = list[bytes](), 0, 0, False
        self.thread = ThreadPoolExecutor(1, "recording")
        self.writing: Future[None] | None = None
        self._add({"v": FORMAT_VERSION, "begun": round(self.started_at_ms), "salt": os.urandom(4).hex()})

    def record(self, submission: Submission) -> None:
        """Records a submitted message, whether or not it is accepted."""
        if self.is_closed:
            self.dropped += 1
            return
        self._add(
            [
                round(time.time() * 1000 - self.started_at_ms, 1),
                submission.class_name,
                submission.destination,
                self._hash(submission.tenant, 4),
                len(submission.body),
                submission.remaining_ms,
                self._hash(submission.id, 8),
            ]
        )

    def _hash(self, text: str, size: int) -> str:
        return hashlib.blake2b(text.encode(), digest_size=size, key=self.secret).hexdigest()

    def _add(self, line: object) -> None:
        data = self.encode(line) + b"\n"
        if self.size + len(data) > BUFFER_BYTES or self.remaining_bytes < len(data):
            self.dropped += 1
            return
        self.remaining_bytes -= len(data)
        self.size += len(data)
        self.lines.append(data)
        if self.size >= FLUSH_BYTES and (self.writing is None or self.writing.done()):
            self._write()

    def _write(self) -> None:
        data, self.lines, self.size = b"".join(self.lines), [], 0
        self.writing = self.thread.submit(self._write_all, data)

    def _write_all(self, data: bytes) -> None:
        try:
            while data:
                data = data[os.write(self.file, data) :]
        except OSError as error:
            if not self.is_closed:
                log.error(LogEvent("recording write failed", why=error))
            self.is_closed = True

    def close(self) -> None:
        """Writes the remaining lines and the number of dropped ones. Blocks, so only for shutdown."""
        if self.dropped:
            self.lines.append(self.encode({"dropped": self.dropped}) + b"\n")
        self._write()
        self.thread.shutdown(wait=True)
        self.is_closed = True
        os.close(self.file)
