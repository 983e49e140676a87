"""The table of parts. A new subsystem adds one entry, and its file in `lifecycle.config.FILES`."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module

from ringledge.lifecycle.config import Config
from ringledge.lifecycle.shared import Part, Shared

Wanted = Callable[[Config], bool]
Make = Callable[[Shared], Part]


def _always(config: Config) -> bool:
    return True


def _file(name: str) -> Wanted:
    """Where the file of that name under deploy/ is enabled."""
    return lambda config: name in config.extras


# The module in this folder whose `part` makes it, and when it is wanted; else it is not even imported, for
# memory is short. Made and started in this order: what a part uses of another's stands behind it.
TABLE: tuple[tuple[str, Wanted], ...] = (
    ("servers", _always),
    ("overload", _file("overload")),
    ("doors", _file("doors")),
    ("platform", _always),
    ("operators", lambda config: bool(config.operator)),
    ("members", _file("members")),
    ("queue", _file("queue")),
    ("chat", _file("chat")),
    ("xds", _file("xds")),
    ("prometheus", _file("prometheus")),
    ("ratio", _file("ratio")),
    ("duties", _file("duties")),  # the last of the fleet: those before it say which duties there are
)


def make(shared: Shared) -> list[Part]:
    """Make the parts that the configuration wants."""
    made = []
    for name, wanted in TABLE:
        if wanted(shared.config):
            part: Make = import_module(f"{__name__}.{name}").part
            made.append(part(shared))
    return made
