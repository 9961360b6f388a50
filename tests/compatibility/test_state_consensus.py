"""What a voter keeps on its disk, written before the product's names changed, is read as before and written
byte by byte the same: commands, the replicated log, its dump and vote, and `standing.json`."""

from __future__ import annotations

import hashlib
import pickle
import pickletools
import shutil
from pathlib import Path
from typing import Any

import pytest

from . import state_binding as product
from . import state_fixtures as fixtures
from .state_fixtures import FILES, FIXTURES, THREE
from .test_state_folders import contents, expected, plain

VOTERS = FIXTURES / "voters"
STANDINGS = FIXTURES / "standing"
JOURNAL, DUMP, VOTE = "raft.journal", "raft.dump", "raft.journal.meta"
COMMAND, MEMBERSHIP = 0, 2  # first byte of an entry, by pysyncobj
CHECKSUM_BYTES = 32
FOLDERS = [
    ("log", "."),
    ("dump", "."),
    ("dump-and-log", "."),
    *(("three-voters", name) for name in THREE),
]
CLASSES_IN_PICKLES = {"_codecs encode", "pysyncobj.node Node", "builtins set", "__builtin__ set"}


# -- the state machine ---------------------------------------------------------------------------------------


def test_commands_rules_and_versions_are_written_and_read_as_before() -> None:
    assert plain(fixtures.observe_book()) == expected(FIXTURES / "book")


def test_each_kind_of_command_is_this_text() -> None:
    told = [
        ["propose", 1, "{}", "a", "c", 1.5, 0.25, [0.8, 20, 12.5, True], 3],
        ["promote", 3, "a"],
        ["withdraw", 3, "a", "c"],
        ["voters", 3, "n5", "", "a", 1.5],
        ["forget", "n5", 7, "a", 1.5],
    ]
    assert [product.encoded_command(each) for each in told] == [
        '{"type":"propose","base":1,"rules":"e30=","author":"a","cause":"c","at_ms":1.5,"share":0.25,'
        '"guard":{"least_ratio":0.8,"least_count":20,"watch_s":12.5,"promote":true},"of":3}',
        '{"type":"promote","number":3,"author":"a"}',
        '{"type":"withdraw","number":3,"author":"a","cause":"c"}',
        '{"type":"voters","base":3,"add":"n5","remove":"","author":"a","at_ms":1.5}',
        '{"type":"forget","name":"n5","boot":7,"author":"a","at_ms":1.5}',
    ]


# -- the replicated log --------------------------------------------------------------------------------------


def kept(case: str, folder: str) -> Any:
    told = expected(VOTERS / case)
    return told if folder == "." else told["voters"][folder]


@pytest.mark.parametrize(("case", "folder"), FOLDERS)
def test_a_kept_log_dump_and_vote_are_read_as_before(tmp_path: Path, case: str, folder: str) -> None:
    names = fixtures.ALONE if folder == "." else THREE
    name = "n0" if folder == "." else folder
    told = fixtures.observe_voter(VOTERS / case / FILES / folder, tmp_path, name, names)
    want = kept(case, folder)
    assert plain(told) == {key: want[key] for key in told}
    assert told["why_not_believed"] == ""


def test_a_dump_stands_in_for_the_entries_before_it() -> None:
    """Guards the fixtures themselves."""
    log, dump = kept("log", "."), kept("dump", ".")
    later, member = kept("dump-and-log", "."), kept("three-voters", "n1")
    assert dump["read"]["book"] == log["read"]["book"]
    assert len(log["entries"]) > 5 > len(dump["entries"])
    assert later["read"]["book"]["newest"] == log["read"]["book"]["newest"] + 2
    assert member["vote"]["votedForNodeId"] == "n0"
    assert member["read"]["other_voters"] == ["n0", "n2", "n3"]


@pytest.mark.parametrize(
    ("before", "after", "steps"),
    [
        (None, "log", fixtures.FIRST_STEPS),
        ("log", "dump", fixtures.COMPACTION),
        ("dump", "dump-and-log", fixtures.LATER_STEPS),
    ],
)
def test_a_voter_goes_on_from_a_kept_folder_with_the_same_bytes(
    tmp_path: Path, before: str | None, after: str, steps: fixtures.Steps
) -> None:
    folder = tmp_path / "voter"
    if before is None:
        folder.mkdir()
    else:
        shutil.copytree(VOTERS / before / FILES, folder)
    ran = fixtures.run_alone(folder, steps)
    assert plain(ran) == expected(VOTERS / after)["ran"]
    assert contents(folder) == contents(VOTERS / after / FILES)


def test_three_voters_write_the_same_bytes(tmp_path: Path) -> None:
    """But for the order of the members in a dump, which is a set: its content is compared."""
    folders = {name: tmp_path / name for name in THREE}
    for folder in folders.values():
        folder.mkdir()
    ran = product.run_voters(folders, THREE, fixtures.FIRST_RULES, fixtures.CLUSTER_STEPS)
    assert plain(ran) == expected(VOTERS / "three-voters")["ran"]
    now, before = contents(tmp_path), contents(VOTERS / "three-voters" / FILES)
    assert now.keys() == before.keys()
    for name, raw in now.items():
        if name.endswith(DUMP):
            assert unpickled_dump(raw) == unpickled_dump(before[name]), name
        else:
            assert raw == before[name], name


def test_a_log_that_is_torn_is_refused_in_the_same_words(tmp_path: Path) -> None:
    shutil.copytree(VOTERS / "log" / FILES, tmp_path, dirs_exist_ok=True)
    whole = (tmp_path / JOURNAL).read_bytes()
    (tmp_path / JOURNAL).write_bytes(whole[:100])
    assert product.believed(tmp_path) == "its journal ends at 3304 of 100 bytes"
    (tmp_path / JOURNAL).write_bytes(whole[:40] + b"\xff" + whole[41:])
    assert product.believed(tmp_path) == "its journal is torn at byte 40"
    (tmp_path / JOURNAL).write_bytes(whole)
    (tmp_path / VOTE).unlink()
    assert product.believed(tmp_path) == "its vote is of term 0 and its journal of term 1"


# -- what is pickled -----------------------------------------------------------------------------------------


def unpickled_dump(raw: bytes) -> Any:
    assert hashlib.sha256(raw[CHECKSUM_BYTES:]).digest() == raw[:CHECKSUM_BYTES]
    return pickle.loads(raw[CHECKSUM_BYTES:])


def class_paths(raw: bytes) -> set[str]:
    """Each module and name that a pickle refers to."""
    found: set[str] = set()
    texts: list[str] = []
    for opcode, argument, _ in pickletools.genops(raw):
        if opcode.name in ("GLOBAL", "INST"):
            found.add(str(argument))
        elif opcode.name == "STACK_GLOBAL":
            found.add(" ".join(texts[-2:]))
        if isinstance(argument, str):
            texts.append(argument)
    return found


def pickles(folder: Path) -> list[bytes]:
    found = [(folder / VOTE).read_bytes()]
    if (folder / DUMP).exists():
        found.append((folder / DUMP).read_bytes()[CHECKSUM_BYTES:])
    for _, _, content in product.raft_journal_entries((folder / JOURNAL).read_bytes()):
        if content[0] in (COMMAND, MEMBERSHIP):
            found.append(content[1:])
    return found


@pytest.mark.parametrize(("case", "folder"), FOLDERS)
def test_no_pickle_names_a_class_of_the_product(case: str, folder: str) -> None:
    raws = pickles(VOTERS / case / FILES / folder)
    assert len(raws) > 1
    assert set().union(*map(class_paths, raws)) <= CLASSES_IN_PICKLES


def test_a_command_is_method_0_with_one_sealed_argument() -> None:
    raw = (VOTERS / "log" / FILES / JOURNAL).read_bytes()
    contents_ = [content for _, _, content in product.raft_journal_entries(raw)]
    told = [pickle.loads(content[1:]) for content in contents_ if content[0] == COMMAND]
    assert [method for method, _ in told] == [0] * len(fixtures.FIRST_STEPS)
    sealed = [argument for _, (argument,) in told]
    assert [product.unsealed_command(each) for each in sealed] == [
        product.encoded_command(step) for step in fixtures.FIRST_STEPS
    ]


# -- what outlasts a voter's process -------------------------------------------------------------------------


@pytest.mark.parametrize("name", sorted(path.name for path in STANDINGS.iterdir()))
def test_a_kept_standing_is_read_as_before(tmp_path: Path, name: str) -> None:
    files = STANDINGS / name / FILES
    if files.exists():
        shutil.copytree(files, tmp_path, dirs_exist_ok=True)
    assert plain(product.read_standing(tmp_path)) == expected(STANDINGS / name)


def test_a_standing_is_written_with_the_same_bytes(tmp_path: Path) -> None:
    fixtures.build_standings(tmp_path / "standing")
    assert contents(tmp_path / "standing") == contents(STANDINGS)


def test_the_file_of_a_standing_is_this_text(tmp_path: Path) -> None:
    product.write_standing(tmp_path, 6, {"8899aabbccddeeff": 4}, True, ["n0", "n5"])
    assert contents(tmp_path) == {
        "standing.json": b'{"cleared":6,"boots":{"8899aabbccddeeff":4},"voted":true,"voters":["n0","n5"]}'
    }
