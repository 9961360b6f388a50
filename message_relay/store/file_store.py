"""The one way from the store to the disk: a flat folder of files, each only ever appended to.

Tests put another `Files` in its place, which fails, shortens, loses or reorders any call
(tests/store/disk.py)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple, Protocol

READ_BYTES = 1 << 16  # a part that cannot be read costs no more than this of a file


class FileContent(NamedTuple):
    """What could be read of a file."""

    data: bytes
    is_complete: bool  # False: parts could not be read, and are zeros


class FileStore(Protocol):
    """Every call may raise OSError; then nothing has changed, but for what its text says."""

    def sizes(self) -> dict[str, int]:
        """All files, in bytes."""

    def read(self, name: str) -> FileContent:
        """The content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """All of it or nothing; makes the file with its first bytes."""

    def rename(self, old: str, new: str) -> None:
        """Replaces `new`, if it is there, at one stroke."""

    def unlink(self, name: str) -> None: ...

    def sync(self, name: str) -> None:
        """What was appended, and that the file is there, outlasts a power cut. May be called on a thread."""

    def close(self) -> None:
        """No call comes after it."""


class DirectoryFileStore:
    """A real folder. Keeps the file open that was appended to last."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.name, self.file, self.size = "", -1, 0
        self.closed = False
        self.named: set[str] = set()  # files that the folder itself is known to keep

    def sizes(self) -> dict[str, int]:
        with os.scandir(self.folder) as found:
            return {item.name: item.stat().st_size for item in found if item.is_file(follow_symlinks=False)}

    def read(self, name: str) -> FileContent:
        """The content of a file, read in parts: a bad sector costs one part only."""
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
        if self.closed:  # Guards whatever got the descriptor next against a late record
            raise OSError("the store is closed")
        if name != self.name:
            self._open(name)
        try:
            written = os.write(self.file, data)
        except OSError:
            self._shorten()
            raise
        if written < len(data):
            self._shorten()
            raise OSError(f"only {written} of {len(data)} bytes could be written")
        self.size += written

    def _open(self, name: str) -> None:
        self._leave()
        path = self.folder / name
        self.file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self.name, self.size = name, os.fstat(self.file).st_size

    def _shorten(self) -> None:
        """Takes back what was written of a record: half of one must not stand before the next."""
        try:
            os.ftruncate(self.file, self.size)
        except OSError:
            self._leave()  # and the next append is to another file: see Journal._seal_broken
            raise

    def _leave(self) -> None:
        if self.file >= 0:
            os.close(self.file)
        self.name, self.file = "", -1

    def rename(self, old: str, new: str) -> None:
        if old == self.name:
            self._leave()
        os.rename(self.folder / old, self.folder / new)

    def unlink(self, name: str) -> None:
        if name == self.name:
            self._leave()
        os.unlink(self.folder / name)

    def sync(self, name: str) -> None:
        self._fsync(self.folder / name)
        if name not in self.named:
            self._fsync(self.folder)
            self.named = {name, *self.named.intersection(os.listdir(self.folder))}

    @staticmethod
    def _fsync(path: Path) -> None:
        file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def close(self) -> None:
        self._leave()
        self.closed = True
