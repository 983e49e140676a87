"""Reports of the `ringledge queue` commands about a queue's file."""

from __future__ import annotations

import sqlite3
import subprocess
import sys
from functools import partial
from pathlib import Path

import orjson
from click.testing import CliRunner, Result

from ringledge.cli import main
from ringledge.store import schema, transitions
from tests.loopback import ROOT
from tests.store.helpers import LIMITS, NOW_S, in_transaction, queued_request


def invoke(path: Path, *arguments: str) -> Result:
    return CliRunner().invoke(main, ["queue", "--path", str(path), *arguments])


def test_list_show_and_verify_report_entries_and_corruption(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    db = schema.connect(path, 1.0)
    for name in ("a", "b", "c"):
        in_transaction(
            db,
            partial(
                transitions.enqueue,
                request=queued_request(name, idempotent=name != "b"),
                now_s=NOW_S,
                limits=LIMITS,
            ),
        )
    in_transaction(db, partial(transitions.adopt, token=4, now_s=NOW_S))
    in_transaction(db, partial(transitions.begin_attempt, name="b", token=4, now_s=NOW_S))
    in_transaction(db, partial(transitions.withdraw, name="c", now_s=NOW_S))
    lines = [orjson.loads(line) for line in invoke(path, "list").output.splitlines()]
    assert [line["state"] for line in lines] == ["waiting", "begun", "ended"]
    assert len(invoke(path, "list", "--state", "begun").output.splitlines()) == 1
    shown = orjson.loads(invoke(path, "show", "b").output)
    assert shown["token"] == 4 and shown["may_repeat"] is False and "question" not in shown
    assert "??" in orjson.loads(invoke(path, "show", "b", "--with-text").output)["question"]
    assert invoke(path, "show", "none").exit_code == 1
    verified = invoke(path, "verify")
    assert verified.exit_code == 0
    assert orjson.loads(verified.output)["entries"] == {"waiting": 1, "begun": 1, "withdrawn": 1}
    db.execute("UPDATE entries SET work = 99 WHERE name = 'a'")
    db.close()
    corrupt = invoke(path, "verify")
    assert corrupt.exit_code == 1 and "a: its bytes" in corrupt.output


def test_a_missing_file_a_foreign_file_and_absent_settings_are_reported(tmp_path: Path) -> None:
    assert "no such file" in invoke(tmp_path / "none", "list").output
    sqlite3.connect(tmp_path / "other").close()
    assert invoke(tmp_path / "other", "list").exit_code == 1
    runner = CliRunner(env={"RINGLEDGE_DEPLOY": str(tmp_path)})
    assert "not enabled" in runner.invoke(main, ["queue", "list"]).output


def test_a_process_without_a_queue_imports_none_of_its_modules() -> None:
    code = "import sys, ringledge.cli, ringledge.wire.clients.chat; print(sorted(sys.modules))"
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    loaded = process.stdout
    assert "ringledge.wire.clients.chat" in loaded
    for module in (
        "sqlite3",
        "ringledge.store.queue",
        "ringledge.decide.replay.scheduler",
        "ringledge.members.replayer",
    ):
        assert module not in loaded
