"""Variants of a made-up site: a list of changes is applied, and nothing else of the file changes."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.site_variant import BESIDE, Append, ChangeError, Changes, apply, main, read_changes

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


def test_values_are_set_tables_removed_and_appended() -> None:
    changes = Changes(
        "bakery",
        remove=["class.1"],
        set={"class.0.name": "knead", "rules.drain_grace_ms": 900},
        append=[Append("fam.class", 0, {"turns": 7})],
    )
    told = tomllib.loads(apply(changes, SITE))
    before = tomllib.loads(SITE)
    assert told["name"] == "bakery" and told["wire"] == before["wire"]
    assert told["rules"]["drain_grace_ms"] == 900
    assert told["class"] == [{"name": "knead", "share": [0.6, 0.9]}]
    assert told["fam"]["class"] == [{"turns": [1, 2]}, {"turns": 3}, {"turns": 7}]
    assert told["fam"]["role"] == before["fam"]["role"]


def test_what_is_not_changed_stays_to_the_letter() -> None:
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
def test_a_key_that_the_site_lacks_is_named(changes: Changes) -> None:
    with pytest.raises(ChangeError, match="no such key"):
        apply(changes, SITE)


def test_the_command_writes_a_folder_that_can_be_played(tmp_path: Path) -> None:
    (tmp_path / "site").mkdir()
    (tmp_path / "site" / "mill.toml").write_text(SITE)
    for name in BESIDE:
        (tmp_path / "site" / name).write_text(name)
    (tmp_path / "changes.toml").write_text(CHANGES)
    args = [str(tmp_path / "changes.toml"), str(tmp_path / "site" / "mill.toml")]
    result = CliRunner().invoke(main, [*args, "--folder", str(tmp_path / "built")])
    path = Path(result.output.strip())
    assert result.exit_code == 0 and path == tmp_path / "built" / "bakery" / "bakery.toml"
    assert {each.name for each in path.parent.iterdir()} == {*BESIDE, "bakery.toml"}
    assert tomllib.loads(path.read_text())["class"][0]["name"] == "knead"


def test_a_mistake_in_the_list_of_changes_is_told(tmp_path: Path) -> None:
    path = tmp_path / "changes.toml"
    path.write_text('name = "x"\nremoved = []\n')
    with pytest.raises(ChangeError, match="removed"):
        read_changes(path)


@pytest.mark.parametrize("name", ["ledger", "kiosk"])
def test_the_lists_of_this_project_can_be_read(name: str) -> None:
    assert read_changes(Path("deploy/sites") / f"{name}.toml").name == name
