"""A soak that played little or nothing is a failed one."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.soak import __main__ as command
from benchmarks.soak import day
from benchmarks.soak.day import SoakRun
from benchmarks.soak.plan import draw_plan
from benchmarks.soak.rig_rules import EndedProcess, violations_of_rig


def test_run_with_far_fewer_requests_than_planned_is_failed() -> None:
    plan = draw_plan(1)
    assert [each.rule for each in violations_of_rig(plan, 0, [])] == ["rig"]
    assert not list(violations_of_rig(plan, 10_000, []))


def test_run_with_a_failed_process_is_failed_with_its_last_lines() -> None:
    found = list(violations_of_rig(draw_plan(1), 10_000, [EndedProcess("proxy", 1, "ImportError")]))
    assert [(each.rule, each.id) for each in found] == [("rig", "proxy")] and "ImportError" in found[0].note


def test_soak_whose_client_processes_end_at_their_start_is_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    start_helper = SoakRun._start_helper

    def start_without_clients(run: SoakRun, module: str, *args: str) -> None:
        start_helper(run, "no_such_module" if module.endswith("plays") else module, *args)

    monkeypatch.setattr(day, "LOAD_S", 0.5)
    monkeypatch.setattr(day, "SETTLE_S", 0.5)
    monkeypatch.setattr(SoakRun, "_start_helper", start_without_clients)
    plan = draw_plan(1)
    plan.troubles.clear()
    verdict = asyncio.run(SoakRun(plan, tmp_path).run())
    notes = [each.note for each in verdict.violations if each.rule == "rig"]
    assert len(notes) == len(plan.conductors) + 1 and "no_such_module" in notes[0]


def test_missing_package_is_named_with_the_command_that_installs_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(command, "find_spec", lambda _: None)
    result = CliRunner().invoke(command.main, [])
    assert result.exit_code == 1 and "pip install -r requirements-lab.txt" in result.output
