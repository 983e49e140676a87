"""One conductor from start to stop."""

from __future__ import annotations

import gc
import socket
import time
from dataclasses import fields
from functools import partial

import anyio

from crowstand import interface as i
from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.lifecycle import config as configuration
from ringledge.lifecycle.config import Config, ConfigError
from ringledge.lifecycle.logging import log
from ringledge.lifecycle.signals import on_signals
from ringledge.memory.byhand import ByHand
from ringledge.memory.metrics import Metrics
from ringledge.memory.servers import ServerList
from ringledge.wire.chat import Chat
from ringledge.wire.chat import error_body as chat_error_body
from ringledge.wire.discovery import Discovery
from ringledge.wire.http import Budget, Front, listen
from ringledge.wire.operator import CALL_S, CONNECTIONS, MEMORY, Operator
from ringledge.wire.platform import Platform, error_body
from ringledge.wire.remote_write import RemoteWrite, Scrape
from ringledge.wire.upstream import Upstream
from ringledge.wire.xds import Xds
from ringledge.wire.xds import error_body as xds_error_body

BODIES_PART, ANSWERS_PART = 5, 8  # of the memory: a body is held about twice, the rest is the program's
SPARE_SOCKETS = 64  # for discovery, listeners, logs and the interpreter
TAKEN_AT_ONCE = ("discovery", "discovery_in_file", "seed", "known")  # on SIGHUP; seed and list start a run
LIST_S = 1.0  # discovery may be silent: after so long the last list known has to do
KEEP_TAKING_S = 0.6  # after SIGTERM new connections go on arriving so long


async def serve(config: Config) -> None:
    """Serve until a signal asks for a stop and all that was taken is answered."""
    started = time.monotonic()
    metrics = Metrics()
    servers = ServerList(config.settings.kinds)
    # Half for servers, half for clients; each front lets an eighth more in, only to be refused.
    spare = SPARE_SOCKETS + (CONNECTIONS if config.operator else 0)
    sockets = max(8, (config.sockets - spare) // 2)
    for_clients = sockets * 8 // 9 // (1 if config.chat is None else 2)
    memory = config.memory_mb * 1024 * 1024
    budget = Budget(memory / BODIES_PART)
    async with anyio.create_task_group() as tasks:
        upstream = Upstream(tasks, servers, config.names, sockets, metrics)
        conductor = upstream.conductor = Conductor(
            config.settings, config.seed, Clock(), servers, metrics, upstream
        )
        discovery = Discovery(config.discovery, config.names, conductor)
        by_hand = ByHand(config.folder, config.name, conductor.by_hand)
        by_hand.look()  # before the first send
        discovery.apply(config.known, i.ListForm.KEPT)
        platform = Platform(config.names, conductor)
        front = Front("platform", for_clients, budget, platform.handle, error_body, metrics)
        fronts = [(front, listen(config.listen))]
        operators: list[tuple[Front, socket.socket]] = []  # what they meet lasts to the end
        stopping = anyio.Event()
        if config.operator:

            def can_serve() -> bool:
                """Whether all that serving takes is at work."""
                silent_s = 0.0 if discovery.heard else LIST_S
                listed = bool(servers.entries) and time.monotonic() - started >= silent_s
                accepting = all(each.serving for each, _ in fronts)
                return listed and accepting and conductor.timers_run() and not stopping.is_set()

            operator = Operator(config.names.classes, metrics, servers, by_hand, can_serve)
            operator_front = Front(
                "operator",
                CONNECTIONS,
                Budget(MEMORY),
                operator.handle,
                error_body,
                metrics,
                request_s=CALL_S,
                at_once=1,  # each is read before the next comes: half calls are known and make room
            )
            operator_front.drain()  # each connection ends with its one call
            operators.append((operator_front, listen(config.operator)))
        if config.chat is not None:
            chat = Chat(config.chat, config.settings, config.names, conductor, memory / ANSWERS_PART)
            chat_front = Front("chat", for_clients, budget, chat.handle, chat_error_body, metrics)
            fronts.append((chat_front, listen(config.chat.listen)))
            tasks.start_soon(chat.reap)
        if config.xds is not None:
            xds = Xds(config.xds, config.names, conductor, metrics)
            xds_front = Front("xds", SPARE_SOCKETS // 4, budget, xds.handle, xds_error_body, metrics)
            fronts.append((xds_front, listen(config.xds.listen)))
        if config.prometheus is not None and config.prometheus.listen:
            scrape = Scrape(metrics).handle
            scrape_front = Front("prometheus", SPARE_SOCKETS // 4, budget, scrape, error_body, metrics)
            fronts.append((scrape_front, listen(config.prometheus.listen)))
        if config.prometheus is not None and config.prometheus.remote_write:
            writer = RemoteWrite(config.prometheus, config.name, metrics)
            tasks.start_soon(writer.collect)
            tasks.start_soon(writer.send)
        metrics.list_age.set_function(lambda: time.monotonic() - discovery.last_heard)
        metrics.open_requests.set_function(conductor.ledger.current)
        metrics.avoided.set_function(conductor.avoided)
        for state in (i.Availability.UP, i.Availability.DRAINING):
            metrics.servers.labels(state.value).set_function(partial(servers.count, state))

        def stop() -> None:
            platform.ready = False
            stopping.set()

        now = config

        def reload() -> None:
            """Read the file anew. Discovery is what may change under way; the rest waits for a restart."""
            nonlocal now
            try:
                new = configuration.load()
            except ConfigError as error:  # half a file or none is no reason to stop serving
                return log.error("reload_failed", error=str(error))
            names = [each.name for each in fields(Config) if each.name not in TAKEN_AT_ONCE]
            waits = [name for name in names if getattr(new, name) != getattr(config, name)]
            if new.discovery_in_file != now.discovery_in_file:  # newer than what RELAY_DISCOVERY said
                discovery.move(new.discovery_in_file)
            now = new
            log.info("reloaded", discovery=discovery.address, waits_for_restart=waits)

        tasks.start_soon(on_signals, stop, reload)
        tasks.start_soon(conductor.run_timers)
        tasks.start_soon(discovery.watch)
        tasks.start_soon(discovery.fetch_when_asked, upstream)
        tasks.start_soon(upstream.retire_idle)
        tasks.start_soon(by_hand.follow)
        for each, listener in fronts + operators:
            tasks.start_soon(each.serve, listener, tasks)
        gc.collect()
        gc.freeze()  # what is there now stays: later collections needn't look at it
        platform.ready = True
        listening = {each.name: "%s:%d" % listener.getsockname() for each, listener in fronts + operators}
        log.info(
            "configured",
            classes=config.names.classes,
            zone=config.settings.zone,
            conductors=config.settings.routers,
            sockets=config.sockets,
            max_attempts=config.settings.max_attempts,
            retry_after=config.settings.retry_after,
            max_retry_after_ms=config.settings.max_retry_after_ms,
            keepalive_s=config.names.keepalive_s,
        )
        log.info("ready", listening=listening, took_s=round(time.monotonic() - started, 3))
        await stopping.wait()
        await anyio.sleep(KEEP_TAKING_S)
        while any(each.open for each, _ in fronts) or conductor.ledger.records or upstream.releases:
            for each, _ in fronts:
                each.drain()
            await anyio.sleep(0.02)
        for _, listener in fronts:
            listener.close()
        log.info("stopped")
        tasks.cancel_scope.cancel()
