"""The component of the duties that one cluster member at a time performs: the holder of the duty's lease."""

from __future__ import annotations

import random
import time

import anyio
import anyio.abc

from ringledge.decide.leases.manager import MESSAGES, LeaseManager
from ringledge.decide.leases.recovery import AcceptorRecovery
from ringledge.decide.membership.changes import LocalStartRaised, MembershipChange
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.context import ProgramContext
from ringledge.members.clock_adapter import ClockAdapter, boottime_s
from ringledge.members.cluster import ClusterMember
from ringledge.members.duty_runner import DutyRunner
from ringledge.members.duty_settings import DutiesConfig
from ringledge.observe.logging import log

ACCEPTOR_POLL_INTERVAL_S = 0.05  # between two checks whether a restarted acceptor votes again


def create(context: ProgramContext, cluster_member: ClusterMember) -> Component:
    """Create the component that votes on leases, and acquires those of all registered duties once ready."""
    duties = LeaseHolderDuties(cluster_member, context.config.settings_of(DutiesConfig), context.tasks)
    return Component(start=duties.start, on_ready=duties.acquire_all, stop=duties.stop)


class LeaseHolderDuties:
    """Connects the lease manager to the membership and to the duties that the lease holder performs."""

    def __init__(
        self, cluster_member: ClusterMember, settings: DutiesConfig, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._cluster_member, self._members, self._tasks = cluster_member, cluster_member.members, tasks
        local_member = cluster_member.members.membership.local_member
        self._leases = LeaseManager(
            boottime_s(),
            local_member.name,
            local_member.start,
            settings.terms(),
            random.Random(),
            settings.acquisition_delays(),
        )
        self._duties = DutyRunner(cluster_member.duties, self._leases, tasks, self._release_lease, boottime_s)
        cluster_member.release_duty = self._release_lease
        members = cluster_member.members
        members.add_decider("leases", ClockAdapter(self._leases, boottime_s, time.monotonic), MESSAGES)
        members.hooks.on_lease_event.append(self._duties.apply)
        members.hooks.on_membership_change.append(self._on_membership_change)
        members.hooks.on_bound.append(self._on_address_bound)

    def start(self) -> None:
        """Start to wait for this member's acceptor to vote, and log when it does."""
        self._log_once_voting()

    def _log_once_voting(self) -> None:
        if self._leases.acceptor is not None:
            self._tasks.start_soon(_log_acceptor_active, self._leases.acceptor.recovery)

    def acquire_all(self) -> None:
        """Start to acquire the lease of each registered duty."""
        for duty in self._cluster_member.duties:
            self._leases.start_seeking(boottime_s(), duty)
        if self._members.service is not None:
            self._members.service.wake()

    async def stop(self) -> None:
        """Release all leases, once nothing is in flight under them; return once the duties have stopped."""
        for drain in self._cluster_member.before_release:
            await drain()
        self._stop_leases()
        await self._duties.stop_all()

    def _stop_leases(self) -> None:
        if self._members.service is not None:
            self._members.service.execute_actions(self._leases.stop(boottime_s()))

    def _release_lease(self, duty: str) -> None:
        """Release the lease of a duty that this member cannot perform."""
        if self._members.service is not None:
            self._members.service.execute_actions(self._leases.release(boottime_s(), duty))

    def _on_membership_change(self, change: MembershipChange) -> None:
        self._leases.set_live_members(each.name for each in self._members.membership.active_members())
        if isinstance(change, LocalStartRaised):
            # The wall clock had been set back, so the start number was too low to vote or to hold leases.
            self._restart_leases(change.member.start)

    def _restart_leases(self, start_number: int) -> None:
        if self._members.service is not None:
            self._members.service.execute_actions(self._leases.restart(boottime_s(), start_number))
            self._log_once_voting()

    def _on_address_bound(self) -> None:
        # The predecessor votes until it releases the address. This acceptor has to stay silent until the
        # leases that the predecessor voted for have expired.
        if self._leases.acceptor is not None:
            self._leases.acceptor.recovery.restart_silence(boottime_s())


async def _log_acceptor_active(recovery: AcceptorRecovery) -> None:
    """Log once that this acceptor votes; operators should restart no other acceptor before."""
    started_s = time.monotonic()
    while not recovery.active:
        await anyio.sleep(ACCEPTOR_POLL_INTERVAL_S)
    log.info("lease_acceptor_activated", after_s=round(time.monotonic() - started_s, 2))
