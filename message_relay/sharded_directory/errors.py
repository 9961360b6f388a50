"""Errors of the sharded directory, under one base class."""

from __future__ import annotations


class ShardedDirectoryError(Exception):
    """Base class of the errors of this package."""


class UnreadableFrameError(ShardedDirectoryError, ValueError):
    """A frame or datagram is no message of this protocol; the text says why."""


class SourceError(ShardedDirectoryError):
    """The list from a source can't be used; the text says why."""


class OutdatedListError(SourceError):
    """The list from a source is older than what is known."""


class TooManyChangesError(ShardedDirectoryError):
    """A source has more changes than are read at once: the whole list is to be read instead."""
