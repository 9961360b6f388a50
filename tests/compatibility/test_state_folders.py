"""State folders written before the product's names changed are read as before and written byte by byte the
same: the message journal in its formats, what was learned of destinations, and the identity."""

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
LEARNED = FIXTURES / "learned"
JOURNAL_CASES = sorted(path.name for path in JOURNALS.iterdir() if (path / FILES).exists())
LEARNED_CASES = sorted(path.name for path in LEARNED.iterdir() if (path / FILES).exists())


def expected(case: Path) -> Any:
    return json.loads((case / EXPECTED).read_text())


def plain(value: Any) -> Any:
    """As JSON has it."""
    return json.loads(json.dumps(value))


def contents(folder: Path) -> dict[str, bytes]:
    return {
        path.relative_to(folder).as_posix(): path.read_bytes() for path in folder.rglob("*") if path.is_file()
    }


# -- the message journal -------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", JOURNAL_CASES)
def test_a_kept_journal_is_read_and_taken_over_as_before(tmp_path: Path, name: str) -> None:
    told = fixtures.observe_journal(JOURNALS / name / FILES, tmp_path)
    assert plain(told) == expected(JOURNALS / name)


def test_each_kind_of_record_and_of_damage_is_among_the_kept_journals() -> None:
    """Guards the fixtures themselves: a case that shows nothing holds nothing."""
    told = {name: expected(JOURNALS / name) for name in JOURNAL_CASES}
    kinds = [each["kind"] for each in told["every-record"]["records"]]
    assert set(kinds) == {"take", "try", "out", "end", "told", "drop", "census"}
    assert len(told["every-record"]["read"]["segments"]) == 2
    assert [each["number"] for each in told["rewritten"]["read"]["segments"]] == [3]
    assert told["torn-tail"]["read"]["torn_bytes"] > 0
    assert told["torn-segment"]["read"]["files_never_begun"] == ["seg-0000000003"]
    for name in (
        "damaged-payload",
        "damaged-end",
        "unknown-kind",
        "damaged-record",
        "damaged-header",
        "missing-segment",
    ):
        assert told[name]["read"]["damage"], name
    for name in ("every-record", "rewritten", "format-1"):
        assert not told[name]["opened"]["damage"], name
    only_in_census = "message m9: only its id is left, so that it fails"
    assert told["earlier-attempts"]["opened"]["damage"] == [only_in_census]
    assert told["format-1-every-line"]["opened"]["damage"]


def test_the_journal_is_written_with_the_same_bytes(tmp_path: Path) -> None:
    built = tmp_path / "journal"
    built.mkdir()
    fixtures.build_journals(built, tmp_path)
    assert contents(built) == contents(JOURNALS)


def test_a_folder_of_a_newer_format_is_refused_in_the_same_words(tmp_path: Path) -> None:
    shutil.copytree(JOURNALS / "every-record" / FILES, tmp_path / FILES)
    for file in (tmp_path / FILES).iterdir():
        file.write_bytes(fixtures.of_format(file.read_bytes(), 3))
    assert product.journal_refusal(tmp_path / FILES, fixtures.DISK_BYTES) == (
        "journal: its format is 3, and this program knows 2 at most: start one that does, or name another "
        "folder"
    )


# -- what was learned of destinations ------------------------------------------------------------------------


@pytest.mark.parametrize("name", LEARNED_CASES)
def test_what_was_learned_is_read_as_before(tmp_path: Path, name: str) -> None:
    shutil.copytree(LEARNED / name / FILES, tmp_path / FILES)
    assert plain(fixtures.observe_learned(tmp_path / FILES)) == expected(LEARNED / name)


def test_what_was_learned_is_written_with_the_same_bytes(tmp_path: Path) -> None:
    fixtures.build_learned(tmp_path / "learned")
    assert contents(tmp_path / "learned") == contents(LEARNED)


def test_what_was_learned_goes_on_to_the_next_process_as_before() -> None:
    assert plain(fixtures.observe_recall()) == expected(LEARNED / "recall")


def test_the_file_of_what_was_learned_is_this_text(tmp_path: Path) -> None:
    product.write_learned(tmp_path, [(1000.0, [[4, 1.5, True, 10.0, None]])])
    assert contents(tmp_path) == {
        "learned": b'{"version":1,"at":1000,"lanes":'
        b'[{"destination":4,"wait_ms":1.5,"out":true,"bad_ms":10.0,"cold_ms":null}]}'
    }


# -- the identity --------------------------------------------------------------------------------------------

GENERATION = -7
IDENTITY = '{"id":"00112233445566ff","name":"n3","boot":%d,"device":%d,"inode":%d,"generation":%d}'


@pytest.fixture
def told_generation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Not every file system tells an inode's generation."""

    def ioctl(handle: int, request: int, told: bytearray) -> None:
        told[:4] = struct.pack("=i", GENERATION)

    monkeypatch.setattr(fcntl, "ioctl", ioctl)


def identity_text(folder: Path, boot: int) -> str:
    at = folder.stat()
    return IDENTITY % (boot, at.st_dev, at.st_ino, GENERATION)


def test_the_folder_of_the_fleet_has_its_name() -> None:
    assert product.peers_folder_name() == "peers"


@pytest.mark.usefixtures("told_generation")
def test_an_identity_is_read_and_written_with_the_same_bytes(tmp_path: Path) -> None:
    (tmp_path / "identity.json").write_text(identity_text(tmp_path, 5))
    told = product.claim_identity(tmp_path, "n3")
    assert (told["id"], told["name"], told["boot"]) == ("00112233445566ff", "n3", 6)
    assert (told["inode"], told["generation"]) == (tmp_path.stat().st_ino, GENERATION)
    assert contents(tmp_path) == {"identity.json": identity_text(tmp_path, 6).encode()}
    assert product.claim_and_raise_identity(tmp_path, "n3", 40)["boot"] == 41
    assert contents(tmp_path) == {"identity.json": identity_text(tmp_path, 41).encode()}


@pytest.mark.usefixtures("told_generation")
def test_a_first_identity_has_the_same_form(tmp_path: Path) -> None:
    with fixtures.fixed_randomness(4):
        told = product.claim_identity(tmp_path / "peers", "n3")
    assert told["id"] == random.Random(4).randbytes(8).hex()
    text = identity_text(tmp_path / "peers", 1).replace("00112233445566ff", told["id"])
    assert contents(tmp_path) == {"peers/identity.json": text.encode()}


def test_an_identity_without_a_generation_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """As earlier versions wrote it."""

    def ioctl(handle: int, request: int, told: bytearray) -> None:
        raise OSError("this file system tells none")

    monkeypatch.setattr(fcntl, "ioctl", ioctl)
    text = identity_text(tmp_path, 5).replace(f',"generation":{GENERATION}', "")
    (tmp_path / "identity.json").write_text(text)
    assert product.claim_identity(tmp_path, "n3")["boot"] == 6


@pytest.mark.usefixtures("told_generation")
def test_an_identity_of_another_place_or_name_is_refused_in_the_same_words(tmp_path: Path) -> None:
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
