"""What connections at rest cost: memory, CPU, and the latency of those that ask beside them. JSON.

Each connection comes from an address of its own in 127.0.0.0/8, asks once and then rests. The conductor has a
core of its own; its limit of descriptors is raised as far as the system lets us. `--tree` measures another
checkout, the version before say, which closes what rests after 2 s: its memory is read at once.
"""

from __future__ import annotations

import os
import re
import resource
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import click
import orjson
import psutil

from ringledge.lab import load
from ringledge.lab.load_plan import LoadPlan, parse_shares
from ringledge.lab.stage import start_lab

DOORS = "enabled = true\nkeep_alive_s = 3600.0\njitter = 0.1\n"
PROMETHEUS = 'enabled = true\nlisten = "127.0.0.1:0"\n'
HOLDER = 12_000  # connections of one holding process
READY = b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n"
IDLE_S = 5.0  # over which the CPU at rest is measured


def descriptors(pid: int, wanted: int) -> int:
    """Raise a process's limit; gives what it is then."""
    for limit in (wanted, resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]):
        try:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, max(limit, wanted)))
            break
        except (ValueError, PermissionError):
            continue
    return resource.prlimit(pid, resource.RLIMIT_NOFILE)[0]


def kernel_mb() -> float:
    """What the kernel says that TCP holds."""
    told = re.search(r"^TCP: .* mem (\d+)", Path("/proc/net/sockstat").read_text(), re.MULTILINE)
    return int(told[1]) * resource.getpagesize() / 1e6 if told else 0.0


def slab_mb() -> float:
    """The kernel's own objects, sockets and epoll's items among them."""
    told = re.search(r"^Slab: +(\d+)", Path("/proc/meminfo").read_text(), re.MULTILINE)
    return int(told[1]) / 1e3 if told else 0.0


def measure(count: int, tree: Path | None, core: int, rate: float, seconds: float) -> dict[str, Any]:
    """One count of connections on a fresh conductor."""
    servers = ("--sockets", "400000", "--memory-mb", "192")
    with start_lab(servers, {"doors.toml": DOORS, "prometheus.toml": PROMETHEUS}, tree, core) as on:
        limit = descriptors(on.pid, count + 2000)
        process = psutil.Process(on.pid)
        rss = process.memory_info().rss
        kernel, slab = kernel_mb(), slab_mb()
        address = on.listening["platform"]
        holders = []
        began = time.monotonic()
        for number, at in enumerate(range(0, count, HOLDER)):
            command = [sys.executable, "-m", "benchmarks.idle", "hold", address, str(min(HOLDER, count - at))]
            holders.append(
                subprocess.Popen([*command, str(number + 1)], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            )
        held = 0
        for holder in holders:
            assert holder.stdout
            held += int(holder.stdout.readline() or 0)
        opened_s = time.monotonic() - began
        peak = process.memory_info().rss
        used = sum(process.cpu_times()[:2])
        time.sleep(IDLE_S)
        rested = process.memory_info().rss
        idle = (sum(process.cpu_times()[:2]) - used) / IDLE_S
        plan = LoadPlan(address, rate, seconds, 0.19, 2.0, 0.0, parse_shares(""))
        report = orjson.loads(load.run(plan))
        firsts = report["classes"]["yard-query"]["first_token_ms"]
        figures = on.metrics_text()
        parked = re.search(r'^ringledge_connections\{front="platform",state="parked"\} (\S+)', figures, re.M)
        told = {
            "connections": held,
            "descriptors": limit,
            "parked_after_load": int(float(parked[1])) if parked else None,
            "rss_mb_before": round(rss / 1e6, 1),
            "rss_mb": round(peak / 1e6, 1),
            "rss_mb_rested": round(rested / 1e6, 1),
            "bytes_each": round((peak - rss) / max(1, held)),
            "kernel_tcp_mb": round(kernel_mb() - kernel, 1),
            "kernel_slab_mb": round(slab_mb() - slab, 1),
            "opened_per_s": round(held / opened_s),
            "cpu_idle": round(idle, 4),
            "first_token_ms": {name: firsts.get(name) for name in ("p50", "p99")},
            "served": {name: each["ends"] for name, each in report["classes"].items()},
        }
        began = time.monotonic()
        process.terminate()
        while process.is_running() and process.status() != psutil.STATUS_ZOMBIE:
            time.sleep(0.01)
        told["stop_s"] = round(time.monotonic() - began, 2)
        for holder in holders:
            holder.communicate()
        return told


@click.group()
def main() -> None:
    """Measure, or hold connections for a measurement."""


@main.command()
@click.argument("address")
@click.argument("count", type=int)
@click.argument("network", type=int)
def hold(address: str, count: int, network: int) -> None:
    """Open connections that ask once each, and hold them until standard input ends."""
    descriptors(os.getpid(), count + 100)
    host, _, port = address.rpartition(":")
    socks = []
    for number in range(count):
        source = f"127.{network}.{number // 250 % 250}.{number % 250 + 1}"
        try:
            sock = socket.create_connection((host, int(port)), 30, source_address=(source, 0))
            sock.sendall(READY)
            if not sock.recv(400):
                break
        except OSError:
            break
        socks.append(sock)
    print(len(socks), flush=True)
    sys.stdin.read()


@main.command()
@click.option("--counts", default="0,1000,10000,19000", show_default=True, help="Connections at rest.")
@click.option("--tree", type=click.Path(exists=True, path_type=Path), help="Another checkout to measure.")
@click.option("--core", default=0, show_default=True, help="The conductor's core.")
@click.option("--rate", default=30.0, show_default=True, help="Requests a second beside them.")
@click.option("--seconds", default=10.0, show_default=True, help="How long.")
def run(counts: str, tree: Path | None, core: int, rate: float, seconds: float) -> None:
    """Measure each count."""
    rows = []
    for count in map(int, counts.split(",")):
        rows.append(measure(count, tree, core, rate, seconds))
        click.echo(orjson.dumps(rows[-1]).decode(), err=True)
    click.echo(orjson.dumps({"rate": rate, "rows": rows}, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
