"""System faults, injected into Python's calls for the clock, sockets and the disk.

The router runs unchanged in a child process (`child.py`) that installs the faults first. Each fault is active
in a period of the monotonic clock, which all processes share; at other times calls go straight to the system.
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

SHORT_IO_BYTES = 7  # largest short read or write


@dataclass(slots=True, frozen=True)
class FaultWindow:
    """One fault; times are in s of the monotonic clock."""

    kind: str
    from_s: float
    until_s: float
    detail: dict[str, Any]


class ProcessFaults:
    """The faults of one router process."""

    def __init__(self, windows: list[FaultWindow], seed: int, folder: str) -> None:
        self._windows, self._rng, self._folder = windows, random.Random(seed), folder
        self.dead_address: tuple[str, int] | None = None  # connections there are never established
        self.outages: dict[int, list[tuple[float, float]]] = {}  # by port: no connection is established then
        self._time, self._epoll, self._open = time.time, select.epoll, io.open

    def active(self, kind: str) -> list[FaultWindow]:
        """The faults of a kind that are active now."""
        now_s = time.monotonic()
        return [each for each in self._windows if each.kind == kind and each.from_s <= now_s < each.until_s]

    def raise_if_failing(self, *calls: str) -> None:
        """Raise the OSError of an active fault, with its probability, if it affects one of these calls."""
        for window in self.active("call_fails"):
            if window.detail["call"] in calls and self._rng.random() < window.detail["chance"]:
                number = getattr(errno, window.detail["errno"])
                raise OSError(number, os.strerror(number))

    def is_short(self) -> bool:
        """Whether the next read or write is short; random while the fault is active."""
        return bool(self.active("short_io")) and self._rng.random() < 0.5

    def size(self, wanted: int) -> int:
        """The random size of a short read or write."""
        return min(wanted, self._rng.randint(1, SHORT_IO_BYTES))

    def is_unreachable(self, port: int) -> bool:
        """Whether connections to the port are not established now."""
        now_s = time.monotonic()
        return any(from_s <= now_s < until_s for from_s, until_s in self.outages.get(port, []))

    def wall_time(self) -> float:
        """The wall clock with all steps up to now."""
        now_s = time.monotonic()
        steps = (each for each in self._windows if each.kind == "wall_step" and each.from_s <= now_s)
        return self._time() + sum(float(each.detail["step_s"]) for each in steps)

    def raise_if_disk_fails(self, path: object) -> None:
        """Raise the OSError of an active fault if the path is in the folder of the router."""
        for window in self.active("disk_fails"):
            if str(path).startswith(self._folder):
                number = getattr(errno, window.detail["errno"])
                raise OSError(number, os.strerror(number), str(path))

    def install(self) -> None:
        """Replace the calls by versions that can fail."""
        time.time = self.wall_time
        self._install_epoll()
        self._install_disk()
        _install_sockets(self)

    def _install_epoll(self) -> None:
        real = self._epoll

        def epoll(*args: Any, **kwargs: Any) -> Any:
            self.raise_if_failing("descriptors")
            return real(*args, **kwargs)

        select.epoll = epoll  # type: ignore[assignment, misc]

    def _install_disk(self) -> None:
        real_open, real_fsync, real_replace = self._open, os.fsync, os.replace

        def open_file(file: Any, mode: str = "r", *args: Any, **kwargs: Any) -> Any:
            if isinstance(file, str | os.PathLike):
                self.raise_if_failing("descriptors")
                if set(mode) & set("wax+"):
                    self.raise_if_disk_fails(os.fspath(file))
            return real_open(file, mode, *args, **kwargs)

        def fsync(descriptor: Any) -> None:
            self.raise_if_disk_fails(self._folder)
            real_fsync(descriptor)

        def replace(source: Any, target: Any, **kwargs: Any) -> None:
            self.raise_if_disk_fails(os.fspath(target))
            real_replace(source, target, **kwargs)

        io.open = builtins.open = open_file
        os.fsync, os.replace = fsync, replace  # type: ignore[assignment]


def _install_sockets(faults: ProcessFaults) -> None:
    """Replace methods of `socket.socket`, the class of all sockets of the router."""
    real_init, real_accept, real_connect = socket.socket.__init__, socket.socket.accept, socket.socket.connect
    base: Any = socket.socket.__mro__[1]

    def init(self: socket.socket, *args: Any, **kwargs: Any) -> None:
        if kwargs.get("fileno") is None and len(args) < 4:
            faults.raise_if_failing("socket", "descriptors")
        real_init(self, *args, **kwargs)

    def accept(self: socket.socket) -> Any:
        faults.raise_if_failing("accept", "descriptors")
        return real_accept(self)

    def connect(self: socket.socket, address: Any) -> None:
        if isinstance(address, tuple):
            faults.raise_if_failing("connect")
            if faults.dead_address is not None and faults.is_unreachable(address[1]):
                address = faults.dead_address
        real_connect(self, address)

    def send(self: socket.socket, data: Any, *flags: int) -> int:
        if faults.is_short():
            data = memoryview(data)[: faults.size(len(data))]
        sent: int = base.send(self, data, *flags)
        return sent

    def recv_into(self: socket.socket, buffer: Any, size: int = 0, flags: int = 0) -> int:
        try:
            faults.raise_if_failing("recv")
        except OSError:
            with suppress(OSError):
                self.shutdown(socket.SHUT_RDWR)  # a connection that timed out is broken for both sides
            raise
        if not flags and faults.is_short():
            size = faults.size(size or len(buffer))
        got: int = base.recv_into(self, buffer, size, flags)
        return got

    methods: dict[str, Callable[..., Any]] = {
        "__init__": init, "accept": accept, "connect": connect, "send": send, "recv_into": recv_into,
    }  # fmt: skip
    for name, method in methods.items():
        setattr(socket.socket, name, method)
