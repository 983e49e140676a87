"""One run of a soak: starts the processes of a seed, injects its faults and judges the outcome."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from benchmarks.soak.agent import DiscoveryAgent, EndpointDirectory
from benchmarks.soak.cores import SharedCores
from benchmarks.soak.events import EventLog, read_events
from benchmarks.soak.fleet import ROOT, RouterProcess, free_ports, server_ports
from benchmarks.soak.history import build_history
from benchmarks.soak.hosted import group
from benchmarks.soak.oracle import MAX_STALL_S, TIMED_RULES, judge
from benchmarks.soak.plan import LOAD_S, MAX_ROUTERS, Plan, zone
from benchmarks.soak.process_rules import Violation
from benchmarks.soak.rig_rules import EndedProcess, violations_of_rig
from benchmarks.soak.settings import router_settings
from benchmarks.soak.troubles import FaultInjector

STARTUP_S = 3.0  # from the creation of the run to the start of the load; processes start meanwhile
STARTUP_SERVER_S = 0.002  # more for each hosted server
SETTLE_S = 7.0  # after the end of the load, for requests and faults still in progress
MAX_ERROR_CHARACTERS = 500  # of what failed processes have written, in a verdict
MAX_STARTS = 20  # of one router in a run; each start uses a new operator port


@dataclass(slots=True)
class Verdict:
    """The outcome of one seed."""

    seed: int
    requests: int
    statuses: dict[str, int]
    violations: list[Violation]
    late_streams: int
    troubles: list[str]
    peak_mb: float  # highest resident memory of a router
    held_up_s: float  # longest time for which a router or the driver got no processor

    def counted(self) -> list[Violation]:
        """The violations that count: those of timed rules only if no process was stalled for too long."""
        include_timed = self.held_up_s <= MAX_STALL_S
        return [each for each in self.violations if include_timed or each.rule not in TIMED_RULES]


class SoakRun:
    """The processes of one seed and their addresses."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.log = plan, folder, EventLog(folder / "driver.events", "driver")
        self.start_s = time.monotonic() + STARTUP_S + STARTUP_SERVER_S * len(plan.hosted)
        servers, conductors = len(plan.usual_servers), len(plan.conductors)
        ports = free_ports(plan.host, 2 * servers + (3 + MAX_STARTS) * conductors)
        hosted_ports = server_ports(plan.host, 2 * len(plan.hosted)) if plan.hosted else []
        self.proxy_ports = {server: ports.pop() for server in plan.usual_servers}
        self.server_ports = {server: ports.pop() for server in plan.usual_servers}
        self.proxy_ports |= {server: hosted_ports.pop() for server in plan.hosted}
        self.server_ports |= {server: hosted_ports.pop() for server in plan.hosted}
        self.ports = {name: ports.pop() for name in plan.conductors}
        self.agent_ports = [ports.pop() for _ in range(2 * conductors)]
        self.operator_ports = ports
        entries = [self._endpoint_entry(server) for server in plan.servers]
        self.directory = EndpointDirectory(entries)
        self.agents = {
            name: DiscoveryAgent(name, plan.host, self.directory, self.log) for name in plan.conductors
        }
        self.conductors: dict[str, RouterProcess] = {}
        self.servers: dict[str, subprocess.Popen[bytes]] = {}
        self.helper_processes: dict[str, subprocess.Popen[bytes]] = {}
        self._cores = SharedCores()
        self._failed: list[EndedProcess] = []  # processes of the rig that ended before they were stopped

    def _endpoint_entry(self, server: str) -> dict[str, Any]:
        return {
            "name": server, "address": f"{self.plan.host}:{self.proxy_ports[server]}", "zone": zone(server),
            "type": self.plan.kind(server), "group": group(server), "status": "active",
            "weight": 1.0, "since_ms": 0,
        }  # fmt: skip

    async def run(self) -> Verdict:
        """Start all processes, inject the faults, stop everything and judge the events."""
        try:
            await self._start()
            troubles = FaultInjector(self)
            async with asyncio.TaskGroup() as tasks:
                for fault in self.plan.troubles:
                    tasks.create_task(troubles.inject(fault))
                await self._supervise_until(LOAD_S + SETTLE_S)
        finally:
            self._stop()
        events = read_events(self.folder.glob("*.events"))
        history = build_history(self.plan, self.start_s, events)
        answers = [request.answer for request in history.requests.values() if request.answer is not None]
        statuses = [str(answer["status"]) for answer in answers]
        return Verdict(
            self.plan.seed,
            len(history.requests),
            {status: statuses.count(status) for status in sorted(set(statuses))},
            [*violations_of_rig(self.plan, len(history.requests), self._failed), *judge(history)],
            sum(answer["late_s"] > 0.3 for answer in answers),
            [
                f"{each.at_s:.1f}-{each.until_s:.1f} {each.kind} {each.target} {each.detail}"
                for each in self.plan.troubles
            ],
            max((each.peak_mb for each in self.conductors.values()), default=0.0),
            max((event["s"] for event in events if event["event"] == "held_up"), default=0.0),
        )

    async def _start(self) -> None:
        host, dead_port = self.plan.host, self._open_dead_port()
        silenced = {
            fault.target: [each for each in self.plan.servers if zone(each) == zone(fault.target)]
            for fault in self.plan.troubles
            if fault.kind == "path_silent"
        }
        scenario = {
            "plan": self.plan.as_json(), "start_s": self.start_s, "silenced": silenced,
            "hung_port": dead_port, "ports": self.proxy_ports, "server_ports": self.server_ports,
            "conductor_ports": self.ports, "host": host,
        }  # fmt: skip
        faults = self.folder / "faults.json"
        faults.write_bytes(orjson.dumps(scenario))
        for process in [*self.plan.usual_servers, *self.plan.hosts]:
            self.start_server(process)
        self._start_helper("benchmarks.soak.proxy", str(faults), str(self.folder / "proxy.events"))
        for position, name in enumerate(self.plan.conductors):
            await self.agents[name].serve(self.agent_ports[2 * position : 2 * position + 2])
            (self.folder / name).mkdir()
            config = {
                "name": name, "listen": f"{host}:{self.ports[name]}",
                "seed": f"{self.plan.seed}{position}",
                "discovery": f"{host}:{self.agents[name].ports[0]}", "known": self.directory.snapshot(),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                "settings": router_settings(self.plan, position),
            }  # fmt: skip
            ports = self.operator_ports[position :: len(self.plan.conductors)]
            core = self._cores.shared_core(self.plan.seed * MAX_ROUTERS + position, self.plan.core_divisor)
            self.conductors[name] = RouterProcess(
                name, self.folder / name, self.log, faults, config, ports, self.plan.kill_after_s, core
            )
            self.conductors[name].start()
        await asyncio.gather(*(each.wait_until_ready() for each in self.conductors.values()))
        for name in self.plan.conductors:
            events = str(self.folder / f"client-{name}.events")
            self._start_helper("benchmarks.soak.plays", str(faults), name, events, str(self.plan.seed))

    def _open_dead_port(self) -> int:
        """Open a port at which connections are never established, because the backlog is full."""
        self._dead_listener = socket.socket()
        self._dead_listener.bind((self.plan.host, 0))
        self._dead_listener.listen(0)
        self._backlog_fillers = [socket.socket() for _ in range(4)]
        for sock in self._backlog_fillers:
            sock.setblocking(False)
            sock.connect_ex(self._dead_listener.getsockname())
        return int(self._dead_listener.getsockname()[1])

    def _start_helper(self, module: str, *args: str) -> None:
        with (self.folder / "errors.txt").open("ab") as errors:
            command = [sys.executable, "-m", module, *args]
            self.helper_processes[" ".join(args)] = subprocess.Popen(command, cwd=ROOT, stderr=errors)

    def start_server(self, server: str) -> None:
        """Start the stand-in of a server, or a host of many."""
        command = [sys.executable, "-m", "benchmarks.soak.instance", server]
        command += [str(self.folder / f"{server}.events"), str(self.folder / "faults.json")]
        with (self.folder / "errors.txt").open("ab") as errors:
            self.servers[server] = subprocess.Popen(command, cwd=ROOT, stderr=errors)

    async def _supervise_until(self, at_s: float) -> None:
        """Wait until `at_s` of the load, recording unexpected exits and the driver's own stalls."""
        while (left_s := self.start_s + at_s - time.monotonic()) > 0:
            for conductor in self.conductors.values():
                conductor.record_unexpected_exit()
                conductor.record_memory()
            wait_s, began_s = min(0.1, left_s), time.monotonic()
            await asyncio.sleep(wait_s)
            self.log.write("held_up", s=time.monotonic() - began_s - wait_s)

    def _stop(self) -> None:
        for conductor in self.conductors.values():
            conductor.record_unexpected_exit()
        for conductor in self.conductors.values():
            conductor.close()
        self._failed = list(self._failed_processes())
        for process in [*self.servers.values(), *self.helper_processes.values()]:
            process.kill()
            process.wait()
        self._cores.release()
        for sock in (self._dead_listener, *self._backlog_fillers):
            sock.close()

    def _failed_processes(self) -> Iterator[EndedProcess]:
        """Servers that ended by themselves, and other processes of the rig that ended with an error."""
        processes = [(f"server {name}", process) for name, process in self.servers.items()]
        processes += self.helper_processes.items()
        for name, process in processes:
            code = process.poll()
            if code or (code is not None and name.startswith("server ")):
                errors = (self.folder / "errors.txt").read_text(errors="replace")
                yield EndedProcess(name, code, errors[-MAX_ERROR_CHARACTERS:])
