"""The composition imports and starts only the components that their settings files enable."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from ringledge.lifecycle import config as configuration
from ringledge.lifecycle.composition import COMPONENTS
from ringledge.lifecycle.reload import fields_requiring_restart
from tests.loopback import SETTINGS, Node

LISTEN = 'listen = "127.0.0.1:0"\n'
FILES = {  # by file: its required settings, and a module that only its component imports
    "chat": (LISTEN + '[models]\nask = "query"\n', "ringledge.wire.clients.chat"),
    "xds": (LISTEN, "ringledge.wire.exporters.xds"),
    "prometheus": (LISTEN, "ringledge.wire.exporters.remote_write"),
    "overload": ("", "ringledge.core.gate"),
    "doors": ("", "ringledge.decide.connections.admission"),
    "members": (
        'cluster = "test"\nsite = "east"\nkey_file = "{folder}/members.key"\n' + LISTEN,
        "ringledge.decide.membership.swim",
    ),
    "queue": ('path = "{folder}/queue.db"\n', "ringledge.store.queue"),
    "ratio": ("", "ringledge.members.planner"),
    "duties": ('voters = ["n1", "n2", "n3"]\n', "ringledge.decide.leases.manager"),
}


def imported_modules(folder: Path, files: dict[str, str]) -> set[str]:
    """The modules that a process with these files has imported when it is ready."""
    files = {name: text.replace("{folder}", str(folder)) for name, text in files.items()}
    files["members.key"] = "5c" * 16
    with Node(folder, files=files, flags=("-X", "importtime")) as node:
        texts = [line["text"] for line in node.skipped_lines if line["event"] == "text"]
    return {text.rsplit("|", 1)[1].strip() for text in texts if "|" in text}


def test_modules_of_disabled_components_are_not_imported(tmp_path: Path) -> None:
    files = {f"{name}.toml": "enabled = false\n" + text for name, (text, _) in FILES.items()}
    found = imported_modules(tmp_path, files)
    assert "ringledge.wire.clients.platform" in found and "psutil" not in found
    for name, (_, module) in FILES.items():
        assert module not in found, name
    assert not {
        each for each in found if each.startswith(("ringledge.members", "ringledge.store", "sqlite3"))
    }


def test_modules_of_enabled_components_are_imported(tmp_path: Path) -> None:
    files = {f"{name}.toml": "enabled = true\n" + text for name, (text, _) in FILES.items()}
    found = imported_modules(tmp_path, files)
    assert {module for _, module in FILES.values()} <= found


def test_each_settings_file_has_a_component_and_a_case_in_this_file() -> None:
    assert configuration.SETTINGS_FILES.keys() == FILES.keys() <= {spec.name for spec in COMPONENTS}


@pytest.fixture
def config(tmp_path: Path) -> configuration.Config:
    document = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(document))
    (tmp_path / "xds.toml").write_text("enabled = true\n" + LISTEN)
    return configuration.load(
        {"RELAY_CONFIG": str(tmp_path / "config.json"), "RINGLEDGE_DEPLOY": str(tmp_path)}
    )


def test_changed_settings_that_require_a_restart_are_named(config: configuration.Config) -> None:
    assert fields_requiring_restart(config, config) == []
    assert fields_requiring_restart(config, replace(config, deploy_settings={}, cores=2.0)) == [
        "cores",
        "xds",
    ]
    assert fields_requiring_restart(config, replace(config, discovery="127.0.0.1:2")) == []
