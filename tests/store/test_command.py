"""`ringledge queue`: it shows and verifies, and changes nothing."""

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
from tests.store.helpers import LIMITS, NOW_S, asked, within


def call(path: Path, *words: str) -> Result:
    return CliRunner().invoke(main, ["queue", "--path", str(path), *words])


def test_list_show_and_verify(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    db = schema.connect(path, 1.0)
    for name in ("a", "b", "c"):
        within(
            db,
            partial(transitions.enqueue, request=asked(name, safe=name != "b"), now_s=NOW_S, limits=LIMITS),
        )
    within(db, partial(transitions.adopt, token=4, now_s=NOW_S))
    within(db, partial(transitions.begin_attempt, name="b", token=4, now_s=NOW_S))
    within(db, partial(transitions.withdraw, name="c", now_s=NOW_S))
    lines = [orjson.loads(line) for line in call(path, "list").output.splitlines()]
    assert [line["state"] for line in lines] == ["waiting", "begun", "ended"]
    assert len(call(path, "list", "--state", "begun").output.splitlines()) == 1
    told = orjson.loads(call(path, "show", "b").output)
    assert told["token"] == 4 and told["may_repeat"] is False and "question" not in told
    assert "??" in orjson.loads(call(path, "show", "b", "--with-text").output)["question"]
    assert call(path, "show", "none").exit_code == 1
    verified = call(path, "verify")
    assert verified.exit_code == 0
    assert orjson.loads(verified.output)["entries"] == {"waiting": 1, "begun": 1, "withdrawn": 1}
    db.execute("UPDATE entries SET work = 99 WHERE name = 'a'")
    db.close()
    spoilt = call(path, "verify")
    assert spoilt.exit_code == 1 and "a: its bytes" in spoilt.output


def test_no_file_another_file_and_no_settings_are_told(tmp_path: Path) -> None:
    assert "no such file" in call(tmp_path / "none", "list").output
    sqlite3.connect(tmp_path / "other").close()
    assert call(tmp_path / "other", "list").exit_code == 1
    runner = CliRunner(env={"RINGLEDGE_DEPLOY": str(tmp_path)})
    assert "not enabled" in runner.invoke(main, ["queue", "list"]).output


def test_nothing_of_the_queue_is_imported_where_it_is_off() -> None:
    code = "import sys, ringledge.cli, ringledge.wire.clients.chat; print(sorted(sys.modules))"
    told = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    loaded = told.stdout
    assert "ringledge.wire.clients.chat" in loaded
    for off in (
        "sqlite3",
        "ringledge.store.queue",
        "ringledge.decide.replay.scheduler",
        "ringledge.members.replayer",
    ):
        assert off not in loaded
