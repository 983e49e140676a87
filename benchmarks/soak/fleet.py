"""Router processes of a soak: starts, signals, stops and kills them, and leaves none running."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import Any

import orjson

from benchmarks.soak.events import EventLog
from ringledge.lifecycle.memory_watch import MB, resident_bytes

ROOT = Path(__file__).parent.parent.parent
STOP_SIGNALS = (signal.SIGTERM,)
FIRST_SERVER_PORT = 10_000
READY_TIMEOUT_S = 10.0
SIGNAL_INTERVAL_S = 0.06  # between two signals of a series
BUSY_WAIT_S = 0.02  # final part of the grace period; blocks the driver, so that SIGKILL is sent on time
FAILURE_MARKERS = (
    b'"invariant_violated"',
    b'"connection_crashed"',
    b'"attempt_crashed"',
    b'"event_failed"',
    b"Traceback",
)


def free_ports(host: str, count: int) -> list[int]:
    """Ports of `host` that are free at the moment."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def server_ports(host: str, count: int) -> list[int]:
    """Free ports of `host` that no outgoing connection gets, so that a restarted server can bind them."""
    first_ephemeral = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = list[int]()
    for port in range(FIRST_SERVER_PORT, first_ephemeral):
        if len(ports) == count:
            return ports
        with socket.socket() as sock, suppress(OSError):
            sock.bind((host, port))
            ports.append(port)
    raise RuntimeError(f"fewer than {count} ports are free below {first_ephemeral}")


class RouterProcess:
    """One router: a single process, or two during a hand-over."""

    def __init__(
        self,
        name: str,
        folder: Path,
        log: EventLog,
        faults: Path,
        config: dict[str, Any],
        operator_ports: list[int],
        kill_after_s: float,
        core: int | None = None,
    ) -> None:
        """`kill_after_s` is the grace period from SIGTERM to SIGKILL; `core`: the only one to run on."""
        self._core = core
        self._kill_after_s = kill_after_s
        self.name, self.folder, self._log, self._faults = name, folder, log, faults
        self._host = config["listen"].rpartition(":")[0]
        self._operator_ports = operator_ports
        self.config, self._start_count, self.process = config, 0, subprocess.Popen[bytes](["true"])
        self.process.wait()
        self.replaced: list[subprocess.Popen[bytes]] = []
        self.peak_mb = 0.0  # highest resident memory of one of the processes
        self.exit_expected = False  # the newest process is meant to end, or its end has been recorded
        self.lock = asyncio.Lock()  # allows one fault of the process at a time

    @property
    def output(self) -> Path:
        """The log file of the newest process."""
        return self.folder / f"{self._start_count}.log"

    def write_config(self) -> None:
        """Write the configuration file."""
        (self.folder / "config.json").write_bytes(orjson.dumps(self.config))

    def start(self) -> None:
        """Start a process with a new operator port."""
        self._start_count += 1
        self.exit_expected = False
        self.config["operator"] = f"{self._host}:{self._operator_ports.pop()}"
        self.write_config()
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "RINGLEDGE_", "SOAK_"))}
        environ |= {"RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder)}
        environ |= {"RINGLEDGE_DEPLOY": str(self.folder), "RINGLEDGE_LOG_LEVEL": "debug"}
        environ |= {"SOAK_FAULTS": str(self._faults), "SOAK_CONDUCTOR": self.name}
        with self.output.open("wb") as output:
            command = [sys.executable, "-m", "benchmarks.soak.child"]
            self.process = subprocess.Popen(command, cwd=ROOT, env=environ, stderr=output)
            if self._core is not None:
                os.sched_setaffinity(self.process.pid, {self._core})
        self._log.write("started", conductor=self.name, pid=self.process.pid)

    async def wait_until_ready(self) -> bool:
        """Wait until the process is ready; records a start that fails or times out."""
        began_s, process, output = time.monotonic(), self.process, self.output
        while time.monotonic() < began_s + READY_TIMEOUT_S:
            if b'"event":"ready"' in output.read_bytes():
                self._log.write("ready", conductor=self.name, after_s=time.monotonic() - began_s)
                return True
            if process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        if not self.exit_expected:
            after_s = time.monotonic() - began_s
            self._log.write("not_ready", conductor=self.name, after_s=after_s, tail=tail(output))
        return False

    async def restart(self) -> None:
        """Start a process and wait until it is ready."""
        self.start()
        await self.wait_until_ready()

    def signal(self, number: int) -> None:
        """Send a signal to the newest process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL to the newest process and wait for its end."""
        self.exit_expected = True
        self._log.write("killed", conductor=self.name)
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL when the grace period is over."""
        self.exit_expected = True
        await self.terminate(self.process)

    async def terminate(
        self, process: subprocess.Popen[bytes], signals: Sequence[int] = STOP_SIGNALS
    ) -> None:
        """Send `signals` to a process, and SIGKILL if it outlives the grace period.

        The grace period starts with the first signal other than SIGHUP, which only reloads.
        """
        until_s = inf
        for number in signals:
            if number != signal.SIGHUP and until_s == inf:
                self._log.write("sigterm", conductor=self.name, pid=process.pid)
                until_s = time.monotonic() + self._kill_after_s
            if process.poll() is None:
                process.send_signal(number)
            await asyncio.sleep(SIGNAL_INTERVAL_S if len(signals) > 1 else 0.0)
        while process.poll() is None and time.monotonic() < until_s - BUSY_WAIT_S:
            await asyncio.sleep(0.01)
        time.sleep(max(0.0, min(BUSY_WAIT_S, until_s - time.monotonic())) if process.poll() is None else 0.0)
        if process.poll() is None:
            self._log.write("killed", conductor=self.name, pid=process.pid, grace=True)
            process.kill()
        process.wait()

    def record_unexpected_exit(self) -> None:
        """Record a crash if the newest process has ended unexpectedly."""
        code = self.process.poll()
        if code is not None and not self.exit_expected:
            self.exit_expected = True
            self._log.write("crashed", conductor=self.name, code=code, tail=tail(self.output))

    def record_memory(self) -> None:
        """Record that a process of the router is past the memory limit of the settings."""
        limit_mb = self.config["limits"]["memory_mb"]
        for process in (self.process, *self.replaced):
            used_mb = resident_bytes(Path(f"/proc/{process.pid}/statm")) / MB
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > limit_mb:
                self._log.write("memory", conductor=self.name, mb=used_mb, limit_mb=limit_mb)

    def close(self) -> None:
        """Kill the remaining processes, and record faults and stalls found in their logs."""
        self._log.write("killed", conductor=self.name)
        for process in (self.process, *self.replaced):
            if process.poll() is None:
                process.kill()
            process.wait()
        for path in self.folder.glob("*.log"):
            for line in path.read_bytes().splitlines():
                if any(marker in line for marker in FAILURE_MARKERS):
                    self._log.write("found", conductor=self.name, line=line.decode(errors="replace")[:600])
                elif b'"event":"stalled"' in line and b'"why":"cpu"' not in line:
                    self._log.write("held_up", s=orjson.loads(line)["away_ms"] / 1000)


def tail(path: Path) -> str:
    """The last 700 bytes of a log."""
    return path.read_bytes()[-700:].decode(errors="replace")
