"""System calls that fail for a moment: the start comes about, and the process goes on."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.lifecycle import channel
from ringledge.wire import sockets

FOR_A_MOMENT = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED]


def failing_once(call: Callable[..., Any], number: int) -> Callable[..., Any]:
    """That call, but its first go fails."""
    left = [OSError(number, os.strerror(number))]

    def failing(*args: Any, **named: Any) -> Any:
        if left:
            raise left.pop()
        return call(*args, **named)

    return failing


@pytest.mark.parametrize("number", FOR_A_MOMENT, ids=errno.errorcode.get)
def test_a_successor_is_accepted_though_the_system_could_not_at_first(
    number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is a task of the main group: an error that it raises ends the process."""

    async def run() -> None:
        door = channel.open_door(tmp_path / "door.sock")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as caller:
            caller.connect(str(tmp_path / "door.sock"))
            monkeypatch.setattr(socket.socket, "accept", failing_once(socket.socket.accept, number))
            with anyio.fail_after(10):
                (await channel.accept(door)).close()
        door.close()

    anyio.run(run)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.ENOBUFS, errno.EADDRINUSE], ids=errno.errorcode.get)
@pytest.mark.parametrize("call", ["__init__", "bind", "listen"])
def test_a_start_has_its_address_though_the_system_refused_at_first(
    number: int, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(socket.socket, call, failing_once(getattr(socket.socket, call), number))
    with sockets.listen("127.0.0.1:0") as listener:
        assert listener.getsockname()[1]
