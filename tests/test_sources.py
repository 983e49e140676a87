"""Checks of the source files: imports, log events, metrics and alerts."""

import ast
import re
from graphlib import TopologicalSorter
from pathlib import Path

from tests.loopback import ROOT

SOURCES = sorted((ROOT / "ringledge").rglob("*.py"))


def imports(path: Path) -> set[str]:
    """The modules that a file imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
        elif isinstance(node, ast.Import):
            found |= {each.name for each in node.names}
    return found


def test_the_core_knows_no_wire() -> None:
    for path in (ROOT / "ringledge/core").rglob("*.py"):
        wires = ("ringledge.wire", "h11", "socket")
        assert not [name for name in imports(path) if name.startswith(wires)], path


def test_no_module_needs_itself() -> None:
    modules = {".".join(path.relative_to(ROOT).with_suffix("").parts): path for path in SOURCES}
    graph = {name: imports(path) & modules.keys() for name, path in modules.items()}
    TopologicalSorter(
        graph
    ).prepare()  # a cycle raises CycleError, which names it; imports for types count as well


LOG_CALL = re.compile(r"(?:log\.(?:debug|info|rate_limited|warning|error|exception)|write_log)\(\s*\"(\w+)\"")
ON_CALL = (ROOT / "docs/oncall.md").read_text()


def logged_events() -> set[str]:
    """All log events that the code writes."""
    return {event for path in SOURCES for event in LOG_CALL.findall(path.read_text())}


def section(title: str, page: str = ON_CALL) -> str:
    """The text of a page under a heading, or before the first heading for an empty title."""
    parts = re.split(r"^## (.+)$", page, flags=re.MULTILINE)
    sections: dict[str, str] = dict(zip(["", *parts[1::2]], parts[0::2], strict=True))
    return sections[title]


def first_column(text: str) -> set[str]:
    """The names in the first column of a table."""
    rows = re.findall(r"^\| (`.+?) \|", text, flags=re.MULTILINE)
    return {name for row in rows for name in re.findall(r"`(\w+)`", row)}


def exported_metrics() -> set[str]:
    """All metrics that the code registers, by their exported names."""
    call = re.compile(r"\b(_counter|_gauge|_histogram|Counter|Gauge|Histogram)\(\s*\"(\w+)\"")
    found = set()
    for path in SOURCES:
        for kind, name in call.findall(path.read_text()):
            full = name if name.startswith("ringledge_") else f"ringledge_{name}"
            found.add(f"{full}_total" if kind in ("_counter", "Counter") else full)
    return found


def test_every_log_event_stands_on_the_on_call_page_and_no_other() -> None:
    assert logged_events() == first_column(section(""))


def test_every_metric_stands_on_the_on_call_page_and_no_other() -> None:
    assert exported_metrics() == first_column(section("Metrics"))


def test_every_alert_is_explained() -> None:
    alerts = re.findall(r"alert: (\w+)", (ROOT / "deploy/alerts.yml").read_text())
    text = (ROOT / "docs/oncall.md").read_text()
    assert alerts and all(alert in text for alert in alerts)
