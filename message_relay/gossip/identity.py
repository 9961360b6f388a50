"""Who an instance is: bound to its state folder, so that a copy of the folder is not a second one of it.

`identity.json` holds an id, how often a process was started from the folder, and where the folder lies. A
copy lies elsewhere (another device or inode, or the same inode number in a later use of it) and is refused
at the start. A folder put back from an old
backup in its place has a boot that others have seen already: they say so (`Refused`), and `stale` tells
how far they are.
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
    """This folder can't be this instance's; the text says why, and what to do."""


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    id: str
    name: str
    process_epoch: int = msgspec.field(name="boot")  # processes started from this folder, this one included
    device: int
    inode: int
    generation: int = 0  # of the inode, where the file system tells it


def folder_location(folder: Path) -> tuple[int, int, int]:
    """Device, inode and the inode's generation: ext4 gives a removed folder's inode number to the next one
    that is made, which a copy over a removed folder would pass by. Raises OSError."""
    at = folder.stat()
    told = bytearray(8)
    handle = os.open(folder, os.O_RDONLY)
    try:
        with contextlib.suppress(OSError):  # tmpfs and others tell none, and do not use numbers again at once
            fcntl.ioctl(handle, GET_GENERATION, told)
    finally:
        os.close(handle)
    return at.st_dev, at.st_ino, int(struct.unpack("=i", told[:4])[0])


def claim_identity(folder: Path, name: str) -> Identity:
    """The identity of the process that starts here now, written before it is used. Raises IdentityError, and
    OSError where the folder can't be written."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    path, here = folder / IDENTITY_FILE, folder_location(folder)
    try:
        known: Identity | None = msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        known = None
    except msgspec.MsgspecError as error:
        raise IdentityError(
            f"{path}: can't be read ({error}); if this instance's earlier process has ended for good, remove "
            f"{folder} and it joins as a new one"
        ) from error
    if known is None:
        known = Identity(secrets.token_hex(8), name, 0, *here)
    if (known.device, known.inode, known.generation) != here:
        raise IdentityError(
            f"{path}: the folder was copied or moved: it belongs to {known.name!r} in another place. "
            f"Where that instance runs on, this one needs a folder of its own; else remove {path}"
        )
    if known.name != name:
        raise IdentityError(f"{path}: the folder is {known.name!r}'s, and this instance is {name!r}")
    now = msgspec.structs.replace(known, process_epoch=known.process_epoch + 1)
    write_atomically(path, now)
    return now


def raise_process_epoch(folder: Path, identity: Identity, seen: int) -> Identity:
    """Above a boot that others have seen: this folder has gone back in time."""
    if not 0 < seen < PROCESS_EPOCH_MAX:
        raise IdentityError(
            f"boot: {seen} was told by another instance: 1 to {PROCESS_EPOCH_MAX} makes sense"
        )
    now = msgspec.structs.replace(identity, process_epoch=seen + 1)
    write_atomically(folder / IDENTITY_FILE, now)
    return now


def write_atomically(path: Path, what: msgspec.Struct) -> None:
    """Whole or not at all, also over a power cut. Raises OSError."""
    part = path.with_suffix(".part")
    with open(part, "wb") as file:
        file.write(msgspec.json.encode(what))
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
