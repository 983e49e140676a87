"""Which servers may still get what was chosen for them before the list or operators spoke."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from crowstand import interface as i
from ringledge.core.conductor import Conductor
from tests.world import FLEET, World


@pytest.mark.parametrize("how", ["drains", "is gone", "is excluded", "is readmitted", "is not known"])
def test_a_server_gets_something_new_only_while_it_is_up(how: str) -> None:
    world = World()
    conductor = SimpleNamespace(policy=world.policy)
    name = "nobody" if how == "is not known" else "w0"
    if how in ("drains", "is gone"):
        state = i.Availability.DRAINING if how == "drains" else i.Availability.GONE
        told = next(each for each in FLEET if each.server == "w0")
        changed = i.ServerEntry(told.server, told.zone, told.kind, told.cell, state)
        world.give(i.Members(i.ListForm.CHANGES, 2, (changed,)))
    elif how != "is not known":
        world.give(i.OperatorOverride("w0", True))
        if how == "is readmitted":
            world.give(i.OperatorOverride("w0", False))
    assert Conductor.may_send(conductor, name) == (how == "is readmitted")  # type: ignore[arg-type]
    assert Conductor.may_send(conductor, "w1")  # type: ignore[arg-type]
