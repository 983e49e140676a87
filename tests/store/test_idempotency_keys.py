"""The record of idempotency keys: which claims it grants, for how long, and to whom at one instant."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.store.errors import StoreError, StoreRejectionReason
from ringledge.store.idempotency_keys import (
    MIN_RETENTION_S,
    RETENTION_S,
    IdempotencyKeys,
)
from ringledge.store.key_claim import KeyClaim

WAIT_S = 10.0


@dataclass
class Clock:
    now_s: float = 1_000.0

    def __call__(self) -> float:
        return self.now_s


@dataclass
class Router:
    """Processes of one router, which share the file."""

    path: Path
    max_keys: int = 100
    clock: Clock = field(default_factory=Clock)
    processes: list[IdempotencyKeys] = field(default_factory=list)

    def start(self) -> IdempotencyKeys:
        process = IdempotencyKeys(self.path, self.max_keys, self.clock)
        process.start()
        self.processes.append(process)
        return process


@contextmanager
def router(path: Path, max_keys: int = 100) -> Iterator[Router]:
    router = Router(path / "keys.db", max_keys)
    try:
        yield router
    finally:
        for process in router.processes:
            process.stop()


def a_claim(run: str, key: str = "k", tenant: str = "farm", origin: str = "") -> KeyClaim:
    return KeyClaim(tenant, key, run, origin or run)


def claims(process: IdempotencyKeys, claim: KeyClaim, superseded_origin: str | None = None) -> bool:
    """Whether the process may claim."""

    async def ask() -> bool:
        with anyio.fail_after(WAIT_S):
            return await process.claim(claim, superseded_origin)

    return anyio.run(ask)


def release(process: IdempotencyKeys, claim: KeyClaim) -> None:
    process.release(claim).result(WAIT_S)


def test_claimed_key_is_refused_to_other_runs_in_each_process_and_after_their_ends(tmp_path: Path) -> None:
    with router(tmp_path) as processes:
        old, new = processes.start(), processes.start()
        assert claims(old, a_claim("1"))
        assert not claims(old, a_claim("2")) and not claims(new, a_claim("3"))
        old.stop()
        processes.processes.remove(old)
        assert not claims(new, a_claim("4")) and not claims(processes.start(), a_claim("5"))


def test_keys_belong_to_tenants(tmp_path: Path) -> None:
    """Guards against tenants whose name and key together read like those of another one."""
    with router(tmp_path) as processes:
        process = processes.start()
        assert claims(process, a_claim("1", "ab", "farm"))
        assert claims(process, a_claim("2", "ab", "yard"))
        assert claims(process, a_claim("3", "b", "farma"))


def test_released_key_may_be_claimed_and_a_late_release_does_not_touch_the_next_claim(tmp_path: Path) -> None:
    with router(tmp_path) as processes:
        old, new = processes.start(), processes.start()
        assert claims(old, a_claim("1"))
        release(old, a_claim("1"))
        assert claims(new, a_claim("2"))
        release(old, a_claim("1"))
        assert not claims(new, a_claim("3"))


def test_claim_supersedes_its_own_origin_and_the_one_that_its_caller_names(tmp_path: Path) -> None:
    with router(tmp_path) as processes:
        process = processes.start()
        assert claims(process, a_claim("1", origin="entry")) and claims(process, a_claim("2", origin="entry"))
        release(process, a_claim("1", origin="entry"))  # the release of the first run comes late
        assert not claims(process, a_claim("3"))
        assert claims(process, a_claim("4"), superseded_origin="entry")
        assert not claims(process, a_claim("5"), superseded_origin="entry")


def test_claim_expires_after_its_retention(tmp_path: Path) -> None:
    with router(tmp_path) as processes:
        process = processes.start()
        assert claims(process, a_claim("1"))
        processes.clock.now_s += RETENTION_S - 1
        assert not claims(process, a_claim("2"))
        processes.clock.now_s += 1
        assert claims(process, a_claim("3"))


def test_full_record_forgets_the_oldest_claim_but_none_within_the_least_retention(tmp_path: Path) -> None:
    with router(tmp_path, max_keys=2) as processes:
        process = processes.start()
        assert claims(process, a_claim("1", "a"))
        processes.clock.now_s += 1
        assert claims(process, a_claim("2", "b"))
        with pytest.raises(StoreError) as rejected:
            claims(process, a_claim("3", "c"))
        assert rejected.value.reason is StoreRejectionReason.MAX_ENTRIES
        processes.clock.now_s += MIN_RETENTION_S - 1
        assert claims(process, a_claim("4", "c"))
        assert not claims(process, a_claim("5", "b")) and not claims(process, a_claim("6", "c"))


def test_age_of_claims_from_before_a_reboot_counts_from_the_reboot(tmp_path: Path) -> None:
    """Guards against claims that are kept for as long as the machine had been up: its clock restarts."""
    with router(tmp_path) as processes:
        assert claims(processes.start(), a_claim("1"))
        processes.processes.pop().stop()
        processes.clock.now_s = 5.0
        process = processes.start()
        assert claims(process, a_claim("2", "of another key"))  # the file is open
        processes.clock.now_s += RETENTION_S - 1
        assert not claims(process, a_claim("3"))
        processes.clock.now_s += 1
        assert claims(process, a_claim("4"))


def test_one_of_many_claims_at_one_instant_is_granted(tmp_path: Path) -> None:
    """Guards against a look-up and a claim in separate transactions."""
    with router(tmp_path) as processes:
        started = [processes.start() for _ in range(4)]
        for round_number in range(20):
            barrier = threading.Barrier(len(started))
            granted = list[bool]()

            def claim(number: int, key: str, barrier: threading.Barrier, granted: list[bool]) -> None:
                barrier.wait(WAIT_S)
                granted.append(claims(started[number], a_claim(f"{key} {number}", key)))

            threads = [
                threading.Thread(target=claim, args=(number, str(round_number), barrier, granted))
                for number in range(len(started))
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(WAIT_S)
            assert sorted(granted) == [False, False, False, True]


def test_claims_are_rejected_while_another_process_holds_the_file(tmp_path: Path) -> None:
    with router(tmp_path) as processes:
        process = processes.start()
        assert claims(process, a_claim("1", "a"))
        holder = sqlite3.connect(processes.path, isolation_level=None)
        holder.execute("BEGIN IMMEDIATE")
        with pytest.raises(StoreError) as rejected:
            claims(process, a_claim("2", "b"))
        assert rejected.value.reason is StoreRejectionReason.LOCKED
        holder.execute("ROLLBACK")
        holder.close()
        assert claims(process, a_claim("3", "b"))


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["run", "never ran", "restart", "wait"]), st.sampled_from("ab"), st.integers(0, 1)
    ),
    max_size=25,
)


@given(ACTIONS)
def test_key_is_granted_just_when_no_run_of_it_may_have_taken_place(
    tmp_path_factory: pytest.TempPathFactory, actions: list[tuple[str, str, int]]
) -> None:
    """Compares two processes with a model that knows each run and its end."""
    with router(tmp_path_factory.mktemp("model")) as processes:
        pair = [processes.start(), processes.start()]
        possible_runs = dict[str, tuple[KeyClaim, float]]()  # by key, with the time of the claim
        for number, (action, key, index) in enumerate(actions):
            now_s = processes.clock.now_s
            if action == "run":
                claim = a_claim(f"run {number}", key)
                earlier_s = possible_runs.get(key, (claim, -RETENTION_S))[1]
                is_free = now_s - earlier_s >= RETENTION_S
                assert claims(pair[index], claim) is is_free
                if is_free:
                    possible_runs[key] = claim, now_s
            elif action == "never ran" and key in possible_runs:
                release(pair[index], possible_runs.pop(key)[0])
            elif action == "restart":
                pair[index].stop()
                processes.processes.remove(pair[index])
                pair[index] = processes.start()
            elif action == "wait":
                processes.clock.now_s += RETENTION_S / 3
