"""The registry of open requests, shared with another process of this conductor while the two overlap."""

from __future__ import annotations

from typing import Protocol

from ringledge.core.records import RequestRecord


class PeerProcess(Protocol):
    """Another process of this conductor, while the two overlap during a handover."""

    open_request_ids: set[str]  # requests that are open there

    def on_request_change(self, request_id: str, is_open: bool) -> None:
        """Notify it that a request was opened here (`is_open`) or has ended."""


class RequestRegistry:
    """The open requests by id."""

    def __init__(self) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.peers: list[PeerProcess] = []

    def is_open(self, request_id: str) -> bool:
        """Whether a request with that id is open, here or in another process."""
        return request_id in self.records or any(request_id in peer.open_request_ids for peer in self.peers)

    def unanswered_count(self) -> int:
        """How many requests still await their final answer."""
        return sum(not record.closed for record in self.records.values())

    def add(self, record: RequestRecord) -> None:
        """Register a request and notify the peers."""
        self.records[record.request_id] = record
        for peer in self.peers:
            peer.on_request_change(record.request_id, True)

    def remove(self, record: RequestRecord) -> None:
        """Remove a request that is done and notify the peers."""
        del self.records[record.request_id]
        for peer in self.peers:
            peer.on_request_change(record.request_id, False)
