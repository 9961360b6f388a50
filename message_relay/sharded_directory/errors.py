"""Errors of the sharded directory, with a common base class."""

from __future__ import annotations


class ShardedDirectoryError(Exception):
    """Base class of the errors of this package."""


class UnreadableFrameError(ShardedDirectoryError, ValueError):
    """A frame or datagram is not a message of this protocol; the text has the reason."""


class SourceError(ShardedDirectoryError):
    """The list from a source can't be used; the text has the reason."""


class OutdatedListError(SourceError):
    """The list from a source is older than the version in force."""


class TooManyChangesError(ShardedDirectoryError):
    """A response has more changes than are read at once: the whole list has to be read instead."""
