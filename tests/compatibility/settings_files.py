"""Loads settings files in which every key has a value other than its default."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Mapping
from pathlib import Path

import msgspec

from ringledge.lifecycle import config
from ringledge.lifecycle.fingerprint import fingerprint
from tests.compatibility.rendering import render
from tests.compatibility.settings_contents import CONFIG, FILES, OVERRIDES


def load(folder: Path, overrides: Mapping[str, str]) -> config.Config:
    """Loads the configuration with all keys set."""
    (folder / "config.json").write_text(json.dumps(CONFIG))
    for name, text in FILES.items():
        (folder / f"{name}.toml").write_text(text)
    environ = {"RELAY_CONFIG": str(folder / "config.json"), "RINGLEDGE_DEPLOY": str(folder), "TMPDIR": "/tmp"}
    return config.load({**environ, **overrides})


def settings_texts(folder: Path) -> dict[str, str]:
    """The golden files, by name: the values read from the settings files, RELAY_CONFIG and the variables."""
    read = load(folder, {})
    overridden = load(folder, OVERRIDES)
    texts = {
        f"settings-{name}.json": msgspec.json.format(msgspec.json.encode(read.deploy_settings[name])).decode()
        + "\n"
        for name in FILES
    }
    values = [
        read.settings,
        read.names,
        read.known_endpoints,
        read.name,
        read.listen,
        read.operator,
        read.discovery,
    ]
    values += [read.seed, read.sockets, read.memory_mb, read.cores, str(read.folder), read.peers]
    values += [overridden.name, overridden.listen, overridden.operator, overridden.discovery]
    values += [overridden.configured_discovery]
    texts["settings-platform.txt"] = "\n".join(map(render, values)) + "\n"
    texts["fingerprint.txt"] = fingerprint(read.settings, read.names) + "\n"
    return texts


def write_settings() -> dict[str, bytes]:
    """The golden files as bytes, by name."""
    with tempfile.TemporaryDirectory() as folder:
        return {name: text.encode() for name, text in settings_texts(Path(folder)).items()}
