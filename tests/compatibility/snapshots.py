"""The snapshot of what a policy has learned, as one process hands it to the next."""

from __future__ import annotations

import orjson

from ringledge.routing.snapshot import dump
from tests.compatibility.policy_trace import SEEDS, PolicyScript


def learned(seed: int) -> PolicyScript:
    """A router after its scripted day."""
    script = PolicyScript(seed)
    for _ in script.run():
        pass
    return script


def snapshot_text(seed: int) -> bytes:
    """Its snapshot, a part a line, in the bytes of the hand-over channel."""
    return b"\n".join(orjson.dumps({"learned": part}) for part in dump(learned(seed).policy)) + b"\n"


def write_snapshots() -> dict[str, bytes]:
    """The golden files by name."""
    return {f"snapshot-{seed}.jsonl": snapshot_text(seed) for seed in SEEDS}
