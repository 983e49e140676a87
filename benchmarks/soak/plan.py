"""Draws the only plan of a seed: servers, routers, settings, and faults that overlap in time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from benchmarks.soak.hosted import SERVER_KINDS, draw_fleet_faults, draw_hosted_servers, host_of
from benchmarks.soak.planned_fault import PlannedFault

MIN_ROUTERS, MAX_ROUTERS = 3, 5
LOAD_S = 16.0  # duration of the load
CLUSTER_COUNT = (3, 5)  # range of the number of clusters of faults in a plan
SHARED_TARGET_FRACTION = 0.7  # share of a cluster's faults that hit the same router or the same server
CLUSTER_SPREAD_S = 0.9  # period in which the faults of a cluster begin
MAX_DEADLINE_S, KILL_GRACE_S = 3.0, 0.7
LOST_PREFILL_FRACTION = 0.6  # share of plans in which a prefill is lost and its retry stalls
STALL_DELAY_S = 0.1  # from the start of the lost responses to the stall of the other prefill servers
CROWD_FRACTION = 0.15  # share of plans with a crowd of idle connections
SIGNAL_SERIES = (
    ("SIGHUP", "SIGTERM", "SIGTERM", "SIGHUP"),
    ("SIGTERM", "SIGHUP", "SIGINT"),
    ("SIGINT", "SIGTERM", "SIGHUP", "SIGHUP"),
)
DESCRIPTOR_ERRNOS = ("ENFILE", "EMFILE")

# Kinds of faults, with their relative frequency.
FAULT_WEIGHTS = {
    "conductor_kill": 2,
    "conductor_stop": 5,  # SIGTERM, SIGKILL after the grace period, restart at once
    "conductor_stop_early": 3,  # SIGKILL, restart, and SIGTERM while the new process starts
    "conductor_reload": 4,  # SIGHUP with a new discovery address, sometimes after one with a truncated file
    "conductor_signals": 3,  # a series of signals; the first one but SIGHUP starts the grace period
    "conductor_upgrade": 3,  # hand-over to a successor; sometimes SIGTERM before that is ready
    "server_kill": 3,  # SIGKILL and restart
    "server_hang": 3,  # SIGSTOP, and SIGCONT at the end
    "server_queue": 4,  # decodes wait for their KV cache entry, and some are then rejected or fail
    "server_drain": 5,  # announced by discovery; active again at the end
    "path_silent": 5,  # connections stay open and carry nothing; new ones are never established
    "path_stalls": 4,  # connections are established and accept data, and carry nothing meanwhile
    "path_forgets": 4,  # existing connections carry nothing from then on; new ones work
    "path_reset": 4,
    "path_breaks": 4,  # a response resets its connection instead of passing; the server has done the work
    "path_pieces": 2,
    "path_slow_reads": 3,  # requests are taken from their connections slowly
    "discovery_mute": 4,  # the agent does not answer, and its watches are silent
    "discovery_reset": 3,  # the agent's connections are reset
    "discovery_slow": 2,
    "discovery_garbage": 1,
    "call_fails": 7,  # a system call of one router fails for a while
    "short_io": 3,  # one router's socket reads and writes are short
    "disk_fails": 2,
    "wall_step": 3,  # one router's wall clock is stepped
    "maintenance": 3,  # an operator takes a server out
}
CALL_ERRNOS = {
    "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS", "EMFILE"),
    "socket": ("ENFILE", "ENOBUFS", "EMFILE"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EINTR"),
    "recv": ("ETIMEDOUT", "EHOSTUNREACH"),
    "descriptors": DESCRIPTOR_ERRNOS,  # every call that needs a new file descriptor
}


@dataclass(slots=True)
class Plan:
    """The servers, routers, settings and faults of a seed; the other processes read it as JSON."""

    seed: int
    conductors: list[str]
    prefill: list[str]
    decode: list[str]
    mixed: list[str]
    may_cancel: bool
    keepalive_ms: float
    rate: float  # requests per second to each router
    troubles: list[PlannedFault]
    deadline_ms: float = 3000.0  # deadline of every request class
    crowd: bool = False  # bursts of idle and half-open connections, up to the descriptor limit
    hosted: list[str] = field(default_factory=list)  # further servers, which a few host processes serve
    core_divisor: int = 1  # each router shares its core with one process less than this

    @property
    def servers(self) -> list[str]:
        """The names of all servers."""
        return self.usual_servers + self.hosted

    @property
    def usual_servers(self) -> list[str]:
        """The names of the servers that have processes of their own."""
        return self.prefill + self.decode + self.mixed

    @property
    def hosts(self) -> list[str]:
        """The names of the host processes."""
        return sorted({host_of(server) for server in self.hosted})

    def served_by(self, process: str) -> list[str]:
        """The servers of a server process, which is named after its only server or is a host."""
        return [each for each in self.hosted if host_of(each) == process] or [process]

    @property
    def kill_after_s(self) -> float:
        """The time from SIGTERM to SIGKILL, by the protocol: the longest deadline (at most 3 s) and 0.7 s."""
        return min(self.deadline_ms / 1000, MAX_DEADLINE_S) + KILL_GRACE_S

    @property
    def host(self) -> str:
        """The loopback address of this seed, so that parallel runs share no ports."""
        return f"127.{1 + self.seed // 250 % 250}.{1 + self.seed % 250}.1"

    def kind(self, server: str) -> str:
        """The kind of a server, as named in the settings."""
        return SERVER_KINDS[server[0]]

    def as_json(self) -> dict[str, Any]:
        """The plan as a JSON object."""
        return asdict(self)


def draw_plan(seed: int, fleet_size: int = 0, core_divisor: int = 1) -> Plan:
    """Draw the plan of a seed; `fleet_size` is the number of servers in addition to the few usual ones."""
    rng = random.Random(seed)
    plan = Plan(
        seed,
        [f"n{n}" for n in range(rng.randint(MIN_ROUTERS, MAX_ROUTERS))],
        [f"p{n}" for n in range(rng.randint(2, 4))],
        [f"d{n}" for n in range(rng.randint(3, 4))],
        [f"m{n}" for n in range(rng.randint(0, 2))],
        rng.random() < 0.8,
        rng.choice((30_000.0, 3_000.0)),
        rng.uniform(6, 14),
        [],
    )
    clusters = rng.randint(*CLUSTER_COUNT)
    for cluster in range(clusters):
        cluster_s = LOAD_S * (cluster + rng.uniform(0.3, 0.8)) / clusters
        shared = rng.choice(plan.conductors), rng.choice(plan.servers)
        for _ in range(rng.randint(2, 4)):
            plan.troubles.append(_draw_fault(rng, plan, cluster_s + rng.uniform(0, CLUSTER_SPREAD_S), shared))
    if rng.random() < LOST_PREFILL_FRACTION:
        plan.troubles += _lost_prefill_faults(rng, plan)
    plan.deadline_ms = rng.choice((3000.0, 3000.0, 1200.0, 600.0))
    plan.crowd = rng.random() < CROWD_FRACTION
    plan.core_divisor = core_divisor
    if fleet_size:
        plan.hosted = draw_hosted_servers(fleet_size)
        plan.troubles += draw_fleet_faults(rng, plan.hosts, LOAD_S)
    plan.troubles.sort(key=lambda fault: fault.at_s)
    return plan


def _lost_prefill_faults(rng: random.Random, plan: Plan) -> list[PlannedFault]:
    """Faults that lose the responses of one prefill server and stall the paths to the others."""
    at_s = round(rng.uniform(1.0, LOAD_S - 3.0), 3)
    until_s = round(at_s + rng.uniform(1.0, 2.5), 3)
    losing = rng.choice(plan.prefill)
    stalled = [server for server in plan.prefill if server != losing]
    return [
        PlannedFault("path_breaks", losing, at_s, until_s),
        *(PlannedFault("path_stalls", server, at_s + STALL_DELAY_S, until_s) for server in stalled),
    ]


def _draw_fault(rng: random.Random, plan: Plan, at_s: float, shared: tuple[str, str]) -> PlannedFault:
    """Draw one fault; `shared` is the router and the server that the faults of a cluster have in common."""
    kind = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
    of_server = kind.startswith(("server_", "path_", "maintenance"))
    target = rng.choice(plan.servers if of_server else plan.conductors)
    if rng.random() < SHARED_TARGET_FRACTION:
        target = shared[of_server]
    fault = PlannedFault(kind, target, round(at_s, 3), round(at_s + rng.uniform(0.3, 2.5), 3))
    fault.detail = _draw_detail(rng, kind, plan)
    return fault


def _draw_detail(rng: random.Random, kind: str, plan: Plan) -> dict[str, Any]:
    return DETAIL_DRAWS[kind](rng, plan) if kind in DETAIL_DRAWS else {}


def _draw_failing_call(rng: random.Random, _: Plan) -> dict[str, Any]:
    call = rng.choice(list(CALL_ERRNOS))
    chance = 0.02 if call == "recv" else rng.choice((0.3, 1.0))
    return {"call": call, "errno": rng.choice(CALL_ERRNOS[call]), "chance": chance}


DetailDraw = Callable[[random.Random, Plan], dict[str, Any]]
DETAIL_DRAWS: dict[str, DetailDraw] = {
    "call_fails": _draw_failing_call,
    "disk_fails": lambda rng, _: {"errno": rng.choice(("ENOSPC", "EIO"))},
    "wall_step": lambda rng, _: {"step_s": rng.choice((-3600.0, -5.0, 5.0, 3600.0))},
    "conductor_reload": lambda rng, _: {"half_file": rng.random() < 0.5, "times": rng.randint(1, 3)},
    "conductor_stop_early": lambda rng, _: {"after_s": round(rng.uniform(0.3, 1.2), 3)},
    "path_silent": lambda rng, _: {"zone": rng.random() < 0.4},  # one server or its whole zone
    "conductor_signals": lambda rng, _: {"series": list(rng.choice(SIGNAL_SERIES))},
    "conductor_upgrade": lambda rng, _: {"early": rng.random() < 0.4},
    "maintenance": lambda rng, plan: {"conductor": rng.choice(plan.conductors)},
}


def zone(server: str) -> str:
    """The zone of a server: even numbers are in the east."""
    return ("east", "west")[int(server[1:]) % 2]
