"""One process for one folder: two that write one journal would each undo what the other has promised."""

from __future__ import annotations

import errno
import fcntl
import logging
import os
from pathlib import Path

from ..structured_logging import LogEvent
from .errors import DirectoryLockedError

log = logging.getLogger(__name__)


class DirectoryLock:
    """An advisory lock (flock) on the folder itself: takes no room in it, and ends with its process however
    that ends, so that none is ever left behind by a dead one."""

    def __init__(self, folder: Path) -> None:
        """Raises FolderBusy at once if the lock is taken; OSError if the folder cannot be opened."""
        self.file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                self.release()
                raise DirectoryLockedError(
                    f"{folder}: another process works in it; end that one first, " "or name another folder"
                ) from error
            log.warning(
                LogEvent(
                    "a folder cannot be locked: see to it that one process works in it",
                    folder=folder,
                    why=error,
                )
            )

    def release(self) -> None:
        """May be called more than once."""
        if self.file >= 0:
            os.close(self.file)
            self.file = -1
