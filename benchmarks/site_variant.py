"""Apply a list of changes to a site file of the operators' bench, and write a folder that the bench can run.

The bench, its site files and their companion files are outside this repository; only the lists of changes are
kept here (``deploy/sites/NAME.toml``). The output goes to a folder that git ignores.
"""

from __future__ import annotations

import copy
import shutil
from pathlib import Path
from typing import Any

import click
import msgspec
import tomlkit
from tomlkit.exceptions import ParseError

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")  # in the site file's folder
DEFAULT_OUTPUT = Path("deploy/sites/built")


class ChangeError(Exception):
    """A change that does not fit the site file; the message names the key."""


class Append(msgspec.Struct, forbid_unknown_fields=True):
    """A table to append to a list: a copy of an existing one, with some values replaced."""

    to: str
    from_: int = msgspec.field(name="from")
    set: dict[str, Any] = {}


class Changes(msgspec.Struct, forbid_unknown_fields=True):
    """The changes that make a variant of a site; keys are removed first, then set, then appended."""

    name: str
    remove: list[str] = []
    set: dict[str, Any] = {}
    append: list[Append] = []


def read_changes(path: Path) -> Changes:
    """Read a file of changes; ChangeError names the file and the problem."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Changes)
    except msgspec.DecodeError as error:
        raise ChangeError(f"{path}: {error}") from error


def apply(changes: Changes, text: str) -> str:
    """Apply the changes to the text of a site file and keep the rest; ChangeError for a key that it lacks."""
    try:
        site = tomlkit.parse(text)
    except ParseError as error:
        raise ChangeError(f"the site: {error}") from error
    originals = copy.deepcopy(site)
    for key in changes.remove:
        parent, last = _parent(site, key)
        del parent[last]
    for key, value in changes.set.items():
        parent, last = _parent(site, key)
        parent[last] = value
    for each in changes.append:
        _append(site, originals, each)
    site["name"] = changes.name
    return tomlkit.dumps(site)


def _append(site: Any, originals: Any, each: Append) -> None:
    parent, last = _parent(site, each.to)
    source, place = _parent(originals, f"{each.to}.{each.from_}")
    table = tomlkit.parse(tomlkit.dumps(source[place]))
    for key, value in each.set.items():
        inner, name = _parent(table, key)
        inner[name] = value
    parent[last].append(table)


def _parent(site: Any, key: str) -> tuple[Any, Any]:
    """The container of a key such as ``class.0.name``, and its last part; ChangeError if it is missing."""
    container, parts = site, [int(part) if part.isdigit() else part for part in key.split(".")]
    for part in parts[:-1]:
        container = _inner(container, part, key)
    _inner(container, parts[-1], key)
    return container, parts[-1]


def _inner(container: Any, part: str | int, key: str) -> Any:
    try:
        return container[part]
    except (KeyError, IndexError, TypeError) as error:
        raise ChangeError(f"{key}: the site has no such key") from error


def write(changes: Changes, site: Path, folder: Path) -> Path:
    """Write the variant and its companion files into its own folder; returns the path of the site file."""
    place = folder / changes.name
    place.mkdir(parents=True, exist_ok=True)
    text = apply(changes, site.read_text())
    for name in COMPANION_FILES:
        shutil.copyfile(site.parent / name, place / name)
    path = place / f"{changes.name}.toml"
    path.write_text(text)
    return path


@click.command()
@click.argument("changes", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("site", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--folder", type=click.Path(path_type=Path), default=DEFAULT_OUTPUT, show_default=True)
def main(changes: Path, site: Path, folder: Path) -> None:
    """Write the variant of SITE that the file CHANGES describes, and print its path."""
    try:
        click.echo(write(read_changes(changes), site, folder))
    except (ChangeError, OSError) as error:
        raise click.ClickException(str(error)) from error


if __name__ == "__main__":
    main()
