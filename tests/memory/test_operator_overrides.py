"""Servers that operators left out are known at a start, though their file can't be read for a moment."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from ringledge.memory.operator_overrides import OperatorOverrides


@pytest.mark.parametrize("number", [errno.EIO, errno.ENFILE, errno.EMFILE], ids=errno.errorcode.get)
def test_a_file_that_fails_once_is_read_again(
    number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "ringledge-n1.out.json").write_text('{"settings":"ours","out":["w0"]}')
    told, left, read_bytes = list[tuple[str, bool]](), [OSError(number, os.strerror(number))], Path.read_bytes

    def failing_once(path: Path) -> bytes:
        if left:
            raise left.pop()
        return read_bytes(path)

    monkeypatch.setattr(Path, "read_bytes", failing_once)
    by_hand = OperatorOverrides(tmp_path, "n1", "ours", lambda server, out: told.append((server, out)))
    by_hand.load()
    assert told == [("w0", True)]
