"""Measures members on loopback sockets: CPU and datagrams per member and second, memory. JSON on stdout."""

from __future__ import annotations

import importlib
import random
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
import click
import orjson
import psutil
from prometheus_client import CollectorRegistry

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics

if TYPE_CHECKING:
    from ringledge.members.component import MembersComponent

CONVERGENCE_LIMIT_S = 120.0  # within which the group has to converge
CHECK_INTERVAL_S = 0.05


def counter_value(registry: CollectorRegistry, name: str, direction: str) -> float:
    """The value of a members counter for one direction."""
    return registry.get_sample_value(f"ringledge_members_{name}_total", {"way": direction}) or 0.0


def total(registries: list[CollectorRegistry], name: str) -> float:
    """The sum of a counter over what all members have sent."""
    return sum(counter_value(registry, name, "sent") for registry in registries)


async def start_members(
    count: int, key: Path, seed: int, tasks: anyio.abc.TaskGroup
) -> tuple[list[MembersComponent], list[CollectorRegistry]]:
    """Start members one after another; the first three are the seeds of the later ones."""
    from ringledge.members.component import MembersComponent
    from ringledge.members.settings import MembersConfig

    started: list[MembersComponent] = []
    registries: list[CollectorRegistry] = []
    seeds: dict[str, str] = {}
    for number in range(count):
        settings = MembersConfig(
            "benchmark", str(key), "127.0.0.1:0", peers=dict(seeds), accept_unlisted=True
        )
        registries.append(Metrics().registry)
        name = f"conductor-{number}"
        rng = random.Random(seed * 1000 + number)
        started.append(MembersComponent(settings, name, {}, registries[-1], rng))
        started[-1].start(tasks)
        address = await started[-1].wait_bound()
        if number < 3:
            seeds[name] = address
    return started, registries


async def measure(members: int, seconds: float, seed: int) -> dict[str, Any]:
    """The average cost of a member, with all members in this process."""
    log.configure("error", "benchmark")
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "key"
        key.write_text(random.Random(seed).randbytes(32).hex())
        async with anyio.create_task_group() as tasks:
            rss_before = psutil.Process().memory_info().rss
            start_s = time.monotonic()
            started, registries = await start_members(members, key, seed, tasks)
            with anyio.fail_after(CONVERGENCE_LIMIT_S):
                while any(len(member.membership.active_members()) < members for member in started):
                    await anyio.sleep(CHECK_INTERVAL_S)
            joined_s = time.monotonic() - start_s
            await anyio.sleep(5)  # until the joins are disseminated
            cpu_start_s = time.process_time()
            datagrams_before = total(registries, "datagrams")
            bytes_before = total(registries, "bytes")
            await anyio.sleep(seconds)
            cpu_s = time.process_time() - cpu_start_s
            datagrams = total(registries, "datagrams") - datagrams_before
            size_bytes = total(registries, "bytes") - bytes_before
            rss_growth = psutil.Process().memory_info().rss - rss_before
            tasks.cancel_scope.cancel()
    member_s = members * seconds
    return {
        "members": members,
        "joined_s": round(joined_s, 2),
        "datagrams_per_member_s": round(datagrams / member_s, 2),
        "bytes_per_member_s": round(size_bytes / member_s),
        "cpu_ms_per_member_s": round(cpu_s * 1000 / member_s, 2),
        "kb_per_member": round(rss_growth / 1024 / members),
    }


@click.command()
@click.option("--members", "sizes", default="3,40,200", show_default=True, help="Numbers of members.")
@click.option("--seconds", default=10.0, show_default=True, help="Time over which cost is counted.")
@click.option("--seed", default=1, show_default=True, help="Seed of keys and random draws.")
def main(sizes: str, seconds: float, seed: int) -> None:
    """Print one JSON object with a row for each number of members; their memory includes their metrics."""
    rss_before = psutil.Process().memory_info().rss
    importlib.import_module("ringledge.members.component")
    imported = psutil.Process().memory_info().rss - rss_before
    rows = [anyio.run(measure, members, seconds, seed) for members in map(int, sizes.split(","))]
    click.echo(
        orjson.dumps(
            {"seed": seed, "imported_kb": imported // 1024, "rows": rows}, option=orjson.OPT_INDENT_2
        ).decode()
    )


if __name__ == "__main__":
    main()
