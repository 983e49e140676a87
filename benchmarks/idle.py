"""The cost of idle connections: memory, CPU, and the latency of concurrent requests. JSON on standard output.

Each connection has its own source address in 127.0.0.0/8, sends one request and then stays idle. The
conductor runs on a core of its own, with its limit of file descriptors raised as far as the system allows.
`--tree` measures another checkout. Memory is read right after the connections were opened, because older
versions close idle connections after 2 s.
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

FRONT_CONFIG = "enabled = true\nkeep_alive_s = 3600.0\njitter = 0.1\n"
PROMETHEUS_CONFIG = 'enabled = true\nlisten = "127.0.0.1:0"\n'
CONNECTIONS_PER_HOLDER = 12_000  # a holder is a process that keeps connections open
READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n"
IDLE_S = 5.0  # over which the idle CPU is measured


def raise_descriptor_limit(pid: int, wanted: int) -> int:
    """Raise a process's limit of file descriptors as far as possible; returns the resulting limit."""
    for limit in (wanted, resource.prlimit(pid, resource.RLIMIT_NOFILE)[1]):
        try:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, max(limit, wanted)))
            break
        except (ValueError, PermissionError):
            continue
    return resource.prlimit(pid, resource.RLIMIT_NOFILE)[0]


def kernel_tcp_mb() -> float:
    """The memory of TCP buffers in the kernel."""
    match = re.search(r"^TCP: .* mem (\d+)", Path("/proc/net/sockstat").read_text(), re.MULTILINE)
    return int(match[1]) * resource.getpagesize() / 1e6 if match else 0.0


def slab_mb() -> float:
    """The memory of the kernel's objects, including sockets and epoll items."""
    match = re.search(r"^Slab: +(\d+)", Path("/proc/meminfo").read_text(), re.MULTILINE)
    return int(match[1]) / 1e3 if match else 0.0


def measure(count: int, tree: Path | None, core: int, rate: float, seconds: float) -> dict[str, Any]:
    """Measure that many idle connections at a newly started conductor."""
    servers = ("--sockets", "400000", "--memory-mb", "192")
    with start_lab(
        servers, {"doors.toml": FRONT_CONFIG, "prometheus.toml": PROMETHEUS_CONFIG}, tree, core
    ) as stage:
        limit = raise_descriptor_limit(stage.pid, count + 2000)
        process = psutil.Process(stage.pid)
        rss = process.memory_info().rss
        tcp_before_mb, slab_before_mb = kernel_tcp_mb(), slab_mb()
        address = stage.listening["platform"]
        holders = []
        began = time.monotonic()
        for number, at in enumerate(range(0, count, CONNECTIONS_PER_HOLDER)):
            command = [
                sys.executable,
                "-m",
                "benchmarks.idle",
                "hold",
                address,
                str(min(CONNECTIONS_PER_HOLDER, count - at)),
            ]
            holders.append(
                subprocess.Popen([*command, str(number + 1)], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            )
        held = 0
        for holder in holders:
            assert holder.stdout
            held += int(holder.stdout.readline() or 0)
        opened_s = time.monotonic() - began
        rss_open = process.memory_info().rss
        cpu_before = sum(process.cpu_times()[:2])
        time.sleep(IDLE_S)
        idle_rss = process.memory_info().rss
        idle_cpu = (sum(process.cpu_times()[:2]) - cpu_before) / IDLE_S
        plan = LoadPlan(address, rate, seconds, 0.19, 2.0, 0.0, parse_shares(""))
        report = orjson.loads(load.run(plan))
        first_token_ms = report["classes"]["yard-query"]["first_token_ms"]
        metrics = stage.metrics_text()
        parked = re.search(r'^ringledge_connections\{front="platform",state="parked"\} (\S+)', metrics, re.M)
        row = {
            "connections": held,
            "descriptors": limit,
            "parked_after_load": int(float(parked[1])) if parked else None,
            "rss_mb_before": round(rss / 1e6, 1),
            "rss_mb": round(rss_open / 1e6, 1),
            "rss_mb_rested": round(idle_rss / 1e6, 1),
            "bytes_each": round((rss_open - rss) / max(1, held)),
            "kernel_tcp_mb": round(kernel_tcp_mb() - tcp_before_mb, 1),
            "kernel_slab_mb": round(slab_mb() - slab_before_mb, 1),
            "opened_per_s": round(held / opened_s),
            "cpu_idle": round(idle_cpu, 4),
            "first_token_ms": {name: first_token_ms.get(name) for name in ("p50", "p99")},
            "served": {name: each["ends"] for name, each in report["classes"].items()},
        }
        began = time.monotonic()
        process.terminate()
        while process.is_running() and process.status() != psutil.STATUS_ZOMBIE:
            time.sleep(0.01)
        row["stop_s"] = round(time.monotonic() - began, 2)
        for holder in holders:
            holder.communicate()
        return row


@click.group()
def main() -> None:
    """Measure the cost of idle connections, or hold connections for a measurement."""


@main.command()
@click.argument("address")
@click.argument("count", type=int)
@click.argument("network", type=int)
def hold(address: str, count: int, network: int) -> None:
    """Open connections that send one request each, and hold them until standard input ends."""
    raise_descriptor_limit(os.getpid(), count + 100)
    host, _, port = address.rpartition(":")
    socks = []
    for number in range(count):
        source = f"127.{network}.{number // 250 % 250}.{number % 250 + 1}"
        try:
            sock = socket.create_connection((host, int(port)), 30, source_address=(source, 0))
            sock.sendall(READY_REQUEST)
            if not sock.recv(400):
                break
        except OSError:
            break
        socks.append(sock)
    print(len(socks), flush=True)
    sys.stdin.read()


@main.command()
@click.option(
    "--counts", default="0,1000,10000,19000", show_default=True, help="Numbers of idle connections."
)
@click.option("--tree", type=click.Path(exists=True, path_type=Path), help="Another checkout to measure.")
@click.option("--core", default=0, show_default=True, help="The conductor's core.")
@click.option("--rate", default=30.0, show_default=True, help="Concurrent requests per second.")
@click.option("--seconds", default=10.0, show_default=True, help="Duration of the load.")
def run(counts: str, tree: Path | None, core: int, rate: float, seconds: float) -> None:
    """Measure each number of idle connections."""
    rows = []
    for count in map(int, counts.split(",")):
        rows.append(measure(count, tree, core, rate, seconds))
        click.echo(orjson.dumps(rows[-1]).decode(), err=True)
    click.echo(orjson.dumps({"rate": rate, "rows": rows}, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
