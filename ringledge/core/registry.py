"""The registry of open requests, shared with another process of this conductor while the two overlap."""

from __future__ import annotations

from typing import Protocol

from ringledge.core.records import Record


class PeerProcess(Protocol):
    """Another process of this conductor, while the two overlap."""

    open_request_ids: set[str]  # requests that it has open

    def notify(self, request: str, opened: bool) -> None:
        """Have it told that a request was opened here, or has ended."""


class RequestRegistry:
    """The open requests by id."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.peers: list[PeerProcess] = []

    def is_open(self, name: str) -> bool:
        """Whether a request with that id is open, here or in another process."""
        return name in self.records or any(name in peer.open_request_ids for peer in self.peers)

    def unanswered_count(self) -> int:
        """How many requests are still owed their answer's end."""
        return sum(not record.closed for record in self.records.values())

    def add(self, record: Record) -> None:
        """Register a request."""
        self.records[record.request_id] = record
        for peer in self.peers:
            peer.notify(record.request_id, True)

    def remove(self, record: Record) -> None:
        """A request is done."""
        del self.records[record.request_id]
        for peer in self.peers:
            peer.notify(record.request_id, False)
