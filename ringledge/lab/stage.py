"""Starts stand-in servers and one conductor as processes, for demonstrations and measurements."""

from __future__ import annotations

import http.client
import os
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

import orjson

COMMAND = (sys.executable, "-m", "ringledge")


@dataclass(slots=True)
class LabProcesses:
    """Addresses of the running processes, and the conductor's process id."""

    discovery: str  # address of the stand-in discovery
    listening: dict[str, str]  # addresses of the conductor's fronts, by name
    pid: int

    def audit(self) -> dict[str, int]:
        """Fetch the counts of the stand-in servers."""
        counts: dict[str, int] = orjson.loads(_get(self.discovery, "/audit"))
        return counts

    def metrics_text(self) -> str:
        """Fetch the conductor's /metrics; empty if it does not serve them."""
        address = self.listening.get("prometheus")
        return _get(address, "/metrics").decode() if address else ""


def _get(address: str, path: str) -> bytes:
    client = http.client.HTTPConnection(address, timeout=10)
    client.request("GET", path)
    return client.getresponse().read()


def _read_event(stream: IO[bytes], event: str) -> dict[str, Any]:
    """Read the next JSON line with an event; later lines are read in a thread and discarded."""
    for line in stream:
        fields: dict[str, Any] = orjson.loads(line)
        if fields.get("event") == event:
            threading.Thread(target=stream.read, daemon=True).start()
            return fields
    raise RuntimeError(f"process ended without logging the event {event}")


def _conductor_environment(folder: str) -> dict[str, str]:
    """The environment for the conductor: that of this process, with the conductor's paths in the folder."""
    inherited = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "RINGLEDGE_"))}
    variables = {"RELAY_CONFIG": f"{folder}/config.json", "RINGLEDGE_DEPLOY": folder, "TMPDIR": folder}
    return inherited | variables


@contextmanager
def start_lab(
    servers: tuple[str, ...] = (),
    deploy: dict[str, str] | None = None,
    tree: Path | None = None,
    core: int | None = None,
) -> Iterator[LabProcesses]:
    """Start stand-in servers and a conductor, and stop them when the context ends.

    `servers`: options of `ringledge lab servers`. `deploy`: settings files by name. `tree`: the checkout from
    which the conductor runs. `core`: the only CPU for the conductor; the servers run on the others.
    """
    processes = list[subprocess.Popen[bytes]]()
    other_cores = os.sched_getaffinity(0) - ({core} if core is not None else set())
    with tempfile.TemporaryDirectory() as folder:
        try:
            command = [*COMMAND, "lab", "servers", "--folder", folder, *servers]
            processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))
            os.sched_setaffinity(processes[0].pid, other_cores)
            assert processes[0].stdout
            discovery = _read_event(processes[0].stdout, "ready")["discovery"]
            for name, text in (deploy or {}).items():
                (Path(folder) / name).write_text(text)
            processes.append(
                subprocess.Popen(
                    COMMAND, cwd=tree, env=_conductor_environment(folder), stderr=subprocess.PIPE
                )
            )
            if core is not None:
                os.sched_setaffinity(processes[1].pid, {core})
            assert processes[1].stderr
            listening = _read_event(processes[1].stderr, "ready")["listening"]
            yield LabProcesses(discovery, listening, processes[1].pid)
        finally:
            for process in reversed(processes):
                process.terminate()
            for process in reversed(processes):
                process.wait()
