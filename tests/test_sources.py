"""What holds for the files themselves."""

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
    TopologicalSorter(graph).prepare()  # a circle is a CycleError that names it; imports for types count, too


def test_every_log_line_is_explained() -> None:
    told = set(re.findall(r"`(\w+)`", (ROOT / "docs/oncall.md").read_text()))
    for path in SOURCES:
        events = re.findall(r"log\.(?:debug|info|often|warning|error|fault)\(\s*\"(\w+)\"", path.read_text())
        assert set(events) <= told, path


def test_every_alert_is_explained() -> None:
    alerts = re.findall(r"alert: (\w+)", (ROOT / "deploy/alerts.yml").read_text())
    text = (ROOT / "docs/oncall.md").read_text()
    assert alerts and all(alert in text for alert in alerts)
