"""The snapshot of the learned state of a policy, as handed over to a successor process."""

from __future__ import annotations

import orjson

from ringledge.routing.snapshot import dump
from tests.compatibility.policy_trace import SEEDS, PolicyScript


def scripted_router(seed: int) -> PolicyScript:
    """A router after its scripted run."""
    script = PolicyScript(seed)
    for _ in script.run():
        pass
    return script


def snapshot_text(seed: int) -> bytes:
    """The snapshot of a router in the encoding of the hand-over channel, one part per line."""
    return b"\n".join(orjson.dumps({"learned": part}) for part in dump(scripted_router(seed).policy)) + b"\n"


def write_snapshots() -> dict[str, bytes]:
    """The golden files, by name."""
    return {f"snapshot-{seed}.jsonl": snapshot_text(seed) for seed in SEEDS}
