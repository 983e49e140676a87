"""The component of the record of idempotency keys, which the chat front and the queue's replay share."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.store.idempotency_keys import BYTES_PER_KEY, IdempotencyKeys
from ringledge.store.metrics import IdempotencyKeyMetrics
from ringledge.wire.clients.chat.keyed_runs import KeyedRuns

KEY_MEMORY_DIVISOR = 32  # $TMPDIR counts as memory: the file may use the memory limit divided by this


@dataclass(frozen=True, slots=True, eq=False)
class KeyRecord:
    """The component, and the guard of the runs that are started with a key."""

    component: Component
    keyed_runs: KeyedRuns


def create(context: ProgramContext) -> KeyRecord:
    """Create the record; its file is opened at the start, in a thread of its own.

    It is not stopped with the other components: a process that drains, or whose successor serves, still
    releases the keys of requests that never ran.
    """
    config, conductor = context.config, context.conductor
    path = config.folder / f"ringledge-{quote(config.name, safe='')}.keys.db"
    keys = IdempotencyKeys(path, int(config.memory_bytes / KEY_MEMORY_DIVISOR / BYTES_PER_KEY))
    metrics = IdempotencyKeyMetrics(context.metrics.registry)
    keyed_runs = KeyedRuns(keys, conductor.registry, conductor.context.invariants, metrics)
    return KeyRecord(Component(start=keys.start), keyed_runs)
