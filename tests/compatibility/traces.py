"""The traces, by the name in their golden files."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from tests.compatibility.gate_trace import gate_steps
from tests.compatibility.lease_trace import lease_steps
from tests.compatibility.membership_trace import membership_steps
from tests.compatibility.overload_trace import overload_steps
from tests.compatibility.policy_trace import overtaken_steps, policy_steps
from tests.compatibility.ratio_trace import ratio_steps
from tests.compatibility.replay_trace import replay_steps

TRACES: dict[str, Callable[[], Iterator[str]]] = {
    "policy": policy_steps,
    "policy-overtaken": overtaken_steps,
    "overload": overload_steps,
    "gate": gate_steps,
    "leases": lease_steps,
    "membership": membership_steps,
    "ratio": ratio_steps,
    "replay": replay_steps,
}
