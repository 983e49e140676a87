"""One conductor from start to stop: what all parts share, then the parts by their table."""

from __future__ import annotations

import gc
import random
import socket
import time
from dataclasses import fields
from functools import partial

import anyio
import anyio.abc

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.lifecycle import components as parts
from ringledge.lifecycle import config as configuration
from ringledge.lifecycle import handover
from ringledge.lifecycle import handover_channel as channel
from ringledge.lifecycle.config import Config, ConfigError
from ringledge.lifecycle.drain import drain
from ringledge.lifecycle.fronts import Fronts
from ringledge.lifecycle.shared import Shared
from ringledge.lifecycle.signals import hold_stops, on_signals
from ringledge.memory.operator_overrides import OperatorOverrides
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Availability,
    EndpointUpdateKind,
)
from ringledge.wire.discovery.watcher import RESPONSE_TIMEOUT_S, DiscoveryClient
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.upstream import Upstream

RELOAD_AGAIN_S = 0.05  # between two tries of a file that could not be used
RELOAD_S = 3.0  # in all: what discovery has counts as told 4 s behind SIGHUP
TAKEN_AT_ONCE = ("discovery", "discovery_in_file", "seed", "known")  # on SIGHUP; seed and list start a run
# Discovery may be silent: after so long the last list known has to do. A first call that is accepted in vain
# is given up after RESPONSE_TIMEOUT_S; the answer to the next has to come before a stale list is gone by.
LIST_S = RESPONSE_TIMEOUT_S + 0.5


class Program:
    """Runs the parts of one conductor."""

    def __init__(self, config: Config, tasks: anyio.abc.TaskGroup, predecessor: channel.Predecessor) -> None:
        self.config, self._latest, self._tasks = config, config, tasks
        self.started = time.monotonic()
        self._reloading = anyio.CancelScope()
        self.shared = self._share_out(predecessor)
        self.parts = parts.make(self.shared)
        self.handover = handover.Handover(
            channel.path_for(config.folder, config.name),
            config.fingerprint,
            self.shared.fronts,
            self.shared.conductor,
            handover.Told(self._share, self._left),
        )
        self._set_figures()

    def _share_out(self, predecessor: channel.Predecessor) -> Shared:
        """Make what the parts share: the conductor, its servers and the list of them, room for fronts."""
        config, tasks = self.config, self._tasks
        settings, names = config.settings, config.names
        metrics, servers = Metrics(), ServerList(settings.kinds)
        clock = Clock(predecessor.clock_offset_ms)
        fronts = Fronts(config, metrics, predecessor.listeners)
        let_go_ms, zone = settings.release_within_ms, settings.zone
        upstream = Upstream(
            UpstreamContext(tasks, servers, names, fronts.sockets, let_go_ms, zone, clock, metrics)
        )
        conductor = Conductor(settings, config.seed, clock, servers, metrics, upstream)
        upstream.conductor = conductor
        by_hand = OperatorOverrides(config.folder, config.name, config.fingerprint, conductor.override_server)
        by_hand.look_at_start()  # before the first send
        discovery = DiscoveryClient(config.discovery, names, conductor, random.Random(config.seed))
        discovery.apply(config.known, EndpointUpdateKind.PERSISTED)
        return Shared(
            config, tasks, metrics, servers, upstream, conductor, by_hand, discovery, fronts, self.can_serve
        )

    def _set_figures(self) -> None:
        shared = self.shared
        metrics, discovery = shared.metrics, shared.discovery
        metrics.list_age.set_function(lambda: time.monotonic() - discovery.last_received_s)
        metrics.open_requests.set_function(shared.conductor.registry.unanswered)
        metrics.avoided.set_function(shared.conductor.avoided)
        for state in (Availability.UP, Availability.DRAINING):
            metrics.servers.labels(state.value).set_function(partial(shared.servers.count, state))

    def listed(self) -> bool:
        """Whether the list is as discovery has it, or as good as it gets while discovery is silent."""
        return self.shared.discovery.synchronized.is_set() or time.monotonic() - self.started >= LIST_S

    def can_serve(self) -> bool:
        """Whether all that serving takes is at work."""
        shared = self.shared
        listed = self.listed() and (shared.discovery.synchronized.is_set() or bool(shared.servers.entries))
        at_work = shared.fronts.accepting() and shared.conductor.timers_run()
        return listed and at_work and not shared.stopping.is_set()

    def stop(self) -> None:
        """Asked for by a signal; where a successor serves, its `/ready` speaks for both."""
        if self.shared.platform is not None:
            self.shared.platform.ready = self.handover.left
        if not self.shared.stopping.is_set():
            self.shared.stop_asked_s = anyio.current_time()
        self.shared.stopping.set()

    def reload(self) -> None:
        """Read the file anew. Discovery is what may change under way; the rest waits for a restart."""
        self._reloading.cancel()
        try:
            new = configuration.load()
        except ConfigError as error:  # half a file or none is no reason to stop serving
            log.error("reload_failed", error=str(error))
            self._tasks.start_soon(self._reload_again)
        else:
            self._use(new)

    async def _reload_again(self) -> None:
        """Try for a while: the file may be in the middle of a write, or no descriptor be left just now."""
        with anyio.move_on_after(RELOAD_S) as self._reloading:
            while True:
                await anyio.sleep(RELOAD_AGAIN_S)
                try:
                    return self._use(configuration.load())
                except ConfigError:
                    continue

    def _use(self, new: Config) -> None:
        """Use what may change under way, and name the rest."""
        waits = waiting(self.config, new)
        discovery = self.shared.discovery
        if new.discovery_in_file != self._latest.discovery_in_file:  # newer than what RELAY_DISCOVERY said
            discovery.change_address(new.discovery_in_file)
        self._latest = new
        log.info("reloaded", discovery=discovery.address, waits_for_restart=waits)

    async def _stop_parts(self) -> None:
        for part in reversed(self.parts):
            await part.stop()

    def _left(self) -> None:
        """A successor serves: what only one process of this conductor can do is its own from here on."""
        self._tasks.start_soon(self._stop_parts)

    def _share(self, processes: int) -> None:
        """Divide the limits among the processes that there are of this conductor."""
        self.shared.fronts.share(processes)
        for part in self.parts:
            part.share(processes)

    async def run(self, predecessor: socket.socket | None) -> None:
        """Serve until a signal asks for a stop and all that was taken is answered."""
        shared, tasks, serving = self.shared, self._tasks, anyio.Event()
        tasks.start_soon(on_signals, self.stop, self.reload)
        for part in self.parts:
            part.start()
        gc.collect()
        gc.freeze()  # what is there now stays: later collections needn't look at it
        if predecessor is not None:
            tasks.start_soon(self.handover.follow, predecessor, serving)
        await self._wait_for_list()
        takes = not shared.stopping.is_set()  # else nothing new is begun: there may be no time for it
        shared.fronts.serve(shared.fronts.clients, tasks)
        for part in self.parts:
            part.ready()
        tasks.start_soon(self.handover.offer)
        serving.set()
        self._tell_ready()
        await shared.stopping.wait()
        async with anyio.create_task_group() as ending:
            ending.start_soon(drain, shared, takes)
            ending.start_soon(self._stop_parts)
        shared.fronts.close()
        self.handover.close()
        log.info("stopped")
        tasks.cancel_scope.cancel()

    async def _wait_for_list(self) -> None:
        """Return once discovery has told its list, or is late, or a stop is asked for.

        What it has to tell counts as told from the start, and clients that knew this address before come at
        once: taken in before the list, they were sent to servers that drained meanwhile.
        """
        shared = self.shared
        with anyio.move_on_after(max(0.0, self.started + LIST_S - time.monotonic())) as late:
            async with anyio.create_task_group() as waits:
                for event in (shared.discovery.synchronized, shared.stopping):
                    waits.start_soon(_wait_then_end, event, waits.cancel_scope)
        if late.cancelled_caught:
            log.warning("list_late", seconds=LIST_S, entries=len(shared.servers.entries))

    def _tell_ready(self) -> None:
        config = self.config
        settings, names = config.settings, config.names
        log.info(
            "configured",
            classes=names.classes,
            zone=settings.zone,
            conductors=settings.routers,
            sockets=config.sockets,
            max_attempts=settings.max_attempts,
            retry_after=settings.retry_after,
            max_retry_after_ms=settings.max_retry_after_ms,
            keepalive_s=names.keepalive_s,
        )
        took_s = round(time.monotonic() - self.started, 3)
        log.info("ready", listening=self.shared.fronts.listening(), took_s=took_s)


async def _wait_then_end(event: anyio.Event, scope: anyio.CancelScope) -> None:
    """Wait for an event, and end what else is waited for."""
    await event.wait()
    scope.cancel()


def waiting(old: Config, new: Config) -> list[str]:
    """What has changed and is only used after a restart: names of fields, and of files under deploy/."""
    names = [each.name for each in fields(Config) if each.name not in (*TAKEN_AT_ONCE, "extras")]
    found = [name for name in names if getattr(new, name) != getattr(old, name)]
    return found + [name for name in configuration.FILES if new.extras.get(name) != old.extras.get(name)]


async def serve(config: Config) -> None:
    """Serve until a signal asks for a stop."""
    predecessor = await channel.ask(channel.path_for(config.folder, config.name), config.fingerprint)
    async with anyio.create_task_group() as tasks:
        hold_stops()
        program = Program(config, tasks, predecessor)
        for unwanted in predecessor.listeners.values():
            unwanted.close()
        await program.run(predecessor.channel)
