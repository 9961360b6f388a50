"""`journal verify`, `show` and `stats`: on an intact and a damaged directory, and beside a running relay."""

from __future__ import annotations

import json
import os
import resource
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from message_relay.cli.main import group
from message_relay.store.errors import JournalError
from message_relay.store.file_store import READ_BYTES, DirectoryFileStore
from message_relay.store.journal import Journal
from message_relay.store.records import JournalEntry
from message_relay.store.recovery import recover


def run_tool(*words: object) -> Result:
    return CliRunner().invoke(group, ["journal", *(str(word) for word in words)])


def filled_journal(folder: Path) -> Journal:
    journal = Journal(folder, 400_000)
    for n in range(40):
        journal.append_accepted(
            JournalEntry(f"m{n}", "plata", "t", 7, None, 1000.0, 9000.0, "", b"a secret" * 100)
        )
    journal.append_attempt(journal.entries["m3"], 1500.0, "s-1", 0)
    journal.append_outcome(journal.entries["m3"], True)
    journal.append_final_outcome(journal.entries["m3"], "failed")
    journal.append_final_outcome(journal.entries["m4"], "delivered")
    return journal


def test_verify_show_and_stats_beside_a_running_relay(tmp_path: Path) -> None:
    journal = filled_journal(tmp_path)
    done = run_tool("verify", tmp_path)
    assert done.exit_code == 0 and "40 messages" in done.stdout and "0 findings" in done.stdout
    done = run_tool("show", tmp_path, "m3")
    kinds = [line.split()[2] for line in done.stdout.splitlines() if line.startswith("seg-")]
    assert done.exit_code == 0 and kinds == ["take", "try", "out", "end"]
    assert "end=failed" in done.stdout and "s-1" in done.stdout and "secret" not in done.stdout
    document = json.loads(run_tool("show", tmp_path, "m3", "--json").stdout)
    now = document["now"]
    assert now["end"] == "failed" and now["risk"]["endpoint"] == "s-1" and "body" not in now
    counts = json.loads(run_tool("stats", tmp_path, "--json").stdout)
    assert counts["open"] == 38 and counts["notices_owed"] == 1
    assert counts["ended"] == {"failed": 1, "delivered": 1}
    assert counts["records"]["take"] == 40 and counts["body_bytes"] == 38 * 800
    assert "notices owed" in run_tool("stats", tmp_path).stdout
    assert (
        run_tool("show", tmp_path, "nobody").exit_code == 1
        and run_tool("verify", tmp_path / "no").exit_code == 2
    )
    journal.append_accepted(
        JournalEntry("more", "plata", "t", 7, None, 1000.0, 9000.0, "", b"")
    )  # the tool has changed nothing
    journal.close()


def test_verify_prints_a_line_per_damage_and_repairs_nothing(tmp_path: Path) -> None:
    filled_journal(tmp_path).close()
    path = sorted(tmp_path.glob("seg-*"))[0]
    data = bytearray(path.read_bytes())
    data[5000] ^= 1
    path.write_bytes(data)
    for _ in range(2):
        done = run_tool("verify", tmp_path)
        assert done.exit_code == 1 and "cannot be read" in done.stdout and "2 findings" in done.stdout
    assert path.read_bytes() == data


def test_an_unreadable_part_of_the_disk_costs_only_its_records(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, 4_000_000)
    for n in range(300):
        journal.append_accepted(JournalEntry(f"m{n}", "plata", "t", 7, None, 1000.0, 9000.0, "", b"x" * 800))
    journal.close()
    pread = os.pread

    def failing_pread(file: int, size: int, offset: int) -> bytes:
        if offset == READ_BYTES:
            raise OSError(5, "EIO")
        return pread(file, size, offset)

    monkeypatch.setattr(os, "pread", failing_pread)
    state = recover(DirectoryFileStore(tmp_path))
    lost = [ident for ident, entry in state.entries.items() if entry.final_state == "failed"]
    intact = [entry for entry in state.entries.values() if not entry.final_state]
    assert state.findings and 150 < len(intact) < 260 and len(intact) + len(lost) <= 300
    assert all(
        entry.uncertain_attempt is not None for entry in intact if int(entry.id[1:]) < 70
    )  # unfinished at the lost part, so they may have been attempted


def test_a_real_file_size_limit_costs_a_segment_only(tmp_path: Path) -> None:
    """With RLIMIT_FSIZE in a separate process, the partial record is truncated and a new segment starts."""
    pid = os.fork()
    if pid == 0:
        code = 1
        try:
            resource.setrlimit(resource.RLIMIT_FSIZE, (9_000, 9_000))
            journal, refused = Journal(tmp_path, 400_000), 0
            for n in range(60):
                entry = JournalEntry(f"m{n}", "plata", "t", 7, None, 1000.0, 9000.0, "", b"x" * 700)
                for _ in range(2):
                    try:
                        journal.append_accepted(entry)
                        break
                    except JournalError:
                        refused += 1
            code = 0 if 3 < refused < 20 and len(journal.entries) == 60 else 2
        finally:
            os._exit(code)
    assert os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1]) == 0
    after = Journal(tmp_path, 400_000)
    assert len(after.entries) == 60 and not after.findings
    after.close()
