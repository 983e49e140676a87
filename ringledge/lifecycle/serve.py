"""The router process from its start to its shutdown."""

from __future__ import annotations

import gc
import socket
import time
from functools import partial

import anyio
import anyio.abc

from ringledge.lifecycle import handover_channel as channel
from ringledge.lifecycle.composition import compose
from ringledge.lifecycle.config import Config
from ringledge.lifecycle.context import create_context
from ringledge.lifecycle.drain import drain
from ringledge.lifecycle.handover import Handover
from ringledge.lifecycle.memory_watch import watch_memory
from ringledge.lifecycle.reload import ConfigReloader
from ringledge.lifecycle.shutdown import Shutdown
from ringledge.lifecycle.signals import block_shutdown_signals, dispatch_signals
from ringledge.observe.logging import log
from ringledge.routing.interface import Availability
from ringledge.wire.discovery.watcher import RESPONSE_TIMEOUT_S

# Time without an endpoint list from discovery after which the last known list is used. It leaves time for a
# second request to be answered when the first was accepted and timed out after RESPONSE_TIMEOUT_S.
ENDPOINT_LIST_TIMEOUT_S = RESPONSE_TIMEOUT_S + 0.5


class Program:
    """Runs the components of one router process."""

    def __init__(self, config: Config, tasks: anyio.abc.TaskGroup, predecessor: channel.Predecessor) -> None:
        self._config = config
        self._tasks = tasks
        self._started_s = time.monotonic()
        self._context = context = create_context(config, tasks, predecessor)
        self._composition = compose(context, self.can_serve)
        self._handover = Handover(
            channel.path_for(config.folder, config.name),
            config.fingerprint,
            context.fronts,
            context.conductor,
            self,
        )
        self._reloader = ConfigReloader(config, context.discovery, tasks)
        self._register_gauges()

    def _register_gauges(self) -> None:
        context = self._context
        metrics, discovery = context.metrics, context.discovery
        metrics.list_silence_seconds.set_function(lambda: time.monotonic() - discovery.last_received_s)
        metrics.open_requests.set_function(context.conductor.registry.unanswered_count)
        metrics.servers_avoided.set_function(context.conductor.avoided_server_count)
        for state in (Availability.UP, Availability.DRAINING):
            metrics.servers.labels(state.value).set_function(partial(context.servers.count, state))

    def can_serve(self) -> bool:
        """Whether the program has an endpoint list, accepts clients and is not shutting down."""
        context = self._context
        is_accepting = context.fronts.is_accepting() and context.conductor.timers_running()
        return self._has_endpoint_list() and is_accepting and not context.shutdown.is_requested()

    def _has_endpoint_list(self) -> bool:
        """Whether discovery has sent its list, or has not responded in time and an older list is used."""
        context = self._context
        if context.discovery.synchronized.is_set():
            return True
        is_late = time.monotonic() - self._started_s >= ENDPOINT_LIST_TIMEOUT_S
        return is_late and bool(context.servers.entries)

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown; `/ready` still reports ready if a successor serves."""
        if self._composition.platform is not None:
            self._composition.platform.ready = self._handover.successor_serves
        self._context.shutdown.request()

    def reload(self) -> None:
        """Reload the configuration."""
        self._reloader.reload()

    def on_successor_serving(self) -> None:
        """Stop the components, since the successor now does what only one process of a router may do."""
        self._tasks.start_soon(self._stop_components)

    def on_process_count(self, processes: int) -> None:
        """Divide the limits among this many processes of the router."""
        self._context.fronts.set_process_count(processes)
        for component in self._composition.components:
            component.on_process_count(processes)

    async def run(self, predecessor: socket.socket | None) -> None:
        """Serve until a signal requests a shutdown and every accepted request is answered.

        `predecessor` is the channel to the process that served before, if there is one.
        """
        shutdown, fronts, tasks = self._context.shutdown, self._context.fronts, self._tasks
        is_serving = anyio.Event()
        tasks.start_soon(dispatch_signals, self)
        tasks.start_soon(watch_memory, self._context)
        for component in self._composition.components:
            component.start()
        gc.collect()
        gc.freeze()  # the objects created so far are permanent; later collections can skip them
        if predecessor is not None:
            tasks.start_soon(self._handover.follow_predecessor, predecessor, is_serving)
        early = [each for each in fronts.clients if each.serves_during_start and predecessor is None]
        fronts.serve(early, tasks)
        await self._wait_for_endpoint_list()
        accepts_new = not shutdown.is_requested()  # after a shutdown during the start, time may be too short
        fronts.serve([each for each in fronts.clients if each not in early], tasks)
        for component in self._composition.components:
            component.on_ready()
        tasks.start_soon(self._handover.serve_successors)
        is_serving.set()
        self._log_ready()
        await shutdown.wait()
        await self._shut_down(accepts_new)

    async def _shut_down(self, accepts_new: bool) -> None:
        async with anyio.create_task_group() as shutdown_tasks:
            shutdown_tasks.start_soon(drain, self._context, accepts_new)
            shutdown_tasks.start_soon(self._stop_components)
        self._context.fronts.close()
        self._handover.close()
        log.info("stopped")
        self._tasks.cancel_scope.cancel()

    async def _stop_components(self) -> None:
        for component in reversed(self._composition.components):
            await component.stop()

    async def _wait_for_endpoint_list(self) -> None:
        """Return once discovery has sent its list, the timeout has passed, or a shutdown is requested.

        The router must apply discovery's list from the start, and clients that already know this address
        connect at once. If they were admitted before the list arrives, their requests would be sent to
        servers that may be draining by now.
        """
        context = self._context
        remaining_s = max(0.0, self._started_s + ENDPOINT_LIST_TIMEOUT_S - time.monotonic())
        with anyio.move_on_after(remaining_s) as timeout:
            async with anyio.create_task_group() as waits:
                waits.start_soon(_cancel_after, context.discovery.synchronized, waits.cancel_scope)
                waits.start_soon(_cancel_after, context.shutdown, waits.cancel_scope)
        if timeout.cancelled_caught:
            log.warning(
                "endpoint_list_late", seconds=ENDPOINT_LIST_TIMEOUT_S, entries=len(context.servers.entries)
            )

    def _log_ready(self) -> None:
        settings, names = self._config.settings, self._config.names
        log.info(
            "configured",
            classes=names.classes,
            zone=settings.zone,
            conductors=settings.routers,
            sockets=self._config.sockets,
            max_attempts=settings.max_attempts,
            retry_after=settings.retry_after,
            max_retry_after_ms=settings.max_retry_after_ms,
            keepalive_s=names.keepalive_s,
        )
        took_s = round(time.monotonic() - self._started_s, 3)
        log.info("ready", listening=self._context.fronts.listening(), took_s=took_s)


async def _cancel_after(event: anyio.Event | Shutdown, scope: anyio.CancelScope) -> None:
    """Wait for the event, then cancel the scope."""
    await event.wait()
    scope.cancel()


async def serve(config: Config) -> None:
    """Run the program, taking over from a predecessor if there is one, until a signal ends it."""
    path = channel.path_for(config.folder, config.name)
    predecessor = await channel.request_listeners(path, config.fingerprint)
    async with anyio.create_task_group() as tasks:
        block_shutdown_signals()
        program = Program(config, tasks, predecessor)
        for unused in predecessor.listeners.values():
            unused.close()
        await program.run(predecessor.channel)
