"""What a seed plays: fleet, settings, and troubles that overlap in time. One seed is one plan."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

PLAY_S = 16.0  # of clients' load
CLUSTERS = (3, 5)  # moments at which several troubles meet
SAME_PART = 0.7  # of a moment's troubles that meet at one conductor, or at one server
SPREAD_S = 0.9  # within which the troubles of a cluster begin
MAX_DEADLINE_S, KILL_GRACE_S = 3.0, 0.7
CROSSINGS = 0.6  # of the plans with a prefill that is lost while the next one meets silence
MEETS_S = 0.1  # behind the first lost responses
CROWDS = 0.15  # of the plans with a crowd
SIGNAL_SERIES = (
    ("SIGHUP", "SIGTERM", "SIGTERM", "SIGHUP"),
    ("SIGTERM", "SIGHUP", "SIGINT"),
    ("SIGINT", "SIGTERM", "SIGHUP", "SIGHUP"),
)
NO_DESCRIPTORS = ("ENFILE", "EMFILE")

# What may go wrong, and how often relative to the others.
KINDS = {
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
CALLS = {
    "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS", "EMFILE"),
    "socket": ("ENFILE", "ENOBUFS", "EMFILE"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EINTR"),
    "recv": ("ETIMEDOUT", "EHOSTUNREACH"),
    "descriptors": NO_DESCRIPTORS,  # all that needs a new one
}


@dataclass(slots=True)
class Trouble:
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
    troubles: list[Trouble]
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


def draw(seed: int) -> Plan:
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
    clusters = rng.randint(*CLUSTERS)
    for cluster in range(clusters):
        middle_s = PLAY_S * (cluster + rng.uniform(0.3, 0.8)) / clusters
        met = rng.choice(plan.conductors), rng.choice(plan.servers)
        for _ in range(rng.randint(2, 4)):
            plan.troubles.append(_trouble(rng, plan, middle_s + rng.uniform(0, SPREAD_S), met))
    if rng.random() < CROSSINGS:
        plan.troubles += _crossing(rng, plan)
    plan.deadline_ms = rng.choice((3000.0, 3000.0, 1200.0, 600.0))
    plan.crowd = rng.random() < CROWDS
    plan.troubles.sort(key=lambda trouble: trouble.at_s)
    return plan


def _crossing(rng: random.Random, plan: Plan) -> list[Trouble]:
    """Responses of one prefill server are lost while what is sent to the others does not arrive."""
    at_s = round(rng.uniform(1.0, PLAY_S - 3.0), 3)
    until_s = round(at_s + rng.uniform(1.0, 2.5), 3)
    answers = rng.choice(plan.prefill)
    stalled = [server for server in plan.prefill if server != answers]
    return [
        Trouble("path_breaks", answers, at_s, until_s),
        *(Trouble("path_stalls", server, at_s + MEETS_S, until_s) for server in stalled),
    ]


def _trouble(rng: random.Random, plan: Plan, at_s: float, met: tuple[str, str]) -> Trouble:
    """One trouble; `met`: the conductor and the server that several troubles of a moment have in common."""
    kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
    of_server = kind.startswith(("server_", "path_", "maintenance"))
    target = rng.choice(plan.servers if of_server else plan.conductors)
    if rng.random() < SAME_PART:
        target = met[of_server]
    trouble = Trouble(kind, target, round(at_s, 3), round(at_s + rng.uniform(0.3, 2.5), 3))
    trouble.detail = _detail(rng, kind, plan)
    return trouble


def _detail(rng: random.Random, kind: str, plan: Plan) -> dict[str, Any]:
    return DETAILS[kind](rng, plan) if kind in DETAILS else {}


def _failing_call(rng: random.Random, _: Plan) -> dict[str, Any]:
    call = rng.choice(list(CALLS))
    chance = 0.02 if call == "recv" else rng.choice((0.3, 1.0))
    return {"call": call, "errno": rng.choice(CALLS[call]), "chance": chance}


Detail = Callable[[random.Random, Plan], dict[str, Any]]
DETAILS: dict[str, Detail] = {
    "call_fails": _failing_call,
    "disk_fails": lambda rng, _: {"errno": rng.choice(("ENOSPC", "EIO"))},
    "wall_step": lambda rng, _: {"step_s": rng.choice((-3600.0, -5.0, 5.0, 3600.0))},
    "conductor_reload": lambda rng, _: {"half_file": rng.random() < 0.5, "times": rng.randint(1, 3)},
    "conductor_stop_early": lambda rng, _: {"after_s": round(rng.uniform(0.3, 1.2), 3)},
    "path_silent": lambda rng, _: {"zone": rng.random() < 0.4},  # of the one server, or of its whole zone
    "conductor_signals": lambda rng, _: {"series": list(rng.choice(SIGNAL_SERIES))},
    "conductor_upgrade": lambda rng, _: {"early": rng.random() < 0.4},
    "maintenance": lambda rng, plan: {"conductor": rng.choice(plan.conductors)},
}
