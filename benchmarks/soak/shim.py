"""Faults of the system, put between the program and Python's own calls: of its clock, its sockets, its disk.

The program runs unchanged in a child (`child.py`) that installs these first. Each fault has a window on the
monotonic clock, which all processes share; outside of them every call is the system's own.
"""

from __future__ import annotations

import builtins
import errno
import io
import os
import random
import select
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

SHORT = 7  # bytes that a short read or write may have, at most


@dataclass(slots=True, frozen=True)
class Window:
    """One fault; times in s on the monotonic clock."""

    kind: str
    from_s: float
    until_s: float
    detail: dict[str, Any]


class Faults:
    """The faults of one process."""

    def __init__(self, windows: list[Window], seed: int, folder: str) -> None:
        self._windows, self._rng, self._folder = windows, random.Random(seed), folder
        self.hung: tuple[str, int] | None = None  # where a connection never comes up
        self.cut: dict[int, list[tuple[float, float]]] = {}  # by port: when connections there never come up
        self._time, self._epoll, self._open = time.time, select.epoll, io.open

    def now(self, kind: str) -> list[Window]:
        """The windows of a kind that are open now."""
        now_s = time.monotonic()
        return [each for each in self._windows if each.kind == kind and each.from_s <= now_s < each.until_s]

    def fail(self, *calls: str) -> None:
        """Raise what the system would, where one of these calls fails now."""
        for window in self.now("call_fails"):
            if window.detail["call"] in calls and self._rng.random() < window.detail["chance"]:
                number = getattr(errno, window.detail["errno"])
                raise OSError(number, os.strerror(number))

    def short(self) -> bool:
        """Whether a read or write is short now."""
        return bool(self.now("short_io")) and self._rng.random() < 0.5

    def size(self, wanted: int) -> int:
        """How much of a short read or write comes about."""
        return min(wanted, self._rng.randint(1, SHORT))

    def unreachable(self, port: int) -> bool:
        """Whether a connection to that port never comes up now."""
        now_s = time.monotonic()
        return any(from_s <= now_s < until_s for from_s, until_s in self.cut.get(port, []))

    def wall(self) -> float:
        """The wall clock, with its steps so far."""
        now_s = time.monotonic()
        steps = (each for each in self._windows if each.kind == "wall_step" and each.from_s <= now_s)
        return self._time() + sum(float(each.detail["step_s"]) for each in steps)

    def fail_disk(self, path: object) -> None:
        """Raise what the system would, where a write below our folder fails now."""
        for window in self.now("disk_fails"):
            if str(path).startswith(self._folder):
                number = getattr(errno, window.detail["errno"])
                raise OSError(number, os.strerror(number), str(path))

    def install(self) -> None:
        """Put them between the program and its calls."""
        time.time = self.wall
        self._install_epoll()
        self._install_disk()
        _install_sockets(self)

    def _install_epoll(self) -> None:
        real = self._epoll

        def epoll(*args: Any, **named: Any) -> Any:
            self.fail("descriptors")
            return real(*args, **named)

        select.epoll = epoll  # type: ignore[assignment, misc]

    def _install_disk(self) -> None:
        real_open, real_fsync, real_replace = self._open, os.fsync, os.replace

        def open_file(file: Any, mode: str = "r", *args: Any, **named: Any) -> Any:
            if isinstance(file, str | os.PathLike):
                self.fail("descriptors")
                if set(mode) & set("wax+"):
                    self.fail_disk(os.fspath(file))
            return real_open(file, mode, *args, **named)

        def fsync(descriptor: Any) -> None:
            self.fail_disk(self._folder)
            real_fsync(descriptor)

        def replace(source: Any, target: Any, **named: Any) -> None:
            self.fail_disk(os.fspath(target))
            real_replace(source, target, **named)

        io.open = builtins.open = open_file
        os.fsync, os.replace = fsync, replace  # type: ignore[assignment]


def _install_sockets(faults: Faults) -> None:
    """Faults of sockets, by methods of the class that all of the program's are of."""
    real_init, real_accept, real_connect = socket.socket.__init__, socket.socket.accept, socket.socket.connect
    base: Any = socket.socket.__mro__[1]

    def init(self: socket.socket, *args: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(args) < 4:
            faults.fail("socket", "descriptors")
        real_init(self, *args, **named)

    def accept(self: socket.socket) -> Any:
        faults.fail("accept", "descriptors")
        return real_accept(self)

    def connect(self: socket.socket, address: Any) -> None:
        if isinstance(address, tuple):
            faults.fail("connect")
            if faults.hung is not None and faults.unreachable(address[1]):
                address = faults.hung
        real_connect(self, address)

    def send(self: socket.socket, data: Any, *flags: int) -> int:
        if faults.short():
            data = memoryview(data)[: faults.size(len(data))]
        sent: int = base.send(self, data, *flags)
        return sent

    def recv_into(self: socket.socket, buffer: Any, size: int = 0, flags: int = 0) -> int:
        try:
            faults.fail("recv")
        except OSError:
            with suppress(OSError):
                self.shutdown(socket.SHUT_RDWR)  # what has timed out is broken for both sides
            raise
        if not flags and faults.short():
            size = faults.size(size or len(buffer))
        got: int = base.recv_into(self, buffer, size, flags)
        return got

    methods: dict[str, Callable[..., Any]] = {
        "__init__": init, "accept": accept, "connect": connect, "send": send, "recv_into": recv_into,
    }  # fmt: skip
    for name, method in methods.items():
        setattr(socket.socket, name, method)
