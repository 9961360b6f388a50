"""Identity of an instance, bound to its state folder so that a copy of the folder is not a second instance.

`identity.json` holds an id, the process epoch (how often a process was started from the folder), and the
folder's location. A copy has another location (device or inode differ, or the inode number was reused) and is
rejected at the start. A folder restored from a backup in its place has a process epoch that others have seen
already: they report it (`wire.IdentityConflict`), and `raise_process_epoch` moves above it.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
import struct
from pathlib import Path

import msgspec

IDENTITY_FILE = "identity.json"
PROCESS_EPOCH_MAX = 1 << 40
GET_GENERATION = 0x80087601  # FS_IOC_GETVERSION of linux/fs.h


class IdentityError(Exception):
    """The folder can't belong to this instance; the text gives the reason and the remedy."""


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the identity file. `process_epoch` is encoded under its former name."""

    id: str
    name: str
    process_epoch: int = msgspec.field(name="boot")  # processes started from the folder, including this one
    device: int
    inode: int
    generation: int = 0  # of the inode, if the file system has one


def folder_location(folder: Path) -> tuple[int, int, int]:
    """Return device, inode and the inode's generation. Raises OSError.

    ext4 reuses the inode number of a removed folder for the next folder, so that without the generation a
    copy in place of a removed folder would be accepted.
    """
    status = folder.stat()
    generation = bytearray(8)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        with contextlib.suppress(OSError):  # tmpfs and others have none, and do not reuse numbers soon
            fcntl.ioctl(descriptor, GET_GENERATION, generation)
    finally:
        os.close(descriptor)
    return status.st_dev, status.st_ino, int(struct.unpack("=i", generation[:4])[0])


def claim_identity(folder: Path, name: str) -> Identity:
    """Return the identity of the process that starts now; it is saved before it is used.

    Raises IdentityError, and OSError if the folder can't be written.
    """
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    location = folder_location(folder)
    known = _read_identity(path, folder)
    if known is None:
        known = Identity(secrets.token_hex(8), name, 0, *location)
    if (known.device, known.inode, known.generation) != location:
        raise IdentityError(
            f"{path}: the folder was copied or moved: it belongs to {known.name!r} in another place. "
            f"Where that instance runs on, this one needs a folder of its own; else remove {path}"
        )
    if known.name != name:
        raise IdentityError(f"{path}: the folder is {known.name!r}'s, and this instance is {name!r}")
    claimed = msgspec.structs.replace(known, process_epoch=known.process_epoch + 1)
    write_atomically(path, claimed)
    return claimed


def _read_identity(path: Path, folder: Path) -> Identity | None:
    """Return the identity in the file, None if there is no file. Raises IdentityError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        return None
    except msgspec.MsgspecError as error:
        raise IdentityError(
            f"{path}: can't be read ({error}); if this instance's earlier process has ended for good, remove "
            f"{folder} and it joins as a new one"
        ) from error


def raise_process_epoch(folder: Path, identity: Identity, seen: int) -> Identity:
    """Raise the epoch above the one that others have seen: the folder was restored from a backup.

    Raises IdentityError if the epoch is out of range, OSError if the folder can't be written.
    """
    if not 0 < seen < PROCESS_EPOCH_MAX:
        raise IdentityError(f"boot: another instance reported {seen}: valid are 1 to {PROCESS_EPOCH_MAX}")
    raised = msgspec.structs.replace(identity, process_epoch=seen + 1)
    write_atomically(folder / IDENTITY_FILE, raised)
    return raised


def write_atomically(path: Path, content: msgspec.Struct) -> None:
    """Write a struct as JSON, completely or not at all, even on a power failure. Raises OSError."""
    part = path.with_suffix(".part")
    with open(part, "wb") as file:
        file.write(msgspec.json.encode(content))
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
