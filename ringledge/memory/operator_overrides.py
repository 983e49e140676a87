"""Which servers operators have left out by hand: one file, which all processes of this conductor follow."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import quote

import anyio
import orjson

from ringledge.observe.logging import log
from ringledge.structures.transient_errors import retry_while_transient

POLL_INTERVAL_S = 0.05  # how often the file is looked at: another process may have changed it
LOCK_TIMEOUT_S = 0.5  # a change that waits for others' for so long is given up
LOCK_RETRY_INTERVAL_S = 0.005


class OperatorOverrides:
    """The servers that are out, as the file has them."""

    def __init__(self, folder: Path, name: str, settings: str, tell: Callable[[str, bool], None]) -> None:
        """`settings`: the fingerprint of ours; a file written under others is not used."""
        self.excluded: frozenset[str] = frozenset()
        self._settings = settings
        self._path = folder / f"ringledge-{quote(name, safe='')}.out.json"
        self._on_change = tell  # told of each server that goes out (True) or comes back
        self._last_text: bytes | None = None  # what was read last

    def reload(self) -> None:
        """Take in what the file says, where it has changed."""
        try:
            text = self._path.read_bytes()  # a line: no shorter way is surer to see each change
            if text == self._last_text:
                return
            self._last_text = text
            out = frozenset(each for each in self._server_names(orjson.loads(text)) if isinstance(each, str))
        except FileNotFoundError:  # nobody was ever left out
            return
        except (OSError, ValueError, TypeError, KeyError) as error:
            log.error("by_hand_unreadable", file=str(self._path), error=str(error))
            return
        before, self.excluded = self.excluded, out
        for server in sorted(before ^ out):
            log.info("by_hand", server=server, out=server in out)
            self._on_change(server, server in out)

    def _server_names(self, told: Any) -> list[Any]:
        """The servers that a file tells; a bare list is the form that had no fingerprint yet."""
        if isinstance(told, list):
            return told
        if told["settings"] != self._settings:
            raise ValueError("it was written under other settings")
        names: list[Any] = told["out"]
        return names

    def load(self) -> None:
        """Take the file in before anything is sent; what fails for a moment is tried again."""
        with suppress(OSError):  # told by `look`; a file that is missing is none that fails for a moment
            retry_while_transient(self._path.read_bytes)
        self.reload()

    async def set_excluded(self, server: str, out: bool) -> None:
        """Leave a server out or call it back; on disk when this returns, OSError where it could not be."""
        with self._path.with_suffix(".lock").open("ab") as lock:
            with anyio.fail_after(LOCK_TIMEOUT_S):
                while not _try_lock(lock.fileno()):
                    await anyio.sleep(LOCK_RETRY_INTERVAL_S)
            self.reload()  # another process may have been first
            changed = self.excluded | {server} if out else self.excluded - {server}
            if changed != self.excluded:
                self._write(orjson.dumps({"settings": self._settings, "out": sorted(changed)}))
                self.reload()

    def _write(self, text: bytes) -> None:
        """Whole or not at all: a process that starts meanwhile reads the old text or the new one."""
        new = self._path.with_suffix(".new")
        with new.open("wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        new.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    async def watch(self) -> None:
        """Keep up with the file."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            self.reload()


def _try_lock(descriptor: int) -> bool:
    """Take the lock if it is free; closing the file lets it go."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
