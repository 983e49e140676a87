"""How many descriptors the program may have in all, whoever set the tighter limit."""

from __future__ import annotations

import resource

from ringledge.observe.logging import log


def allowed(sockets: int) -> int:
    """`sockets` of the settings, or what the system allows this process where that is less.

    What is kept for discovery and servers is kept by counting, so the count has to begin with the true limit:
    past the system's own one, a connection to discovery would fail for idle clients that hold all there is.
    """
    of_system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if of_system == resource.RLIM_INFINITY or of_system >= sockets:
        return sockets
    log.warning("descriptors_limited", settings=sockets, system=of_system)
    return of_system
