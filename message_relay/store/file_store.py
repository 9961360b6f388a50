"""Disk access of the store: a flat directory of append-only files.

Tests replace the directory with a model in which any call may fail, be cut short, be lost or be reordered
(tests/store/disk.py)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple, Protocol

READ_BYTES = 1 << 16  # an unreadable part of a file loses at most this many bytes
NO_DESCRIPTOR = -1


class FileContent(NamedTuple):
    """The content of a file, as far as it could be read."""

    data: bytes
    is_complete: bool  # False: unreadable parts are replaced by zeros


class FileStore(Protocol):
    """A directory. A call that raises OSError changes nothing, unless its docstring says otherwise."""

    def sizes(self) -> dict[str, int]:
        """The size of each file, in bytes."""

    def read(self, name: str) -> FileContent:
        """The content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Appends all of the data or nothing; makes the file with its first bytes."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces `new` atomically if it exists."""

    def unlink(self, name: str) -> None:
        """Removes a file. Raises FileNotFoundError if there is none."""

    def sync(self, name: str) -> None:
        """Makes the data and the name of a file durable. May be called on a thread."""

    def close(self) -> None:
        """Closes the store; no call may follow."""


class DirectoryFileStore:
    """A directory of the file system. Keeps the most recently appended file open."""

    def __init__(self, folder: Path) -> None:
        """`folder`: an existing directory."""
        self.folder = folder
        self.open_name = ""
        self.descriptor = NO_DESCRIPTOR
        self.open_size = 0  # bytes of the open file
        self.is_closed = False
        self.durable_names: set[str] = set()  # files whose directory entries were synced

    def sizes(self) -> dict[str, int]:
        """The size of each regular file, in bytes."""
        with os.scandir(self.folder) as items:
            return {item.name: item.stat().st_size for item in items if item.is_file(follow_symlinks=False)}

    def read(self, name: str) -> FileContent:
        """Reads a file in parts, so that a bad sector loses one part only."""
        parts = list[bytes]()
        is_complete = True
        with open(self.folder / name, "rb", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size
            for offset in range(0, size, READ_BYTES):
                try:
                    part = os.pread(file.fileno(), READ_BYTES, offset)
                except OSError:  # a bad sector: the following parts may be readable
                    part = b""
                    is_complete = False
                parts.append(part.ljust(min(READ_BYTES, size - offset), b"\0"))
        return FileContent(b"".join(parts), is_complete)

    def append(self, name: str, data: bytes) -> None:
        """Appends all of the data or nothing; makes the file with its first bytes."""
        if self.is_closed:  # Prevents a late record from being written to a reused descriptor
            raise OSError("the store is closed")
        if name != self.open_name:
            self._open(name)
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            self._truncate()
            raise
        if written < len(data):
            self._truncate()
            raise OSError(f"only {written} of {len(data)} bytes could be written")
        self.open_size += written

    def _open(self, name: str) -> None:
        self._close_file()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self.descriptor = os.open(self.folder / name, flags, 0o600)
        self.open_name = name
        self.open_size = os.fstat(self.descriptor).st_size

    def _truncate(self) -> None:
        """Removes a partly written record, since no record may follow it."""
        try:
            os.ftruncate(self.descriptor, self.open_size)
        except OSError:
            self._close_file()  # the log ends this segment (SegmentLog._account_failed_append)
            raise

    def _close_file(self) -> None:
        if self.descriptor != NO_DESCRIPTOR:
            os.close(self.descriptor)
        self.open_name = ""
        self.descriptor = NO_DESCRIPTOR

    def rename(self, old: str, new: str) -> None:
        """Renames a file; replaces `new` atomically if it exists."""
        if old == self.open_name:
            self._close_file()
        os.rename(self.folder / old, self.folder / new)

    def unlink(self, name: str) -> None:
        """Removes a file. Raises FileNotFoundError if there is none."""
        if name == self.open_name:
            self._close_file()
        os.unlink(self.folder / name)

    def sync(self, name: str) -> None:
        """Makes the data and the name of a file durable. May be called on a thread."""
        self._fsync(self.folder / name)
        if name not in self.durable_names:
            self._fsync(self.folder)
            self.durable_names = {name, *self.durable_names.intersection(os.listdir(self.folder))}

    @staticmethod
    def _fsync(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes the open file; later appends fail."""
        self._close_file()
        self.is_closed = True
