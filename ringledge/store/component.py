"""Life cycle of the durable queue in this process: its file, the monitoring of the site, and the replay.

    component = QueueComponent(config, observations, registry, random, records, uses_leases)
    queued = QueuedChat(component.queue, component.site_state, ...)
    component.sender = ReplaySender(...)
    component.start(tasks); component.ready(); await component.stop()

With `uses_leases`, the caller registers `component.replayer` as the duty `component.duty_name`. Otherwise a
lock file beside the queue's file decides which process replays.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import anyio
import anyio.abc
import msgspec
from prometheus_client import CollectorRegistry

from ringledge.decide.interface import QueueBacklog, RecordStore
from ringledge.decide.replay.partition_detection import SiteState
from ringledge.decide.replay.rate_control import RateController
from ringledge.decide.replay.scheduler import ReplayScheduler
from ringledge.members.replay_sender import EntrySender, SendHandle, SendResult
from ringledge.members.replayer import Replayer
from ringledge.observe.logging import log
from ringledge.store.capacity_sharing import CapacitySharing
from ringledge.store.entry import Entry, EntryOutcome
from ringledge.store.errors import StoreError
from ringledge.store.file_lock import FileLockLease
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queries import TenantBacklog
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from ringledge.store.site_monitor import SiteMonitor, SiteObservations

BUSY_INTERVAL_S = 0.1  # maximum time between two steps while entries wait
IDLE_INTERVAL_S = 0.5  # maximum time between two steps while no entry waits
MAINTENANCE_INTERVAL_S = 1.0  # between runs of expiry, metrics update and exchange with other sites
DRAIN_TIMEOUT_S = 2.5  # for entries in flight at shutdown; SIGKILL comes 3.7 s after SIGTERM


class QueueComponent:
    """The queue of the local site; call `start`, `ready` and `stop` in this order."""

    def __init__(
        self,
        config: QueueConfig,
        observations: SiteObservations,
        registry: CollectorRegistry,
        random: Random,
        records: RecordStore | None = None,
        uses_leases: bool = False,
    ) -> None:
        """`uses_leases`: a lease of the cluster starts and stops the replay, instead of the lock file."""
        self.config = config
        self.metrics = QueueMetrics(registry)
        self.queue = Queue(config)
        self.duty_name = f"replay/{config.site}"
        self.sender: EntrySender | None = None
        self.replayer = Replayer(
            self.queue, self._send, self._begin_lease, self.site_state, time.monotonic, self.metrics
        )
        self._random = random
        self._records = records
        self._site_monitor = SiteMonitor(config.site, observations, records)
        self._capacity_sharing = CapacitySharing(config, records)
        self._file_lock = None if uses_leases else FileLockLease(Path(config.path), self.queue, self.replayer)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._backlog: list[TenantBacklog] = []
        self._token = 0  # fencing token of the latest lease
        self._maintained_s = 0.0
        self._stopping = False
        self._drain_deadline_s = 0.0  # on the event loop's clock, once `drain` was called

    def site_state(self) -> SiteState:
        """Return whether the site is available, short of capacity, or partitioned from its servers."""
        return self._site_monitor.state

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the worker of the queue's file; `sender` has to be set before."""
        assert self.sender is not None
        self.queue.start()
        self._tasks = tasks
        self.replayer.tasks = tasks

    def ready(self) -> None:
        """Start to monitor the site and to replay; call this once the endpoint list is known."""
        assert self._tasks is not None
        self._tasks.start_soon(self._run)

    async def stop(self) -> None:
        """Drain, then release the file lock, after which another process takes the queue over.

        The file stays open, because clients may still poll their entries, and a kill does not damage it.
        """
        await self.drain()
        if self._file_lock is not None:
            self._file_lock.release()

    async def drain(self) -> None:
        """Send nothing new, then wait for entries in flight and record their outcomes.

        Call this while the lock or the lease is held: the next holder ends what it finds in flight. Returns
        DRAIN_TIMEOUT_S after the first call at the latest.
        """
        if not self._stopping:
            self._stopping = True
            self._drain_deadline_s = anyio.current_time() + DRAIN_TIMEOUT_S
            if self._file_lock is not None:
                self._file_lock.stop_stepping()
            self.replayer.stop()
        with anyio.CancelScope(deadline=self._drain_deadline_s):
            while self.replayer.in_flight_count or self.replayer.unsettled_count:
                await self.replayer.wait_for_completion(BUSY_INTERVAL_S)
                await self.replayer.settle()

    async def _run(self) -> None:
        while not self._stopping:
            now_s = time.monotonic()
            self._site_monitor.update(now_s)
            self.metrics.site_state.set(self.site_state().value)
            try:
                await self._step(now_s)
            except StoreError as error:
                log.rate_limited("queue_step_failed", why=error.reason.value, error=str(error))
            await self.replayer.wait_for_completion(BUSY_INTERVAL_S if self._backlog else IDLE_INTERVAL_S)

    async def _step(self, now_s: float) -> None:
        if now_s - self._maintained_s >= MAINTENANCE_INTERVAL_S:
            self._maintained_s = now_s
            await self._expire_and_purge()
            self._backlog = await self.queue.backlog_by_tenant()
            self._report_backlog(now_s, await self.queue.now_s())
        if self._file_lock is not None:
            await self._file_lock.step()

    async def _expire_and_purge(self) -> None:
        outcome = EntryOutcome.EXPIRED.value
        for name in await self.queue.expire_and_purge():
            self.metrics.outcomes.labels(outcome).inc()
            log.info("queue_entry_ended", entry=name, how=outcome, token=0)

    def _report_backlog(self, now_s: float, unix_s: float) -> None:
        """Update the metrics; the lease holder also allots capacity and publishes its backlog."""
        entries = sum(backlog.entries for backlog in self._backlog)
        ages_s = (unix_s - backlog.oldest_created_s for backlog in self._backlog)
        oldest_s = max(ages_s, default=0.0)
        self.metrics.backlog_entries.set(entries)
        self.metrics.backlog_age.set(oldest_s)
        replay_scheduler = self.replayer.scheduler
        if replay_scheduler is None:
            self.metrics.replay_rate.set(0.0)
            return
        has_work = entries > 0 and self.site_state() is SiteState.AVAILABLE
        self._capacity_sharing.allot(now_s, replay_scheduler, has_work)
        self.metrics.replay_rate.set(replay_scheduler.rate_controller.rate)
        if self._records is not None:
            weight = self.config.site_weights.get(self.config.site, 1.0)
            record = QueueBacklog(self._token, entries, oldest_s, weight, replay_scheduler.served_work)
            self._records.write(now_s, f"backlog/{self.config.site}", msgspec.msgpack.encode(record))

    def _send(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        assert self.sender is not None
        return self.sender(entry, on_result)

    def _begin_lease(self, now_s: float, token: int) -> ReplayScheduler:
        """Return a scheduler for a newly acquired lease."""
        self._token = token
        self._capacity_sharing.begin_lease(now_s, token)
        return ReplayScheduler(
            RateController(self._random), self.config.max_in_flight, self.config.tenant_weights
        )
