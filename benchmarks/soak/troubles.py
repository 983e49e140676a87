"""Injects the faults of a soak's driver: signals, restarts, changes of the endpoint list, operator calls."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import orjson

from benchmarks.soak.fleet import RouterProcess
from benchmarks.soak.planned_fault import PlannedFault

if TYPE_CHECKING:
    from benchmarks.soak.day import SoakRun

RESTART_DELAY_S = 0.4  # from the end of a server process to its restart
DISCOVERY_MOVE_S = 4.0  # after SIGHUP, within which the new discovery address is used


class FaultInjector:
    """Injects faults into the processes of one run. The method of a fault is named after its kind."""

    def __init__(self, run: SoakRun) -> None:
        self._run = run

    async def inject(self, fault: PlannedFault) -> None:
        """Inject one fault when it is due."""
        await asyncio.sleep(max(0.0, self._run.start_s + fault.at_s - time.monotonic()))
        handler: Callable[[PlannedFault], Coroutine[Any, Any, None]] | None = getattr(
            self, f"_{fault.kind}", None
        )
        if handler is None:
            return None  # injected by the proxy, by a stand-in or by the router process itself
        router = self._run.conductors.get(fault.target)
        if router is None or fault.kind.startswith("discovery"):
            return await handler(fault)
        async with router.lock:
            return await handler(fault)

    def _remaining_s(self, fault: PlannedFault) -> float:
        return max(0.0, self._run.start_s + fault.until_s - time.monotonic())

    async def _conductor_kill(self, fault: PlannedFault) -> None:
        router = self._run.conductors[fault.target]
        router.kill()
        await router.restart()

    async def _conductor_stop(self, fault: PlannedFault) -> None:
        router = self._run.conductors[fault.target]
        await router.stop()
        await router.restart()

    async def _conductor_stop_early(self, fault: PlannedFault) -> None:
        router = self._run.conductors[fault.target]
        router.kill()
        router.start()
        await asyncio.sleep(fault.detail["after_s"])
        await router.stop()
        await router.restart()

    async def _conductor_signals(self, fault: PlannedFault) -> None:
        router = self._run.conductors[fault.target]
        router.exit_expected = True
        await router.terminate(router.process, [signal.Signals[name] for name in fault.detail["series"]])
        await router.restart()

    async def _conductor_upgrade(self, fault: PlannedFault) -> None:
        router = self._run.conductors[fault.target]
        router.record_unexpected_exit()
        replaced, router.exit_expected = router.process, True
        router.replaced.append(replaced)
        router.start()
        if fault.detail["early"]:
            await asyncio.gather(router.wait_until_ready(), router.terminate(replaced))
        elif await router.wait_until_ready():
            await router.terminate(replaced)

    async def _conductor_reload(self, fault: PlannedFault) -> None:
        router, agent = self._run.conductors[fault.target], self._run.agents[fault.target]
        for _ in range(fault.detail["times"]):
            address_index = 1 - agent.ports.index(int(router.config["discovery"].rpartition(":")[2]))
            router.config["discovery"] = f"{self._run.plan.host}:{agent.ports[address_index]}"
            if fault.detail["half_file"]:
                config_bytes = orjson.dumps(router.config)
                (router.folder / "config.json").write_bytes(config_bytes[: len(config_bytes) // 2])
                router.signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
            router.write_config()
            sent_s = time.monotonic()
            router.signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        await self._check_moved(router, address_index, sent_s)

    async def _check_moved(self, conductor: RouterProcess, address_index: int, sent_s: float) -> None:
        """Record a violation unless the new discovery address is used within 4 s of the last SIGHUP."""
        agent, process = self._run.agents[conductor.name], conductor.process
        until_s = sent_s + DISCOVERY_MOVE_S
        while time.monotonic() < until_s:
            if agent.last_connected_s[address_index] > sent_s or process.poll() is not None:
                return
            await asyncio.sleep(0.05)
        self._run.log.write("not_moved", conductor=conductor.name)

    async def _server_kill(self, fault: PlannedFault) -> None:
        server = fault.target
        self._run.servers[server].kill()
        self._run.servers[server].wait()
        await asyncio.sleep(RESTART_DELAY_S)
        if self._run.servers[server].poll() is None:
            return  # restarted by another fault meanwhile
        self._run.start_server(server)
        for each in self._run.plan.served_by(server):
            self._update_endpoint(each, status="active", since_ms=int(time.time() * 1000))

    async def _server_hang(self, fault: PlannedFault) -> None:
        process = self._run.servers[fault.target]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._remaining_s(fault))
        process.send_signal(signal.SIGCONT)

    async def _server_drain(self, fault: PlannedFault) -> None:
        servers = self._run.plan.served_by(fault.target)
        pause_s = fault.detail.get("spread_s", 0.0) / len(servers)
        for server in servers:
            self._update_endpoint(server, status="leaving")
            await asyncio.sleep(pause_s)
        await asyncio.sleep(self._remaining_s(fault))
        for server in servers:
            self._update_endpoint(server, status="active", since_ms=int(time.time() * 1000))
            await asyncio.sleep(pause_s)

    def _update_endpoint(self, server: str, **fields: Any) -> None:
        self._run.directory.change(server, **fields)
        self._run.log.write("list", server=server, status=fields["status"])
        for agent in self._run.agents.values():
            agent.notify_watches()

    async def _discovery_mute(self, fault: PlannedFault) -> None:
        self._run.agents[fault.target].mute_until = self._run.start_s + fault.until_s

    async def _discovery_slow(self, fault: PlannedFault) -> None:
        self._run.agents[fault.target].slow_until = self._run.start_s + fault.until_s
        self._run.agents[fault.target].reset_connections()

    async def _discovery_garbage(self, fault: PlannedFault) -> None:
        self._run.agents[fault.target].garbage_until = self._run.start_s + fault.until_s

    async def _discovery_reset(self, fault: PlannedFault) -> None:
        self._run.agents[fault.target].reset_connections()

    async def _maintenance(self, fault: PlannedFault) -> None:
        name, server = fault.detail["conductor"], fault.target
        if await self._call_operator(name, server, "maint"):
            self._run.log.write("maintained", conductor=name, states={server: "out"})
        await asyncio.sleep(self._remaining_s(fault))
        self._run.log.write("maintained", conductor=name, states={server: "active"})
        await self._call_operator(name, server, "ready")

    async def _call_operator(self, name: str, server: str, action: str) -> bool:
        """Call the operator API of a router; whether it answered with 200."""
        host, port = self._run.conductors[name].config["operator"].split(":")
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = f"POST /instances/{server}/{action} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False
