"""Journal writes whose failure is logged and returned instead of raised."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..store.errors import JournalError
from ..structured_logging import LogEvent

log = logging.getLogger(__name__)


def try_write(write: Callable[[], None]) -> bool:
    """Runs `write`; returns False, and logs the reason, if the journal could not store the record."""
    try:
        write()
        return True
    except JournalError as error:
        log.error(LogEvent("journal write failed", why=error))
        return False
