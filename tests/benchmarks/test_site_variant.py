"""Variants of a test site: a list of changes is applied, and the rest of the file stays the same."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.site_variant import COMPANION_FILES, Append, ChangeError, Changes, apply, main, read_changes

SITE = """\
name = "mill"  # where it stands
wire = "wire.json"

[rules]
drain_grace_ms = 250

[[class]]
name = "grind"
share = [0.6, 0.9]

[[class]]
name = "sift"
share = 0.1

[fam]
role = ["read", "write"]

[[fam.class]]
turns = [1, 2]

[[fam.class]]
turns = 3
"""
CHANGES = """\
name = "bakery"
remove = ["class.1"]

[set]
"class.0.name" = "knead"
"rules.drain_grace_ms" = 900

[[append]]
to = "fam.class"
from = 1
[append.set]
turns = 7
"""


def test_changes_set_values_and_remove_and_append_tables() -> None:
    changes = Changes(
        "bakery",
        remove=["class.1"],
        set={"class.0.name": "knead", "rules.drain_grace_ms": 900},
        append=[Append("fam.class", 0, {"turns": 7})],
    )
    variant = tomllib.loads(apply(changes, SITE))
    before = tomllib.loads(SITE)
    assert variant["name"] == "bakery" and variant["wire"] == before["wire"]
    assert variant["rules"]["drain_grace_ms"] == 900
    assert variant["class"] == [{"name": "knead", "share": [0.6, 0.9]}]
    assert variant["fam"]["class"] == [{"turns": [1, 2]}, {"turns": 3}, {"turns": 7}]
    assert variant["fam"]["role"] == before["fam"]["role"]


def test_unchanged_text_stays_identical() -> None:
    changed = apply(Changes("mill", set={"rules.drain_grace_ms": 900}), SITE)
    assert changed == SITE.replace("250", "900")


@pytest.mark.parametrize(
    "changes",
    [
        Changes("x", set={"rules.grace_ms": 1}),
        Changes("x", set={"class.2.name": "y"}),
        Changes("x", set={"name.0.a": 1}),
        Changes("x", remove=["tenant"]),
        Changes("x", append=[Append("class", 5)]),
        Changes("x", append=[Append("class", 0, {"deadline": 1})]),
    ],
)
def test_change_of_an_unknown_key_is_an_error(changes: Changes) -> None:
    with pytest.raises(ChangeError, match="no such key"):
        apply(changes, SITE)


def test_command_writes_a_complete_site_folder(tmp_path: Path) -> None:
    (tmp_path / "site").mkdir()
    (tmp_path / "site" / "mill.toml").write_text(SITE)
    for name in COMPANION_FILES:
        (tmp_path / "site" / name).write_text(name)
    (tmp_path / "changes.toml").write_text(CHANGES)
    args = [str(tmp_path / "changes.toml"), str(tmp_path / "site" / "mill.toml")]
    result = CliRunner().invoke(main, [*args, "--folder", str(tmp_path / "built")])
    path = Path(result.output.strip())
    assert result.exit_code == 0 and path == tmp_path / "built" / "bakery" / "bakery.toml"
    assert {each.name for each in path.parent.iterdir()} == {*COMPANION_FILES, "bakery.toml"}
    assert tomllib.loads(path.read_text())["class"][0]["name"] == "knead"


def test_unknown_field_in_a_list_of_changes_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "changes.toml"
    path.write_text('name = "x"\nremoved = []\n')
    with pytest.raises(ChangeError, match="removed"):
        read_changes(path)


@pytest.mark.parametrize("name", ["ledger", "kiosk"])
def test_change_lists_of_the_repository_can_be_read(name: str) -> None:
    assert read_changes(Path("deploy/sites") / f"{name}.toml").name == name
