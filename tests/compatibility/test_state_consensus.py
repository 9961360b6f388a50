"""Files of a voter that were written before the product's names changed are read and written unchanged.

They are the commands, the replicated log, its dump and vote, and `standing.json`.
"""

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
VOTER_STATES = FIXTURES / "standing"
JOURNAL, DUMP, VOTE = "raft.journal", "raft.dump", "raft.journal.meta"
COMMAND, MEMBERSHIP = 0, 2  # first byte of an entry in pysyncobj
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
    assert plain(fixtures.observe_version_history()) == expected(FIXTURES / "book")


def test_each_kind_of_command_has_this_encoding() -> None:
    commands = [
        ["propose", 1, "{}", "a", "c", 1.5, 0.25, [0.8, 20, 12.5, True], 3],
        ["promote", 3, "a"],
        ["withdraw", 3, "a", "c"],
        ["voters", 3, "n5", "", "a", 1.5],
        ["forget", "n5", 7, "a", 1.5],
    ]
    assert [product.encoded_command(command) for command in commands] == [
        '{"type":"propose","base":1,"rules":"e30=","author":"a","cause":"c","at_ms":1.5,"share":0.25,'
        '"guard":{"least_ratio":0.8,"least_count":20,"watch_s":12.5,"promote":true},"of":3}',
        '{"type":"promote","number":3,"author":"a"}',
        '{"type":"withdraw","number":3,"author":"a","cause":"c"}',
        '{"type":"voters","base":3,"add":"n5","remove":"","author":"a","at_ms":1.5}',
        '{"type":"forget","name":"n5","boot":7,"author":"a","at_ms":1.5}',
    ]


# -- the replicated log --------------------------------------------------------------------------------------


def stored(case: str, folder: str) -> Any:
    observed = expected(VOTERS / case)
    return observed if folder == "." else observed["voters"][folder]


@pytest.mark.parametrize(("case", "folder"), FOLDERS)
def test_a_stored_log_dump_and_vote_are_read_as_before(tmp_path: Path, case: str, folder: str) -> None:
    names = fixtures.ALONE if folder == "." else THREE
    name = "n0" if folder == "." else folder
    observed = fixtures.observe_voter(VOTERS / case / FILES / folder, tmp_path, name, names)
    expected_values = stored(case, folder)
    assert plain(observed) == {key: expected_values[key] for key in observed}
    assert observed["why_not_believed"] == ""


def test_a_dump_replaces_the_entries_before_it() -> None:
    """Checks that the fixtures contain a dump that replaces entries, and entries after one."""
    log, dump = stored("log", "."), stored("dump", ".")
    later, member = stored("dump-and-log", "."), stored("three-voters", "n1")
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
def test_a_voter_continues_a_stored_folder_with_the_same_bytes(
    tmp_path: Path, before: str | None, after: str, steps: fixtures.Steps
) -> None:
    folder = tmp_path / "voter"
    if before is None:
        folder.mkdir()
    else:
        shutil.copytree(VOTERS / before / FILES, folder)
    run = fixtures.run_alone(folder, steps)
    assert plain(run) == expected(VOTERS / after)["ran"]
    assert contents(folder) == contents(VOTERS / after / FILES)


def test_three_voters_write_the_same_bytes(tmp_path: Path) -> None:
    """The members in a dump are a set without a fixed order, so the content of dumps is compared."""
    folders = {name: tmp_path / name for name in THREE}
    for folder in folders.values():
        folder.mkdir()
    run = product.run_voters(folders, THREE, fixtures.FIRST_RULES, fixtures.CLUSTER_STEPS)
    assert plain(run) == expected(VOTERS / "three-voters")["ran"]
    current, previous = contents(tmp_path), contents(VOTERS / "three-voters" / FILES)
    assert current.keys() == previous.keys()
    for name, raw in current.items():
        if name.endswith(DUMP):
            assert unpickled_dump(raw) == unpickled_dump(previous[name]), name
        else:
            assert raw == previous[name], name


def test_a_torn_log_is_rejected_with_the_same_error(tmp_path: Path) -> None:
    shutil.copytree(VOTERS / "log" / FILES, tmp_path, dirs_exist_ok=True)
    journal = (tmp_path / JOURNAL).read_bytes()
    (tmp_path / JOURNAL).write_bytes(journal[:100])
    assert product.log_error(tmp_path) == "its journal ends at 3304 of 100 bytes"
    (tmp_path / JOURNAL).write_bytes(journal[:40] + b"\xff" + journal[41:])
    assert product.log_error(tmp_path) == "its journal is torn at byte 40"
    (tmp_path / JOURNAL).write_bytes(journal)
    (tmp_path / VOTE).unlink()
    assert product.log_error(tmp_path) == "its vote is of term 0 and its journal of term 1"


# -- pickles ------------------------------------------------------------------------------------------------


def unpickled_dump(raw: bytes) -> Any:
    assert hashlib.sha256(raw[CHECKSUM_BYTES:]).digest() == raw[:CHECKSUM_BYTES]
    return pickle.loads(raw[CHECKSUM_BYTES:])


def class_paths(raw: bytes) -> set[str]:
    """Returns each module and name that a pickle refers to."""
    paths: set[str] = set()
    texts: list[str] = []
    for opcode, argument, _ in pickletools.genops(raw):
        if opcode.name in ("GLOBAL", "INST"):
            paths.add(str(argument))
        elif opcode.name == "STACK_GLOBAL":
            paths.add(" ".join(texts[-2:]))
        if isinstance(argument, str):
            texts.append(argument)
    return paths


def pickles(folder: Path) -> list[bytes]:
    pickles_ = [(folder / VOTE).read_bytes()]
    if (folder / DUMP).exists():
        pickles_.append((folder / DUMP).read_bytes()[CHECKSUM_BYTES:])
    for _, _, content in product.raft_journal_entries((folder / JOURNAL).read_bytes()):
        if content[0] in (COMMAND, MEMBERSHIP):
            pickles_.append(content[1:])
    return pickles_


@pytest.mark.parametrize(("case", "folder"), FOLDERS)
def test_no_pickle_refers_to_a_class_of_the_product(case: str, folder: str) -> None:
    raws = pickles(VOTERS / case / FILES / folder)
    assert len(raws) > 1
    assert set().union(*map(class_paths, raws)) <= CLASSES_IN_PICKLES


def test_a_command_is_method_0_with_one_checksummed_argument() -> None:
    raw = (VOTERS / "log" / FILES / JOURNAL).read_bytes()
    entries = [content for _, _, content in product.raft_journal_entries(raw)]
    calls = [pickle.loads(content[1:]) for content in entries if content[0] == COMMAND]
    assert [method for method, _ in calls] == [0] * len(fixtures.FIRST_STEPS)
    arguments = [argument for _, (argument,) in calls]
    assert [product.verified_command(value) for value in arguments] == [
        product.encoded_command(step) for step in fixtures.FIRST_STEPS
    ]


# -- persistent state of a voter -----------------------------------------------------------------------------


@pytest.mark.parametrize("name", sorted(path.name for path in VOTER_STATES.iterdir()))
def test_a_stored_voter_state_is_read_as_before(tmp_path: Path, name: str) -> None:
    files = VOTER_STATES / name / FILES
    if files.exists():
        shutil.copytree(files, tmp_path, dirs_exist_ok=True)
    assert plain(product.read_voter_state(tmp_path)) == expected(VOTER_STATES / name)


def test_voter_states_are_written_with_the_same_bytes(tmp_path: Path) -> None:
    fixtures.build_voter_states(tmp_path / "standing")
    assert contents(tmp_path / "standing") == contents(VOTER_STATES)


def test_the_file_of_a_voter_state_has_this_text(tmp_path: Path) -> None:
    product.write_voter_state(tmp_path, 6, {"8899aabbccddeeff": 4}, True, ["n0", "n5"])
    assert contents(tmp_path) == {
        "standing.json": b'{"cleared":6,"boots":{"8899aabbccddeeff":4},"voted":true,"voters":["n0","n5"]}'
    }
