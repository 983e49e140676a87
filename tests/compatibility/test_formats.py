"""Stored formats and messages are written as by revision e65138a, and the files of that revision are read."""

from __future__ import annotations

import shutil
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from ringledge.cli import main
from ringledge.decide.leases import messages as lease_messages
from ringledge.decide.ratio import role_records as role_rows
from ringledge.lifecycle import fingerprint as fingerprints
from ringledge.members.codec import FIRST_KIND, Codec
from ringledge.routing import snapshot
from ringledge.routing.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    Role,
)
from ringledge.routing.policy import Policy
from ringledge.store import queries, schema, seal
from tests.compatibility.command_line import command_line_text
from tests.compatibility.datagrams import (
    KEY,
    MESSAGES,
    TABLES,
    encoded_messages,
    record_rows,
    write_datagrams,
)
from tests.compatibility.golden import path
from tests.compatibility.policy_trace import SEEDS
from tests.compatibility.queue_files import ENTRIES, dump, write_current, write_version_1
from tests.compatibility.rendering import render
from tests.compatibility.settings_contents import FILES
from tests.compatibility.settings_files import settings_texts
from tests.compatibility.snapshots import scripted_router, snapshot_text

SETTINGS_GOLDEN = [*(f"settings-{name}.json" for name in FILES), "settings-platform.txt", "fingerprint.txt"]


def golden_parts(seed: int) -> list[dict[str, list[list[object]]]]:
    lines = path(f"snapshot-{seed}.jsonl").read_bytes().splitlines()
    return [orjson.loads(line)["learned"] for line in lines]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_snapshot_is_written_as_before(seed: int) -> None:
    assert snapshot_text(seed) == path(f"snapshot-{seed}.jsonl").read_bytes()


def test_the_golden_snapshots_hold_every_table() -> None:
    tables = {name for seed in SEEDS for part in golden_parts(seed) for name in part}
    assert tables == {
        "pace", "done", "work", "usual", "peak", "streams", "fetches", "room", "recalled", "servers",
        "in_place", "blame", "prefixes", "homes",
    }  # fmt: skip


@pytest.mark.parametrize("seed", SEEDS)
def test_an_older_snapshot_is_read_in_full(seed: int) -> None:
    """A new policy with the same servers has, after loading, all that the older policy had learned."""
    script = scripted_router(seed)
    fresh = Policy(script.settings, seed)
    entries = tuple(server.entry for server in script.policy.fleet.servers.values())
    fresh.handle(script.now_ms, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, entries))
    for part in golden_parts(seed):
        snapshot.load(fresh, part)
    expected = [
        part for part in golden_parts(seed) if "peak" not in part
    ]  # the larger of both counts is kept
    for part in expected:  # an affinity to a server that is no longer listed is dropped
        if "homes" in part:
            part["homes"] = [row for row in part["homes"] if row[1] in script.policy.fleet.servers]
    assert [part for part in snapshot.dump(fresh) if "peak" not in part] == [
        part for part in expected if any(part.values())
    ]


def test_a_renamed_snapshot_table_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original = snapshot.dump
    renamed = [{name.replace("homes", "affinities"): rows for name, rows in part.items()}
               for part in original(scripted_router(0).policy)]  # fmt: skip
    monkeypatch.setattr("tests.compatibility.snapshots.dump", lambda _: iter(renamed))
    assert snapshot_text(0) != path("snapshot-0.jsonl").read_bytes()


@pytest.mark.parametrize("name", SETTINGS_GOLDEN)
def test_every_key_of_the_settings_means_the_same(name: str, tmp_path: Path) -> None:
    assert settings_texts(tmp_path)[name] == path(name).read_text()


def test_a_changed_role_value_changes_the_fingerprint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Role.PREFILL, "_value_", "prefill")
    assert settings_texts(tmp_path)["fingerprint.txt"] != path("fingerprint.txt").read_text()


def test_a_changed_schema_changes_the_fingerprint(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fingerprints, "SCHEMA", fingerprints.SCHEMA + 1)
    assert settings_texts(tmp_path)["fingerprint.txt"] != path("fingerprint.txt").read_text()


@pytest.mark.parametrize("name", ["datagrams.hex", "records.hex"])
def test_every_datagram_and_record_is_written_as_before(name: str) -> None:
    assert write_datagrams()[name] == path(name).read_bytes()


def test_every_kind_of_message_has_a_golden_datagram() -> None:
    assert {type(each) for each in MESSAGES} == {each for table in TABLES.values() for each in table}
    assert len(encoded_messages()) == len(path("datagrams.hex").read_text().split())


def test_older_datagrams_are_read() -> None:
    codec = Codec("yards", KEY, "n2", TABLES)
    datagrams = [codec.decode(bytes.fromhex(line)) for line in path("datagrams.hex").read_text().split()]
    assert [render(each.message) for each in datagrams] == [render(each) for each in MESSAGES]
    assert [each.sequence for each in datagrams] == list(range(1, len(MESSAGES) + 1))


def test_a_moved_message_kind_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(TABLES, "leases", tuple(reversed(lease_messages.MESSAGES)))
    assert write_datagrams()["datagrams.hex"] != path("datagrams.hex").read_bytes()


def test_a_moved_decider_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(FIRST_KIND, "leases", 48)
    assert write_datagrams()["datagrams.hex"] != path("datagrams.hex").read_bytes()


def test_a_renamed_record_key_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(role_rows, "KEY_PREFIX", "role/")
    assert "plan/s1" not in record_rows()
    assert write_datagrams()["records.hex"] != path("records.hex").read_bytes()


def test_the_command_line_takes_what_it_took() -> None:
    assert command_line_text() == path("command-line.json").read_text()


def test_a_renamed_option_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(main.commands["serve"].params[0], "opts", ["--level"])
    assert command_line_text() != path("command-line.json").read_text()


@pytest.fixture
def queues(tmp_path: Path) -> Path:
    """A folder with copies of the golden queue files."""
    for name in ("queue-1.db", "queue-2.db"):
        shutil.copy(path(name), tmp_path / name)
    return tmp_path


def test_the_queue_file_is_written_as_before(tmp_path: Path) -> None:
    write_current(tmp_path / "queue.db")
    write_version_1(tmp_path / "old.db")
    assert dump(tmp_path / "queue.db") == path("queue-2.sql").read_text()
    assert dump(tmp_path / "old.db") == path("queue-1.sql").read_text()


def test_an_older_queue_file_is_read_row_by_row(queues: Path) -> None:
    db = schema.connect(queues / "queue-2.db", 1.0)
    entries = {
        each.name: each for each in map(lambda request: queries.get_entry(db, request.name), ENTRIES) if each
    }
    db.close()
    states = {
        name: (each.state.value, each.outcome and each.outcome.value, each.response)
        for name, each in entries.items()
    }
    assert states == {
        "waits": (0, None, None),
        "withdrawn": (2, "withdrawn", b""),
        "begun": (1, None, None),
        "served": (2, "served", b"an answer"),
        "failed": (2, "failed", b"it failed 1 times"),
        "unknown": (2, "unknown", b"it may have run, and is not run again"),
        "expired": (2, "expired", b""),
        "again": (0, None, None),
    }


def test_a_queue_file_of_version_1_is_brought_up_to_date(queues: Path) -> None:
    db = schema.connect(queues / "queue-1.db", 1.0)
    assert db.execute("PRAGMA user_version").fetchone() == (2,)
    rows = db.execute(f"SELECT {seal.COLUMNS}, seal FROM entries ORDER BY seq").fetchall()
    assert [seal.from_row(row).state.value for row in rows] == [0, 0, 1]
    totals = db.execute("SELECT * FROM totals").fetchall()
    db.close()
    assert totals == [("farm", 3, 30)]


def test_a_changed_seal_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(seal, "CHECKSUM_BYTES", 13)
    write_current(tmp_path / "queue.db")
    assert dump(tmp_path / "queue.db") != path("queue-2.sql").read_text()


@pytest.mark.parametrize("name", ["queue-1.db", "queue-2.db"])
def test_the_queue_commands_read_older_files(name: str, queues: Path) -> None:
    file = str(queues / name)
    verified = CliRunner().invoke(main, ["queue", "--path", file, "verify"])
    listed = CliRunner().invoke(main, ["queue", "--path", file, "list"])
    shown = CliRunner().invoke(main, ["queue", "--path", file, "show", "waits", "--with-text"])
    # A file of version 1 has no column for the idempotency key, which `verify` and `show` read.
    if name == "queue-2.db":
        assert verified.exit_code == 0 and orjson.loads(verified.output)["wrong"] == []
        assert orjson.loads(shown.output)["question"] == "question 1"
    lines = [orjson.loads(line) for line in listed.output.splitlines()]
    states = {line["entry"]: line["state"] for line in lines}
    assert states["waits"] == "waiting" and states["begun"] == "begun"
    assert states["withdrawn"] == ("ended" if name == "queue-2.db" else "waiting")
    assert set(lines[0]) == {
        "entry", "tenant", "class", "tokens", "age_s", "state", "attempts", "end", "token",
    }  # fmt: skip
