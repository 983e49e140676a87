"""Errors of the files of this package, and their reasons."""

from __future__ import annotations

from enum import Enum
from pathlib import Path


class StoreRejectionReason(Enum):
    """Why a call was rejected; the values are metric labels."""

    MAX_ENTRIES = "entries"
    MAX_BYTES = "bytes"
    TENANT_QUOTA = "tenant"
    TOO_LARGE = "large"  # the body exceeds the limit for one entry
    ALREADY_EXPIRED = "age"
    DISK_FULL = "disk"
    IO_ERROR = (
        "failed"  # the sync failed; whether the change is durable shows only when the file is read again
    )
    LOCKED = "busy"  # another process held the file's lock until the time-out
    UNAVAILABLE = "closed"  # the file cannot be opened or used


class StoreError(Exception):
    """A call was rejected. Nothing was changed; after IO_ERROR this is not known."""

    def __init__(self, reason: StoreRejectionReason, message: str, path: Path | None = None) -> None:
        """`path` is the file if the error concerns the whole file."""
        super().__init__(message if path is None else f"{path}: {message}")
        self.reason = reason
        self.path = path
