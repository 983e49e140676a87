"""The file of claimed idempotency keys is written as before, and the claims of an earlier version hold."""

from __future__ import annotations

import shutil
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from ringledge.store.idempotency_keys import RETENTION_S, IdempotencyKeys
from ringledge.store.key_claim import KeyClaim
from tests.compatibility.golden import path
from tests.compatibility.key_files import CLAIMS, MAX_KEYS, NOW_S, write_claims
from tests.compatibility.queue_files import dump


def test_file_of_keys_is_written_as_before(tmp_path: Path) -> None:
    write_claims(tmp_path / "keys.db")
    assert dump(tmp_path / "keys.db") == path("keys-1.sql").read_text()


@pytest.mark.parametrize(("age_s", "expected"), [(RETENTION_S - 1, False), (RETENTION_S, True)])
def test_claims_of_an_earlier_version_hold_until_they_expire(
    tmp_path: Path, age_s: float, expected: bool
) -> None:
    shutil.copy(path("keys-1.db"), tmp_path / "keys.db")
    keys = IdempotencyKeys(tmp_path / "keys.db", MAX_KEYS, lambda: NOW_S + age_s)
    keys.start()

    async def claim_again(claim: KeyClaim) -> bool:
        return await keys.claim(replace(claim, run="another", origin="another"))

    assert [anyio.run(claim_again, each) for each in CLAIMS] == [expected] * len(CLAIMS)
    keys.stop()
