"""Access of the store to the disk: a flat directory of files, each of which is only ever appended to.

Tests replace the directory by a model that fails, shortens, loses or reorders any call
(tests/store/disk.py)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple, Protocol

READ_BYTES = 1 << 16  # a part that cannot be read costs no more than this of a file
NO_DESCRIPTOR = -1


class FileContent(NamedTuple):
    """What could be read of a file."""

    data: bytes
    is_complete: bool  # False: parts could not be read, and are zeros


class FileStore(Protocol):
    """A directory. Each call may raise OSError; then nothing has changed, unless its docstring says so."""

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
        """Ends the use of the store: no call comes after it."""


class DirectoryFileStore:
    """A directory of the file system. Keeps the file open that was appended to last."""

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
        """Reads a file in parts: a bad sector costs one part only."""
        parts = list[bytes]()
        is_complete = True
        with open(self.folder / name, "rb", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size
            for offset in range(0, size, READ_BYTES):
                try:
                    part = os.pread(file.fileno(), READ_BYTES, offset)
                except OSError:  # a bad sector: what is behind it may be readable
                    part = b""
                    is_complete = False
                parts.append(part.ljust(min(READ_BYTES, size - offset), b"\0"))
        return FileContent(b"".join(parts), is_complete)

    def append(self, name: str, data: bytes) -> None:
        """Appends all of the data or nothing; makes the file with its first bytes."""
        if self.is_closed:  # Guards the next user of the descriptor against a late record
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
        """Removes a partly written record: no other may follow it."""
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
