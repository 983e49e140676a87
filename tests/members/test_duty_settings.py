"""Validation of the settings in deploy/duties.toml."""

from __future__ import annotations

from pathlib import Path

import pytest

from ringledge.lifecycle import settings_files
from ringledge.members.duty_settings import DutiesConfig

SHIPPED = Path(__file__).parents[2] / "deploy" / "duties.toml"


def _read(tmp_path: Path, text: str) -> DutiesConfig | None:
    path = tmp_path / "duties.toml"
    path.write_text(text)
    return settings_files.read_settings(DutiesConfig, path)


def test_shipped_file_is_valid_and_disabled(tmp_path: Path) -> None:
    assert settings_files.read_settings(DutiesConfig, SHIPPED) is None
    config = _read(tmp_path, SHIPPED.read_text().replace("enabled = false", "enabled = true"))
    assert config is not None
    assert config.terms().startup_silence_s == pytest.approx(3.3)
    assert config.terms().holder_lease_s == pytest.approx(2.7)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", "voters"),
        ('voters = ["a", "b"]', "voters"),
        ('voters = ["a", "b", "c", "d"]', "voters"),
        ('voters = ["a", "b", "b"]', "voters"),
        ('voters = ["a", "b", "c"]\nlease_s = 3.0\nlongest_s = 2.0', "longest_s"),
        ('voters = ["a", "b", "c"]\nrate = 0.7', "rate"),
        ('voters = ["a", "b", "c"]\ngeneration = 0', "generation"),
        ('voters = ["a", "b", "c"]\nleases = 3', "leases"),
        (f'voters = ["a", "b", "{"ä" * 30}"]', "voters"),
    ],
)
def test_invalid_value_raises_an_error_that_names_its_key(tmp_path: Path, text: str, key: str) -> None:
    with pytest.raises(settings_files.SettingsError, match=key):
        _read(tmp_path, "enabled = true\n" + text)
