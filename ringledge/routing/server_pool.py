"""An ordered set of servers with indexes. Holds no decision logic."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter, defaultdict
from operator import attrgetter
from zlib import crc32

from ringledge.routing.state import Server

# Servers of a pool that every selection looks at. Of a larger pool it looks at some candidates, so that its
# work does not grow with the fleet.
FULL_SCAN_SERVERS = 256
# Parts of a large pool by which it is ranked: of 3,200 servers each has about 50.
BUCKET_COUNT = 64


_position = attrgetter("position")


def _insert(servers: list[Server], server: Server) -> None:
    """Insert a server by its position; most are the last ones."""
    if servers and servers[-1].position > server.position:
        insort(servers, server, key=_position)
    else:
        servers.append(server)


class _Index:
    """Lists of servers by key, each in the order of the endpoint list; a key without servers has no list."""

    def __init__(self) -> None:
        self.lists = defaultdict[int, list[Server]](list)

    def add(self, key: int, server: Server) -> None:
        _insert(self.lists[key], server)

    def copy(self) -> _Index:
        index = _Index()
        index.lists.update((key, servers.copy()) for key, servers in self.lists.items())
        return index

    def remove(self, key: int, server: Server) -> None:
        servers = self.lists[key]
        del servers[bisect_left(servers, server.position, key=_position)]
        if not servers:
            del self.lists[key]


class ServerPool:
    """Servers in the order of the endpoint list. A change of one server visits no others."""

    def __init__(self) -> None:
        self.servers = list[Server]()
        self.kinds = Counter[int]()  # number of servers of each kind
        self._cells, self._zones, self._buckets = _Index(), _Index(), _Index()
        self._keys: dict[Server, tuple[int, int, int, int]] = {}  # kind, cell, zone and bucket of each server

    def __len__(self) -> int:
        return len(self.servers)

    def __contains__(self, server: Server) -> bool:
        return server in self._keys

    def add(self, server: Server) -> None:
        """Add a server that is not in the pool."""
        entry = server.entry
        bucket = crc32(entry.server.encode()) % BUCKET_COUNT
        self._keys[server] = (entry.kind, entry.cell, entry.zone, bucket)
        _insert(self.servers, server)
        self.kinds[entry.kind] += 1
        self._cells.add(entry.cell, server)
        self._zones.add(entry.zone, server)
        self._buckets.add(bucket, server)

    def discard(self, server: Server) -> None:
        """Remove a server if it is in the pool."""
        if (keys := self._keys.pop(server, None)) is None:
            return
        del self.servers[bisect_left(self.servers, server.position, key=_position)]
        self.kinds[keys[0]] -= 1
        for index, key in zip((self._cells, self._zones, self._buckets), keys[1:], strict=True):
            index.remove(key, server)

    def copy(self) -> ServerPool:
        """A pool of the same servers, which changes on its own."""
        pool = ServerPool()
        pool.servers, pool.kinds, pool._keys = self.servers.copy(), self.kinds.copy(), self._keys.copy()
        pool._cells, pool._zones, pool._buckets = (
            index.copy() for index in (self._cells, self._zones, self._buckets)
        )
        return pool

    def in_cell(self, cell: int) -> list[Server]:
        """The servers of a cell."""
        return self._cells.lists.get(cell, [])

    def in_zone(self, zone: int) -> list[Server]:
        """The servers of a zone."""
        return self._zones.lists.get(zone, [])

    def in_bucket(self, bucket: int) -> list[Server]:
        """The servers of one of the `BUCKET_COUNT` buckets, to which they belong by their names alone."""
        return self._buckets.lists.get(bucket, [])
