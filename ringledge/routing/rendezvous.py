"""Rendezvous hashing, hierarchical in large pools. Types are in ``ringledge/routing/interface.py``.

In a large pool the buckets are ranked first, then the servers of the first buckets. A server's bucket depends
on its name alone, so a change of the list moves no key but those of the changed servers. Rendezvous hashing:
Thaler and Ravishankar 1998.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b

from ringledge.routing.server_pool import BUCKET_COUNT, FULL_SCAN_SERVERS, ServerPool
from ringledge.routing.state import Server

CANDIDATES = 48  # servers of a large pool that are ranked, at least
WIDER_CANDIDATES = 96  # if none of the first ones will do


def rank(
    key: str,
    pool: ServerPool,
    candidates: int = CANDIDATES,
    is_wanted: Callable[[Server], bool] = lambda _: True,
) -> list[Server]:
    """Rank the servers of a small pool by key; of a large one, the first `candidates` that are wanted."""
    if len(pool) <= FULL_SCAN_SERVERS:
        return _ranked(key, pool.servers)
    ranked = list[Server]()
    for bucket in sorted(range(BUCKET_COUNT), key=lambda each: _weight(f"{key}|{each}"), reverse=True):
        ranked += _ranked(key, filter(is_wanted, pool.in_bucket(bucket)))
        if len(ranked) >= candidates:
            break
    return ranked[:candidates]


def random_weight(key: str, server: Server) -> float:
    """Return the weight of a server for a key, in (0, 1]. It is the same on every router."""
    return _weight(f"{key}|{server.entry.server}")


def _ranked(key: str, servers: Iterable[Server]) -> list[Server]:
    return sorted(servers, key=lambda each: random_weight(key, each), reverse=True)


def _weight(text: str) -> float:
    digest = blake2b(text.encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 1) / 256**6
