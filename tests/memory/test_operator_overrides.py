"""Excluded servers are read at start-up, and a change is reported as it takes effect despite disk errors."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.memory.operator_overrides import OperatorOverrides
from ringledge.observe.logging import log


@pytest.mark.parametrize("error_number", [errno.EIO, errno.ENFILE, errno.EMFILE], ids=errno.errorcode.get)
def test_load_retries_a_file_that_fails_once(
    error_number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "ringledge-n1.out.json").write_text('{"settings":"ours","out":["w0"]}')
    changes = list[tuple[str, bool]]()
    pending_errors = [OSError(error_number, os.strerror(error_number))]
    read_bytes = Path.read_bytes

    def failing_once(path: Path) -> bytes:
        if pending_errors:
            raise pending_errors.pop()
        return read_bytes(path)

    monkeypatch.setattr(Path, "read_bytes", failing_once)
    overrides = OperatorOverrides(
        tmp_path, "n1", "ours", lambda server, excluded: changes.append((server, excluded))
    )
    overrides.load()
    assert changes == [("w0", True)]


class FailingDiskFixture:
    """The overrides of one conductor in a folder on which system calls can be made to fail."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.changes = list[tuple[str, bool]]()
        self.errors = list[str]()
        self.overrides = OperatorOverrides(folder, "n1", "ours", lambda *change: self.changes.append(change))
        self._folder = folder
        self._monkeypatch = monkeypatch
        monkeypatch.setattr(log, "error", lambda event, **_: self.errors.append(event))

    def fail_on_folder(self, name: str) -> None:
        """Make a function of `os` fail with EIO for the folder itself, but not for its files."""
        call = getattr(os, name)
        inode = self._folder.stat().st_ino

        def failing(target: Any, *arguments: Any) -> Any:
            if os.stat(target).st_ino == inode:
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            return call(target, *arguments)

        self._monkeypatch.setattr(os, name, failing)


def test_change_that_takes_effect_is_not_reported_as_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error for a change that takes effect: the folder's sync fails after the rename."""
    fixture = FailingDiskFixture(tmp_path, monkeypatch)
    fixture.fail_on_folder("fsync")
    anyio.run(fixture.overrides.set_excluded, "w0", True)
    assert fixture.changes == [("w0", True)]
    assert fixture.errors == ["server_override_not_synced"]


def test_change_that_is_reported_as_failed_does_not_take_effect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fixture = FailingDiskFixture(tmp_path, monkeypatch)
    fixture.fail_on_folder("open")
    with pytest.raises(OSError, match="Input/output"):
        anyio.run(fixture.overrides.set_excluded, "w0", True)
    fixture.overrides.reload()
    assert fixture.changes == []


def test_persistent_error_is_logged_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one error line per poll, that is 20 lines per second."""
    fixture = FailingDiskFixture(tmp_path, monkeypatch)
    path = tmp_path / "ringledge-n1.out.json"
    text = b'{"settings":"ours","out":["w0"]}'
    read_bytes = Path.read_bytes
    failures = [True] * 20 + [False, False, True, True]  # the second series of failures is logged once more

    def read(file: Path) -> bytes:
        if failures.pop(0):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return read_bytes(file)

    monkeypatch.setattr(Path, "read_bytes", read)
    path.write_bytes(text)
    for _ in range(20):
        fixture.overrides.reload()
    assert fixture.errors == ["server_overrides_unreadable"]
    while failures:
        fixture.overrides.reload()
    assert fixture.errors == ["server_overrides_unreadable"] * 2
    assert fixture.changes == [("w0", True)]
