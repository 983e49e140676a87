"""A connection is closed even if the system refuses the option that resets it."""

from __future__ import annotations

import socket
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.wire.http.resets import abort, reset_if_close_ends_stream


class RefusingSocket(socket.socket):
    def setsockopt(self, *_: Any) -> None:
        raise OSError("no such option")


@pytest.mark.parametrize("close", [abort, reset_if_close_ends_stream])
def test_connection_whose_system_refuses_a_reset_is_closed(close: Any) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener, RefusingSocket() as sock:
        sock.connect(listener.getsockname())
        sock.setblocking(False)
        with suppress(BlockingIOError):
            while True:  # until the peer, which reads nothing, has not received all
                sock.send(bytes(65536))
        conn: Any = SimpleNamespace(sock=sock, closed=False, h11=SimpleNamespace(their_http_version=b"1.0"))
        conn.close = sock.close
        close(conn)
        assert sock.fileno() == -1
