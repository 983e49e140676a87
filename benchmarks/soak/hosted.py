"""The many servers of a large fleet, which a few processes host, and the faults that hit a whole host."""

from __future__ import annotations

import random

from benchmarks.soak.planned_fault import PlannedFault

SERVER_KINDS = {"p": "prefill", "d": "decode", "m": "mixed"}  # by the first letter of a server's name
FIRST_HOSTED_NUMBER = 1_000  # servers with lower numbers have processes of their own
HOST_COUNT = 4
CELL_SIZE = 10  # consecutive numbers, with one prefill and one decode server for each
FLEET_FAULTS = ("server_drain", "server_kill", "server_hang")
FLEET_FAULT_COUNT = (2, 4)  # range of the number of faults of hosts in a plan
MAX_DRAIN_SPREAD_S = 3.0  # period in which the servers of a host begin to drain one after another


def draw_hosted_servers(count: int) -> list[str]:
    """The names of `count` servers, half of which prefill."""
    numbers = range(FIRST_HOSTED_NUMBER, FIRST_HOSTED_NUMBER + count // 2)
    return [f"{kind}{number}" for number in numbers for kind in "pd"]


def host_of(server: str) -> str:
    """The host process of a server; empty if the server has a process of its own."""
    number = int(server[1:]) if server[1:].isdecimal() else 0
    return f"host{number // CELL_SIZE % HOST_COUNT}" if number >= FIRST_HOSTED_NUMBER else ""


def group(server: str) -> int:
    """The group of a server, whose members share a rack."""
    number = int(server[1:])
    return number // CELL_SIZE if number >= FIRST_HOSTED_NUMBER else number % 2 + 1


def draw_fleet_faults(rng: random.Random, hosts: list[str], load_s: float) -> list[PlannedFault]:
    """Draw faults that hit all servers of a host, a quarter of the fleet."""
    faults = []
    for _ in range(rng.randint(*FLEET_FAULT_COUNT)):
        at_s = round(rng.uniform(0.5, load_s - 2.0), 3)
        until_s = round(at_s + rng.uniform(0.3, 2.5), 3)
        fault = PlannedFault(rng.choice(FLEET_FAULTS), rng.choice(hosts), at_s, until_s)
        if fault.kind == "server_drain":
            fault.detail["spread_s"] = round(rng.choice((0.0, rng.uniform(0.5, MAX_DRAIN_SPREAD_S))), 3)
        faults.append(fault)
    return faults
