"""Runs the program with additional duties that send their effects to the test and record each step.

rig.json in the program's folder holds the address of the `receiver`, the names of the `duties` and,
optionally, a `mutant`.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ringledge.cli import main
from ringledge.decide.leases.proposer import LeaseProposer
from ringledge.decide.leases.proposer_state import ProposerState
from ringledge.lifecycle import composition
from ringledge.lifecycle.component import Component
from ringledge.lifecycle.composition import ComponentSpec, Composition

EFFECT_INTERVAL_S = 0.03
FOLDER = Path(os.environ.get("RINGLEDGE_DEPLOY", "."))


class Effects:
    """A duty that sends one effect per step: a datagram with its token."""

    def __init__(self, name: str, rig: dict[str, Any], member: str) -> None:
        host, _, port = rig["receiver"].rpartition(":")
        self._name, self._member, self._to = name, member, (host, int(port))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._record = (FOLDER / "record.jsonl").open("a", buffering=1)
        self._token = 0

    def _write(self, what: str, at_s: float) -> None:
        line = {"what": what, "duty": self._name, "token": self._token, "member": self._member}
        self._record.write(json.dumps(line | {"pid": os.getpid(), "at_s": at_s}) + "\n")

    def begin(self, token: int) -> None:
        self._token = token
        self._write("begun", time.monotonic())

    async def step(self, token: int, holds_lease: Callable[[], bool]) -> float:
        # Read before the lease check, which proves the lease for no later time.
        checked_s = time.monotonic()
        if holds_lease():
            # The test creates this file to stop the process between the lease check and the effect.
            stand_still = FOLDER / "stand_still"
            if stand_still.exists():
                stand_still.unlink()
                os.kill(os.getpid(), signal.SIGSTOP)
            self._write("effect", checked_s)
            effect = {"duty": self._name, "token": token, "member": self._member, "pid": os.getpid()}
            self._socket.sendto(json.dumps(effect).encode(), self._to)
        return EFFECT_INTERVAL_S

    def stop(self) -> None:
        self._write("ended", time.monotonic())


def create(composed: Composition) -> Component:
    rig = json.loads((FOLDER / "rig.json").read_text())
    assert composed.cluster_member is not None
    for name in rig["duties"]:
        composed.cluster_member.duties[name] = Effects(name, rig, composed.context.config.name)
    mutant = rig.get("mutant")
    if mutant == "never_expires":  # the holder ignores the expiry of its lease
        proposer: Any = LeaseProposer
        proposer.token_at = lambda self, now_s: self.token if self.state is ProposerState.HOLDING else None
        proposer._expire = lambda self, now_s: []
    return Component()


if __name__ == "__main__":
    specs = composition.COMPONENTS
    index = [spec.name for spec in specs].index("duties")
    rig_spec = ComponentSpec("rig", lambda config: True, create)
    composition.COMPONENTS = (*specs[:index], rig_spec, *specs[index:])
    main()
