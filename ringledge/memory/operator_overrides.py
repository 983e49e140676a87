"""Servers that operators have excluded, in one file that all processes of a conductor share."""

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

POLL_INTERVAL_S = 0.05  # how soon a change by another process is seen
LOCK_TIMEOUT_S = 0.5  # maximum wait for a change by another process; then TimeoutError
LOCK_RETRY_INTERVAL_S = 0.005


class OperatorOverrides:
    """The excluded servers as of the last valid read of the file; an unreadable file changes nothing."""

    def __init__(
        self,
        folder: Path,
        name: str,
        settings_fingerprint: str,
        on_change: Callable[[str, bool], None],
    ) -> None:
        """Set the path of the file, which is named after the conductor; nothing is read yet.

        `settings_fingerprint` identifies the settings; a file written under other settings is ignored.
        `on_change` is called with each server that is now excluded (True) or included again (False).
        """
        self.excluded: frozenset[str] = frozenset()
        self._settings_fingerprint = settings_fingerprint
        self._path = folder / f"ringledge-{quote(name, safe='')}.out.json"
        self._on_change = on_change
        self._last_text: bytes | None = None  # of the last read, valid or not
        self._last_error = ""  # of the last reload; an error that persists is logged once

    def reload(self) -> None:
        """Read the file, and apply it if it has changed; an unreadable file is logged."""
        try:
            # The whole file is read each time: it is one short line, and no cheaper check is as reliable.
            text = self._path.read_bytes()
            if text == self._last_text:
                self._last_error = ""
                return
            self._last_text = text
            names = self._server_names(orjson.loads(text))
            excluded = frozenset(name for name in names if isinstance(name, str))
        except FileNotFoundError:  # no server has ever been excluded
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
        """The servers listed in the file's content; a bare list is the older format without a fingerprint."""
        if isinstance(content, list):
            return content
        if content["settings"] != self._settings_fingerprint:
            raise ValueError("it was written under other settings")
        names: list[Any] = content["out"]
        return names

    def load(self) -> None:
        """Read the file at start-up, before any request is sent; transient errors are retried."""
        with suppress(OSError):  # `reload` logs the error; a missing file is not a transient error
            retry_while_transient(self._path.read_bytes)
        self.reload()

    async def set_excluded(self, server: str, excluded: bool) -> None:
        """Exclude a server or include it again, and return when the change is on disk.

        Raises OSError if the file could not be written, and TimeoutError if another process holds the lock.
        """
        with self._path.with_suffix(".lock").open("ab") as lock:
            with anyio.fail_after(LOCK_TIMEOUT_S):
                while not _try_lock(lock.fileno()):
                    await anyio.sleep(LOCK_RETRY_INTERVAL_S)
            self.reload()  # another process may have changed the file
            servers = self.excluded | {server} if excluded else self.excluded - {server}
            if servers != self.excluded:
                self._write(orjson.dumps({"settings": self._settings_fingerprint, "out": sorted(servers)}))
                self.reload()

    def _write(self, text: bytes) -> None:
        """Replace the file atomically: a process that starts meanwhile reads the old text or the new one.

        Raises OSError only if the file was not replaced. A later error is not raised: the change has taken
        effect, and must not be reported as failed.
        """
        temporary_path = self._path.with_suffix(".new")
        with temporary_path.open("wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            temporary_path.replace(self._path)
            self._sync(folder)
        finally:
            os.close(folder)

    def _sync(self, folder: int) -> None:
        """Sync the folder so that the replacement survives a power failure; an error is only logged."""
        try:
            os.fsync(folder)
        except OSError as error:
            log.error("server_override_not_synced", file=str(self._path), error=str(error))

    async def watch(self) -> None:
        """Reload the file periodically until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            self.reload()


def _try_lock(descriptor: int) -> bool:
    """Take the lock without waiting; False if it is held. Closing the file releases it."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
