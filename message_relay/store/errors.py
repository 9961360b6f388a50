"""Exceptions of the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base of all exceptions that the store defines."""


class JournalError(StoreError):
    """A record could not be written, so its content must not be promised to a client or the platform."""


class JournalFullError(JournalError):
    """The disk budget has no space for another message."""


class UnsupportedFormatError(StoreError):
    """The directory was written by a later version of the program."""


class DirectoryLockedError(StoreError):
    """Another process uses the directory."""
