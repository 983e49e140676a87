"""The program with one part more: a duty whose effects the test receives, and a record of all it does.

rig.json in its folder says where effects go (`receiver`), the names of the `duties`, and maybe a `mutant`.
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

EACH_S = 0.03  # between effects
FOLDER = Path(os.environ.get("RINGLEDGE_DEPLOY", "."))


class Effects:
    """A duty: each step is one effect, a datagram with the token."""

    def __init__(self, name: str, told: dict[str, Any], member: str) -> None:
        host, _, port = told["receiver"].rpartition(":")
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

    async def step(self, token: int, still: Callable[[], bool]) -> float:
        looked_s = time.monotonic()  # before the look: what it allows holds from no later moment
        if still():
            stand_still = FOLDER / "stand_still"  # the test wants it stopped between its look and its effect
            if stand_still.exists():
                stand_still.unlink()
                os.kill(os.getpid(), signal.SIGSTOP)
            self._write("effect", looked_s)
            told = {"duty": self._name, "token": token, "member": self._member, "pid": os.getpid()}
            self._socket.sendto(json.dumps(told).encode(), self._to)
        return EACH_S

    def stop(self) -> None:
        self._write("ended", time.monotonic())


def create(made: Composition) -> Component:
    told = json.loads((FOLDER / "rig.json").read_text())
    assert made.cluster_member is not None
    for name in told["duties"]:
        made.cluster_member.duties[name] = Effects(name, told, made.context.config.name)
    mutant = told.get("mutant")
    if mutant == "never_expires":  # a holder goes on by what it knew, whatever its clock says
        seeker: Any = LeaseProposer
        seeker.token_at = lambda self, now_s: self.token if self.state is ProposerState.HOLDING else None
        seeker._expire = lambda self, now_s: []
    return Component()


if __name__ == "__main__":
    specs = composition.COMPONENTS
    index = [spec.name for spec in specs].index("duties")
    rig = ComponentSpec("rig", lambda config: True, create)
    composition.COMPONENTS = (*specs[:index], rig, *specs[index:])
    main()
