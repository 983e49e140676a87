"""Validation of the settings in deploy/members.toml, and their overrides by RELAY_CONFIG."""

import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest

from ringledge.lifecycle import settings_files
from ringledge.members.settings import MembersConfig, with_platform_config

GOOD = 'enabled = true\ncluster = "yards"\nkey_file = "members.key"\nlisten = "127.0.0.1:0"\n'


def read(folder: Path, text: str) -> MembersConfig:
    path = folder / "members.toml"
    path.write_text(text)
    settings = settings_files.read_settings(MembersConfig, path)
    assert settings is not None
    return settings


def test_shipped_file_is_disabled_and_holds_the_defaults() -> None:
    path = Path(__file__).parents[2] / "deploy" / "members.toml"
    assert settings_files.read_settings(MembersConfig, path) is None
    plain = MembersConfig("ringledge", "members.key")
    enabled = path.read_text().replace("enabled = false", "enabled = true")
    assert read_text(enabled) == plain  # the shipped file contains the default values


def test_members_are_not_imported_while_disabled() -> None:
    modules = (
        "ringledge.members",
        "ringledge.decide.membership.swim",
        "ringledge.decide.records.replicated_records",
    )
    code = f"import sys, ringledge.cli; print([name for name in sys.modules if name.startswith({modules})])"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


def read_text(text: str) -> MembersConfig:
    table = tomllib.loads(text)
    del table["enabled"]
    return msgspec.convert(table, MembersConfig)


@pytest.mark.parametrize(
    ("extra", "names"),
    [
        ('sight = "a"\n', "sight: no such key"),
        ('site = "' + "s" * 25 + '"\n', "site"),
        ('everyone = "host:1"\n', "everyone: expected IP:PORT"),
        ('[peers]\nn1 = "127.0.0.1"\n', "peers.n1: expected IP:PORT"),
        ('[peers]\n"' + "n" * 25 + '" = "127.0.0.1:1"\n', "1 to 24 bytes"),
        ("[probe]\nanswer_s = 0.4\n", "answer_s: half of interval_s at most"),
        ("[facts]\nfan_out = 0\n", "facts.fan_out"),
    ],
)
def test_invalid_setting_is_named_in_the_error(tmp_path: Path, extra: str, names: str) -> None:
    with pytest.raises(settings_files.SettingsError, match=names):
        read(tmp_path, GOOD + extra)


def test_key_file_holds_enough_bytes_in_hex(tmp_path: Path) -> None:
    settings = read(tmp_path, GOOD.replace("members.key", str(tmp_path / "key")))
    for text in (None, "00" * 15, "xy" * 16, "00" * 65):
        if text is not None:
            (tmp_path / "key").write_text(text)
        with pytest.raises(ValueError, match="key_file"):
            settings.key()
    (tmp_path / "key").write_text("0f" * 16 + "\n")
    assert settings.key() == b"\x0f" * 16


def test_platform_config_overrides_the_file(tmp_path: Path) -> None:
    settings = read(tmp_path, GOOD + '[peers]\nn1 = "127.0.0.1:1"\nn2 = "127.0.0.1:2"\n')
    relay_config = {"peer_listen": "127.0.0.9:9", "peers": {"n1": "127.0.0.5:5"}, "peers_all": "127.0.0.6:6"}
    merged = with_platform_config(settings, relay_config)
    assert (merged.listen, merged.broadcast_address) == ("127.0.0.9:9", "127.0.0.6:6")
    assert merged.peers == {"n1": "127.0.0.5:5", "n2": "127.0.0.1:2"}
    assert with_platform_config(settings, {}) == settings
    with pytest.raises(ValueError, match="listen"):
        with_platform_config(MembersConfig("a", "b"), {})
