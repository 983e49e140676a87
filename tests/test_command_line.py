"""The commands of the command line, and their error messages for an invalid configuration."""

import contextlib
import http.client
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ringledge import __version__
from ringledge.lifecycle import config as configuration
from tests.loopback import ROOT, SETTINGS

GOOD: dict[str, Any] = {
    "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "ff", "settings": SETTINGS,
    "known": {"index": 1, "snapshot": True, "endpoints": []},
}  # fmt: skip


def run(*words: str, config: Path | None = None, **environ: str) -> subprocess.CompletedProcess[str]:
    variables = os.environ | environ | ({"RELAY_CONFIG": str(config)} if config else {})
    command = [sys.executable, "-m", "ringledge", *words]
    return subprocess.run(command, cwd=ROOT, env=variables, capture_output=True, text=True, timeout=30)


def test_version() -> None:
    assert run("version").stdout == f"ringledge {__version__}\n"


def test_check_config_prints_the_configuration(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    result = run("check-config", config=path, RELAY_NAME="n7", RELAY_OPERATOR="127.0.0.1:9100")
    assert result.returncode == 0 and result.stdout.startswith("n7: listens at 127.0.0.1:0")
    assert "operators' front: 127.0.0.1:9100" in result.stdout
    assert "classes query, booking" in result.stdout


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "config.json: "),
        ("[]", "config.json: "),
        ("{}", "missing or unknown 'settings'"),
        (json.dumps(GOOD | {"operator": "9100"}), "expected HOST:PORT, got '9100'"),
        (json.dumps(GOOD | {"known": {"index": 1}}), "known: Object missing required field `snapshot`"),
        (json.dumps(GOOD | {"known": [1]}), "known: Expected `object`, got `array`"),
        (json.dumps(GOOD | {"seed": "xyz"}), "invalid literal"),
        (json.dumps(GOOD | {"settings": SETTINGS | {"membership_mode": "odd"}}), "missing or unknown 'odd'"),
    ],
)
@pytest.mark.parametrize("command", ["serve", "check-config"])
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, command: str, text: str, reason: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    result = run(command, config=path)
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and reason in result.stderr


@pytest.mark.parametrize("text", ["enabled = true\nlisten = ", "enabled = true\nport = 1\n"])
def test_an_invalid_settings_file_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    (tmp_path / "chat.toml").write_text(text)
    result = run("check-config", config=path, RINGLEDGE_DEPLOY=str(tmp_path))
    assert result.returncode == 2 and "chat.toml" in result.stderr


@pytest.mark.parametrize(
    ("file", "text", "words"),
    [
        ("overload.toml", "targets = 0.9", ("targets: no such key", "allowed are enabled, target, delay_ms")),
        ("overload.toml", 'target = "much"', ("target: ", "Expected `float`")),
        ("overload.toml", "target = 1.5", ("target: ", "<= 1.0")),
        ("overload.toml", "memory_from = 0.9\nmemory_to = 0.8", ("memory_to is not below memory_from",)),
        ("overload.toml", 'enabled = "yes"', ("enabled: true or false is allowed",)),
        ("chat.toml", 'enabled = true\nlisten = "127.0.0.1:0"', ("models: required key is missing",)),
        ("chat.toml", 'listen = "nowhere"\n[models]\na = "b"', ("listen: ", "matching regex")),
        ("xds.toml", 'listen = "127.0.0.1:0"\npoll_s = 0', ("poll_s: ", "> 0")),
        ("prometheus.toml", "queue = 0", ("queue: ", ">= 1")),
        ("prometheus.toml", "[labels]\nsite = 3", ("labels", "Expected `str`")),
    ],
)
def test_a_disabled_settings_file_is_checked_strictly(
    tmp_path: Path, file: str, text: str, words: tuple[str, ...]
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    (tmp_path / file).write_text(text)
    result = run("check-config", config=path, RINGLEDGE_DEPLOY=str(tmp_path))
    assert result.returncode == 2 and result.stderr.count("\n") == 1
    assert all(word in result.stderr for word in (file, *words)), result.stderr


def test_the_shipped_settings_files_are_valid_and_disabled() -> None:
    shipped = ROOT / "deploy"
    assert configuration.load_deploy_settings({"RINGLEDGE_DEPLOY": str(shipped)}, check_disabled=True) == {}
    assert all((shipped / f"{name}.toml").exists() for name in configuration.SETTINGS_FILES)


def test_requests_are_answered_while_nobody_reads_the_log(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    environ = os.environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(tmp_path)}
    command = [sys.executable, "-m", "ringledge"]
    with (
        subprocess.Popen(command, cwd=ROOT, env=environ, stderr=subprocess.PIPE) as process,
        contextlib.ExitStack() as stack,
    ):
        stack.callback(process.kill)
        assert process.stderr
        line: dict[str, Any] = {}
        while line.get("event") != "ready":
            line = json.loads(process.stderr.readline())
        host, port = line["listening"]["platform"].split(":")
        client = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = {"X-Call-Class": "query", "X-Caller": "farm", "X-Budget-Ms": "4800"}
        for number in range(1000):  # without servers each is rejected and logged at once
            client.request("POST", "/v1/chat/completions", b"{}", headers | {"X-Call-Id": f"a{number}"})
            response = client.getresponse()
            assert (response.status, bool(response.read())) == (503, True)
