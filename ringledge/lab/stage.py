"""A stage for demonstrations and measurements: stand-in servers and one conductor, as processes."""

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
class Stage:
    """What is on: addresses, and the conductor's process."""

    discovery: str
    listening: dict[str, str]
    pid: int

    def audit(self) -> dict[str, int]:
        """What the servers saw."""
        told: dict[str, int] = orjson.loads(_get(self.discovery, "/audit"))
        return told

    def figures(self) -> str:
        """The conductor's /metrics; empty where it serves none."""
        address = self.listening.get("prometheus")
        return _get(address, "/metrics").decode() if address else ""


def _get(address: str, path: str) -> bytes:
    client = http.client.HTTPConnection(address, timeout=10)
    client.request("GET", path)
    return client.getresponse().read()


def _until(stream: IO[bytes], event: str) -> dict[str, Any]:
    """The next JSON line of that event; the lines behind it are read and left."""
    for line in stream:
        told: dict[str, Any] = orjson.loads(line)
        if told.get("event") == event:
            threading.Thread(target=stream.read, daemon=True).start()
            return told
    raise RuntimeError(f"it ended without a line {event}")


@contextmanager
def stage(
    servers: tuple[str, ...] = (),
    deploy: dict[str, str] | None = None,
    tree: Path | None = None,
    core: int | None = None,
) -> Iterator[Stage]:
    """Start both, the conductor from `tree` and on `core` alone; the rest gets the other cores."""
    processes = list[subprocess.Popen[bytes]]()
    others = os.sched_getaffinity(0) - ({core} if core is not None else set())
    with tempfile.TemporaryDirectory() as folder:
        try:
            command = [*COMMAND, "lab", "servers", "--folder", folder, *servers]
            processes.append(subprocess.Popen(command, stdout=subprocess.PIPE))
            os.sched_setaffinity(processes[0].pid, others)
            assert processes[0].stdout
            discovery = _until(processes[0].stdout, "ready")["discovery"]
            for name, text in (deploy or {}).items():
                (Path(folder) / name).write_text(text)
            told = {"RELAY_CONFIG": f"{folder}/config.json", "RINGLEDGE_DEPLOY": folder, "TMPDIR": folder}
            environ = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "RINGLEDGE_"))}
            processes.append(subprocess.Popen(COMMAND, cwd=tree, env=environ | told, stderr=subprocess.PIPE))
            if core is not None:
                os.sched_setaffinity(processes[1].pid, {core})
            assert processes[1].stderr
            listening = _until(processes[1].stderr, "ready")["listening"]
            yield Stage(discovery, listening, processes[1].pid)
        finally:
            for process in reversed(processes):
                process.terminate()
            for process in reversed(processes):
                process.wait()
