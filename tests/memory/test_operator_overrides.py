"""Excluded servers are known at a start, and calls are answered as they take effect, also on a bad disk."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.memory.operator_overrides import OperatorOverrides
from ringledge.observe.logging import log


@pytest.mark.parametrize("number", [errno.EIO, errno.ENFILE, errno.EMFILE], ids=errno.errorcode.get)
def test_load_retries_a_file_that_fails_once(
    number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "ringledge-n1.out.json").write_text('{"settings":"ours","out":["w0"]}')
    changes = list[tuple[str, bool]]()
    pending_errors = [OSError(number, os.strerror(number))]
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


class Disk:
    """The overrides of one conductor, with the calls that its folder refuses."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.changes = list[tuple[str, bool]]()
        self.errors = list[str]()
        self.overrides = OperatorOverrides(folder, "n1", "ours", lambda *change: self.changes.append(change))
        self._folder = folder
        self._monkeypatch = monkeypatch
        monkeypatch.setattr(log, "error", lambda event, **_: self.errors.append(event))

    def fail_for_the_folder(self, name: str) -> None:
        """Have one of the system's calls on the folder itself fail."""
        call = getattr(os, name)
        inode = self._folder.stat().st_ino

        def failing(target: Any, *arguments: Any) -> Any:
            if os.stat(target).st_ino == inode:
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            return call(target, *arguments)

        self._monkeypatch.setattr(os, name, failing)


def test_change_that_takes_effect_is_not_answered_no(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a no to a call that takes effect: the folder's sync fails behind the rename."""
    disk = Disk(tmp_path, monkeypatch)
    disk.fail_for_the_folder("fsync")
    anyio.run(disk.overrides.set_excluded, "w0", True)
    assert disk.changes == [("w0", True)]
    assert disk.errors == ["server_override_not_synced"]


def test_change_that_is_answered_no_does_not_take_effect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = Disk(tmp_path, monkeypatch)
    disk.fail_for_the_folder("open")
    with pytest.raises(OSError, match="Input/output"):
        anyio.run(disk.overrides.set_excluded, "w0", True)
    disk.overrides.reload()
    assert disk.changes == []


def test_error_that_lasts_is_logged_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error line at each look, twenty a second without limit."""
    disk = Disk(tmp_path, monkeypatch)
    path = tmp_path / "ringledge-n1.out.json"
    text = b'{"settings":"ours","out":["w0"]}'
    read_bytes = Path.read_bytes
    failures = [True] * 20 + [False, False, True, True]  # a later failure is one more

    def read(file: Path) -> bytes:
        if failures.pop(0):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return read_bytes(file)

    monkeypatch.setattr(Path, "read_bytes", read)
    path.write_bytes(text)
    for _ in range(20):
        disk.overrides.reload()
    assert disk.errors == ["server_overrides_unreadable"]
    while failures:
        disk.overrides.reload()
    assert disk.errors == ["server_overrides_unreadable"] * 2
    assert disk.changes == [("w0", True)]
