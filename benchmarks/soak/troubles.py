"""The troubles that the driver of a soak brings about: signals, restarts, lists, operators' calls."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import orjson

from benchmarks.soak.fleet import Conductor
from benchmarks.soak.plan import Trouble

if TYPE_CHECKING:
    from benchmarks.soak.day import Day

DOWN_S = 0.4  # between a server's end and its new start
MOVED_S = 4.0  # behind SIGHUP discovery's new address has been asked


class Troubles:
    """Acts on the processes of one day."""

    def __init__(self, day: Day) -> None:
        self._day = day

    async def bring(self, trouble: Trouble) -> None:
        """Bring one about when it falls due."""
        await asyncio.sleep(max(0.0, self._day.start_s + trouble.at_s - time.monotonic()))
        act: Callable[[Trouble], Coroutine[Any, Any, None]] | None = getattr(self, f"_{trouble.kind}", None)
        if act is None:
            return None  # the proxy's, or the conductor's own
        conductor = self._day.conductors.get(trouble.target)
        if conductor is None or trouble.kind.startswith("discovery"):
            return await act(trouble)
        async with conductor.lock:
            return await act(trouble)

    def _lasts(self, trouble: Trouble) -> float:
        return max(0.0, self._day.start_s + trouble.until_s - time.monotonic())

    async def _conductor_kill(self, trouble: Trouble) -> None:
        conductor = self._day.conductors[trouble.target]
        conductor.kill()
        await conductor.restart()

    async def _conductor_stop(self, trouble: Trouble) -> None:
        conductor = self._day.conductors[trouble.target]
        await conductor.stop()
        await conductor.restart()

    async def _conductor_stop_early(self, trouble: Trouble) -> None:
        conductor = self._day.conductors[trouble.target]
        conductor.kill()
        conductor.start()
        await asyncio.sleep(trouble.detail["after_s"])
        await conductor.stop()
        await conductor.restart()

    async def _conductor_signals(self, trouble: Trouble) -> None:
        conductor = self._day.conductors[trouble.target]
        conductor.expected = True
        await conductor.end(conductor.process, [signal.Signals[name] for name in trouble.detail["series"]])
        await conductor.restart()

    async def _conductor_upgrade(self, trouble: Trouble) -> None:
        conductor = self._day.conductors[trouble.target]
        conductor.check()
        old, conductor.expected = conductor.process, True
        conductor.old.append(old)
        conductor.start()
        if trouble.detail["early"]:
            await asyncio.gather(conductor.ready(), conductor.end(old))
        elif await conductor.ready():
            await conductor.end(old)

    async def _conductor_reload(self, trouble: Trouble) -> None:
        conductor, agent = self._day.conductors[trouble.target], self._day.agents[trouble.target]
        for _ in range(trouble.detail["times"]):
            place = 1 - agent.ports.index(int(conductor.config["discovery"].rpartition(":")[2]))
            conductor.config["discovery"] = f"{self._day.plan.host}:{agent.ports[place]}"
            if trouble.detail["half_file"]:
                whole = orjson.dumps(conductor.config)
                (conductor.folder / "config.json").write_bytes(whole[: len(whole) // 2])
                conductor.signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
            conductor.configure()
            sent_s = time.monotonic()
            conductor.signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        await self._moved(conductor, place, sent_s)

    async def _moved(self, conductor: Conductor, place: int, sent_s: float) -> None:
        """Within 4 s of the last one the new address has been asked."""
        agent, process = self._day.agents[conductor.name], conductor.process
        until_s = sent_s + MOVED_S
        while time.monotonic() < until_s:
            if agent.asked[place] > sent_s or process.poll() is not None:
                return
            await asyncio.sleep(0.05)
        self._day.log.write("not_moved", conductor=conductor.name)

    async def _server_kill(self, trouble: Trouble) -> None:
        server = trouble.target
        self._day.servers[server].kill()
        self._day.servers[server].wait()
        await asyncio.sleep(DOWN_S)
        self._day.start_server(server)
        self._list(server, status="active", since_ms=int(time.time() * 1000))

    async def _server_hang(self, trouble: Trouble) -> None:
        process = self._day.servers[trouble.target]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._lasts(trouble))
        process.send_signal(signal.SIGCONT)

    async def _server_drain(self, trouble: Trouble) -> None:
        self._list(trouble.target, status="leaving")
        await asyncio.sleep(self._lasts(trouble))
        self._list(trouble.target, status="active", since_ms=int(time.time() * 1000))

    def _list(self, server: str, **fields: Any) -> None:
        self._day.directory.change(server, **fields)
        self._day.log.write("list", server=server, status=fields["status"])
        for agent in self._day.agents.values():
            agent.tell()

    async def _discovery_mute(self, trouble: Trouble) -> None:
        self._day.agents[trouble.target].mute_until = self._day.start_s + trouble.until_s

    async def _discovery_slow(self, trouble: Trouble) -> None:
        self._day.agents[trouble.target].slow_until = self._day.start_s + trouble.until_s
        self._day.agents[trouble.target].reset()

    async def _discovery_garbage(self, trouble: Trouble) -> None:
        self._day.agents[trouble.target].garbage_until = self._day.start_s + trouble.until_s

    async def _discovery_reset(self, trouble: Trouble) -> None:
        self._day.agents[trouble.target].reset()

    async def _maintenance(self, trouble: Trouble) -> None:
        name, server = trouble.detail["conductor"], trouble.target
        if await self._call(name, server, "maint"):
            self._day.log.write("maintained", conductor=name, states={server: "out"})
        await asyncio.sleep(self._lasts(trouble))
        self._day.log.write("maintained", conductor=name, states={server: "active"})
        await self._call(name, server, "ready")

    async def _call(self, name: str, server: str, what: str) -> bool:
        """One call at a conductor's second address; whether it said yes."""
        host, port = self._day.conductors[name].config["operator"].split(":")
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = f"POST /instances/{server}/{what} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False
