"""Servers that operators exclude: one file, which all processes of this conductor follow."""

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

POLL_INTERVAL_S = 0.05  # of the file: another process may have changed it
LOCK_TIMEOUT_S = 0.5  # a change that waits longer for others' raises TimeoutError
LOCK_RETRY_INTERVAL_S = 0.005


class OperatorOverrides:
    """The excluded servers, as the file has them; a file that can't be read leaves them as they are."""

    def __init__(
        self, folder: Path, name: str, settings: str, on_change: Callable[[str, bool], None]
    ) -> None:
        """Names the file after the conductor; reads nothing yet.

        `settings`: the fingerprint of ours; a file written under others is not used. `on_change` is called
        with each server that is now excluded (True) or included again (False).
        """
        self.excluded: frozenset[str] = frozenset()
        self._settings = settings
        self._path = folder / f"ringledge-{quote(name, safe='')}.out.json"
        self._on_change = on_change
        self._last_text: bytes | None = None  # as last read, valid or not
        self._last_error = ""  # of the last look, which is logged once while it lasts

    def reload(self) -> None:
        """Apply the file if it has changed; an unreadable one is logged."""
        try:
            text = self._path.read_bytes()  # a line: no cheaper way is surer to see each change
            if text == self._last_text:
                self._last_error = ""
                return
            self._last_text = text
            names = self._server_names(orjson.loads(text))
            excluded = frozenset(name for name in names if isinstance(name, str))
        except FileNotFoundError:  # nothing was ever excluded
            return
        except (OSError, ValueError, TypeError, KeyError) as error:
            if str(error) != self._last_error:
                log.error("server_overrides_unreadable", file=str(self._path), error=str(error))
            self._last_error = str(error)
            return
        self._last_error = ""
        changed = self.excluded ^ excluded
        self.excluded = excluded
        for server in sorted(changed):
            log.info("server_override_changed", server=server, out=server in excluded)
            self._on_change(server, server in excluded)

    def _server_names(self, content: Any) -> list[Any]:
        """The servers that a file lists; a bare list is the older form without a fingerprint."""
        if isinstance(content, list):
            return content
        if content["settings"] != self._settings:
            raise ValueError("it was written under other settings")
        names: list[Any] = content["out"]
        return names

    def load(self) -> None:
        """Read the file before anything is sent; a transient error is retried."""
        with suppress(OSError):  # logged by `reload`; a missing file is no transient error
            retry_while_transient(self._path.read_bytes)
        self.reload()

    async def set_excluded(self, server: str, excluded: bool) -> None:
        """Exclude a server or include it again; on disk when this returns.

        Raises OSError where it could not be written, and TimeoutError where another process holds the lock.
        """
        with self._path.with_suffix(".lock").open("ab") as lock:
            with anyio.fail_after(LOCK_TIMEOUT_S):
                while not _try_lock(lock.fileno()):
                    await anyio.sleep(LOCK_RETRY_INTERVAL_S)
            self.reload()  # another process may have been first
            servers = self.excluded | {server} if excluded else self.excluded - {server}
            if servers != self.excluded:
                self._write(orjson.dumps({"settings": self._settings, "out": sorted(servers)}))
                self.reload()

    def _write(self, text: bytes) -> None:
        """Replace the file atomically: a process that starts meanwhile reads the old text or the new one.

        OSError where nothing was replaced. Behind that the change takes effect, and is no failure.
        """
        new_path = self._path.with_suffix(".new")
        with new_path.open("wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            new_path.replace(self._path)
            self._sync(folder)
        finally:
            os.close(folder)

    def _sync(self, folder: int) -> None:
        """Have the replacement outlive a loss of power too, as far as the disk allows it."""
        try:
            os.fsync(folder)
        except OSError as error:
            log.error("server_override_not_synced", file=str(self._path), error=str(error))

    async def watch(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            self.reload()


def _try_lock(descriptor: int) -> bool:
    """Take the lock if it is free; closing the file releases it."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
