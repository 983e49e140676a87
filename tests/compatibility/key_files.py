"""Writes a file of claimed idempotency keys."""

from __future__ import annotations

import tempfile
from functools import partial
from pathlib import Path

import anyio

from ringledge.store.idempotency_keys import IdempotencyKeys
from ringledge.store.key_claim import KeyClaim
from tests.compatibility.queue_files import dump

NOW_S = 1_000.0
MAX_KEYS = 100

CLAIMS = (
    KeyClaim("farm", "manifest-1", run="chatcmpl-1", origin="chatcmpl-1"),
    KeyClaim("farm", "manifest-2", run="attempt-2", origin="entry-2"),
    KeyClaim("fish", "manifest-1", run="chatcmpl-3", origin="chatcmpl-3"),
)


def write_claims(path: Path) -> None:
    """Writes a file with each of the claims."""
    keys = IdempotencyKeys(path, MAX_KEYS, lambda: NOW_S)
    keys.start()
    for claim in CLAIMS:
        anyio.run(partial(keys.claim, claim))
    keys.stop()  # closing the last connection moves the write-ahead log into the file


def write_key_files() -> dict[str, bytes]:
    """The file, and its contents as SQL."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "keys-1.db"
        write_claims(path)
        return {"keys-1.db": path.read_bytes(), "keys-1.sql": dump(path).encode()}
