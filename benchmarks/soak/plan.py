"""What a seed plays: fleet, settings, and troubles that overlap in time. One seed is one plan."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

LOAD_S = 16.0  # of clients' load
CLUSTER_COUNT = (3, 5)  # moments at which several troubles meet
SHARED_TARGET_FRACTION = 0.7  # of a moment's troubles that meet at one conductor, or at one server
CLUSTER_SPREAD_S = 0.9  # within which the troubles of a cluster begin
MAX_DEADLINE_S, KILL_GRACE_S = 3.0, 0.7
LOST_PREFILL_FRACTION = 0.6  # of the plans with a prefill that is lost while the next one meets silence
STALL_DELAY_S = 0.1  # behind the first lost responses
CROWD_FRACTION = 0.15  # of the plans with a crowd
SIGNAL_SERIES = (
    ("SIGHUP", "SIGTERM", "SIGTERM", "SIGHUP"),
    ("SIGTERM", "SIGHUP", "SIGINT"),
    ("SIGINT", "SIGTERM", "SIGHUP", "SIGHUP"),
)
DESCRIPTOR_ERRNOS = ("ENFILE", "EMFILE")

# What may go wrong, and how often relative to the others.
FAULT_WEIGHTS = {
    "conductor_kill": 2,
    "conductor_stop": 5,  # SIGTERM, SIGKILL when the grace is over, started again at once
    "conductor_stop_early": 3,  # the same, and SIGTERM again while the new process starts
    "conductor_reload": 4,  # SIGHUP; discovery moves, sometimes with half a file first
    "conductor_signals": 3,  # SIGHUP, SIGTERM and SIGINT in series; the kill follows the first that ends it
    "conductor_upgrade": 3,  # a successor beside it, sometimes told to end before that one is ready
    "server_kill": 3,  # and started again
    "server_hang": 3,  # SIGSTOP, SIGCONT
    "server_queue": 4,  # decodes wait for their KV cache entry, and some are rejected or fail behind the wait
    "server_drain": 5,  # told by discovery; back later
    "path_silent": 5,  # connections stay open and carry nothing; new ones never come up
    "path_stalls": 4,  # connections come up and take what is written, and carry nothing while it lasts
    "path_forgets": 4,  # the connections there are carry nothing more; new ones are well
    "path_reset": 4,
    "path_breaks": 4,  # a response resets its connection instead of passing: its server has done the work
    "path_pieces": 2,
    "discovery_mute": 4,  # answers nothing, its watches are silent
    "discovery_reset": 3,  # its watches are reset
    "discovery_slow": 2,
    "discovery_garbage": 1,
    "call_fails": 7,  # a system call of one conductor fails for a while
    "short_io": 3,  # its reads and writes are short
    "disk_fails": 2,
    "wall_step": 3,  # its wall clock is stepped
    "maintenance": 3,  # operators leave a server out
}
CALL_ERRNOS = {
    "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS", "EMFILE"),
    "socket": ("ENFILE", "ENOBUFS", "EMFILE"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EINTR"),
    "recv": ("ETIMEDOUT", "EHOSTUNREACH"),
    "descriptors": DESCRIPTOR_ERRNOS,  # all that needs a new one
}


@dataclass(slots=True)
class PlannedFault:
    """One trouble; times in s from the start of the load."""

    kind: str
    target: str  # a conductor's or a server's name
    at_s: float
    until_s: float
    detail: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Plan:
    """A seed's fleet and troubles."""

    seed: int
    conductors: list[str]
    prefill: list[str]
    decode: list[str]
    mixed: list[str]
    may_cancel: bool
    keepalive_ms: float
    rate: float  # requests a second for each conductor
    troubles: list[PlannedFault]
    deadline_ms: float = 3000.0  # of every class: the longest that a client waits
    crowd: bool = False  # idle and half-open clients come in bursts, up to the limit on descriptors

    @property
    def servers(self) -> list[str]:
        """All servers."""
        return self.prefill + self.decode + self.mixed

    @property
    def kill_after_s(self) -> float:
        """From SIGTERM to SIGKILL, by the protocol: the longest deadline, 3 s at most, and 0.7 s."""
        return min(self.deadline_ms / 1000, MAX_DEADLINE_S) + KILL_GRACE_S

    @property
    def host(self) -> str:
        """A loopback address of its own, so that days beside each other share no ports."""
        return f"127.{1 + self.seed // 250 % 250}.{1 + self.seed % 250}.1"

    def kind(self, server: str) -> str:
        """The server's kind, by the settings' names."""
        return {"p": "prefill", "d": "decode", "m": "mixed"}[server[0]]

    def as_json(self) -> dict[str, Any]:
        """The plan for the other processes."""
        return asdict(self)


def draw_plan(seed: int) -> Plan:
    """The plan of a seed."""
    rng = random.Random(seed)
    plan = Plan(
        seed,
        [f"n{n}" for n in range(rng.randint(3, 5))],
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
    plan.troubles.sort(key=lambda fault: fault.at_s)
    return plan


def _lost_prefill_faults(rng: random.Random, plan: Plan) -> list[PlannedFault]:
    """Responses of one prefill server are lost while what is sent to the others does not arrive."""
    at_s = round(rng.uniform(1.0, LOAD_S - 3.0), 3)
    until_s = round(at_s + rng.uniform(1.0, 2.5), 3)
    losing = rng.choice(plan.prefill)
    stalled = [server for server in plan.prefill if server != losing]
    return [
        PlannedFault("path_breaks", losing, at_s, until_s),
        *(PlannedFault("path_stalls", server, at_s + STALL_DELAY_S, until_s) for server in stalled),
    ]


def _draw_fault(rng: random.Random, plan: Plan, at_s: float, shared: tuple[str, str]) -> PlannedFault:
    """One trouble; `met`: the conductor and the server that several troubles of a moment have in common."""
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
    "path_silent": lambda rng, _: {"zone": rng.random() < 0.4},  # of the one server, or of its whole zone
    "conductor_signals": lambda rng, _: {"series": list(rng.choice(SIGNAL_SERIES))},
    "conductor_upgrade": lambda rng, _: {"early": rng.random() < 0.4},
    "maintenance": lambda rng, plan: {"conductor": rng.choice(plan.conductors)},
}
