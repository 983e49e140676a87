"""The architecture page lists every package, and imports comply with its table."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from tests.loopback import ROOT

PAGE = (ROOT / "docs/architecture.md").read_text()
PACKAGE_ROW = re.compile(r"^\| `ringledge/(\w+)` \| .+ \| ([\w, -]+) \|$", re.MULTILINE)
MODULE_PATH = re.compile(r"`((?:ringledge|tests|docs)/[\w/]+\.(?:py|md))`")


def allowed_imports(page: str) -> dict[str, set[str]]:
    """The packages that each package may import according to the table."""
    return {name: set(re.findall(r"\w+", others)) for name, others in PACKAGE_ROW.findall(page)}


def imported_packages(path: Path) -> set[str]:
    """The packages of ringledge that a file imports, imports for types alone included."""
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
        elif isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
    return {module.split(".")[1] for module in modules if module.startswith("ringledge.")}


def forbidden_imports(page: str) -> list[str]:
    """Descriptions of all imports that the table does not allow."""
    return [
        f"{path.relative_to(ROOT)} imports ringledge.{other}"
        for package, allowed in allowed_imports(page).items()
        for path in sorted((ROOT / "ringledge" / package).rglob("*.py"))
        for other in sorted(imported_packages(path) - allowed - {package})
    ]


def test_every_package_stands_in_the_table_and_exists() -> None:
    packages = {path.parent.name for path in (ROOT / "ringledge").glob("*/__init__.py")}
    assert set(allowed_imports(PAGE)) == packages


def test_imports_keep_to_the_table() -> None:
    assert forbidden_imports(PAGE) == []


def test_an_import_that_the_table_does_not_allow_is_found() -> None:
    narrowed = PAGE.replace("| decide, memory, observe, routing |", "| memory, observe, routing |")
    assert narrowed != PAGE
    assert any("ringledge.decide" in found for found in forbidden_imports(narrowed))


@pytest.mark.parametrize("page", ["docs/architecture.md", "docs/newcomers.md"])
def test_every_file_that_a_page_names_exists(page: str) -> None:
    named = MODULE_PATH.findall((ROOT / page).read_text())
    assert named
    assert [name for name in named if not (ROOT / name).exists()] == []


def test_subsystems_of_decide_import_no_other_subsystem() -> None:
    folder = ROOT / "ringledge/decide"
    subsystems = {path.parent.name for path in folder.glob("*/__init__.py")}
    for path in sorted(folder.glob("*/*.py")):
        imported = re.findall(r"ringledge\.decide\.(\w+)", path.read_text())
        assert set(imported) & subsystems <= {path.parent.name}, path
