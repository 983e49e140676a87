"""Excluded servers are known at a start, though their file has a transient error."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from ringledge.memory.operator_overrides import OperatorOverrides


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
