"""The replay of a site's queue is a duty of several processes that share the queue file."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from tests.fleet.fleet import Fleet

CHAT = """enabled = true
listen = "127.0.0.1:0"
[models]
ask = "query"
"""


def test_replay_has_one_holder_and_the_queue_file_adopts_the_newer_token(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    files = {"chat.toml": CHAT, "queue.toml": f'enabled = true\npath = "{path}"\nsite = "yard"\n'}
    with Fleet(tmp_path, files=files) as fleet:
        holder, token = fleet.wait_for_holder("replay/yard")
        fleet.kill(holder)
        successor, higher = fleet.wait_for_holder("replay/yard", above=token)
        assert successor != holder and higher > token
        fleet.nodes[successor].logged("replay_begun")
        fleet.check()
    with sqlite3.connect(path) as db:
        assert db.execute("PRAGMA integrity_check").fetchone() == ("ok",)
