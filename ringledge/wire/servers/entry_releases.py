"""Releases the KV cache entries of open requests, whose attempts continue afterwards."""

from __future__ import annotations

from ringledge.core.records import RequestRecord
from ringledge.decide.servers.cache_hold import ReleaseReason
from ringledge.observe.logging import log
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.releases import ReleaseSender


class EntryReleases:
    """Releases entries, and records the result in the request's record."""

    def __init__(self, context: UpstreamContext, sender: ReleaseSender) -> None:
        self._context = context
        self._sender = sender

    def start(self, record: RequestRecord, reason: ReleaseReason) -> None:
        """Release a request's entries in the background, while its attempt is in flight."""
        servers = self._begin(record, reason)
        self._context.tasks.start_soon(self._finish, record, servers)

    async def release(self, record: RequestRecord, reason: ReleaseReason) -> None:
        """Release a request's entries, and wait until no release call is in flight, or for the timeout."""
        await self._finish(record, self._begin(record, reason))

    def _begin(self, record: RequestRecord, reason: ReleaseReason) -> set[str]:
        cache, now_ms = record.cache, self._context.clock.now_ms()
        log.info(
            "cache_entry_released",
            request=record.request_id,
            why=reason.value,
            held_ms=round(cache.held_ms(now_ms), 1),
            servers=sorted(cache.holders),
            unobserved=sorted(cache.unobserved),
        )
        self._context.metrics.entry_releases.labels(reason.value).inc()
        return cache.begin_release(now_ms, record.has_written_attempt)

    async def _finish(self, record: RequestRecord, servers: set[str]) -> None:
        answered_by = frozenset[str]()
        try:
            answered_by = await self._sender.release_and_wait(
                record.request_id, servers, record.cache.idle_since_ms
            )
        finally:  # also if the waiting attempt is cancelled
            now_ms = self._context.clock.now_ms()
            record.cache.end_release(now_ms, answered_by, record.has_written_attempt)
