"""UDP relays between members; the relays can drop, duplicate and delay datagrams."""

from __future__ import annotations

import heapq
import selectors
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

MAX_DATAGRAM_BYTES = 256  # a longer datagram is a fault of the program


@dataclass(slots=True)
class LinkFaults:
    """Faults of one link; fractions are between 0 and 1."""

    cut: bool = False
    alternate_loss: bool = False  # every second datagram is lost
    loss: float = 0.0
    duplication: float = 0.0
    late_fraction: float = 0.0  # fraction of datagrams that are delayed, and so reordered
    max_late_s: float = 0.05


@dataclass(slots=True)
class Link:
    """The relay from one member to another."""

    sock: socket.socket
    to: tuple[str, int] | None = None  # address of the recipient; None before it listens
    faults: LinkFaults = field(default_factory=LinkFaults)
    counts: Counter[str] = field(default_factory=Counter)


class Links:
    """The links between all pairs of members, served by one thread."""

    def __init__(self, names: Iterable[str], seed: int = 1) -> None:
        self.names, self._random = tuple(names), Random(seed)
        self.links = dict[tuple[str, str], Link]()
        self._selector, self._delayed = selectors.DefaultSelector(), list[tuple[float, int, Link, bytes]]()
        self._order, self._lock, self._ended = count(), threading.Lock(), threading.Event()
        for one in self.names:
            for other in self.names:
                if one != other:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    sock.bind(("127.0.0.1", 0))
                    sock.setblocking(False)
                    self.links[one, other] = link = Link(sock)
                    self._selector.register(sock, selectors.EVENT_READ, link)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def peers(self, name: str) -> dict[str, str]:
        """The relay addresses at which a member reaches its peers."""
        return {
            other: "{}:{}".format(*link.sock.getsockname())
            for (one, other), link in self.links.items()
            if one == name
        }

    def set_address(self, name: str, address: str) -> None:
        """Sets the address that a member listens on."""
        host, _, port = address.rpartition(":")
        for (_, other), link in self.links.items():
            if other == name:
                link.to = (host, int(port))

    def faults(self, faults: LinkFaults, links: Iterable[tuple[str, str]]) -> None:
        """Applies faults to these links from now on; a link is a pair of sender and recipient."""
        with self._lock:
            for each in links:
                self.links[each].faults = faults

    def between(self, *sides: Iterable[str]) -> list[tuple[str, str]]:
        """The links in both directions between members of different sides."""
        side = {name: number for number, names in enumerate(sides) for name in names}
        return [(one, other) for one, other in self.links if side.get(one) != side.get(other)]

    def heal(self) -> None:
        """Removes the faults of all links."""
        self.faults(LinkFaults(), self.links)

    def count(self, what: str, links: Iterable[tuple[str, str]] | None = None) -> int:
        """The sum of a counter (passed, cut, lost, doubled, late, ...) over these links, or over all."""
        return sum(self.links[each].counts[what] for each in links or self.links)

    def close(self) -> None:
        self._ended.set()
        self._thread.join()
        for link in self.links.values():
            link.sock.close()

    def _run(self) -> None:
        while not self._ended.is_set():
            wait_s = min(0.02, max(0.0, self._delayed[0][0] - time.monotonic())) if self._delayed else 0.02
            for key, _ in self._selector.select(wait_s):
                self._read(key.data)
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, link, datagram = heapq.heappop(self._delayed)
                self._forward(link, datagram)

    def _read(self, link: Link) -> None:
        try:
            datagram = link.sock.recv(65536)
        except (BlockingIOError, ConnectionError):
            return
        with self._lock:
            faults, draw = link.faults, self._random.random
            link.counts["heard"] += 1
            link.counts["too_long"] += len(datagram) > MAX_DATAGRAM_BYTES
            if faults.cut:
                link.counts["cut"] += 1
            elif draw() < faults.loss or (faults.alternate_loss and link.counts["heard"] % 2):
                link.counts["lost"] += 1
            else:
                if draw() < faults.duplication:
                    link.counts["doubled"] += 1
                    self._schedule(link, datagram, faults.max_late_s)
                if draw() < faults.late_fraction:
                    link.counts["late"] += 1
                    self._schedule(link, datagram, faults.max_late_s)
                else:
                    self._forward(link, datagram)

    def _schedule(self, link: Link, datagram: bytes, max_delay_s: float) -> None:
        at_s = time.monotonic() + self._random.uniform(0.0, max_delay_s)
        heapq.heappush(self._delayed, (at_s, next(self._order), link, datagram))

    def _forward(self, link: Link, datagram: bytes) -> None:
        if link.to is None:
            return
        try:
            link.sock.sendto(datagram, link.to)
            link.counts["passed"] += 1
        except OSError:  # the recipient was killed
            link.counts["refused"] += 1
