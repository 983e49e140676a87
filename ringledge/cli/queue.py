"""``ringledge queue``: read-only commands that inspect a site's queue."""

from __future__ import annotations

import os
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click
import orjson

# The commands import the store and sqlite3 themselves, since a process without a queue needs neither.
if TYPE_CHECKING:
    import sqlite3

    from ringledge.store.entry import EntryState

READ_LOCK_TIMEOUT_S = 2.0


@click.group()
@click.option(
    "--path", type=click.Path(path_type=Path), help="Database file; default: path in deploy/queue.toml."
)
@click.pass_context
def queue(context: click.Context, path: Path | None) -> None:
    """Inspect the queue in which a site stores requests during a partition."""
    context.obj = path


@queue.command("list")
@click.option("--state", type=click.Choice(["waiting", "begun", "ended"]))
@click.option("--most", "max_entries", default=50)
@click.pass_obj
def list_(path: Path | None, state: str | None, max_entries: int) -> None:
    """List entries in order of arrival, as one JSON line each, without prompts and responses."""
    from ringledge.store.entry import EntryState

    db = _connect_read_only(path)
    states = [EntryState[state.upper()]] if state else list(EntryState)
    for summary in _summaries(db, states, max_entries):
        click.echo(orjson.dumps(summary))


@queue.command()
@click.argument("name")
@click.option("--with-text", is_flag=True, help="Include the prompt and the response.")
@click.pass_obj
def show(path: Path | None, name: str, with_text: bool) -> None:
    """Show one entry."""
    from ringledge.store.queries import get_entry

    entry = get_entry(_connect_read_only(path), name)
    if entry is None:
        raise click.ClickException(f"{name}: no such entry, or its retention period has passed")
    request = entry.request
    output = {
        "entry": name,
        "tenant": request.tenant,
        "class": request.request_class,
        "may_repeat": request.idempotent,
        "created": request.created_s,
        "expires": request.expires_s,
        "state": entry.state.name.lower(),
        "attempts": entry.attempts,
        "token": entry.token,
        "ended": entry.ended_s,
        "end": entry.outcome.value if entry.outcome else None,
    }
    if with_text:
        output["question"] = request.body.decode(errors="replace")
        output["answer"] = (entry.response or b"").decode(errors="replace")
    click.echo(orjson.dumps(output, option=orjson.OPT_INDENT_2))


@queue.command()
@click.pass_obj
def verify(path: Path | None) -> None:
    """Check the file and each row; exits with 1 if any is corrupt."""
    from ringledge.store.queries import highest_token

    db = _connect_read_only(path)
    counts = Counter[str]()
    faults = list[str]()
    (finding,) = db.execute("PRAGMA integrity_check(1)").fetchone()
    if finding != "ok":
        faults.append(f"file: {finding}")
    for check in _check_rows(db):
        counts[check.status] += 1
        if check.fault is not None:
            faults.append(check.fault)
    output = {"token": highest_token(db), "entries": dict(counts), "wrong": faults}
    click.echo(orjson.dumps(output, option=orjson.OPT_INDENT_2))
    sys.exit(bool(faults))


@dataclass(slots=True, frozen=True)
class _RowCheck:
    """The result of checking one row."""

    status: str  # an entry's outcome or state; "spoilt" if the row is corrupt, "unread" if the scan failed
    fault: str | None = None


def _connect_read_only(path: Path | None) -> sqlite3.Connection:
    """Open an existing file without creating or migrating it; raises ClickException if it is not a queue."""
    import sqlite3

    path = path or _configured_path()
    if not path.exists():
        raise click.ClickException(f"{path}: no such file")
    try:
        uri = f"{path.resolve().as_uri()}?mode=ro"
        db = sqlite3.connect(uri, uri=True, timeout=READ_LOCK_TIMEOUT_S)
        db.execute("SELECT 1 FROM entries LIMIT 1")
    except sqlite3.Error as error:
        raise click.ClickException(f"{path}: {error}") from error
    return db


def _configured_path() -> Path:
    """The path in deploy/queue.toml."""
    from ringledge.lifecycle import settings_files
    from ringledge.store.settings import QueueConfig

    file = Path(os.environ.get("RINGLEDGE_DEPLOY", "deploy")) / "queue.toml"
    try:
        config = settings_files.read_settings(QueueConfig, file)
    except settings_files.SettingsError as error:
        raise click.ClickException(str(error)) from error
    if config is None:
        raise click.ClickException(f"{file} is absent or not enabled; use --path to name a file")
    return Path(config.path)


def _summaries(
    db: sqlite3.Connection, states: list[EntryState], max_entries: int
) -> Iterator[dict[str, object]]:
    """Yield the summaries that `list` prints, in order of arrival."""
    from ringledge.store.entry import EntryState
    from ringledge.store.queue_clock import QueueClock

    clock = QueueClock()
    clock.read(db)
    numbers = ", ".join(str(int(state)) for state in states)
    query = f"""SELECT name, tenant, kind, work, created_s, state, attempts, end, token FROM entries
        WHERE state IN ({numbers}) ORDER BY seq LIMIT ?"""
    for row in db.execute(query, (max_entries,)):
        name, tenant, request_class, estimated_tokens, created_s, state, attempts, outcome, token = row
        yield {
            "entry": name,
            "tenant": tenant,
            "class": request_class,
            "tokens": estimated_tokens,
            "age_s": round(clock.now_s() - created_s, 1),
            "state": EntryState(state).name.lower(),
            "attempts": attempts,
            "end": outcome,
            "token": token,
        }


def _check_rows(db: sqlite3.Connection) -> Iterator[_RowCheck]:
    """Check the seal of each row; if the scan fails, the last result describes the error."""
    import sqlite3

    from ringledge.store.seal import COLUMNS, CorruptRowError, from_row

    try:
        for row in db.execute(f"SELECT {COLUMNS}, seal FROM entries ORDER BY seq"):
            try:
                entry = from_row(row)
            except CorruptRowError:
                yield _RowCheck("spoilt", f"{row[0]}: its bytes do not match the seal")
                continue
            yield _RowCheck(entry.outcome.value if entry.outcome else entry.state.name.lower())
    except sqlite3.DatabaseError as error:
        yield _RowCheck("unread", f"rows: {error}")
