"""Looking at a site's queue; nothing here changes an entry."""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click
import orjson

if TYPE_CHECKING:
    import sqlite3  # else only where a command needs it: serving has no use for it


@click.group()
@click.option("--path", type=click.Path(path_type=Path), help="The file; else what deploy/queue.toml says.")
@click.pass_context
def queue(context: click.Context, path: Path | None) -> None:
    """Look at the queue of a site that is, or was, cut off."""
    context.obj = path


def _open(path: Path | None) -> sqlite3.Connection:
    """The file, as it is: nothing is made or brought up to date."""
    import sqlite3

    from ringledge.lifecycle import settings_files
    from ringledge.store.settings import QueueConfig

    if path is None:
        file = Path(os.environ.get("RINGLEDGE_DEPLOY", "deploy")) / "queue.toml"
        try:
            config = settings_files.read_settings(QueueConfig, file)
        except settings_files.SettingsError as error:
            raise click.ClickException(str(error)) from error
        if config is None:
            raise click.ClickException(f"{file} is absent or not enabled; --path names a file")
        path = Path(config.path)
    if not path.exists():
        raise click.ClickException(f"{path}: no such file")
    try:
        db = sqlite3.connect(f"{path.resolve().as_uri()}?mode=ro", uri=True, timeout=2.0)
        db.execute("SELECT 1 FROM entries LIMIT 1")
    except sqlite3.Error as error:
        raise click.ClickException(f"{path}: {error}") from error
    return db


@queue.command("list")
@click.option("--state", type=click.Choice(["waiting", "begun", "ended"]))
@click.option("--most", default=50)
@click.pass_obj
def list_(path: Path | None, state: str | None, most: int) -> None:
    """Entries by age, a line of JSON each; questions and answers are left out."""
    from ringledge.store.entry import EntryState

    db, wanted = _open(path), [EntryState[state.upper()]] if state else list(EntryState)
    told = f"""SELECT name, tenant, kind, work, created_s, state, attempts, end, token FROM entries
        WHERE state IN ({", ".join(str(int(each)) for each in wanted)}) ORDER BY seq LIMIT ?"""
    for name, tenant, kind, work, created_s, stands, attempts, end, token in db.execute(told, (most,)):
        line = {"entry": name, "tenant": tenant, "class": kind, "tokens": work}
        line |= {"age_s": round(time.time() - created_s, 1), "state": EntryState(stands).name.lower()}
        click.echo(orjson.dumps(line | {"attempts": attempts, "end": end, "token": token}))


@queue.command()
@click.argument("name")
@click.option("--with-text", is_flag=True, help="Also the question and the answer.")
@click.pass_obj
def show(path: Path | None, name: str, with_text: bool) -> None:
    """One entry."""
    from ringledge.store.queries import get_entry

    entry = get_entry(_open(path), name)
    if entry is None:
        raise click.ClickException(f"{name}: no such entry, or its end was kept for long enough")
    asked = entry.request
    line = {
        "entry": name,
        "tenant": asked.tenant,
        "class": asked.request_class,
        "may_repeat": asked.idempotent,
    }
    line |= {"created": asked.created_s, "expires": asked.expires_s, "state": entry.state.name.lower()}
    line |= {"attempts": entry.attempts, "token": entry.token, "ended": entry.ended_s}
    line["end"] = entry.outcome.value if entry.outcome else None
    if with_text:
        line |= {"question": asked.body.decode(errors="replace")}
        line |= {"answer": (entry.response or b"").decode(errors="replace")}
    click.echo(orjson.dumps(line, option=orjson.OPT_INDENT_2))


@queue.command()
@click.pass_obj
def verify(path: Path | None) -> None:
    """Check the file and each row of it; ends with 1 where something is spoilt."""
    from ringledge.store.queries import highest_token

    db, counts, wrong = _open(path), Counter[str](), list[str]()
    (found,) = db.execute("PRAGMA integrity_check(1)").fetchone()
    if found != "ok":
        wrong.append(f"file: {found}")
    for stands, fault in _rows(db):
        counts[stands] += 1
        wrong += [fault] if fault else []
    told = {"token": highest_token(db), "entries": dict(counts), "wrong": wrong}
    click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2))
    sys.exit(bool(wrong))


def _rows(db: sqlite3.Connection) -> Iterator[tuple[str, str]]:
    """How each row stands, and what is wrong with it."""
    import sqlite3

    from ringledge.store.seal import COLUMNS, CorruptRowError, from_row

    try:
        for row in db.execute(f"SELECT {COLUMNS}, seal FROM entries ORDER BY seq"):
            try:
                entry = from_row(row)
            except CorruptRowError:
                yield "spoilt", f"{row[0]}: its bytes do not fit their seal"
                continue
            yield entry.outcome.value if entry.outcome else entry.state.name.lower(), ""
    except sqlite3.DatabaseError as error:
        yield "unread", f"rows: {error}"
