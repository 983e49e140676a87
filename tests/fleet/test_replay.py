"""The replay of a site's queue as a duty of real processes that share its file."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from tests.fleet.fleet import Fleet

CHAT = """enabled = true
listen = "127.0.0.1:0"
[models]
ask = "query"
"""


def test_the_replay_of_a_site_has_one_holder_and_its_file_takes_the_newer_token(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    files = {"chat.toml": CHAT, "queue.toml": f'enabled = true\npath = "{path}"\nsite = "yard"\n'}
    with Fleet(tmp_path, files=files) as fleet:
        holder, token = fleet.begun("replay/yard")
        fleet.kill(holder)
        follower, higher = fleet.begun("replay/yard", above=token)
        assert follower != holder and higher > token
        fleet.nodes[follower].logged("replay_begun")
        fleet.check()
    with sqlite3.connect(path) as db:
        assert db.execute("PRAGMA integrity_check").fetchone() == ("ok",)
