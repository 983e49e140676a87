"""Each failed simulation run is shown in the table and in the exit code."""

import stat
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from benchmarks.fleet_plays import main, read_days

DAY: dict[str, Any] = {
    "name": "herd",
    "seed": 7,
    "balancers": 60,
    "servers": 16,
    "G": 0.75,
    "score": 0.5,
    "fault": None,
    "gate": None,
    "rules": {"drain": 0, "lost": 0},
}

STAND_IN = """#!{python}
import pathlib, sys
arguments = sys.argv[1:]
pathlib.Path({calls!r}).open("a").write(" ".join(arguments) + chr(10))
pathlib.Path(arguments[arguments.index("--json") + 1]).write_text({report!r})
"""


@pytest.mark.parametrize(
    ("change", "faults"),
    [
        ({}, ()),
        ({"rules": {"drain": 2, "lost": 0}}, ("drain broken 2 times",)),
        ({"fault": "conductor n3 crashed"}, ("fault: conductor n3 crashed",)),
        ({"gate": "class served 0.1"}, ("gate: class served 0.1",)),
        ({"rules": None, "G": None}, ()),
    ],
)
def test_run_fails_by_rule_crash_or_gate(change: dict[str, Any], faults: tuple[str, ...]) -> None:
    (day,) = read_days({"days": [DAY | change]})
    assert day.faults == faults
    assert day.row().endswith(f"| {'; '.join(faults) or 'rules kept'} |")


def test_report_of_a_single_run_has_one_row() -> None:
    (day,) = read_days({"row": DAY, "text": "a report for people"})
    assert (day.name, day.seed, day.faults) == ("herd", 7, ())


@pytest.mark.parametrize(("broken", "exit_code"), [(0, 0), (1, 1)])
def test_every_kind_and_panel_is_run_on_every_seed(tmp_path: Path, broken: int, exit_code: int) -> None:
    calls, bench, site = tmp_path / "calls", tmp_path / "bench", tmp_path / "site.toml"
    report = orjson.dumps({"days": [DAY | {"rules": {"lost": broken}}]}).decode()
    python = sys.executable
    bench.write_text(STAND_IN.format(python=python, calls=str(calls), report=report))
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    site.touch()
    arguments = [f"--bench={bench}", f"--site={site}", "--kind=herd", "--panel=brink", "--why=A look"]
    ended = CliRunner().invoke(main, [*arguments, "--seed=1", "--seed=2", "--nodes=60"])
    assert ended.exit_code == exit_code
    assert ended.output.count("| herd | 7 | 60 | 16 | 0.750 | 0.500 |") == 4
    lines = calls.read_text().splitlines()
    days = [line.partition(" --nodes")[0].replace(str(site), "SITE") for line in lines]
    assert days == ["SITE --rough herd"] * 2 + ["score SITE --panel brink"] * 2
    assert [line.split()[line.split().index("--seed") + 1] for line in lines] == ["1", "2", "1", "2"]


def test_missing_report_fails_the_run(tmp_path: Path) -> None:
    bench, site = tmp_path / "bench", tmp_path / "site.toml"
    bench.write_text("#!/bin/sh\nexit 3\n")
    bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
    site.touch()
    ended = CliRunner().invoke(main, [f"--bench={bench}", f"--site={site}", "--kind=herd", "--why=A look"])
    assert ended.exit_code == 1
    assert "no report, exit code 3" in ended.output
