"""State folders that were written before the product's names changed are read and written unchanged.

They contain the message journal in its formats, the snapshot of destinations and the identity.
"""

from __future__ import annotations

import fcntl
import json
import random
import shutil
import struct
from pathlib import Path
from typing import Any

import pytest

from . import state_binding as product
from . import state_fixtures as fixtures
from .state_fixtures import EXPECTED, FILES, FIXTURES

JOURNALS = FIXTURES / "journal"
SNAPSHOTS = FIXTURES / "learned"
JOURNAL_CASES = sorted(path.name for path in JOURNALS.iterdir() if (path / FILES).exists())
SNAPSHOT_CASES = sorted(path.name for path in SNAPSHOTS.iterdir() if (path / FILES).exists())


def expected(case: Path) -> Any:
    return json.loads((case / EXPECTED).read_text())


def plain(value: Any) -> Any:
    """Returns a value as JSON represents it."""
    return json.loads(json.dumps(value))


def contents(folder: Path) -> dict[str, bytes]:
    return {
        path.relative_to(folder).as_posix(): path.read_bytes() for path in folder.rglob("*") if path.is_file()
    }


# -- the message journal -------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", JOURNAL_CASES)
def test_a_stored_journal_is_read_and_opened_as_before(tmp_path: Path, name: str) -> None:
    observed = fixtures.observe_journal(JOURNALS / name / FILES, tmp_path)
    assert plain(observed) == expected(JOURNALS / name)


def test_the_stored_journals_contain_each_kind_of_record_and_damage() -> None:
    """Guards against fixtures without the record or damage they are meant for, which would check nothing."""
    observed = {name: expected(JOURNALS / name) for name in JOURNAL_CASES}
    kinds = [entry["kind"] for entry in observed["every-record"]["records"]]
    assert set(kinds) == {"take", "try", "out", "end", "told", "drop", "census"}
    assert len(observed["every-record"]["read"]["segments"]) == 2
    assert [entry["number"] for entry in observed["rewritten"]["read"]["segments"]] == [3]
    assert observed["torn-tail"]["read"]["torn_bytes"] > 0
    assert observed["torn-segment"]["read"]["files_never_begun"] == ["seg-0000000003"]
    for name in (
        "damaged-payload",
        "damaged-end",
        "unknown-kind",
        "damaged-record",
        "damaged-header",
        "missing-segment",
    ):
        assert observed[name]["read"]["damage"], name
    for name in ("every-record", "rewritten", "format-1"):
        assert not observed[name]["opened"]["damage"], name
    only_in_census = "message m9: only its id is left, so that it fails"
    assert observed["earlier-attempts"]["opened"]["damage"] == [only_in_census]
    assert observed["format-1-every-line"]["opened"]["damage"]


def test_the_journal_is_written_with_the_same_bytes(tmp_path: Path) -> None:
    built = tmp_path / "journal"
    built.mkdir()
    fixtures.build_journals(built, tmp_path)
    assert contents(built) == contents(JOURNALS)


def test_a_folder_of_a_newer_format_is_rejected_with_the_same_error(tmp_path: Path) -> None:
    shutil.copytree(JOURNALS / "every-record" / FILES, tmp_path / FILES)
    for file in (tmp_path / FILES).iterdir():
        file.write_bytes(fixtures.with_format_version(file.read_bytes(), 3))
    assert product.journal_refusal(tmp_path / FILES, fixtures.DISK_BYTES) == (
        "journal: its format is 3, and this program knows 2 at most: start one that does, or name another "
        "folder"
    )


# -- snapshots of destinations -------------------------------------------------------------------------------


@pytest.mark.parametrize("name", SNAPSHOT_CASES)
def test_a_destination_snapshot_is_read_as_before(tmp_path: Path, name: str) -> None:
    shutil.copytree(SNAPSHOTS / name / FILES, tmp_path / FILES)
    assert plain(fixtures.observe_destination_snapshot(tmp_path / FILES)) == expected(SNAPSHOTS / name)


def test_destination_snapshots_are_written_with_the_same_bytes(tmp_path: Path) -> None:
    fixtures.build_destination_snapshots(tmp_path / "learned")
    assert contents(tmp_path / "learned") == contents(SNAPSHOTS)


def test_destination_states_are_restored_in_the_next_process_as_before() -> None:
    assert plain(fixtures.observe_restored_destinations()) == expected(SNAPSHOTS / "recall")


def test_the_file_of_a_destination_snapshot_has_this_text(tmp_path: Path) -> None:
    product.write_destination_snapshot(tmp_path, [(1000.0, [[4, 1.5, True, 10.0, None]])])
    assert contents(tmp_path) == {
        "learned": b'{"version":1,"at":1000,"lanes":'
        b'[{"destination":4,"wait_ms":1.5,"out":true,"bad_ms":10.0,"cold_ms":null}]}'
    }


# -- the identity --------------------------------------------------------------------------------------------

GENERATION = -7
IDENTITY = '{"id":"00112233445566ff","name":"n3","boot":%d,"device":%d,"inode":%d,"generation":%d}'


@pytest.fixture
def fixed_generation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Fakes the generation of an inode, which not every file system reports."""

    def ioctl(handle: int, request: int, result: bytearray) -> None:
        result[:4] = struct.pack("=i", GENERATION)

    monkeypatch.setattr(fcntl, "ioctl", ioctl)


def identity_text(folder: Path, epoch: int) -> str:
    at = folder.stat()
    return IDENTITY % (epoch, at.st_dev, at.st_ino, GENERATION)


def test_the_folder_of_the_fleet_keeps_its_name() -> None:
    assert product.peers_folder_name() == "peers"


@pytest.mark.usefixtures("fixed_generation")
def test_an_identity_is_read_and_written_with_the_same_bytes(tmp_path: Path) -> None:
    (tmp_path / "identity.json").write_text(identity_text(tmp_path, 5))
    identity = product.claim_identity(tmp_path, "n3")
    assert (identity["id"], identity["name"], identity["boot"]) == ("00112233445566ff", "n3", 6)
    assert (identity["inode"], identity["generation"]) == (tmp_path.stat().st_ino, GENERATION)
    assert contents(tmp_path) == {"identity.json": identity_text(tmp_path, 6).encode()}
    assert product.claim_and_raise_identity(tmp_path, "n3", 40)["boot"] == 41
    assert contents(tmp_path) == {"identity.json": identity_text(tmp_path, 41).encode()}


@pytest.mark.usefixtures("fixed_generation")
def test_a_first_identity_has_the_same_form(tmp_path: Path) -> None:
    with fixtures.fixed_randomness(4):
        identity = product.claim_identity(tmp_path / "peers", "n3")
    assert identity["id"] == random.Random(4).randbytes(8).hex()
    text = identity_text(tmp_path / "peers", 1).replace("00112233445566ff", identity["id"])
    assert contents(tmp_path) == {"peers/identity.json": text.encode()}


def test_an_identity_without_a_generation_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Earlier versions wrote identities without a generation."""

    def ioctl(handle: int, request: int, result: bytearray) -> None:
        raise OSError("this file system has no generation")

    monkeypatch.setattr(fcntl, "ioctl", ioctl)
    text = identity_text(tmp_path, 5).replace(f',"generation":{GENERATION}', "")
    (tmp_path / "identity.json").write_text(text)
    assert product.claim_identity(tmp_path, "n3")["boot"] == 6


@pytest.mark.usefixtures("fixed_generation")
def test_an_identity_of_another_folder_or_name_is_rejected_with_the_same_error(tmp_path: Path) -> None:
    text = identity_text(tmp_path, 5)
    (tmp_path / "identity.json").write_text(text)
    assert product.claim_identity(tmp_path, "n4") == {
        "refused": "FOLDER/identity.json: the folder is 'n3''s, and this instance is 'n4'"
    }
    (tmp_path / "identity.json").write_text(text.replace(f'"inode":{tmp_path.stat().st_ino}', '"inode":1'))
    assert product.claim_identity(tmp_path, "n3") == {
        "refused": "FOLDER/identity.json: the folder was copied or moved: it belongs to 'n3' in another "
        "place. Where that instance runs on, this one needs a folder of its own; else remove "
        "FOLDER/identity.json"
    }
