"""Writes the fixtures of the state folder: `python -m tests.compatibility.state_fixtures FOLDER`.

Each case is a folder with `files`, as a process leaves them on disk, and `expected.json`, the values to be
read from them. The stored fixtures were written before the product's names changed and must not be rewritten:
a test writes them to another folder and compares.
"""

from __future__ import annotations

import base64
import hashlib
import json
import random
import shutil
import sys
import zlib
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from . import state_binding as product

Plain = dict[str, Any]
Steps = list[list[Any]]

FIXTURES = Path(__file__).parent / "fixtures" / "state"
FILES, EXPECTED = "files", "expected.json"

# -- fixed randomness ----------------------------------------------------------------------------------------


@contextmanager
def fixed_randomness(seed: int) -> Iterator[None]:
    """Makes salts and ids the same in each run."""
    source = random.Random(seed)
    with ExitStack() as patches:
        patches.enter_context(mock.patch("os.urandom", source.randbytes))
        patches.enter_context(mock.patch("secrets.token_hex", lambda size: source.randbytes(size).hex()))
        yield


# -- files ---------------------------------------------------------------------------------------------------


def file_digests(folder: Path) -> Plain:
    """Returns the size and checksum of each file below the folder."""
    return {
        path.relative_to(folder).as_posix(): {
            "bytes": path.stat().st_size,
            "sha256": hashlib.sha256(path.read_bytes()).hexdigest(),
        }
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }


def new_folder(case: Path) -> Path:
    folder = case / FILES
    folder.mkdir(parents=True)
    return folder


def write_expected(case: Path, expected: Plain) -> None:
    case.mkdir(parents=True, exist_ok=True)
    (case / EXPECTED).write_text(json.dumps(expected, indent=1, sort_keys=True) + "\n")


# -- the message journal -------------------------------------------------------------------------------------

DISK_BYTES = 400_000
SMALL_DISK_BYTES = 200_000  # so small that segments have to be discarded
# Numbers of the record kinds on disk.
ACCEPTED, ATTEMPT, OUTCOME, FINAL_OUTCOME, NOTIFIED, CANCELLED, UNFINISHED_IDS = range(1, 8)


def accept(message: str, body: bytes, key: str | None = None, front: str = "http", repeat: str = "") -> Any:
    number = int(message.lstrip("m"))
    class_ = ("safe", "keyed", "unsafe")[number % 3]
    return [
        "accept",
        message,
        class_,
        f"tenant-{number % 2}",
        7 + number,
        key,
        1000.4 + number,
        9000.6 + number,
        repeat,
        body,
        front,
    ]


EVERY_RECORD: Steps = [
    accept("m0", b""),
    accept("m1", b"body of m1", "order-1", "http", "once more"),
    accept("m2", bytes(range(0, 256, 8)), None, "amqp shop"),
    accept("m3", "ü€😀".encode(), "key ü"),
    accept("m4", b"returned"),
    accept("m5", b"withdrawn"),
    accept("m6", b"delivered"),
    accept("m7", b"failed, notice owed", None, "amqp shop"),
    ["attempt", "m1", 1500.9, "endpoint-1", 0, 123456.7],
    ["outcome", "m1", False],
    ["attempt", "m1", 1600.0, "endpoint-2", 1, -1.0],
    ["outcome", "m1", True],
    ["attempt", "m2", 1700.0, "endpoint-3", 2, 200.0],
    ["attempt", "m6", 1750.0, "n" * 250, 0, 250.0],
    ["outcome", "m6", True],
    ["end", "m6", "delivered", 0.0],
    ["end", "m4", "returned", 25.5],
    ["notified", "m4"],
    ["withdraw", "m5"],
    ["end", "m7", "failed", 0.0],
    ["reopen"],
    ["attempt", "m2", 1800.0, "endpoint-4", 0, 300.0],
    ["outcome", "m2", False],
    ["attempt", "m3", 1900.0, "endpoint-5", 1, 400.0],
    ["end", "m0", "over", 0.0],
]
AFTER_REWRITE: Steps = [
    ["rewrite"],
    ["tidy", 9006.7],
    accept("m8", b"after the rewrite"),
    ["attempt", "m8", 2000.0, "endpoint-1", 0, 500.0],
]


def segment_discard_steps() -> Steps:
    """Returns more steps than fit on the disk: old segments are discarded while notifications are pending."""
    steps: Steps = []
    for number in range(10):
        steps.append(accept(f"m{number}", b"owed"))
        steps.append(["end", f"m{number}", "returned", 25.0])
    for number in range(10, 600):
        steps.append(accept(f"m{number}", bytes([number % 256]) * (100 + number)))
        steps.append(["attempt", f"m{number}", 1500.0 + number, "endpoint-1", 0, 10.0 * number])
        steps.append(["outcome", f"m{number}", number % 2 == 0])
        if number % 50:
            steps.append(["end", f"m{number}", "delivered", 0.0])
        steps.append(["tidy", 9001.0 + number])
    return steps


def write_expected_journal(case: Path, scratch: Path) -> None:
    """Writes the values expected from the files of a case, before and after a process has opened them."""
    write_expected(case, observe_journal(case / FILES, scratch))


def observe_journal(files: Path, scratch: Path) -> Plain:
    folder = scratch / "opened"
    shutil.copytree(files, folder)
    observed: Plain = {"read": product.read_journal(folder), "records": product.journal_records(folder)}
    with fixed_randomness(77):
        observed["opened"] = product.run_journal(folder, DISK_BYTES, True, [])
    observed["files_after_opening"] = file_digests(folder)
    reopened = product.read_journal(folder)
    observed["same_messages_after_opening"] = reopened.pop("messages") == observed["opened"]["messages"]
    observed["read_after_opening"] = reopened
    shutil.rmtree(folder)
    return observed


def write_every_record(folder: Path, steps: Steps) -> None:
    with fixed_randomness(1):
        product.run_journal(folder, DISK_BYTES, True, steps)


def last_file(folder: Path) -> Path:
    return sorted(folder.iterdir())[-1]


def first_record(folder: Path, kind: str) -> tuple[Path, int]:
    """Returns the file and the offset of the first record of this kind."""
    first = next(record for record in product.journal_records(folder) if record["kind"] == kind)
    return folder / first["file"], first["offset"]


def change_bytes(file: Path, *offsets: int) -> None:
    data = bytearray(file.read_bytes())
    for offset in offsets:
        data[offset] ^= 0x40
    file.write_bytes(data)


HEADER_BYTES, HEADERS = 40, 2  # a segment has two copies of its header, which ends with a checksum
VERSION_AT, CHECKSUM_BYTES = 4, 4


def with_format_version(segment: bytes, version: int) -> bytes:
    """Returns the segment with another format version in its headers."""
    data = bytearray(segment)
    for at in range(0, HEADERS * HEADER_BYTES, HEADER_BYTES):
        data[at + VERSION_AT] = version
        end = at + HEADER_BYTES - CHECKSUM_BYTES
        data[end : end + CHECKSUM_BYTES] = zlib.crc32(data[at:end]).to_bytes(CHECKSUM_BYTES, "little")
    return bytes(data)


def torn_tail(folder: Path) -> None:
    file = last_file(folder)
    file.write_bytes(file.read_bytes()[:-3])


def torn_segment(folder: Path) -> None:
    (folder / "seg-0000000003").write_bytes(b"LNST of a segment that was not begun")


def damaged_payload(folder: Path) -> None:
    file, offset = first_record(folder, "try")
    change_bytes(file, offset + 24)


def damaged_end(folder: Path) -> None:
    file, offset = first_record(folder, "end")
    change_bytes(file, offset + 24)


def damaged_record(folder: Path) -> None:
    """Damages the head and the tail of a record, so that nothing of it can be recovered."""
    file, offset = first_record(folder, "out")
    change_bytes(file, offset + 3, offset + 30)


def damaged_header(folder: Path) -> None:
    change_bytes(folder / "seg-0000000002", 8, HEADER_BYTES + 8)


def missing_segment(folder: Path) -> None:
    with fixed_randomness(2):
        product.run_journal(folder, DISK_BYTES, True, [])
    (folder / "seg-0000000002").unlink()


DAMAGES = {
    "torn-tail": torn_tail,
    "torn-segment": torn_segment,
    "damaged-payload": damaged_payload,
    "damaged-end": damaged_end,
    "damaged-record": damaged_record,
    "damaged-header": damaged_header,
    "missing-segment": missing_segment,
}


def earlier_segment() -> bytes:
    """Returns a segment of an earlier version, whose attempts had no system uptime."""
    pack = msgspec.msgpack.encode
    attempt = [1500, "endpoint-1", 0]
    open_message = ["safe", "t", 7, None, 1000, 9000, "", 2, attempt, None, "", 0.0, False, "http", b"body"]
    risky = ["keyed", "t", 7, "k", 1000, 9000, "", 1, None, attempt, "", 0.0, False, "http", b"body"]
    return product.segment_bytes(
        1,
        1,
        0x01020304,
        [
            (ACCEPTED, "m0", pack(open_message)),
            (ACCEPTED, "m1", pack(risky)),
            (ATTEMPT, "m1", pack([1600, "endpoint-2", 1])),
            (OUTCOME, "m1", pack(True)),
            (ATTEMPT, "m1", pack([1700, "endpoint-3", 1])),
            (FINAL_OUTCOME, "m0", pack(["returned", 12.5])),
            (NOTIFIED, "m0", b""),
            (ACCEPTED, "m2", pack(open_message)),
            (CANCELLED, "m2", b""),
            (UNFINISHED_IDS, "", pack({"http": ["m1", "m9"]})),
        ],
    )


def segment_with_unknown_kind() -> bytes:
    """Returns a segment that a later version of the same format could write."""
    accepted = ["safe", "t", 7, None, 1000, 9000, "", 0, None, None, "", 0.0, False, "http", b"body"]
    return product.segment_bytes(
        1, 1, 5, [(ACCEPTED, "m0", msgspec.msgpack.encode(accepted)), (9, "m0", b"more")]
    )


def line_of_format_1(fields: Plain) -> bytes:
    text = json.dumps(fields, separators=(",", ":")).encode()
    return f"{zlib.crc32(text):08x} ".encode() + text + b"\n"


def journal_of_format_1() -> bytes:
    """Returns a journal in format 1 with every kind of line, a damaged line and a torn end."""

    def accepted_line(message: str, **overrides: Any) -> Plain:
        fields = {
            "k": "take",
            "id": message,
            "class": "keyed",
            "tenant": "t",
            "dest": 7,
            "key": "k1",
            "since": 1000.5,
            "due": 9000.5,
            "again": "once more",
            "tries": 0,
            "out": None,
            "risk": None,
            "end": "",
            "after": 0.0,
            "told": False,
            "from": "amqp shop",
            "body": base64.b64encode(b"body of " + message.encode()).decode(),
        }
        return fields | overrides

    without_origin = accepted_line("m2")
    del without_origin["from"]
    entries = [
        accepted_line("m0", tries=2, out=[1500.0, "endpoint-1", 1]),
        accepted_line("m1", tries=1, risk=[1400.0, "endpoint-2", 0]),
        without_origin,
        accepted_line("m3", end="failed", after=2.5, told=True, body=""),
        accepted_line("m4"),
        accepted_line("m5"),
        {"k": "try", "id": "m2", "at": 1600.5, "ep": "endpoint-3", "zone": 2},
        {"k": "out", "id": "m2", "ran": True},
        {"k": "end", "id": "m4", "state": "returned", "after": 25.0},
        {"k": "told", "id": "m4"},
        {"k": "drop", "id": "m5"},
    ]
    lines = [line_of_format_1(entry) for entry in entries]
    damaged = line_of_format_1(accepted_line("m6")).replace(b'"tenant":"t"', b'"tenant":"u"')
    return b"".join([*lines, damaged, line_of_format_1(accepted_line("m7"))[:-9]])


JOURNAL_1 = Path(__file__).parent.parent / "store" / "journal-1"


def build_journals(target: Path, scratch: Path) -> None:
    every = new_folder(target / "every-record")
    write_every_record(every, EVERY_RECORD)
    for name, damage in DAMAGES.items():
        damaged = target / name / FILES
        shutil.copytree(every, damaged)
        damage(damaged)
    write_every_record(new_folder(target / "rewritten"), EVERY_RECORD + AFTER_REWRITE)
    (new_folder(target / "earlier-attempts") / "seg-0000000001").write_bytes(earlier_segment())
    (new_folder(target / "unknown-kind") / "seg-0000000001").write_bytes(segment_with_unknown_kind())
    folder = new_folder(target / "format-1")
    (folder / "journal").write_bytes(JOURNAL_1.read_bytes())
    (folder / "journal.new").write_bytes(b"of a compaction that was cut off")
    (new_folder(target / "format-1-every-line") / "journal").write_bytes(journal_of_format_1())
    for case in sorted(target.iterdir()):
        write_expected_journal(case, scratch)
    write_expected(target / "given-up", observe_segment_discard(scratch))


def observe_segment_discard(scratch: Path) -> Plain:
    """Runs the steps that discard segments. Only checksums of the files are stored, since they are larger."""
    folder = scratch / "given-up"
    folder.mkdir()
    with fixed_randomness(3):
        observed = product.run_journal(folder, SMALL_DISK_BYTES, False, segment_discard_steps())
    observed["messages"] = len(observed["messages"])
    observed["files"] = file_digests(folder)
    observed["owed"] = [
        message["message"]
        for message in product.read_journal(folder)["messages"]
        if message["anything_is_owed"]
    ]
    shutil.rmtree(folder)
    return observed


# -- snapshots of destinations -------------------------------------------------------------------------------

SAVED_AT_MS = 1_000_000_000_000.4
DESTINATIONS: Steps = [
    [1, 5000.25, False, None, None],
    [2, 0.0, True, 1500.5, None],
    [3, 0.0, False, None, 2500.125],
    [4, 70000.0, True, 10.0, 20.0],
]
AGES_MS = (0.0, 600.5, 59_999.0, 60_001.0, 90_000.0)
UNREADABLE_SNAPSHOTS = {
    "another-version": '{"version":2,"at":1000000000000,"lanes":[]}',
    "another-field": '{"version":1,"at":1000000000000,"lanes":[],"more":1}',
    "torn": '{"version":1,"at":1000000000000,"lan',
}


def observe_destination_snapshot(folder: Path) -> Plain:
    return {
        f"after {age:g} ms": product.read_destination_snapshot(folder, SAVED_AT_MS + age) for age in AGES_MS
    }


def observe_restored_destinations() -> Plain:
    saved = [(1000.0, DESTINATIONS[0]), (1500.0, DESTINATIONS[1]), (2000.0, DESTINATIONS[3])]
    return {
        "destination 2 comes": product.restored_destinations(saved, 2600.0, [2, 9], 3600.0),
        "all are too old": product.restored_destinations(saved, 62_001.0, [1, 2], 62_001.0),
        "written by the next process": product.snapshot_of_next_process(DESTINATIONS, 100_000.0, 100_700.0),
    }


def build_destination_snapshots(target: Path) -> None:
    folder = new_folder(target / "lanes")
    product.write_destination_snapshot(folder, [(SAVED_AT_MS, DESTINATIONS)])
    write_expected(target / "lanes", observe_destination_snapshot(folder))
    folder = new_folder(target / "none-any-more")
    product.write_destination_snapshot(folder, [(SAVED_AT_MS, DESTINATIONS), (SAVED_AT_MS + 1000, [])])
    write_expected(target / "none-any-more", observe_destination_snapshot(folder))
    for name, text in UNREADABLE_SNAPSHOTS.items():
        folder = new_folder(target / name)
        (folder / "learned").write_text(text)
        write_expected(target / name, observe_destination_snapshot(folder))
    write_expected(target / "recall", observe_restored_destinations())


# -- agreed rules --------------------------------------------------------------------------------------------

FIRST_RULES = '{"destinations":{"*":{"rate":100.0}},"zones":{"east":2}}'
RULES = (
    '{"destinations":{"*":{"rate":100.0},"7":{"rate":%s,"slots":%s,"endpoints":["s-2","s-1"]},"9":'
    '{"closed":true}},"classes":{"*":{"attempts":9},"unsafe":{"effect":"keyed","attempts":3},"safe":'
    '{"closed":true}},"policies":{"zones":["west","east"],"evacuated":["west"]},"flows":{"7":{"bound":'
    '{"east":{"west":5.0}},"spare":{"west":1.5},"share":{"east":{"west":0.5}}}},"zones":{"west":3,"east":2}}'
)
NOT_NORMAL_RULES = (
    '{"destinations":{"8":{"rate":10},"*":{"rate":10.0},"9":{"slots":0,"rate":3}},"classes":{"safe":{}},'
    '"flows":{"7":{"bound":{"east":{"east":1,"west":2}}}},"zones":{"west":0}}'
)
SECOND_RULES = RULES % (40, 4)
STRICTER_RULES = RULES % (20, 4)
STRICTEST_RULES = RULES % (20, 2)
FIRST_STEPS: Steps = [
    ["propose", 1, SECOND_RULES, "operator", "Störung in west", 1500.5, 1.0, None, 0],
    ["propose", 2, STRICTER_RULES, "operator", "on trial", 1600.0, 0.25, [0.8, 20, 12.5, True], 0],
    ["promote", 3, "guard"],
    ["propose", 3, STRICTEST_RULES, "operator", "on trial too", 1700.0, 0.5, None, 0],
    ["withdraw", 4, "guard", "fewer are delivered"],
    ["propose", 1, FIRST_RULES, "operator", "by an old base", 1800.0, 1.0, None, 0],
    ["forget", "n9", 7, "operator", 1900.0],
    ["voters", 4, "n5", "", "operator", 2000.0],
]
COMPACTION: Steps = [["compact"]]
LATER_STEPS: Steps = [
    ["propose", 5, SECOND_RULES, "operator", "back to 2", 2100.0, 1.0, None, 2],
    ["voters", 6, "", "n5", "operator", 2200.0],
]
ALONE = ["n0"]
THREE = ["n0", "n1", "n2"]
CLUSTER_STEPS: Steps = [*FIRST_STEPS[:3], ["member", "n3", ""], *COMPACTION, FIRST_STEPS[3]]


def observe_version_history() -> Plain:
    """Returns the encoded commands and the result of each on a state machine without the log."""
    encoded = [product.encoded_command(step) for step in FIRST_STEPS + LATER_STEPS]
    applied = product.apply_commands(FIRST_RULES, THREE, encoded)
    rules = (FIRST_RULES, SECOND_RULES, STRICTER_RULES, STRICTEST_RULES, NOT_NORMAL_RULES)
    return {
        "commands": encoded,
        "rules": [product.encoded_rules(rules_text) for rules_text in rules],
        **applied,
        "loaded": product.load_dump(FIRST_RULES, ALONE, applied["dump"]),
    }


def observe_voter(folder: Path, scratch: Path, name: str, names: list[str]) -> Plain:
    copy = scratch / "voter"
    shutil.copytree(folder, copy)
    observed = {
        "why_not_believed": product.log_error(copy),
        "entries": [
            {"number": number, "term": term, "kind": content[0], "bytes": len(content)}
            for number, term, content in product.raft_journal_entries((copy / "raft.journal").read_bytes())
        ],
        "vote": product.vote((copy / "raft.journal.meta").read_bytes()),
        "read": product.read_voter(copy, name, names, FIRST_RULES),
    }
    shutil.rmtree(copy)
    return observed


def run_alone(folder: Path, steps: Steps) -> Plain:
    return product.run_voters({"n0": folder}, ALONE, FIRST_RULES, steps)


def build_voters(target: Path, scratch: Path) -> None:
    """Builds one voter with a log, then a dump alone, then entries after the dump; and three voters."""
    before: Path | None = None
    for name, steps in (("log", FIRST_STEPS), ("dump", COMPACTION), ("dump-and-log", LATER_STEPS)):
        folder = target / name / FILES
        if before is None:
            folder.mkdir(parents=True)
        else:
            shutil.copytree(before, folder)
        run = run_alone(folder, steps)
        write_expected(target / name, {"ran": run, **observe_voter(folder, scratch, "n0", ALONE)})
        before = folder
    cluster = new_folder(target / "three-voters")
    folders = {name: cluster / name for name in THREE}
    for folder in folders.values():
        folder.mkdir()
    run = product.run_voters(folders, THREE, FIRST_RULES, CLUSTER_STEPS)
    voters = {name: observe_voter(folder, scratch, name, THREE) for name, folder in folders.items()}
    write_expected(target / "three-voters", {"ran": run, "voters": voters})


VOTER_STATE_TEXTS: dict[str, str] = {
    "older": '{"cleared":3}',
    "without-voters": '{"cleared":3,"boots":{"8899aabbccddeeff":4},"voted":true}',
    "unreadable": '{"cleared":3,"more":1}',
}


def build_voter_states(target: Path) -> None:
    folder = new_folder(target / "every-field")
    epochs = {"8899aabbccddeeff": 4, "0123456789abcdef": 1}
    product.write_voter_state(folder, 6, epochs, True, ["n0", "n1", "n5"])
    write_expected(target / "every-field", product.read_voter_state(folder))
    for name, text in VOTER_STATE_TEXTS.items():
        folder = new_folder(target / name)
        (folder / "standing.json").write_text(text)
        write_expected(target / name, product.read_voter_state(folder))
    folder = new_folder(target / "none")
    write_expected(target / "none", product.read_voter_state(folder))
    folder.rmdir()


# -- all fixtures --------------------------------------------------------------------------------------------


def build(target: Path, scratch: Path) -> None:
    build_journals(target / "journal", scratch)
    build_destination_snapshots(target / "learned")
    write_expected(target / "book", observe_version_history())
    build_voters(target / "voters", scratch)
    build_voter_states(target / "standing")


def main() -> None:
    target = Path(sys.argv[1])
    scratch = target / "scratch"
    scratch.mkdir(parents=True)
    build(target, scratch)
    scratch.rmdir()


if __name__ == "__main__":
    main()
