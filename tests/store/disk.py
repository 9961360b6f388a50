"""In-memory model of message_relay.store.file_store that can crash, run full or be corrupted at any call."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from message_relay.store.file_store import FileContent


class Crash(BaseException):
    """Raised where the simulated process ends."""


@dataclass
class Disk:
    """The written files, and the parts of them that survive a power cut."""

    files: dict[str, bytes] = field(default_factory=dict)
    synced: dict[str, bytes] = field(default_factory=dict)
    calls: int = 0
    crash_at: int = -1  # number of the call before or during which the process ends
    torn: int | None = None  # bytes that the crashing append writes; None: it crashes before the call
    fail: Callable[[str, str, int], int | None] = lambda call, name, number: None  # errno or None
    short: Callable[[int], int | None] = lambda number: None  # bytes that a failing append writes
    peak: int = 0

    def _call(self, call: str, name: str) -> None:
        self.calls += 1
        if self.calls == self.crash_at and call != "append":
            raise Crash
        error = self.fail(call, name, self.calls)
        if error is not None:
            raise OSError(error, errno.errorcode[error])

    def sizes(self) -> dict[str, int]:
        return {name: len(data) for name, data in self.files.items()}

    def read(self, name: str) -> FileContent:
        return FileContent(self.files[name], True)

    def append(self, name: str, data: bytes) -> None:
        self._call("append", name)
        if self.calls == self.crash_at:
            if self.torn is not None:
                self.files[name] = self.files.get(name, b"") + data[: self.torn]
            raise Crash
        short = self.short(self.calls)
        if short is not None:  # the partial write could not be truncated
            self.files[name] = self.files.get(name, b"") + data[:short]
            raise OSError(errno.EIO, "short write, not truncated")
        self.files[name] = self.files.get(name, b"") + data
        self.peak = max(self.peak, sum(-(-len(each) // 512) * 512 for each in self.files.values()))

    def rename(self, old: str, new: str) -> None:
        self._call("rename", old)
        self.files[new] = self.files.pop(old)

    def unlink(self, name: str) -> None:
        self._call("unlink", name)
        if name not in self.files:
            raise FileNotFoundError(name)
        del self.files[name]

    def sync(self, name: str) -> None:
        self._call("sync", name)
        self.synced[name] = self.files[name]

    def close(self) -> None:
        pass

    def after_crash(self) -> Disk:
        """Return the directory as the next process finds it."""
        return Disk(dict(self.files))

    def corrupted(self, rng: Random, flips: int, names: list[str]) -> Disk:
        """Return a copy with `flips` random bits flipped."""
        files = {name: bytearray(data) for name, data in self.files.items()}
        for _ in range(flips):
            at = rng.randrange(sum(len(files[name]) for name in names))
            for name in names:
                if at < len(files[name]):
                    files[name][at] ^= 1 << rng.randrange(8)
                    break
                at -= len(files[name])
        return Disk({name: bytes(data) for name, data in files.items()})
