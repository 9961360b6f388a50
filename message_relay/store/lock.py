"""Lock of a state directory: two processes writing one journal would break each other's promises."""

from __future__ import annotations

import errno
import fcntl
import logging
import os
from pathlib import Path

from ..structured_logging import LogEvent
from .errors import DirectoryLockedError

log = logging.getLogger(__name__)

NO_DESCRIPTOR = -1


class DirectoryLock:
    """An advisory lock (flock) on the directory itself.

    It takes no space in the directory, and the system releases it however the process ends, so that a dead
    process leaves no lock behind."""

    def __init__(self, folder: Path) -> None:
        """Takes the lock without waiting.

        Raises DirectoryLockedError if another process holds it; OSError if the directory can't be opened."""
        self.descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                self.release()
                raise DirectoryLockedError(
                    f"{folder}: another process works in it; end that one first, or name another folder"
                ) from error
            log.warning(LogEvent("state directory lock unavailable", folder=folder, why=error))

    def release(self) -> None:
        """Releases the lock; may be called more than once."""
        if self.descriptor != NO_DESCRIPTOR:
            os.close(self.descriptor)
            self.descriptor = NO_DESCRIPTOR
